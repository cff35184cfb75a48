package exchange

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
	"tackhub.example/tackhub/logic"
)

// EndEarly ends a connection whose request had its answer before it was whole: what is left of it goes unread.
const EndEarly = "answered_early"

// uploader is a client whose request may have a large body that is still coming.
type uploader interface {
	// LargeBody is kept in a file; nil where the request has none such.
	LargeBody() *body.File
	// ReadBody reads what is still to come, unless stop says that nobody needs it any more. It tells why the body cannot
	// be taken, and with which status, or "".
	ReadBody(ctx *fasthttp.RequestCtx, stop func() bool) (status int, code string)
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
func (k *kept) body() engine.Body {
	if k == nil {
		return nil
	}
	return k.File
}

// uploadMost is how long a body that is still coming may take. The client's side ends one that is too slow for its size;
// this only keeps the request's end from passing before.
func (r *request) uploadMost() logic.Millis {
	if !r.taken.coming {
		return 0
	}
	return clock.Millis(body.Longest)
}

// upload reads what is still to come of a large body while the request is on its way. It tells how the request ended if that
// was before its body did, else nil.
func (r *request) upload(ctx *fasthttp.RequestCtx, client Client) *ending {
	if !r.taken.coming {
		return nil
	}
	status, code := client.(uploader).ReadBody(ctx, func() bool { return len(r.answer) > 0 })
	if code != "" {
		r.drop() // no attempt has its last byte: nothing has run
		client.Ends(EndBad)
		ctx.SetConnectionClose()
		return &ending{status: status, rejected: code}
	}
	if !large(client).Whole() {
		client.Ends(EndEarly)
		ctx.SetConnectionClose()
		a := <-r.answer
		if a.Rest != nil { // no server can have begun it: not an answer to it
			a.Rest.Close()
			a = engine.Answer{Kind: engine.Failed}
		}
		e := endingOf(a)
		return &e
	}
	// Its time counts from its last byte.
	r.until = r.desk.o.Clock.At(client.LastRead()) + r.wait
	r.ticket.Uploaded(r.until)
	return nil
}
