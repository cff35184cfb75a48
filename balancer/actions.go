package balancer

import "fmt"

// Action is something that the node is to do.
type Action interface{ action() }

// StartAttempt sends a request to a server. A request's attempts are numbered from 0 in this order.
type StartAttempt struct {
	ID       RequestID
	Server   ServerID
	Deadline Millis // when the attempt is given up; 0: when the client does
	// WriteDeadline is when the request must have been written whole, or must not be any more:
	// its repeats are dropped no longer. 0: no limit.
	WriteDeadline Millis
}

// CancelAttempt stops waiting for one attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Reject is the final answer that promises a retry to be harmless.
type Reject struct {
	ID         RequestID
	RetryAfter Millis // 0: no Retry-After
	Reason     RejectReason
}

// Fail is the final answer that promises nothing.
type Fail struct {
	ID     RequestID
	Reason RejectReason
}

// RejectReason is why a request was rejected or failed.
type RejectReason int

// The reasons, each with the file that decides on it.
const (
	// UnknownClass: the settings don't name the request's class (admission.go).
	UnknownClass RejectReason = iota
	// LateRetry: its objective had passed when it arrived, and a late answer earns nothing
	// (admission.go).
	LateRetry
	// NoCapacity: no server that it may go to was expected to answer in time (queue.go).
	NoCapacity
	// AttemptsExhausted: its attempts ended without an answer, and no retry is allowed or in time
	// (retry.go).
	AttemptsExhausted
	// FleetOverload: the fleet as a whole has no capacity for it (admission.go).
	FleetOverload
)

var rejectReasonNames = [...]string{
	UnknownClass:      "unknown class",
	LateRetry:         "late retry",
	NoCapacity:        "no capacity",
	AttemptsExhausted: "attempts exhausted",
	FleetOverload:     "fleet overload",
}

// String names the reason.
func (r RejectReason) String() string {
	if r < 0 || int(r) >= len(rejectReasonNames) {
		return fmt.Sprintf("RejectReason(%d)", int(r))
	}
	return rejectReasonNames[r]
}

// SetTimer asks for a TimerFired with the same token at the given time.
type SetTimer struct {
	Token string
	At    Millis
}

// The timers' tokens. They stand on the simulator's wire.
const (
	timerSweep  = "sweep"  // look at the queued requests again
	timerProbes = "probes" // the wait for load probes is over
	timerPoll   = "ask"    // call for the endpoint list
)

// ProbeLoad asks a server for its load.
type ProbeLoad struct{ Server ServerID }

// WatchEndpoints calls for the endpoint list and for its changes.
type WatchEndpoints struct{}

// BroadcastGossip sends every other node a message of at most MaxGossipBytes; it may be lost.
type BroadcastGossip struct{ Body []byte }

// MaxGossipBytes is the greatest length of a message between nodes.
const MaxGossipBytes = 256

// Log is a line for whoever is on call.
type Log struct{ Text string }

func (StartAttempt) action()    {}
func (CancelAttempt) action()   {}
func (Reject) action()          {}
func (Fail) action()            {}
func (SetTimer) action()        {}
func (ProbeLoad) action()       {}
func (WatchEndpoints) action()  {}
func (BroadcastGossip) action() {}
func (Log) action()             {}
