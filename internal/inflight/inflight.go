// Package inflight tracks the requests that a node must answer, across all listeners, protocols and goroutines. A request is
// in flight from the time when its last byte was read until its complete response was passed to the kernel. A graceful
// shutdown ends only when no request is in flight.
package inflight

import (
	"sync"
	"time"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	Answered           Outcome = iota // the complete response was passed to the kernel
	Rejected                          // the complete response was passed to the kernel; it was a rejection
	ClientDisconnected                // the client disconnected before the response was ready
	Unanswered                        // the response could not be written completely

	outcomeCount = iota
)

// Tracker tracks the requests in flight. The zero value is ready for use.
type Tracker struct {
	mu       sync.Mutex
	requests map[*Request]struct{}
	empty    chan struct{}  // closed and set to nil when no request is in flight; nil: not requested
	stats    *ShutdownStats // nil: no shutdown has begun
}

// Request is one request in flight.
type Request struct {
	tracker *Tracker
	// ID, Class and Began are logged.
	ID, Class string
	Began     time.Time
}

// ShutdownStats are statistics of a graceful shutdown.
type ShutdownStats struct {
	Began         time.Time
	OpenAtStart   int               // requests in flight when the shutdown began
	ReceivedSince int               // requests received since then
	Outcomes      [outcomeCount]int // number of requests that ended since then, by Outcome
	LastAnswer    time.Duration     // from Began until the last response was written; 0: none yet
}

// Begin starts to track a request. The caller must call End on it.
func (t *Tracker) Begin(id, class string) *Request {
	r := &Request{tracker: t, ID: id, Class: class, Began: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = map[*Request]struct{}{}
	}
	t.requests[r] = struct{}{}
	if t.stats != nil {
		t.stats.ReceivedSince++
	}
	return r
}

// End stops tracking the request. Only the first call has an effect.
func (r *Request) End(outcome Outcome) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.requests[r]; !ok {
		return
	}
	delete(t.requests, r)
	if t.stats != nil {
		t.stats.add(outcome)
	}
	if len(t.requests) == 0 && t.empty != nil {
		close(t.empty)
		t.empty = nil
	}
}

// add counts a request that has just ended.
func (s *ShutdownStats) add(outcome Outcome) {
	s.Outcomes[outcome]++
	if outcome == Answered || outcome == Rejected {
		s.LastAnswer = time.Since(s.Began)
	}
}

// Count returns the number of requests in flight.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

// Empty returns a channel that is closed as soon as no request is in flight.
func (t *Tracker) Empty() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.empty == nil {
		t.empty = make(chan struct{})
	}
	empty := t.empty
	if len(t.requests) == 0 {
		close(empty)
		t.empty = nil
	}
	return empty
}

// BeginShutdown starts the statistics of a graceful shutdown. Later calls have no effect.
func (t *Tracker) BeginShutdown(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stats == nil {
		t.stats = &ShutdownStats{Began: now, OpenAtStart: len(t.requests)}
	}
}

// ShutdownStats returns the statistics up to now; ok is false if no shutdown has begun.
func (t *Tracker) ShutdownStats() (stats ShutdownStats, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stats == nil {
		return ShutdownStats{}, false
	}
	return *t.stats, true
}
