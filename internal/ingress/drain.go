package ingress

import (
	"time"

	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// drainInterval is how often a shutdown checks its progress. The accept queue counts as empty when nothing has come for
	// so long.
	drainInterval = 10 * time.Millisecond

	// lateQuietTime replaces drainInterval as that time once every request that is read is rejected.
	lateQuietTime = 2 * time.Millisecond

	// firstRequestTime is how long a connection that came late may take to send its first request.
	firstRequestTime = 100 * time.Millisecond
)

// BeginShutdown begins a graceful shutdown: clients that come are still served, and connections are closed between requests. Later
// calls change nothing.
func (s *Server) BeginShutdown(l Listener, schedule *drain.Schedule) {
	if !s.schedule.CompareAndSwap(nil, schedule) {
		return
	}
	if !s.hasSuccessor.Load() { // a successor shares the listener
		// Silent connections are accepted from now on, and closed in order. Otherwise the kernel would hold them back and
		// reset them with the listener.
		if err := setDeferAccept(l, false); err != nil {
			s.options.Log.Warn("cannot turn off deferred accept", "code", "defer_accept", "error", err)
		}
	}
	_ = l.SetDeadline(time.Now()) // wakes Serve; a broken listener shows there
}

func (s *Server) draining() bool { return s.schedule.Load() != nil }

// quietTime is how long nothing must have come for the accept queue to count as empty.
func (s *Server) quietTime() time.Duration {
	schedule := s.schedule.Load()
	if schedule != nil && schedule.Reached(schedule.LastAdmission, time.Now()) {
		return lateQuietTime
	}
	return drainInterval
}

// stopsAccepting reports whether the listener is to be closed. QueueEmpty is what the last accept found. It also closes the
// connections that a shutdown can close by now.
func (s *Server) stopsAccepting(l Listener, queueEmpty bool) bool {
	schedule := s.schedule.Load()
	if schedule == nil {
		return false
	}
	if s.hasSuccessor.Load() {
		return true // the successor accepts from the same queue
	}
	now := time.Now()
	s.closeUnused(schedule, now)
	if schedule.Reached(schedule.LastResponse, now) {
		// What is queued now is still rejected in time, unless new connections never end.
		return !hasQueued(l) || schedule.Reached(schedule.LastResponse+drain.MaxPause, now)
	}
	mayClose := queueEmpty && schedule.Reached(schedule.CloseListener, now)
	return mayClose && !s.hasHalfOpen(l, now) && !hasQueued(l)
}

// allClosed closes the connections that can be closed by now, and reports whether none is left.
func (s *Server) allClosed() bool {
	s.closeUnused(s.schedule.Load(), time.Now())
	return s.connCount() == 0
}

// closeUnused closes idle connections, and those whose request is not complete in time.
func (s *Server) closeUnused(schedule *drain.Schedule, now time.Time) {
	if !schedule.Reached(schedule.CloseIdle, now) {
		return
	}
	firstTime := firstRequestTime
	if schedule.Reached(schedule.LastResponse, now) {
		firstTime = 0
	}
	rejectIncomplete := schedule.Reached(schedule.RejectIncomplete, now)
	for _, c := range s.allConns() {
		if _, ok := c.idleFor(firstTime); ok {
			c.closeWhenIdle(closeDrained)
		}
		if rejectIncomplete {
			c.closeIncomplete(closeDrained)
		}
	}
}

// hasQueued reports whether a connection waits in the accept queue. A timeout of accept does not show
// that: after a pause of the process it returns one without looking at the queue.
func hasQueued(l Listener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	_ = raw.Control(func(fd uintptr) { queued = socket.Readable(fd) }) // it fails on a closed one, which has no queue
	return queued
}
