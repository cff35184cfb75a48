package proxy

import (
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/engine"
)

// finish writes the response and counts the outcome. A stream writes its own response and is counted when it is closed.
func (r *request) finish(ctx *fasthttp.RequestCtx, o outcome) {
	if o.stream != nil {
		return
	}
	o.write(ctx)
	r.count(o)
}

// count counts the outcome of the request. It is called once for each request.
func (r *request) count(o outcome) {
	c := &r.handler.options.Counters.Requests
	c.Open.Add(-1)
	r.countByClass(o)
	switch {
	case o.rejectCode != "":
		c.Rejected.Inc()
		r.handler.options.Counters.Rejections.Inc(o.rejectCode)
	case o.clientDisconnected:
		c.ClientDisconnected.Inc()
	case o.status == fasthttp.StatusOK:
		c.Served.Inc()
	case o.kind == engine.Rejected:
		c.Refused.Inc()
	default:
		c.Failed.Inc()
	}
	if o.overdue {
		c.Overdue.Inc()
		r.handler.options.Log.Error("request ended by the watchdog", "code", "overdue", "class", r.received.class,
			"request", r.received.id)
	}
}

// countByClass counts the outcome under the request's class. Rejections with a status below 500 are not counted, because a
// malformed request belongs to no class.
func (r *request) countByClass(o outcome) {
	c := r.handler.options.Counters.Operations.For(r.received.class)
	malformed := o.rejectCode != "" && o.status < fasthttp.StatusInternalServerError
	switch {
	case malformed:
	case o.status == fasthttp.StatusOK:
		c.Fulfilled.Inc()
	case o.status == fasthttp.StatusServiceUnavailable || o.status == fasthttp.StatusTooManyRequests:
		c.Throttled.Inc()
	default:
		c.Faulted.Inc()
	}
}
