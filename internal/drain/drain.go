// Package drain plans a graceful shutdown. The plan is computed backwards from the earliest SIGKILL, so that every response is
// written before it even if the process is paused between any two steps. The package does not read the clock.
package drain

import "time"

const (
	// KillAfter plus the longest timeout of the deployment is the shortest time between SIGTERM and SIGKILL
	// (docs/operating/stops.md).
	KillAfter = 700 * time.Millisecond

	// MaxTimeout limits the longest timeout in the computation of the earliest SIGKILL. A longer timeout in the settings does
	// not delay SIGKILL.
	MaxTimeout = 3 * time.Second

	// MaxPause is the longest pause of the process between two steps for which the plan leaves time.
	MaxPause = 150 * time.Millisecond

	// NewConnectionTime is how long new connections may still arrive after the signal: 0.4 s by the protocol, plus a margin
	// for their first request. Idle connections stay open for the same time, because a client whose connection is closed
	// would only reconnect.
	NewConnectionTime = 450 * time.Millisecond

	// minListenTime is the minimum time for which the listener stays open. Closing it resets the connections in its accept
	// queue.
	minListenTime = 550 * time.Millisecond
)

// Plan holds the times of a shutdown's steps, each measured from the start of the shutdown, when the process handles SIGTERM.
type Plan struct {
	// CloseIdle is when the node starts to close idle connections.
	CloseIdle time.Duration
	// CloseListener is the earliest time at which the listener is closed. It is closed only when its queue is empty.
	CloseListener time.Duration
	// RejectIncomplete is when the node starts to reject requests that have not been received completely.
	RejectIncomplete time.Duration
	// LastAdmission is the time until which requests are admitted. A request that is read later is rejected at once, before
	// any server has run it. Admitted requests may still be forwarded or retried until LastResponse.
	LastAdmission time.Duration
	// LastResponse is the time by which every response is written; no request waits longer. From then on the listener is
	// closed as soon as its accept queue is empty, and at the latest MaxPause after LastResponse.
	LastResponse time.Duration
	// Kill is the earliest time of SIGKILL.
	Kill time.Duration
}

// NewPlan returns the plan for a node whose clients wait at most for longestTimeout; 0: no limit.
func NewPlan(longestTimeout time.Duration) Plan {
	if longestTimeout <= 0 || longestTimeout > MaxTimeout {
		longestTimeout = MaxTimeout
	}
	kill := longestTimeout + KillAfter
	// The process may be paused after SIGTERM is sent and before the shutdown starts, and again right before it writes the last
	// response.
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

// Start returns the schedule of a plan. Now is the time at which the shutdown starts.
func (p Plan) Start(now time.Time) *Schedule { return &Schedule{Plan: p, Began: now} }

// Schedule is a plan with its start time.
type Schedule struct {
	Plan
	Began time.Time // when the shutdown started
}

// Reached reports whether the time of a step has been reached.
func (s *Schedule) Reached(step time.Duration, now time.Time) bool { return now.Sub(s.Began) >= step }

// At returns the time of a step.
func (s *Schedule) At(step time.Duration) time.Time { return s.Began.Add(step) }
