package proxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/engine"
)

const (
	// watchdogMargin, in milliseconds, is how long after the last moment that counts by the settings the watchdog ends a
	// request that the balancer has not answered. Clients wait 50 ms beyond that moment; half of it is left for the
	// response's way to them.
	watchdogMargin = 25

	// statusClientLeft is the status for a client that has disconnected, or has closed its sending half only.
	statusClientLeft = 499
)

// outcome is what became of a request.
type outcome struct {
	status             int
	kind               engine.ResponseKind
	body               []byte
	retryAfter         float64         // milliseconds; 0: none
	rejectCode         string          // why the request was not admitted; "": it was
	clientDisconnected bool            // the client disconnected before its response
	overdue            bool            // ended by the watchdog
	stream             *responseStream // a large response, which is still being written
}

// awaitResponse waits for the final response. It ends early when the client disconnects. Its watchdog ends it should the
// balancer never answer, so that the client has a response in time whatever goes wrong in the node.
func (r *request) awaitResponse(ctx *fasthttp.RequestCtx) outcome {
	left, stop := r.client.WatchDisconnect()
	defer stop()
	watchdog := time.NewTimer(r.untilWatchdog())
	defer watchdog.Stop()
	draining := r.handler.draining
	shortened := false
	for {
		select {
		case resp := <-r.response:
			if resp.Remaining != nil {
				return r.startStream(ctx, resp)
			}
			return outcomeOf(resp)
		case <-left:
			r.cancel()
			return r.clientDisconnected(ctx)
		case <-draining:
			draining = nil // a closed channel would be ready for good
			shortened = r.shorten(watchdog)
		case <-watchdog.C:
			r.cancel()
			if shortened {
				return shortenedOutcome()
			}
			return outcome{status: fasthttp.StatusGatewayTimeout, kind: engine.TimedOut, overdue: true}
		}
	}
}

// clientDisconnected closes the connection of a client that has disconnected.
func (r *request) clientDisconnected(ctx *fasthttp.RequestCtx) outcome {
	r.client.SetCloseReason(ReasonClientLeft)
	ctx.SetConnectionClose()
	return outcome{status: statusClientLeft, clientDisconnected: true}
}

// outcomeOf gives a response its status. A server's own refusals and errors are never passed on: only the balancer knows
// whether a retry is harmless.
func outcomeOf(resp engine.Response) outcome {
	return outcome{status: statusOf(resp.Kind), kind: resp.Kind, body: resp.Body, retryAfter: resp.RetryAfter}
}

func statusOf(kind engine.ResponseKind) int {
	switch kind {
	case engine.Served:
		return fasthttp.StatusOK
	case engine.Rejected:
		return fasthttp.StatusServiceUnavailable
	case engine.TimedOut:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusBadGateway
	}
}

// write writes the outcome into the HTTP response.
func (o outcome) write(ctx *fasthttp.RequestCtx) {
	ctx.SetStatusCode(o.status)
	ctx.Response.SetBodyRaw(o.body)
	if o.retryAfter > 0 {
		seconds := strconv.FormatFloat(o.retryAfter/1000, 'f', 3, 64)
		ctx.Response.Header.Set("Retry-After", seconds)
	}
}
