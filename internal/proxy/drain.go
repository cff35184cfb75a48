package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/engine"
)

// CodeDraining is the rejection code of a request that was read after the last admission of a graceful shutdown.
const CodeDraining = "draining"

// BeginShutdown begins a graceful shutdown: no request waits for its response beyond the schedule's LastResponse, and requests
// that are read after its LastAdmission are rejected at once. Later calls have no effect.
func (h *Handler) BeginShutdown(schedule *drain.Schedule) {
	if h.schedule.CompareAndSwap(nil, schedule) {
		close(h.draining)
	}
}

// rejectIfDraining returns the rejection of a request that was read after the last admission of a shutdown, or nil if the
// request may be admitted. No server has run a rejected request, and the client still has time to retry it at another node.
func (h *Handler) rejectIfDraining() *Rejection {
	schedule := h.schedule.Load()
	if schedule == nil || !schedule.Reached(schedule.LastAdmission, time.Now()) {
		return nil
	}
	return &Rejection{fasthttp.StatusServiceUnavailable, CodeDraining}
}

// limitDeadline shortens a request's deadline during a shutdown, so that its watchdog fires no later than the shutdown's
// LastResponse.
func (h *Handler) limitDeadline(deadline balancer.Millis) balancer.Millis {
	schedule := h.schedule.Load()
	if schedule == nil {
		return deadline
	}
	latest := h.options.Clock.At(schedule.At(schedule.LastResponse)) - h.watchdogDelay()
	return min(deadline, latest)
}

// watchdogDelay returns how long after a request's deadline its watchdog fires, in milliseconds.
func (h *Handler) watchdogDelay() balancer.Millis { return h.options.DeadlineSlack + watchdogMargin }

// shortenDeadline applies the limit of a shutdown to a request that was in flight when the shutdown began. If the
// new deadline is earlier than the previous one, it resets the watchdog and returns true.
func (r *request) shortenDeadline(watchdog *time.Timer) bool {
	deadline := r.handler.limitDeadline(r.deadline)
	if deadline >= r.deadline {
		return false
	}
	r.deadline = deadline
	watchdog.Reset(r.timeUntilWatchdog())
	return true
}

// timeUntilWatchdog returns the time from now until the request's watchdog fires.
func (r *request) timeUntilWatchdog() time.Duration {
	return clock.Duration(r.deadline + r.handler.watchdogDelay() - r.handler.options.Clock.Now())
}

// shutdownTimeoutOutcome returns the outcome of a request whose deadline was shortened by a shutdown and has passed.
func shutdownTimeoutOutcome() outcome {
	return outcome{status: fasthttp.StatusGatewayTimeout, kind: engine.TimedOut}
}
