package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/engine"
)

// CodeDraining is why a request is rejected that was read too late in a graceful shutdown.
const CodeDraining = "draining"

// BeginShutdown begins a graceful shutdown: no request waits for its response beyond the schedule's last response, and what is read
// after its last admission is rejected at once. Later calls change nothing.
func (h *Handler) BeginShutdown(schedule *drain.Schedule) {
	if h.schedule.CompareAndSwap(nil, schedule) {
		close(h.draining)
	}
}

// rejectLate rejects a request that was read after a shutdown's last forward; nil where it may go on. Nothing of it has run,
// and another node has time for it.
func (h *Handler) rejectLate() *Rejection {
	schedule := h.schedule.Load()
	if schedule == nil || !schedule.Reached(schedule.LastAdmission, time.Now()) {
		return nil
	}
	return &Rejection{fasthttp.StatusServiceUnavailable, CodeDraining}
}

// limitDeadline limits a request's deadline to what a shutdown allows: its watchdog must still fire before the shutdown's
// last response.
func (h *Handler) limitDeadline(deadline balancer.Millis) balancer.Millis {
	schedule := h.schedule.Load()
	if schedule == nil {
		return deadline
	}
	latest := h.options.Clock.At(schedule.At(schedule.LastResponse)) - h.watchdogDelay()
	return min(deadline, latest)
}

// watchdogDelay is how long after a request's deadline its watchdog fires, in milliseconds.
func (h *Handler) watchdogDelay() balancer.Millis { return h.options.DeadlineSlack + watchdogMargin }

// shorten limits a request that was in flight when a shutdown began. It reports whether the new deadline is earlier than the
// request's own.
func (r *request) shorten(watchdog *time.Timer) bool {
	deadline := r.handler.limitDeadline(r.deadline)
	if deadline >= r.deadline {
		return false
	}
	r.deadline = deadline
	watchdog.Reset(r.untilWatchdog())
	return true
}

// untilWatchdog is how long from now the request's watchdog fires.
func (r *request) untilWatchdog() time.Duration {
	return clock.Span(r.deadline + r.handler.watchdogDelay() - r.handler.options.Clock.Now())
}

// shortenedOutcome is the outcome of a request whose time a shutdown has cut short.
func shortenedOutcome() outcome {
	return outcome{status: fasthttp.StatusGatewayTimeout, kind: engine.TimedOut}
}
