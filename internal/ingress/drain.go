package ingress

import (
	"time"

	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// drainInterval is how often a graceful shutdown checks its progress. It is also the time without a new connection
	// after which the accept queue counts as empty.
	drainInterval = 10 * time.Millisecond

	// lateEmptyQueueTimeout replaces drainInterval in the check for an empty accept queue after Schedule.LastAdmission, when
	// every request that is read is rejected.
	lateEmptyQueueTimeout = 2 * time.Millisecond

	// firstRequestTimeout is how long a client may take to send the first request on a connection accepted during a drain.
	firstRequestTimeout = 100 * time.Millisecond
)

// BeginShutdown begins a graceful shutdown: new connections are still accepted and served, and connections are closed between
// requests. Further calls have no effect.
func (s *Server) BeginShutdown(l Listener, schedule *drain.Schedule) {
	if !s.schedule.CompareAndSwap(nil, schedule) {
		return
	}
	if !s.hasSuccessor.Load() { // a successor shares the listener and accepts the deferred connections itself
		// From now on connections without data are accepted too, and closed without a reset. Otherwise the kernel would keep
		// deferring them and reset them when the listener closes.
		if err := setDeferAccept(l, false); err != nil {
			s.options.Log.Warn("cannot turn off deferred accept", "code", "defer_accept", "error", err)
		}
	}
	_ = l.SetDeadline(time.Now()) // wakes Serve; the error is ignored because Serve itself detects a broken listener
}

func (s *Server) draining() bool { return s.schedule.Load() != nil }

// servesPipelines reports whether a connection stays open for requests that its client may have written behind one another: until the last
// admission of a graceful shutdown, or for adminDrainPipelineTime of an administrative drain.
func (s *Server) servesPipelines() bool {
	if schedule := s.schedule.Load(); schedule != nil {
		return !schedule.Reached(schedule.LastAdmission, time.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.adminDrain == nil || time.Since(s.adminDrain.began) < adminDrainPipelineTime
}

// emptyQueueTimeout returns the time without a new connection after which the accept queue counts as empty.
func (s *Server) emptyQueueTimeout() time.Duration {
	schedule := s.schedule.Load()
	if schedule != nil && schedule.Reached(schedule.LastAdmission, time.Now()) {
		return lateEmptyQueueTimeout
	}
	return drainInterval
}

// stopsAccepting reports whether the listener must be closed now. QueueEmpty reports whether the last accept timed out. During a
// shutdown, stopsAccepting also closes the connections that can be closed already.
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
		// Queued connections can still be rejected in time, but MaxPause later the listener closes even if new connections keep
		// arriving.
		return !hasQueued(l) || schedule.Reached(schedule.LastResponse+drain.MaxPause, now)
	}
	mayClose := queueEmpty && schedule.Reached(schedule.CloseListener, now)
	return mayClose && !s.hasHalfOpen(l, now) && !hasQueued(l)
}

// allClosed closes the connections that can be closed already, and reports whether no connection remains.
func (s *Server) allClosed() bool {
	s.closeUnused(s.schedule.Load(), time.Now())
	return s.connCount() == 0
}

// closeUnused closes idle connections after Schedule.CloseIdle, and connections with an incomplete request after
// Schedule.RejectIncomplete.
func (s *Server) closeUnused(schedule *drain.Schedule, now time.Time) {
	if !schedule.Reached(schedule.CloseIdle, now) {
		return
	}
	firstRequestLimit := firstRequestTimeout
	if schedule.Reached(schedule.LastResponse, now) {
		firstRequestLimit = 0
	}
	rejectIncomplete := schedule.Reached(schedule.RejectIncomplete, now)
	for _, c := range s.allConns() {
		if _, ok := c.idleFor(firstRequestLimit); ok {
			c.closeWhenIdle(closeDrained)
		}
		if rejectIncomplete {
			c.closeIncomplete(closeDrained)
		}
	}
}

// hasQueued reports whether a connection is waiting in the accept queue. A timeout of accept does not show that the queue is
// empty: after a pause of the process, accept returns a timeout without checking the queue.
func hasQueued(l Listener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	_ = raw.Control(func(fd uintptr) { queued = socket.Readable(fd) }) // fails on a closed listener, which has no queue
	return queued
}
