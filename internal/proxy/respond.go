package proxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/engine"
)

const (
	// watchdogMargin is the time, in milliseconds, from the end of DeadlineSlack until the watchdog ends a request that the
	// balancer has not answered. Clients wait for 50 ms after the end of DeadlineSlack, so half of that time remains for the
	// transmission of the response.
	watchdogMargin = 25

	// minStandstill is by how much the watchdog has to be late to show that the process was suspended or had no CPU time.
	minStandstill = 5 * time.Millisecond

	// afterStandstill is how long the balancer has after a standstill to handle its own timers, which are due as the watchdog is.
	afterStandstill = 10 * time.Millisecond

	// visibilityInterval is how often a request looks again whether its client is still connected.
	visibilityInterval = 2 * time.Millisecond

	// codeClientUnseen is the rejection code of a request whose client could not be seen until its deadline.
	codeClientUnseen = "client_unseen"

	// statusClientClosedRequest is the status for a client that has disconnected, or has closed only its sending side.
	statusClientClosedRequest = 499
)

// outcome is the result of a request.
type outcome struct {
	status             int
	kind               engine.ResponseKind
	body               []byte
	retryAfter         float64         // in milliseconds; 0: no Retry-After field
	rejectCode         string          // code of the rejection; "" if the request was admitted
	clientDisconnected bool            // the client disconnected before the response was ready
	overdue            bool            // ended by the watchdog
	stream             *responseStream // a large response that is still being written
}

// awaitResponse waits for the final response. It returns early if the client disconnects. If the balancer does not answer, the
// watchdog ends the wait, so that the client gets a response in time even if the node has a fault.
func (r *request) awaitResponse(ctx *fasthttp.RequestCtx) outcome {
	disconnected, stop := r.client.WatchDisconnect()
	defer stop()
	watchdog := time.NewTimer(r.timeUntilWatchdog())
	defer watchdog.Stop()
	draining := r.handler.draining
	deadlineShortened := false
	for {
		select {
		case resp := <-r.response:
			return r.responseOutcome(ctx, resp)
		case <-disconnected:
			r.cancel()
			return r.clientDisconnected(ctx)
		case <-draining:
			draining = nil // a closed channel is always ready
			deadlineShortened = r.shortenDeadline(watchdog)
		case <-watchdog.C:
			if resp, ok := r.responseAfterStandstill(); ok {
				return r.responseOutcome(ctx, resp)
			}
			r.cancel()
			if deadlineShortened {
				return shutdownTimeoutOutcome()
			}
			return outcome{status: fasthttp.StatusGatewayTimeout, kind: engine.TimedOut, overdue: true}
		}
	}
}

// responseAfterStandstill returns the balancer's response if the watchdog is late because the process stood still, and the balancer
// answers within afterStandstill. It knows whether a server can have run the request, which the watchdog does not.
func (r *request) responseAfterStandstill() (resp engine.Response, ok bool) {
	if r.timeUntilWatchdog() > -minStandstill {
		return engine.Response{}, false
	}
	timer := time.NewTimer(afterStandstill)
	defer timer.Stop()
	select {
	case resp = <-r.response:
		return resp, true
	case <-timer.C:
		return engine.Response{}, false
	}
}

// responseOutcome returns the outcome of a request that the balancer has answered.
func (r *request) responseOutcome(ctx *fasthttp.RequestCtx, resp engine.Response) outcome {
	if resp.Remaining != nil {
		return r.startStream(ctx, resp)
	}
	return outcomeOf(resp)
}

// awaitVisibleClient waits until it is seen that the client is still connected. It may have disconnected while the request was queued in the
// kernel or in the node, behind bytes that are not read yet. It returns the outcome of a request for which nothing may begin, or nil.
func (r *request) awaitVisibleClient(ctx *fasthttp.RequestCtx) *outcome {
	for r.client.MayHaveDisconnected() {
		if r.client.Disconnected() {
			o := r.clientDisconnected(ctx)
			return &o
		}
		if r.handler.options.Clock.Now() >= r.deadline {
			return &outcome{status: fasthttp.StatusServiceUnavailable, rejectCode: codeClientUnseen}
		}
		time.Sleep(visibilityInterval)
	}
	return nil
}

// clientDisconnected closes the connection of a client that has disconnected and returns the outcome.
func (r *request) clientDisconnected(ctx *fasthttp.RequestCtx) outcome {
	r.client.SetCloseReason(ReasonClientDisconnected)
	ctx.SetConnectionClose()
	return outcome{status: statusClientClosedRequest, clientDisconnected: true}
}

// outcomeOf converts a response to an outcome with its status. A server's own rejections and errors are never passed on,
// because only the balancer can decide whether a retry is safe.
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
