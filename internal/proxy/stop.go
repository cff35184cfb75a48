package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/engine"
)

// codeDraining is why a request is refused that was read too late in a planned stop.
const codeDraining = "draining"

// Stop begins a planned stop: no request is waited for beyond its last answer, and what is read after its last forward is
// refused at once. A later call changes nothing.
func (d *Handler) Drain(stop *drain.Schedule) {
	if d.stop.CompareAndSwap(nil, stop) {
		close(d.stopping)
	}
}

// tooLate refuses a request that was read after the planned stop's last forward; nil where it may go on. Nothing of it has
// run, and another node has time for it.
func (d *Handler) tooLate() *rejection {
	stop := d.stop.Load()
	if stop == nil || !stop.Reached(stop.LastForward, time.Now()) {
		return nil
	}
	return &rejection{fasthttp.StatusServiceUnavailable, codeDraining}
}

// within gives the end of a request's time, no later than a planned stop allows: the guard must still come before the stop's
// last answer.
func (d *Handler) within(until balancer.Millis) balancer.Millis {
	stop := d.stop.Load()
	if stop == nil {
		return until
	}
	latest := d.o.Clock.At(stop.At(stop.LastResponse)) - d.guardAfter()
	return min(until, latest)
}

// guardAfter is how long after the end of a request's time the guard ends it, in milliseconds.
func (d *Handler) guardAfter() balancer.Millis { return d.o.DeadlineSlack + guardExtra }

// shorten has a request that was in flight when a planned stop began end with it. It reports whether that is sooner than its
// own deadline.
func (r *request) shorten(guard *time.Timer) bool {
	until := r.desk.within(r.until)
	if until >= r.until {
		return false
	}
	r.until = until
	guard.Reset(r.guardIn())
	return true
}

// guardIn is how long from now the guard ends the request.
func (r *request) guardIn() time.Duration {
	return clock.Span(r.until + r.desk.guardAfter() - r.desk.o.Clock.Now())
}

// cutByStop is the ending of a request whose time a planned stop has cut short.
func cutByStop() ending {
	return ending{status: fasthttp.StatusGatewayTimeout, kind: engine.TimedOut}
}
