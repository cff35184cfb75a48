package ingress

import (
	"time"

	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// firstFor is how long a connection that came late may take to send its request.
	firstFor = 100 * time.Millisecond

	// drainStep is how often a stop looks again; the accept queue is empty when nothing came for so long.
	drainStep = 10 * time.Millisecond

	// lateQuiet is the same once everything that is read is refused.
	lateQuiet = 2 * time.Millisecond

	// heldBackEvery is how often the kernel is asked for connections that it holds back.
	heldBackEvery = 50 * time.Millisecond
)

// Drain begins a planned stop: whoever comes is still answered, and connections end between requests. A later call changes
// nothing.
func (s *Server) Drain(l Listener, stop *drain.Schedule) {
	if !s.stop.CompareAndSwap(nil, stop) {
		return
	}
	if !s.succeeded.Load() { // with a successor the listener is its too
		// From now on silent connections are seen, and closed in order. Without it the kernel would hold them back and reset
		// them with the listener.
		if err := setDeferAccept(l, false); err != nil {
			s.o.Log.Warn("silent connections stay with the kernel until the end", "code", "defer_accept", "error", err)
		}
	}
	_ = l.SetDeadline(time.Now()) // wakes Serve; a broken listener shows there
}

func (s *Server) draining() bool { return s.stop.Load() != nil }

// quietFor is how long nothing may have come for the queue to count as empty.
func (s *Server) quietFor() time.Duration {
	if stop := s.stop.Load(); stop != nil && stop.Reached(stop.LastForward, time.Now()) {
		return lateQuiet
	}
	return drainStep
}

// stopsAccepting ends what a planned stop can end by now, and reports whether the listener is to be closed.
func (s *Server) stopsAccepting(l Listener, quiet bool) bool {
	stop := s.stop.Load()
	if stop == nil {
		return false
	}
	if s.succeeded.Load() {
		return true // the queue is the other process's too
	}
	now := time.Now()
	s.closeUnused(stop, now)
	if stop.Reached(stop.LastResponse, now) {
		// What waits now is still refused in time, unless it never ends.
		return !queued(l) || stop.Reached(stop.LastResponse+drain.MaxPause, now)
	}
	return quiet && stop.Reached(stop.CloseListener, now) && !s.heldBack(l, now) && !queued(l)
}

// ended ends what can be ended by now, and reports whether no connection is left.
func (s *Server) ended() bool {
	s.closeUnused(s.stop.Load(), time.Now())
	return s.held() == 0
}

// closeUnused ends connections that stand between requests, and those whose request has not come whole in time.
func (s *Server) closeUnused(stop *drain.Schedule, now time.Time) {
	if !stop.Reached(stop.CloseIdle, now) {
		return
	}
	last := stop.Reached(stop.LastResponse, now)
	half := stop.Reached(stop.RejectIncomplete, now)
	for _, c := range s.all() {
		if d, ok := c.idleFor(); ok && (last || c.served() || d >= firstFor) {
			c.closeWhenIdle(endDrained)
		}
		if half {
			c.endIncomplete(endDrained)
		}
	}
}

// queued reports whether a connection waits in the listener's queue. That accept found its deadline past says nothing of it:
// a process that was held up meanwhile is told so before the queue is looked at.
func queued(l Listener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	_ = raw.Control(func(fd uintptr) { waits = socket.Readable(fd) }) // a closed one has no queue
	return waits
}

// heldBack reports whether the kernel still holds connections back from the listener. It is asked only now and then.
func (s *Server) heldBack(l Listener, now time.Time) bool {
	if now.Sub(s.askedHeld) < heldBackEvery {
		return s.anyHeld
	}
	s.askedHeld = now
	held, err := anyHeldBack(l.Addr())
	if err != nil { // where it may not be asked, such connections are reset with the listener
		s.o.Count.Clients.HeldUnknown.Inc()
	}
	s.anyHeld = held
	return s.anyHeld
}

// handDrain is a drain by hand, which may end: clients are sent elsewhere and the process runs on.
type handDrain struct{ over chan struct{} }

const (
	// handFor is how long after the call idle connections are let be: for so long new connections still come here,
	// since the front asks ten times a second and goes by a no 0.2 s later. What is closed sooner only comes back.
	handFor = 450 * time.Millisecond

	// handStep and handBatch spread the closing, so that the other nodes do not get all clients at one moment. At the
	// most connections in use, 512, it takes 1.1 s, well inside the 4 s after which none may be held.
	handStep  = 25 * time.Millisecond
	handBatch = 12
)

// Drained tells whether staff have sent the clients elsewhere.
func (s *Server) AdminDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byHand != nil
}

// DrainByHand has health say no, answers end their connections, and idle connections close step by step. Whoever comes
// all the same is served.
func (s *Server) BeginAdminDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byHand != nil {
		return
	}
	s.byHand = &handDrain{over: make(chan struct{})}
	s.o.Log.Info("drained by hand", "code", "hand_drain", "on", true)
	go s.clearOut(s.byHand)
}

// EndDrainByHand welcomes clients again.
func (s *Server) EndAdminDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byHand == nil {
		return
	}
	close(s.byHand.over)
	s.byHand = nil
	s.o.Log.Info("drained by hand", "code", "hand_drain", "on", false)
}

// clearOut closes idle connections until the drain is over or the node ends, which closes them itself.
func (s *Server) clearOut(d *handDrain) {
	first := time.NewTimer(handFor)
	defer first.Stop()
	select {
	case <-first.C:
	case <-d.over:
		return
	}
	step := time.NewTicker(handStep)
	defer step.Stop()
	for !s.draining() {
		left := handBatch
		for _, c := range s.all() {
			if idle, ok := c.idleFor(); ok && left > 0 && (c.served() || idle >= firstFor) && c.closeWhenIdle(endDrained) {
				left--
			}
		}
		select {
		case <-step.C:
		case <-d.over:
			return
		}
	}
}

// served tells whether the connection has had a request.
func (c *conn) served() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests > 0
}
