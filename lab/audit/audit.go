// Package audit checks a run against the fleet's four rules; the Rule constants name each kind of breach. It uses only
// observations of clients, servers and discovery, and nothing that a node reports about itself. The package is pure: it
// takes records in any order, and Judge returns every breach. Membership views are the exception: the nodes report them,
// and they are compared with the injected faults.
package audit

import (
	"sort"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

// Offset is a time since the start of the run.
type Offset = time.Duration

// Outcome is the result of one attempt as the client observed it.
type Outcome int

// The outcomes of an attempt.
const (
	Served       Outcome = iota // 200
	Rejected                    // 429 or 503: safe to retry
	Failed                      // any other response
	Lost                        // the connection broke or the client timed out before the response was complete
	Cancelled                   // the client cancelled before the response
	NotConnected                // no node accepted the connection
	LinkReset                   // a link fault injected by the lab reset the connection
	RacedClose                  // the connection ended right after the request was written; counts as lost only if a server received it
	InTransit                   // the lab's simulated link still delayed the request or its response when the client timed out
)

var outcomeNames = [...]string{"served", "refused", "failed", "lost", "left", "unplaced", "cut", "crossed", "on-way"}

// String returns the outcome as time lines show it.
func (o Outcome) String() string { return outcomeNames[o] }

// Effect classifies requests by what a second execution would do.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // a second execution is harmless
	Keyed                // the request has an idempotency key, by which servers drop repeats
	Unsafe               // a second execution repeats the effect
)

// String returns the name of an effect in a scenario.
func (e Effect) String() string {
	switch e {
	case Keyed:
		return scenario.EffectKeyed
	case Unsafe:
		return scenario.EffectUnsafe
	}
	return scenario.EffectSafe
}

// EffectOf returns the effect for its name in a scenario: safe, keyed or unsafe. An unknown name counts as safe.
func EffectOf(name string) Effect {
	switch name {
	case scenario.EffectKeyed:
		return Keyed
	case scenario.EffectUnsafe:
		return Unsafe
	}
	return Safe
}

// Attempt is one request that a client sent to a node. A retry is another attempt of the same operation.
type Attempt struct {
	ID        string // X-Request-Id
	Operation int    // the same for all attempts of one operation
	Effect    Effect
	Node      int
	Sent      Offset // when its last byte was written
	Deadline  Offset // when the client times out
	Ended     Offset
	Outcome   Outcome
	Responses int    // complete responses received
	BodyID    string // the id in the response's body; empty if no server wrote the body
	Status    int
	LinkDelay time.Duration // delay that the lab's simulated link added, in both directions together

	// Unreachable is how long the client's messages, after the first copy of each, reached no process. A node counts a client's time
	// from the first copy that it receives.
	Unreachable time.Duration

	// CopyDelay is how long a copy of the request may be under way; 0: the client sends no copies.
	CopyDelay time.Duration
}

// Execution is one request whose work a server started.
type Execution struct {
	ID        string
	Operation int
	Effect    Effect
	Server    string
	Pod       int
	At        Offset
}

// Receipt is one request that a server read completely.
type Receipt struct {
	ID       string
	Node     int
	Server   string
	At       Offset        // when its first byte arrived, if known
	Deadline time.Duration // time limit that the node passed on; 0: none
}

// Pause is a time span in which a node was suspended while all rules still applied. Responses may be late by its length.
type Pause struct {
	Node     int
	From, To Offset
}

// ProcessStart is the start of a process of a node. The processes before it have ended.
type ProcessStart struct {
	Node int
	At   Offset
}

// ListUpdate is a change of the server list that a node was notified of.
type ListUpdate struct {
	Node      int
	Server    string
	Withdrawn bool // the server is draining or gone; false: it is in service
	At        Offset
}

// Collapse is the crash of a server that was overloaded during its slow start.
type Collapse struct {
	Server string
	At     Offset
}

// Stall is a time span in which the lab's simulated link delayed all data in transit to a server.
type Stall struct {
	Server   string
	From, To Offset
}

// Outage is a time span in which a node could not act, because the lab had killed or suspended it. Clients have to retry
// the requests that it had in flight then, so these are not breaches.
type Outage struct {
	Node     int
	From, To Offset
}

// Limits are the time limits that the rules use.
type Limits struct {
	DrainGrace    time.Duration // from the notification of a drain to the last request sent
	ResponseSlack time.Duration // how long after the client's timeout a response may arrive: the rule's slack plus 50 ms for sockets
	LinkDelay     time.Duration // maximum one-way delay that the lab's simulated links add between nodes and servers
}

// Record holds all observations of a run.
type Record struct {
	Attempts    []Attempt
	Executions  []Execution
	Receipts    []Receipt
	ListUpdates []ListUpdate
	Collapses   []Collapse
	Outages     []Outage
	Starts      []ProcessStart
	Pauses      []Pause
	Stalls      []Stall
}

// Breach is one violation of a rule.
type Breach struct {
	Rule string `json:"rule"`
	At   Offset `json:"at_ns"`
	Text string `json:"text"`
}

// The rules, as breaches name them.
const (
	RuleUnanswered             = "lost"               // accepted and never answered
	RuleLate                   = "late"               // answered after the client's timeout
	RuleDuplicateResponse      = "answers"            // more than one final response
	RuleWrongResponse          = "swapped"            // the response of another request, or one that no server wrote
	RuleSentAfterResponse      = "sent-after-answer"  // a server received the request after its final response
	RuleDuplicateExecution     = "twice"              // a keyed or unsafe operation was executed twice
	RuleRejectedThoughExecuted = "refused-though-run" // rejected as safe to retry, although a server had started it
	RuleDrain                  = "drain"              // sent to a server later than the drain grace after the notification of its drain
	RuleSlowStartCollapse      = "cold"               // a server in slow start was overloaded until it crashed
	RuleSentAfterCancel        = "sent-for-one-gone"  // sent to a server after the client had cancelled
	RuleDeadline               = "deadline"           // a server was given more time than the client had left
	RuleMemory                 = "memory"             // a node used more memory than its limit, files included
	RuleCutOff                 = "cut"                // a response that its server was still writing was cut off
)

const (
	// cancelSlack is how long a request may still reach a server after its client has cancelled it.
	cancelSlack = 100 * time.Millisecond

	// deadlineSlack is by how much the time limit passed to a server may exceed the time that its client has left.
	deadlineSlack = 150 * time.Millisecond
)

// Judge returns all breaches, ordered by time.
func (r *Record) Judge(l Limits) []Breach {
	a := &auditor{record: r, limits: l}
	a.checkResponses()
	a.checkExecutions()
	a.checkSentAfterResponse()
	a.checkSentAfterCancel()
	a.checkDeadlines()
	a.checkDrains()
	for _, collapse := range r.Collapses {
		a.breach(RuleSlowStartCollapse, collapse.At, "%s was overloaded during its slow start until it crashed", collapse.Server)
	}
	sort.SliceStable(a.breaches, func(i, j int) bool { return a.breaches[i].At < a.breaches[j].At })
	return a.breaches
}
