package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
)

// uploader is a Client whose request may have a large body that is still coming.
type uploader interface {
	// LargeBody is the body's file; nil where the request has no large body.
	LargeBody() *body.File
	// ReadBody reads the rest of the body. It calls ended before the last byte can be forwarded, and returns why the body
	// could not be read; nil: it was.
	ReadBody(ctx *fasthttp.RequestCtx, ended func()) *Rejection
}

// largeBodyOf is the large body of a client's request; nil where it has none.
func largeBodyOf(client Client) *body.File {
	c, ok := client.(uploader)
	if !ok {
		return nil
	}
	return c.LargeBody()
}

// maxUploadTime is how long a body that is still uploaded may take; 0 where there is none. The client's connection ends an
// upload that is too slow for its size: this bound only keeps the request from expiring before that.
func (r *request) maxUploadTime() balancer.Millis {
	if !r.received.uploading {
		return 0
	}
	return clock.Millis(body.MaxTransferTime)
}

// upload reads the rest of a large body while the request is already routed. It returns the request's outcome where the
// body did not become complete, else nil.
func (r *request) upload(ctx *fasthttp.RequestCtx) *outcome {
	if !r.received.uploading {
		return nil
	}
	respondedEarly := false // answered before any server could have the last byte, so nothing has run
	ended := func() { respondedEarly = len(r.response) > 0 }
	if rejected := r.client.(uploader).ReadBody(ctx, ended); rejected != nil {
		r.cancel() // no attempt has the last byte: nothing has run
		r.client.SetCloseReason(ReasonBadRequest)
		ctx.SetConnectionClose()
		o := rejected.outcome()
		return &o
	}
	// The request's time counts from its last byte.
	r.deadline = r.handler.limitDeadline(r.handler.options.Clock.At(r.client.LastRead()) + r.timeout)
	if !respondedEarly {
		r.ticket.BodyReceived(r.deadline)
		return nil
	}
	return r.routeAgain(ctx)
}

// routeAgain routes a request anew whose response came before its body was complete: there was no capacity for it then, or
// its server failed. Such a response is void, since nothing has run. One that comes after the last byte stands, since the
// request may have run.
func (r *request) routeAgain(ctx *fasthttp.RequestCtx) *outcome {
	discard(<-r.response)
	if r.client.Disconnected() {
		o := r.clientDisconnected(ctx)
		return &o
	}
	r.received.uploading = false
	r.outgoing.submittedDeadline = r.deadline
	r.route()
	return nil
}
