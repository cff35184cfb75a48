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
	Answered   Outcome = iota // its whole answer was handed to the kernel
	Refused                   // the same, and the answer was a refusal
	ClientLeft                // its client had gone before the answer
	Unanswered                // its answer could not be written whole
)

// Account holds the requests in flight. The zero value is ready for use.
type Account struct {
	mu      sync.Mutex
	open    map[*Request]struct{}
	changed chan struct{} // closed when the account becomes empty; nil where nobody waits
	stop    *Stop         // nil: no planned stop has begun
}

// Request is one request in the account.
type Request struct {
	account *Account
	// ID, Class and Began are for the log.
	ID, Class string
	Began     time.Time
}

// Stop holds the figures of a planned stop.
type Stop struct {
	Began     time.Time
	OpenThen  int           // in the account when the stop began
	ReadSince int           // requests read since
	Outcomes  [4]int        // requests that left the account since, by outcome
	Latest    time.Duration // of the answers, since the stop began
}

// Begin takes a request into the account.
func (a *Account) Begin(id, class string) *Request {
	r := &Request{account: a, ID: id, Class: class, Began: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open == nil {
		a.open = map[*Request]struct{}{}
	}
	a.open[r] = struct{}{}
	if a.stop != nil {
		a.stop.ReadSince++
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
		if how == Answered || how == Refused {
			a.stop.Latest = time.Since(a.stop.Began)
		}
	}
	if len(a.open) == 0 && a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Open is how many requests are in the account.
func (a *Account) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

// Empty returns a channel that is closed once the account is empty.
func (a *Account) Empty() <-chan struct{} {
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
func (a *Account) BeginStop(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop == nil {
		a.stop = &Stop{Began: now, OpenThen: len(a.open)}
	}
}

// StopFigures are the figures of the planned stop so far; ok is false where none has begun.
func (a *Account) StopFigures() (figures Stop, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop == nil {
		return Stop{}, false
	}
	return *a.stop, true
}
