// Package drain plans a planned stop. The plan is worked out backwards from the earliest SIGKILL, so that every answer is out
// before it even if the process is held up between any two steps. The package is pure: it reads no clock of its own.
package drain

import "time"

const (
	// KillAfter is how long after SIGTERM SIGKILL may come at the earliest, beyond the longest deadline of the deployment
	// (PROTOCOL, planned restarts).
	KillAfter = 700 * time.Millisecond

	// LongestDeadline is the longest deadline that the earliest SIGKILL waits for, whatever the settings allow.
	MaxDeadline = 3 * time.Second

	// Standstill is how long the process may be held up between any two steps (STANDING, more than these days).
	MaxPause = 150 * time.Millisecond

	// newConnections is how long new connections go on coming after the signal: 0.4 s by the protocol, and a little for
	// their first request. Until then idle connections stay open too: a client that lost its own would only come back.
	newConnections = 450 * time.Millisecond

	// earliestClose is when the listener closes at the earliest: closing it resets what its backlog holds.
	earliestClose = 550 * time.Millisecond
)

// Plan holds the steps of a stop, each as the time since the signal was noticed.
type Plan struct {
	// CloseIdle is from when connections between requests are closed.
	CloseIdle time.Duration
	// CloseListener is from when the listener is closed, as soon as nothing waits in its queue.
	CloseListener time.Duration
	// GiveUpHalf is from when requests that are not whole are refused.
	RejectIncomplete time.Duration
	// LastForward is until when a request may be forwarded. Whatever is read later is refused at once: nothing of it has run.
	LastForward time.Duration
	// LastAnswer is by when every answer is out, and when the listener is closed whatever its queue holds. A request that is
	// forwarded is waited for no longer.
	LastResponse time.Duration
	// Kill is the earliest SIGKILL, counted from the signal.
	Kill time.Duration
}

// NewPlan plans the stop of a node whose clients wait for so long at the most; 0: no limit is known.
func NewPlan(longest time.Duration) Plan {
	if longest <= 0 || longest > MaxDeadline {
		longest = MaxDeadline
	}
	p := Plan{Kill: longest + KillAfter}
	// One standstill may come before the signal is noticed, and one right before the last answer is written.
	p.LastResponse = p.Kill - 2*MaxPause
	p.LastForward = p.LastResponse - MaxPause
	p.CloseIdle = min(newConnections, p.LastResponse)
	p.CloseListener = min(earliestClose, p.LastResponse)
	p.RejectIncomplete = min(earliestClose, p.LastForward)
	return p
}

// Schedule is a plan that has begun.
type Schedule struct {
	Plan
	Began time.Time // when the signal was noticed
}

// Start begins a plan.
func (p Plan) Start(now time.Time) *Schedule { return &Schedule{Plan: p, Began: now} }

// Reached reports whether a step's time has come.
func (s *Schedule) Reached(step time.Duration, now time.Time) bool { return now.Sub(s.Began) >= step }

// At is the time of a step.
func (s *Schedule) At(step time.Duration) time.Time { return s.Began.Add(step) }
