package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
)

// statusIDConflict is the status of a request whose id belongs to another request. It doesn't say that a retry is harmless.
const statusIDConflict = fasthttp.StatusConflict

// Rejection is the reason why a request is not processed.
type Rejection struct {
	Status int    // of the response
	Code   string // its key in the counters of rejections
}

func (r *Rejection) outcome() outcome { return outcome{status: r.Status, rejectCode: r.Code} }

// admit validates a request against the protocol and the settings, and prepares it for forwarding. A request that is not
// admitted is answered without an attempt.
func (r *request) admit() *Rejection {
	in := &r.received
	class, classFound := r.handler.classes[in.class]
	if rejected := in.validate(class, classFound); rejected != nil {
		return rejected
	}
	timeout, ok := parseTimeout(in.timeout)
	if !ok {
		return &Rejection{fasthttp.StatusBadRequest, "bad_deadline"}
	}
	if r.handler.options.Clock.Now() >= in.receivedAt+timeout { // expired before anything was sent to a server
		return &Rejection{fasthttp.StatusGatewayTimeout, "deadline_past"}
	}
	if rejected := r.handler.rejectIfDraining(); rejected != nil {
		return rejected
	}
	if rejected := r.claimID(); rejected != nil {
		return rejected
	}
	if class.TotalTimeout > 0 { // the class limits how long its clients wait
		timeout = min(timeout, class.TotalTimeout)
	}
	r.class = class
	r.deadline = r.handler.limitDeadline(in.receivedAt + timeout)
	r.timeout = r.deadline - in.receivedAt
	r.outgoing = newOutgoing(in, r.deadline)
	return nil
}

// validate returns the rejection of a malformed request, or nil. ClassFound reports whether the settings contain the class of
// the request.
func (in *received) validate(class balancer.Class, classFound bool) *Rejection {
	switch {
	case in.id == "" || len(in.id) > maxIDBytes:
		return &Rejection{fasthttp.StatusBadRequest, "bad_request_id"}
	case !classFound:
		return &Rejection{fasthttp.StatusBadRequest, "unknown_class"}
	case firstSegment(in.uri) != in.class:
		return &Rejection{fasthttp.StatusBadRequest, "class_and_path_differ"}
	case !pathStaysInClass(in.uri, in.class):
		return &Rejection{fasthttp.StatusBadRequest, "class_and_path_differ"}
	case in.method != methodOf(class):
		return &Rejection{fasthttp.StatusMethodNotAllowed, "wrong_method"}
	case class.Idempotency == balancer.IdempotentWithKey && in.idempotencyKey == "":
		return &Rejection{fasthttp.StatusBadRequest, "no_key"}
	case in.method == fasthttp.MethodGet && in.hasBody():
		return &Rejection{fasthttp.StatusBadRequest, "body_with_get"}
	}
	return nil
}

// methodOf returns the HTTP method that requests of a class must have.
func methodOf(c balancer.Class) string {
	if c.Idempotency == balancer.Idempotent {
		return fasthttp.MethodGet
	}
	return fasthttp.MethodPost
}
