package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
)

// uploader is a Client whose request may have a large body that is still being uploaded.
type uploader interface {
	// LargeBody returns the file that stores the body; nil if the request has no large body.
	LargeBody() *body.File
	// ReadBody reads the rest of the body. It calls beforeLastByte before the last byte can be forwarded. It returns a
	// Rejection if the body could not be read, else nil.
	ReadBody(ctx *fasthttp.RequestCtx, beforeLastByte func()) *Rejection
}

// largeBodyOf returns the large body of a client's request; nil if it has none.
func largeBodyOf(client Client) *body.File {
	c, ok := client.(uploader)
	if !ok {
		return nil
	}
	return c.LargeBody()
}

// maxUploadTime returns how long the rest of the upload may take, in milliseconds; 0 if the body is complete. The client's
// connection ends an upload that is too slow for its size. The limit is so long that the request does not expire earlier.
func (r *request) maxUploadTime() balancer.Millis {
	if !r.received.uploading {
		return 0
	}
	return clock.Millis(body.MaxTransferTime)
}

// upload reads the rest of a large body while the request is already routed. It returns the request's outcome if the request
// ended during the upload, else nil.
func (r *request) upload(ctx *fasthttp.RequestCtx) *outcome {
	if !r.received.uploading {
		return nil
	}
	respondedEarly := false // answered before any server could have the last byte, so no server has run the request
	beforeLastByte := func() { respondedEarly = len(r.response) > 0 }
	if rejected := r.client.(uploader).ReadBody(ctx, beforeLastByte); rejected != nil {
		r.cancel() // no server has the last byte, so none has run the request
		r.client.SetCloseReason(ReasonBadRequest)
		ctx.SetConnectionClose()
		o := rejected.outcome()
		return &o
	}
	// The timeout runs from the request's last byte.
	r.deadline = r.handler.limitDeadline(r.handler.options.Clock.At(r.client.LastRead()) + r.timeout)
	if !respondedEarly {
		r.ticket.BodyReceived(r.deadline)
		return nil
	}
	return r.routeAgain(ctx)
}

// routeAgain routes a request again if its response arrived before its body was complete. Such a response means that there was
// no capacity at that time, or that the server failed. It is discarded, since no server has run the request. A response that
// arrives after the last byte is final, since the request may have run.
func (r *request) routeAgain(ctx *fasthttp.RequestCtx) *outcome {
	discard(<-r.response)
	if o := r.awaitVisibleClient(ctx); o != nil {
		return o
	}
	r.received.uploading = false
	r.outgoing.submittedDeadline = r.deadline
	r.route()
	return nil
}
