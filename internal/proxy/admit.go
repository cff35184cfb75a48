package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
)

// rejection is why a request is not admitted.
type rejection struct {
	status int
	code   string // its key among the counted rejections
}

func (r *rejection) outcome() outcome { return outcome{status: r.status, rejectCode: r.code} }

// admit checks a request against the protocol and the settings, and prepares it to be forwarded. A request that is not
// admitted is answered without an attempt.
func (r *request) admit() *rejection {
	in := &r.received
	class, known := r.handler.classes[in.class]
	if rejected := in.validate(class, known); rejected != nil {
		return rejected
	}
	timeout, ok := parseDeadline(in.deadline)
	if !ok {
		return &rejection{fasthttp.StatusBadRequest, "bad_deadline"}
	}
	if r.handler.options.Clock.Now() >= in.at+timeout { // nothing was sent, so the client hears at once
		return &rejection{fasthttp.StatusGatewayTimeout, "deadline_past"}
	}
	if rejected := r.handler.rejectLate(); rejected != nil {
		return rejected
	}
	if !r.claimID() {
		return &rejection{fasthttp.StatusConflict, "id_in_use"}
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

// validate checks a request's form. Known says whether the settings have the class that the request names.
func (in *received) validate(class balancer.Class, known bool) *rejection {
	switch {
	case in.id == "" || len(in.id) > maxIDBytes:
		return &rejection{fasthttp.StatusBadRequest, "bad_request_id"}
	case !known:
		return &rejection{fasthttp.StatusBadRequest, "unknown_class"}
	case firstSegment(in.uri) != in.class:
		return &rejection{fasthttp.StatusBadRequest, "class_and_path_differ"}
	case in.method != methodOf(class):
		return &rejection{fasthttp.StatusMethodNotAllowed, "wrong_method"}
	case class.Idempotency == balancer.IdempotentWithKey && in.idempotencyKey == "":
		return &rejection{fasthttp.StatusBadRequest, "no_key"}
	case in.method == fasthttp.MethodGet && in.hasBody():
		return &rejection{fasthttp.StatusBadRequest, "body_with_get"}
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
