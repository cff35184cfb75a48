// Package drain plans a graceful shutdown. The plan is computed backwards from the earliest SIGKILL, so that every response is
// written before it even if the process is paused between any two steps. The package is pure: it reads no clock.
package drain

import "time"

const (
	// KillAfter is the shortest time between SIGTERM and SIGKILL beyond the longest timeout of the deployment
	// (docs/operating/stops.md).
	KillAfter = 700 * time.Millisecond

	// MaxTimeout is the longest timeout of a request that the earliest SIGKILL allows for, whatever the settings say.
	MaxTimeout = 3 * time.Second

	// MaxPause is how long the process may be paused between any two steps.
	MaxPause = 150 * time.Millisecond

	// NewConnectionTime is how long new connections go on coming after the signal: 0.4 s by the protocol, and a little for
	// their first request. Until then idle connections stay open too: a client whose connection is closed would only come
	// back.
	NewConnectionTime = 450 * time.Millisecond

	// minListenTime is how long the listener stays open at least: closing it resets the connections in its queue.
	minListenTime = 550 * time.Millisecond
)

// Plan holds the steps of a shutdown, each as the time since the signal was noticed.
type Plan struct {
	// CloseIdle is when idle connections begin to be closed.
	CloseIdle time.Duration
	// CloseListener is when the listener is closed, as soon as its queue is empty.
	CloseListener time.Duration
	// RejectIncomplete is when requests that are incomplete begin to be rejected.
	RejectIncomplete time.Duration
	// LastAdmission is until when requests are admitted. What is read later is rejected at once: nothing of it has run.
	// Admitted requests may still be forwarded or retried until LastResponse.
	LastAdmission time.Duration
	// LastResponse is by when every response is written. A request waits for its response no longer. The listener is closed once
	// its queue is empty, and MaxPause later whatever its queue holds.
	LastResponse time.Duration
	// Kill is the earliest SIGKILL.
	Kill time.Duration
}

// NewPlan plans the shutdown of a node whose clients wait for so long at most; 0: there is no limit.
func NewPlan(longest time.Duration) Plan {
	if longest <= 0 || longest > MaxTimeout {
		longest = MaxTimeout
	}
	kill := longest + KillAfter
	// The process may be paused before it notices the signal, and again right before it writes the last response.
	lastResponse := kill - 2*MaxPause
	lastAdmission := lastResponse - MaxPause
	return Plan{
		CloseIdle:        min(NewConnectionTime, lastResponse),
		CloseListener:    min(minListenTime, lastResponse),
		RejectIncomplete: min(minListenTime, lastAdmission),
		LastAdmission:    lastAdmission,
		LastResponse:     lastResponse,
		Kill:             kill,
	}
}

// Start begins a plan at the time at which the signal was noticed.
func (p Plan) Start(now time.Time) *Schedule { return &Schedule{Plan: p, Began: now} }

// Schedule is a plan that has begun.
type Schedule struct {
	Plan
	Began time.Time // when the signal was noticed
}

// Reached reports whether a step's time has come.
func (s *Schedule) Reached(step time.Duration, now time.Time) bool { return now.Sub(s.Began) >= step }

// At is the time of a step.
func (s *Schedule) At(step time.Duration) time.Time { return s.Began.Add(step) }
