package proxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/engine"
)

const (
	// guardExtra is how long after the last moment that counts by the settings the guard ends a request that
	// the module has not answered. Sockets get 50 ms beyond it; half is left for the answer's own way.
	guardExtra = 25

	// statusLeft is told to a client that may have closed only its sending half; it promises nothing.
	statusLeft = 499
)

// ending is what became of a request.
type ending struct {
	status     int
	kind       engine.ResponseKind
	body       []byte
	retryAfter float64
	rejected   string // why it was not admitted
	left       bool
	overdue    bool
	passing    *passing // a large answer, which is still coming
}

// relay waits for the final answer. It ends early when the client leaves, and by a guard should the module
// never answer: the client is owed an answer in time whatever happens here.
func (r *request) relay(ctx *fasthttp.RequestCtx, client Client) ending {
	left, stop := client.WatchDisconnect()
	defer stop()
	guard := time.NewTimer(r.guardIn())
	defer guard.Stop()
	stopping, cut := r.desk.stopping, false
	for {
		select {
		case a := <-r.answer:
			if a.Remaining != nil {
				return r.pass(ctx, client, a)
			}
			return endingOf(a)
		case <-left:
			r.drop()
			return leaves(ctx, client)
		case <-stopping:
			stopping, cut = nil, r.shorten(guard)
		case <-guard.C:
			r.drop()
			if cut {
				return cutByStop()
			}
			return ending{status: fasthttp.StatusGatewayTimeout, kind: engine.TimedOut, overdue: true}
		}
	}
}

// gone tells how a request ended whose client had left before it was decided on, else nil. Nothing of it is sent on.
func (r *request) gone(ctx *fasthttp.RequestCtx, client Client) *ending {
	if !client.Disconnected() {
		return nil
	}
	e := leaves(ctx, client)
	return &e
}

// leaves ends the connection of a client that has left.
func leaves(ctx *fasthttp.RequestCtx, client Client) ending {
	client.SetCloseReason(ReasonClientLeft)
	ctx.SetConnectionClose()
	return ending{status: statusLeft, left: true}
}

// endingOf gives an answer its status. What a server said of refusals or errors is never passed on: only the
// module knows whether trying again is harmless.
func endingOf(a engine.Response) ending {
	e := ending{kind: a.Kind, body: a.Body, retryAfter: a.RetryAfter}
	switch a.Kind {
	case engine.Served:
		e.status = fasthttp.StatusOK
	case engine.Rejected:
		e.status = fasthttp.StatusServiceUnavailable
	case engine.TimedOut:
		e.status = fasthttp.StatusGatewayTimeout
	default:
		e.status = fasthttp.StatusBadGateway
	}
	return e
}

// write puts the answer into the response.
func (e ending) write(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(e.status)
	ctx.Response.SetBodyRaw(e.body)
	if e.retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(e.retryAfter/1000, 'f', 3, 64))
	}
}
