package ingress

import (
	"cmp"
	"slices"
	"time"

	"tackhub.example/tackhub/internal/memory"
)

const (
	// softLimitFraction is the fraction of the connection limit above which the connections that are idle longest are evicted.
	// Clients that open a connection for each request then need not wait for an eviction. All clients together open connections
	// for at most a third of the descriptors and send no request that would need another one. Idle connections must therefore
	// not use up that third.
	softLimitFraction = 0.3

	// minEvictIdleTime is how long a connection must be idle before it can be evicted while the number of connections is below
	// the limit. A busy client sends its next request sooner.
	minEvictIdleTime = 50 * time.Millisecond

	// minEvictUnusedTime is how long a new connection without a request is protected from eviction. A client that has a request
	// sends it at once, and hundreds of clients that never send one must not block the others for long.
	minEvictUnusedTime = 150 * time.Millisecond

	// minEvictSilentTime is how long a connection with an incomplete request must receive nothing before it is evicted. A client
	// that takes 2 s to send a request sends parts of it throughout that time.
	minEvictSilentTime = 300 * time.Millisecond

	// evictBatch is the number of connections that are evicted at once. If only one were evicted at a time, each new connection
	// would require a check of all connections, which costs too much CPU time.
	evictBatch = 16
)

// hasCapacity reports whether another connection may be accepted. It starts evicting connections at softLimitFraction of the
// limit.
func (s *Server) hasCapacity() bool {
	conns := s.connCount()
	limit := s.connLimit()
	if conns >= minConns && !s.options.Memory.Fits(memory.ClientConnections, connectionBytes) {
		limit = conns
	}
	switch {
	case s.evicting.Load() > 0: // wait until the evicted connections are closed
	case conns >= limit:
		s.evict(0)
	case conns >= int(softLimitFraction*float64(limit)):
		s.evict(minEvictIdleTime)
	}
	return conns < limit
}

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn        *conn
	inactiveFor time.Duration // time without a request, or without bytes of an incomplete one
}

// evict closes up to evictBatch of the connections that have been idle for at least minIdleTime, longest idle first. A minIdleTime
// of 0 means that the limit on connections or descriptors is reached. If no connection is idle then, evict closes connections with
// incomplete requests instead, because thousands of clients may connect and never complete a request.
func (s *Server) evict(minIdleTime time.Duration) {
	candidates := s.idleConns(minIdleTime)
	closeConn := (*conn).closeWhenIdle
	if len(candidates) == 0 && minIdleTime == 0 {
		candidates = s.silentConns()
		closeConn = (*conn).closeIncomplete
	}
	sortByInactivity(candidates)
	s.evictAll(candidates, closeConn, closeEvicted)
}

// evictAll closes the first evictBatch of the candidates.
func (s *Server) evictAll(candidates []evictionCandidate, closeConn func(c *conn, reason string) bool, reason string) (evicted int) {
	for _, candidate := range candidates[:min(evictBatch, len(candidates))] {
		if closeConn(candidate.conn, reason) {
			s.evicting.Add(1)
			evicted++
		}
	}
	return evicted
}

// sortByInactivity sorts candidates, longest inactive first.
func sortByInactivity(candidates []evictionCandidate) {
	slices.SortFunc(candidates, func(a, b evictionCandidate) int { return cmp.Compare(b.inactiveFor, a.inactiveFor) })
}

// idleConns returns the connections that have been idle for at least minIdleTime. It leaves out new connections, whose first
// request may be about to arrive.
func (s *Server) idleConns(minIdleTime time.Duration) []evictionCandidate {
	var idle []evictionCandidate
	for _, c := range s.allConns() {
		if idleTime, ok := c.idleFor(minEvictUnusedTime); ok && idleTime >= minIdleTime {
			idle = append(idle, evictionCandidate{c, idleTime})
		}
	}
	return idle
}

// silentConns returns the connections with incomplete requests that have received nothing for minEvictSilentTime.
func (s *Server) silentConns() []evictionCandidate {
	var silent []evictionCandidate
	for _, c := range s.allConns() {
		if silentTime, ok := c.silentFor(); ok && silentTime >= minEvictSilentTime {
			silent = append(silent, evictionCandidate{c, silentTime})
		}
	}
	return silent
}
