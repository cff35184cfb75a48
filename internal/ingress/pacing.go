package ingress

import (
	"sync"
	"time"
)

const (
	// pacingInterval is the time between two requests that follow at once on responses that needed no server, over all connections. Such
	// requests cost their clients nothing, so that a few connections could use all CPU time.
	pacingInterval = time.Millisecond

	// followUpTime is how soon after a response the next request of its connection counts as following at once.
	followUpTime = time.Millisecond

	// maxPacingDelay bounds the delay of a request.
	maxPacingDelay = 25 * time.Millisecond
)

// pacer spreads requests over time. Its zero value is ready to use.
type pacer struct {
	mu   sync.Mutex
	next time.Time // when the next request may begin
}

// reserve returns how long a request must wait, and moves the requests after it behind it.
func (p *pacer) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	delay := p.next.Sub(now)
	if delay >= maxPacingDelay {
		return maxPacingDelay
	}
	p.next = p.next.Add(pacingInterval)
	return delay + pacingInterval
}

// pace delays a request that follows at once on a response of its connection that needed no server. The delay lets the requests of other
// connections pass. While the node is draining no request is delayed.
func (s *Server) pace(c *conn) {
	now := time.Now()
	if c.localResponseAt.IsZero() || now.Sub(c.localResponseAt) > followUpTime || s.draining() {
		return
	}
	s.options.Counters.Clients.Delayed.Inc()
	time.Sleep(s.pacer.reserve(now))
}
