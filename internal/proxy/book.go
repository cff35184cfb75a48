package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/engine"
)

// book writes the answer and counts the ending; a large answer counts once it has been passed on.
func (r *request) book(ctx *fasthttp.RequestCtx, e ending) {
	if e.passing != nil { // counts its own ending
		return
	}
	e.write(ctx)
	r.count(e)
}

// count counts the request's one ending.
func (r *request) count(e ending) {
	c := &r.desk.o.Count.Requests
	c.Open.Add(-1)
	r.bookClass(e)
	switch {
	case e.rejected != "":
		c.Rejected.Inc()
		r.desk.o.Count.Rejections.Inc(e.rejected)
	case e.left:
		c.Left.Inc()
	case e.status == fasthttp.StatusOK:
		c.Served.Inc()
	case e.kind == engine.Rejected:
		c.Refused.Inc()
	default:
		c.Failed.Inc()
	}
	if e.overdue {
		c.Overdue.Inc()
		r.desk.o.Log.Error("request ended by the guard", "code", "overdue", "class", r.taken.class,
			"request", r.taken.id)
	}
}

// bookClass counts the ending under the request's class. One that was not admitted counts where its client was told that
// its time is over, which is a request's own ending; what is not in the protocol's form is no request of a class.
func (r *request) bookClass(e ending) {
	c := r.desk.o.Count.Operations.For(r.taken.class)
	switch {
	case e.rejected != "" && e.status < fasthttp.StatusInternalServerError:
	case e.status == fasthttp.StatusOK:
		c.Fulfilled.Inc()
	case e.status == fasthttp.StatusServiceUnavailable || e.status == fasthttp.StatusTooManyRequests:
		c.Throttled.Inc()
	default:
		c.Faulted.Inc()
	}
}
