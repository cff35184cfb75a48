package ingress

import "time"

const (
	// newFor is how long new connections go on coming after a planned stop was announced: 0.4 s by the
	// protocol, and a little for their first request. Until then idle connections stay open too: a client that
	// lost its own would only come back here.
	newFor = 450 * time.Millisecond

	// firstFor is how long a connection that came late may take to send its request.
	firstFor = 100 * time.Millisecond

	// leastFor is the shortest drain: closing the listener resets what its backlog holds.
	leastFor = 550 * time.Millisecond

	// halfFor is when requests that are not whole are given up: what is whole by then still has its longest deadline, and an
	// answer's slack, before the drain ends. One whose last byte came later would end without an answer.
	halfFor = leastFor

	// drainStep is how often a drain looks again; the accept queue is empty when nothing came for so long.
	drainStep = 10 * time.Millisecond

	// drainSlack is what a drain may take beyond the longest deadline of what it took in last.
	drainSlack = 650 * time.Millisecond
)

// Drain begins the end: whoever comes is still served, and connections end between requests.
func (s *Server) Drain(l interface{ SetDeadline(time.Time) error }) {
	if s.ending.Load() {
		return
	}
	s.began = time.Now()
	s.ending.Store(true)
	_ = l.SetDeadline(time.Now()) // wakes Serve; a broken listener shows there
}

// End ends at once what a drain would wait for.
func (s *Server) End(l interface{ Close() error }) {
	s.cut.Store(true)
	_ = l.Close() // Serve returns; it may have closed it already
}

func (s *Server) draining() bool { return s.ending.Load() }

// drained ends idle connections once nobody new comes, and tells whether all is answered.
func (s *Server) drained() bool {
	since, conns := time.Since(s.began), s.all()
	if since < newFor {
		return len(conns) == 0 && s.succeeded.Load()
	}
	for _, c := range conns {
		if d, ok := c.idleFor(); ok && (c.served() || d >= firstFor) {
			c.doom(endDrained)
		}
		if since >= halfFor {
			c.giveWay(endDrained)
		}
	}
	return len(conns) == 0 && (since >= leastFor || s.succeeded.Load()) || since >= s.o.Grace+drainSlack
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
func (s *Server) Drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byHand != nil
}

// DrainByHand has health say no, answers end their connections, and idle connections close step by step. Whoever comes
// all the same is served.
func (s *Server) DrainByHand() {
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
func (s *Server) EndDrainByHand() {
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
			if idle, ok := c.idleFor(); ok && left > 0 && (c.served() || idle >= firstFor) && c.doom(endDrained) {
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
