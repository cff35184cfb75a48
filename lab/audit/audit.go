// Package audit judges a run by the four rules, from what clients, servers and discovery saw and nothing that a node
// says of itself. It is pure: records come in, in any order, and Judge returns every breach. Membership views are
// judged in the same way against the faults that were injected.
package audit

import (
	"sort"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

// Offset is a moment of the run: the time since its start.
type Offset = time.Duration

// Outcome is what a client saw of one attempt.
type Outcome int

// The outcomes of an attempt.
const (
	Served       Outcome = iota // 200
	Rejected                    // 429 or 503: a retry is harmless
	Failed                      // any other response
	Lost                        // the connection or the client's wait ended without a whole response
	Cancelled                   // the client went away first
	NotConnected                // no node accepted a connection
	LinkReset                   // the lab's own link fault broke the connection
	RacedClose                  // the connection ended right after the request was written: lost only if a server got it
	InTransit                   // the lab's own link still held the request or its response when the client gave up
)

var outcomeNames = [...]string{"served", "refused", "failed", "lost", "left", "unplaced", "cut", "crossed", "on-way"}

// String is the outcome as time lines show it.
func (e Outcome) String() string { return outcomeNames[e] }

// Effect says what a second execution of a request would do.
type Effect int

// The effects of a class.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// EffectOf is the effect that a scenario names: safe, keyed or unsafe. An unknown name counts as safe.
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
	Operation int    // the operation it belongs to
	Effect    Effect
	Node      int
	Sent      Offset // when its last byte was written
	Deadline  Offset // when the client's wait ends
	Ended     Offset
	Outcome   Outcome
	Responses int    // whole ones
	BodyID    string // the id in the response's body; empty where no server wrote the body
	Status    int
	LinkDelay time.Duration // what the lab's link added, both ways
}

// Execution is one start of work at a server.
type Execution struct {
	ID        string
	Operation int
	Effect    Effect
	Server    string
	Pod       int
	At        Offset
}

// Receipt is one request that a server read whole.
type Receipt struct {
	ID       string
	Node     int
	Server   string
	At       Offset        // of its first byte, where known
	Deadline time.Duration // that the node passed on; 0: none
}

// Pause is a time for which a node was suspended with all rules in force. Responses may be later by as much.
type Pause struct {
	Node     int
	From, To Offset
}

// ListUpdate is a change of the server list, as a node was notified of it.
type ListUpdate struct {
	Node      int
	Server    string
	Withdrawn bool // it drains or is gone; false: it is in service
	At        Offset
}

// Collapse is a cold server that was overloaded until it fell over.
type Collapse struct {
	Server string
	At     Offset
}

// Stall is a time for which the lab's own link held back what was in transit to a server.
type Stall struct {
	Server   string
	From, To Offset
}

// Outage is a time in which a node could not act, because the lab had killed or suspended it. Requests that it had in
// flight then are the client's to retry.
type Outage struct {
	Node     int
	From, To Offset
}

// Limits are the figures of the rules.
type Limits struct {
	DrainGrace    time.Duration // from the notice of a drain to the last send
	ResponseSlack time.Duration // how long after the client's wait a response may come: the rule's slack and 50 ms for sockets
	LinkDelay     time.Duration // what the lab's own links between nodes and servers may add, one way
}

// Record is everything that was seen.
type Record struct {
	Attempts    []Attempt
	Executions  []Execution
	Receipts    []Receipt
	ListUpdates []ListUpdate
	Collapses   []Collapse
	Outages     []Outage
	Pauses      []Pause
	Stalls      []Stall
}

// Breach is one breach of a rule.
type Breach struct {
	Rule string `json:"rule"`
	At   Offset `json:"at_ns"`
	Text string `json:"text"`
}

// The rules, as breaches name them.
const (
	RuleUnanswered             = "lost"               // accepted and never answered
	RuleLate                   = "late"               // answered after the client's wait
	RuleDuplicateResponse      = "answers"            // more than one final response
	RuleWrongResponse          = "swapped"            // another request's response, or one that no server made
	RuleSentAfterResponse      = "sent-after-answer"  // a server got it after its final response
	RuleDuplicateExecution     = "twice"              // an effect happened twice
	RuleRejectedThoughExecuted = "refused-though-run" // a rejection promised that a retry is harmless, and it is not
	RuleDrain                  = "drain"              // a send later than the grace after the notice of a drain
	RuleColdCollapse           = "cold"               // a cold server was overloaded until it collapsed
	RuleSentAfterCancel        = "sent-for-one-gone"  // an attempt began after its client had cancelled
	RuleDeadline               = "deadline"           // a server was given more time than its client has left
)

const (
	// cancelSlack is how long after a client has cancelled an attempt for it may begin.
	cancelSlack = 100 * time.Millisecond

	// deadlineSlack is by how much the time that a server is given may exceed what its client has left.
	deadlineSlack = 150 * time.Millisecond
)

// Judge returns all breaches, by time.
func (r *Record) Judge(l Limits) []Breach {
	a := &auditor{record: r, limits: l}
	a.checkResponses()
	a.checkExecutions()
	a.checkSentAfterResponse()
	a.checkSentAfterCancel()
	a.checkDeadlines()
	a.checkDrains()
	for _, f := range r.Collapses {
		a.breach(RuleColdCollapse, f.At, "%s was pushed over while cold", f.Server)
	}
	sort.SliceStable(a.breaches, func(i, j int) bool { return a.breaches[i].At < a.breaches[j].At })
	return a.breaches
}
