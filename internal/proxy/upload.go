package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// uploader is a client whose request may have a large body that is still coming.
type uploader interface {
	// LargeBody is kept in a file; nil where the request has none such.
	LargeBody() *body.File
	// ReadBody reads what is still to come, and calls ended before its last byte can go on to a server. It tells why the
	// body cannot be taken, and with which status, or "".
	ReadBody(ctx *fasthttp.RequestCtx, ended func()) (status int, code string)
}

// kept is a large body in its file, or nothing.
type kept struct{ *body.File }

func large(client Client) *kept {
	if c, ok := client.(uploader); ok {
		if f := c.LargeBody(); f != nil {
			return &kept{f}
		}
	}
	return nil
}

// body is the file as the engine knows it; nil for none.
func (k *kept) body() engine.RequestBody {
	if k == nil {
		return nil
	}
	return k.File
}

// uploadMost is how long a body that is still coming may take. The client's side ends one that is too slow for its size;
// this only keeps the request's end from passing before.
func (r *request) uploadMost() balancer.Millis {
	if !r.taken.coming {
		return 0
	}
	return clock.Millis(body.MaxTransferTime)
}

// upload reads what is still to come of a large body while the request is on its way. It tells how the request ended if its
// body did not come whole, else nil.
func (r *request) upload(ctx *fasthttp.RequestCtx, client Client) *ending {
	if !r.taken.coming {
		return nil
	}
	early := false // answered while no server can have had its last byte, so nothing has run
	status, code := client.(uploader).ReadBody(ctx, func() { early = len(r.answer) > 0 })
	if code != "" {
		r.drop() // no attempt has its last byte: nothing has run
		client.SetCloseReason(ReasonBadRequest)
		ctx.SetConnectionClose()
		return &ending{status: status, rejected: code}
	}
	// Its time counts from its last byte.
	r.until = r.desk.within(r.desk.o.Clock.At(client.LastRead()) + r.wait)
	if !early {
		r.ticket.BodyReceived(r.until)
		return nil
	}
	// There was no place for it ahead of its end, or its server broke off. Only now it is a request: it is decided on as
	// one. An answer that came later than that may be to what has run, and stands.
	if a := <-r.answer; a.Remaining != nil {
		a.Remaining.Close()
	}
	if e := r.gone(ctx, client); e != nil {
		return e
	}
	r.taken.coming, r.wire.expires = false, r.until
	r.route()
	return nil
}
