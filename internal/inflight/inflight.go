// Package inflight accounts for the requests that a node has taken: each is in the account from the moment that its last byte
// was read until its whole answer was handed to the kernel, whichever front, protocol or goroutine has it. A planned stop ends
// only once the account is empty.
package inflight

import (
	"sync"
	"time"
)

// Outcome is how a request left the account.
type Outcome int

// The outcomes.
const (
	Answered           Outcome = iota // its whole answer was handed to the kernel
	Rejected                          // the same, and the answer was a refusal
	ClientDisconnected                // its client had gone before the answer
	Unanswered                        // its answer could not be written whole
)

// Account holds the requests in flight. The zero value is ready for use.
type Tracker struct {
	mu      sync.Mutex
	open    map[*Request]struct{}
	changed chan struct{}  // closed when the account becomes empty; nil where nobody waits
	stop    *ShutdownStats // nil: no planned stop has begun
}

// Request is one request in the account.
type Request struct {
	account *Tracker
	// ID, Class and Began are for the log.
	ID, Class string
	Began     time.Time
}

// Stop holds the figures of a planned stop.
type ShutdownStats struct {
	Began         time.Time
	OpenAtStart   int           // in the account when the stop began
	ReceivedSince int           // requests read since
	Outcomes      [4]int        // requests that left the account since, by outcome
	LastAnswer    time.Duration // of the answers, since the stop began
}

// Begin takes a request into the account.
func (a *Tracker) Begin(id, class string) *Request {
	r := &Request{account: a, ID: id, Class: class, Began: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open = map[*Request]struct{}{}
	}
	a.open[r] = struct{}{}
	if a.stop != nil {
		a.stop.ReceivedSince++
	}
	return r
}

// End takes the request out of the account. Only its first call counts.
func (r *Request) End(how Outcome) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.open[r]; !ok {
		return
	}
	delete(a.open, r)
	if a.stop != nil {
		a.stop.Outcomes[how]++
		if how == Answered || how == Rejected {
			a.stop.LastAnswer = time.Since(a.stop.Began)
		}
	}
	if len(a.open) == 0 && a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Open is how many requests are in the account.
func (a *Tracker) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

// Empty returns a channel that is closed once the account is empty.
func (a *Tracker) Empty() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	empty := a.changed
	if len(a.open) == 0 {
		close(empty)
		a.changed = nil
	}
	return empty
}

// BeginStop starts the figures of a planned stop.
func (a *Tracker) BeginShutdown(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop == nil {
		a.stop = &ShutdownStats{Began: now, OpenAtStart: len(a.open)}
	}
}

// StopFigures are the figures of the planned stop so far; ok is false where none has begun.
func (a *Tracker) ShutdownStats() (figures ShutdownStats, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop == nil {
		return ShutdownStats{}, false
	}
	return *a.stop, true
}
