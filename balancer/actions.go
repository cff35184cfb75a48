package balancer

import "fmt"

// Action is an instruction that Step returns and its caller carries out.
type Action interface{ action() }

// StartAttempt sends a request to a server. The attempts of a request are numbered from 0, in the order
// of their StartAttempt actions.
type StartAttempt struct {
	ID       RequestID
	Server   ServerID
	Group    DedupGroup // remembers the request's key. If the server has left it, nothing must be sent
	Deadline Millis     // when the attempt times out; 0: only when the client gives up
	// WriteDeadline is the end of the dedup window, after which servers no longer drop repeats. The last
	// byte of the request must be written before it. 0: no limit.
	WriteDeadline Millis
}

// CancelAttempt cancels one attempt that is in flight.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer after which the client can retry safely.
type Reject struct {
	ID         RequestID
	RetryAfter Millis // 0: no Retry-After
	Reason     RejectReason
}

// Fail is a final answer after which a retry could make the request take effect twice.
type Fail struct {
	ID     RequestID
	Reason RejectReason
}

// RejectReason is why a request was rejected or failed.
type RejectReason int

// Reasons for a Reject or a Fail. The comments name the file in which the decision is made.
const (
	// UnknownClass: the settings don't name the request's class (admission.go).
	UnknownClass RejectReason = iota
	// LateRetry: the latency objective had passed when the request arrived, and a late answer has no
	// value (admission.go).
	LateRetry
	// NoCapacity: no eligible server is expected to answer in time (queue.go).
	NoCapacity
	// AttemptsExhausted: all attempts failed, and another one is not allowed or would be too late
	// (retry.go).
	AttemptsExhausted
	// FleetOverload: the fleet is overloaded and sheds the request (admission.go).
	FleetOverload
	// NoServers: the endpoint list offers no server (queue.go).
	NoServers
)

var rejectReasonNames = [...]string{
	UnknownClass:      "unknown class",
	LateRetry:         "late retry",
	NoCapacity:        "no capacity",
	AttemptsExhausted: "attempts exhausted",
	FleetOverload:     "fleet overload",
	NoServers:         "no servers",
}

// String returns the name of the reason.
func (r RejectReason) String() string {
	if r < 0 || int(r) >= len(rejectReasonNames) {
		return fmt.Sprintf("RejectReason(%d)", int(r))
	}
	return rejectReasonNames[r]
}

// SetTimer requests a TimerFired event with the same token at the given time.
type SetTimer struct {
	Token string
	At    Millis
}

// Tokens of the timers. They are part of the simulator's protocol and must not change.
const (
	timerSweep  = "sweep"  // dispatch the queued requests
	timerProbes = "probes" // stop waiting for load probes
	timerPoll   = "ask"    // poll the endpoint list
)

// ProbeLoad sends a load probe to a server.
type ProbeLoad struct{ Server ServerID }

// WatchEndpoints requests the endpoint list from discovery and then its changes.
type WatchEndpoints struct{}

// BroadcastGossip sends a message of at most MaxGossipBytes to every other node. The message may be lost.
type BroadcastGossip struct{ Body []byte }

// MaxGossipBytes is the maximum length of a gossip message.
const MaxGossipBytes = 256

// Log writes a log line for the operators.
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
