// Package inflight tracks the requests that a node is responsible for: each from when its last byte was read until its
// complete response was handed to the kernel, whichever listener, protocol or goroutine handles it. A graceful shutdown ends only once
// none is left.
package inflight

import (
	"sync"
	"time"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	Answered           Outcome = iota // the complete response was handed to the kernel
	Rejected                          // the same, and the response was a rejection
	ClientDisconnected                // the client had disconnected before its response
	Unanswered                        // the response could not be written completely

	outcomeCount = iota
)

// Tracker holds the requests in flight. The zero value is ready for use.
type Tracker struct {
	mu    sync.Mutex
	open  map[*Request]struct{}
	empty chan struct{}  // closed, and removed, when no request is left; nil: nobody waits
	stats *ShutdownStats // nil: no shutdown has begun
}

// Request is one request in flight.
type Request struct {
	tracker *Tracker
	// ID, Class and Began are for the log.
	ID, Class string
	Began     time.Time
}

// ShutdownStats are figures of a graceful shutdown.
type ShutdownStats struct {
	Began         time.Time
	OpenAtStart   int               // requests that were in flight when it began
	ReceivedSince int               // requests that were read since
	Outcomes      [outcomeCount]int // requests that ended since, by Outcome
	LastAnswer    time.Duration     // when the last response was written, counted from the beginning; 0: none yet
}

// Begin begins to track a request. The caller ends it with End.
func (t *Tracker) Begin(id, class string) *Request {
	r := &Request{tracker: t, ID: id, Class: class, Began: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open = map[*Request]struct{}{}
	}
	t.open[r] = struct{}{}
	if t.stats != nil {
		t.stats.ReceivedSince++
	}
	return r
}

// End ends a request. Only its first call counts.
func (r *Request) End(outcome Outcome) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.open[r]; !ok {
		return
	}
	delete(t.open, r)
	if t.stats != nil {
		t.stats.add(outcome)
	}
	if len(t.open) == 0 && t.empty != nil {
		close(t.empty)
		t.empty = nil
	}
}

// add counts a request that ended now.
func (s *ShutdownStats) add(outcome Outcome) {
	s.Outcomes[outcome]++
	if outcome == Answered || outcome == Rejected {
		s.LastAnswer = time.Since(s.Began)
	}
}

// Open is how many requests are in flight.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Empty returns a channel that is closed once no request is in flight.
func (t *Tracker) Empty() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.empty == nil {
		t.empty = make(chan struct{})
	}
	empty := t.empty
	if len(t.open) == 0 {
		close(empty)
		t.empty = nil
	}
	return empty
}

// BeginShutdown starts the figures of a graceful shutdown. Later calls change nothing.
func (t *Tracker) BeginShutdown(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stats == nil {
		t.stats = &ShutdownStats{Began: now, OpenAtStart: len(t.open)}
	}
}

// ShutdownStats returns the figures so far; ok is false where no shutdown has begun.
func (t *Tracker) ShutdownStats() (stats ShutdownStats, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stats == nil {
		return ShutdownStats{}, false
	}
	return *t.stats, true
}
