package ingress

import (
	"cmp"
	"slices"
	"time"
)

const (
	// softLimitShare of the limit is where connections that have been idle longest begin to be evicted. Clients that connect
	// anew for each request then find room without waiting for an eviction. Clients together hold a third of the
	// descriptors at most, beyond which they send nothing, so idle connections must not use that up.
	softLimitShare = 0.3

	// minIdle is how long a connection must have been idle to be evicted below the limit. The next request of a busy client
	// comes sooner.
	minIdle = 50 * time.Millisecond

	// minFirstIdle is how long a connection without any request yet stays open. A client with a request sends it at once, and
	// hundreds that never do must not keep the others out for long.
	minFirstIdle = 150 * time.Millisecond

	// minSilent is how long a connection with an incomplete request must have been silent to be evicted. A client that takes
	// 2 s to send a request sends parts of it all the while.
	minSilent = 300 * time.Millisecond

	// evictBatch is how many connections are evicted at once: checking all of them for each new one costs too much CPU.
	evictBatch = 16
)

// hasRoom reports whether another connection may be accepted. It begins to evict connections well before the limit.
func (s *Server) hasRoom() bool {
	n := s.connCount()
	limit := s.limit()
	switch {
	case s.evicting.Load() > 0: // room is being made
	case n >= limit:
		s.evict(0)
	case n >= int(softLimitShare*float64(limit)):
		s.evict(minIdle)
	}
	return n < s.limit()
}

// evictable is a connection that may be closed to make room.
type evictable struct {
	conn     *conn
	duration time.Duration // for which it has been idle or silent
}

// evict closes the connections that have been idle longest, and for some time at least. At the limit, where that time is 0
// and none is idle, it closes connections with incomplete requests: thousands of clients may connect and never complete one.
func (s *Server) evict(least time.Duration) {
	candidates := s.idleConns(least)
	closeConn := (*conn).closeWhenIdle
	if len(candidates) == 0 && least == 0 {
		candidates = s.silentConns()
		closeConn = (*conn).closeIncomplete
	}
	slices.SortFunc(candidates, func(a, b evictable) int { return cmp.Compare(b.duration, a.duration) })
	for _, e := range candidates[:min(evictBatch, len(candidates))] {
		if closeConn(e.conn, closeEvicted) {
			s.evicting.Add(1)
		}
	}
}

// idleConns are the connections that have been idle for some time. One just made is about to send its first request.
func (s *Server) idleConns(least time.Duration) []evictable {
	var idle []evictable
	for _, c := range s.allConns() {
		if d, ok := c.idleFor(minFirstIdle); ok && d >= least {
			idle = append(idle, evictable{c, d})
		}
	}
	return idle
}

// silentConns are the connections with incomplete requests that have been silent for minSilent.
func (s *Server) silentConns() []evictable {
	var silent []evictable
	for _, c := range s.allConns() {
		if d, ok := c.silentFor(); ok && d >= minSilent {
			silent = append(silent, evictable{c, d})
		}
	}
	return silent
}
