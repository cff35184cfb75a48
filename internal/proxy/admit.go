package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
)

// Rejection is why a request is not processed.
type Rejection struct {
	Status int    // of the response
	Code   string // its key among the counted rejections
}

func (r *Rejection) outcome() outcome { return outcome{status: r.Status, rejectCode: r.Code} }

// admit checks a request against the protocol and the settings, and prepares it to be forwarded. A request that is not
// admitted is answered without an attempt.
func (r *request) admit() *Rejection {
	in := &r.received
	class, known := r.handler.classes[in.class]
	if rejected := in.validate(class, known); rejected != nil {
		return rejected
	}
	timeout, ok := parseTimeout(in.timeout)
	if !ok {
		return &Rejection{fasthttp.StatusBadRequest, "bad_deadline"}
	}
	if r.handler.options.Clock.Now() >= in.at+timeout { // nothing was sent, so nothing is to be waited for
		return &Rejection{fasthttp.StatusGatewayTimeout, "deadline_past"}
	}
	if rejected := r.handler.rejectLate(); rejected != nil {
		return rejected
	}
	if !r.claimID() {
		return &Rejection{fasthttp.StatusConflict, "id_in_use"}
	}
	if class.TotalTimeout > 0 { // no client of the class waits longer
		timeout = min(timeout, class.TotalTimeout)
	}
	r.class = class
	r.deadline = r.handler.limitDeadline(in.at + timeout)
	r.timeout = r.deadline - in.at
	r.outgoing = newOutgoing(in, r.deadline)
	return nil
}

// validate checks a request's form. Known reports whether the settings have the class that the request names.
func (in *received) validate(class balancer.Class, known bool) *Rejection {
	switch {
	case in.id == "" || len(in.id) > maxIDBytes:
		return &Rejection{fasthttp.StatusBadRequest, "bad_request_id"}
	case !known:
		return &Rejection{fasthttp.StatusBadRequest, "unknown_class"}
	case firstSegment(in.uri) != in.class:
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

// methodOf is the HTTP method of a class's requests.
func methodOf(c balancer.Class) string {
	if c.Idempotency == balancer.Idempotent {
		return fasthttp.MethodGet
	}
	return fasthttp.MethodPost
}
