// Package audit judges a run by the four rules, from what clients, servers and discovery saw and nothing that a node
// says of itself. It is pure: records come in, in any order, and Judge gives every breach.
package audit

import (
	"fmt"
	"sort"
	"time"
)

// Offset is a moment of the run: a span since its start.
type Offset = time.Duration

// Outcome is what a client saw of one try.
type Outcome int

// The endings of a try.
const (
	Served       Outcome = iota // 200
	Rejected                    // 429 or 503: trying again is harmless
	Failed                      // any other answer
	Lost                        // the connection ended, or the wait, with no whole answer
	Cancelled                   // the client went away first
	NotConnected                // no node took a connection
	LinkReset                   // the lab's own link fault broke the connection
	RacedClose                  // its connection ended right after it was written: lost only if a server got it
	InTransit                   // the lab's own link still held the request or its answer when the client gave up
)

var endings = [...]string{"served", "refused", "failed", "lost", "left", "unplaced", "cut", "crossed", "on-way"}

// String names the ending.
func (e Outcome) String() string { return endings[e] }

// Effect is the kind of a class.
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
	case "keyed":
		return Keyed
	case "unsafe":
		return Unsafe
	}
	return Safe
}

// Attempt is one request that a client sent to a node: a retry is another try of the same operation.
type Attempt struct {
	ID        string // X-Request-Id
	Operation int    // the operation it belongs to
	Effect    Effect
	Node      int
	Sent      Offset // its last byte was written
	Deadline  Offset // when the client's wait ends
	Ended     Offset
	Outcome   Outcome
	Responses int    // whole answers that came for it
	BodyID    string // the id that the answer's body carries; empty: no body of a server
	Status    int
	LinkDelay time.Duration // what the lab's link added to this try, there and back
}

// Execution is one beginning of work at a server.
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

// Pause is a time for which a node was held up with all rules in force. Answers may be later by as much.
type Pause struct {
	Node     int
	From, To Offset
}

// ListUpdate is a change of the list as a node was told it.
type ListUpdate struct {
	Node      int
	Server    string
	Withdrawn bool // it drains or is gone; false: it takes work
	At        Offset
}

// Collapse is a cold server that was pushed over.
type Collapse struct {
	Server string
	At     Offset
}

// Stall is a time for which the lab's own link held back what was on its way to a server.
type Stall struct {
	Server   string
	From, To Offset
}

// Outage is a time in which a node could not act: it was killed, or stopped by the lab. Requests it held then are the
// client's to retry.
type Outage struct {
	Node     int
	From, To Offset
}

// Limits are the figures of the rules.
type Limits struct {
	DrainGrace    time.Duration // from a drain's being told to the last send
	ResponseSlack time.Duration // an answer may come so much after the client's wait: the rule's slack and the sockets' 50 ms
	LinkDelay     time.Duration // what the lab's own links between nodes and servers may add on one way
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

// The rules, as breaches name them.
const (
	RuleUnanswered             = "lost"               // taken and never answered
	RuleLate                   = "late"               // answered after the client's wait
	RuleDuplicateResponse      = "answers"            // more than one final answer
	RuleWrongResponse          = "swapped"            // another request's answer, or one that no server made
	RuleSentAfterResponse      = "sent-after-answer"  // a server got it after its final answer
	RuleDuplicateExecution     = "twice"              // an effect happened twice
	RuleRejectedThoughExecuted = "refused-though-run" // a refusal promised that trying again is harmless, and it is not
	RuleDrain                  = "drain"              // a send later than the grace after a drain was told
	RuleColdCollapse           = "cold"               // a cold server was pushed over
	RuleSentAfterCancel        = "sent-for-one-gone"  // an attempt began after its client had left
	RuleDeadline               = "deadline"           // a server was told more time than its client has left
)

// Breach is one breach of a rule.
type Breach struct {
	Rule string `json:"rule"`
	At   Offset `json:"at_ns"`
	Text string `json:"text"`
}

const (
	// cancelSlack is how long after a client has left an attempt for it may begin.
	cancelSlack = 100 * time.Millisecond

	// deadlineSlack is by how much the time that a server is told may exceed what its client has left.
	deadlineSlack = 150 * time.Millisecond
)

// Judge gives all breaches, by time.
func (r *Record) Judge(l Limits) []Breach {
	j := &auditor{record: r, limits: l}
	j.checkResponses()
	j.checkExecutions()
	j.checkSentAfterResponse()
	j.checkSentAfterCancel()
	j.checkDeadlines()
	j.checkDrains()
	for _, f := range r.Collapses {
		j.breach(RuleColdCollapse, f.At, "%s was pushed over while cold", f.Server)
	}
	sort.SliceStable(j.breaches, func(a, b int) bool { return j.breaches[a].At < j.breaches[b].At })
	return j.breaches
}

type auditor struct {
	record   *Record
	limits   Limits
	breaches []Breach
}

func (j *auditor) breach(rule string, at Offset, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// hadOutage tells whether a node could not act at some time between two moments.
func (j *auditor) hadOutage(node int, from, to Offset) bool {
	for _, o := range j.record.Outages {
		if o.Node == node && o.From <= to && o.To >= from {
			return true
		}
	}
	return false
}

// overlap is the length of what two spans share.
func overlap(from1, to1, from2, to2 Offset) time.Duration {
	return max(0, min(to1, to2)-max(from1, from2))
}

// pausedFor is how long a node was held up between two moments.
func (j *auditor) pausedFor(node int, from, to Offset) time.Duration {
	sum := time.Duration(0)
	for _, p := range j.record.Pauses {
		if p.Node == node {
			sum += overlap(p.From, p.To, from, to)
		}
	}
	return sum
}

// stalledFor is for how long the lab held back what was on its way to a server between two moments.
func (j *auditor) stalledFor(server string, from, to Offset) time.Duration {
	sum := time.Duration(0)
	for _, s := range j.record.Stalls {
		if s.Server == server {
			sum += overlap(s.From, s.To, from, to)
		}
	}
	return sum
}

// checkSentAfterCancel checks that no attempt begins once its client has left.
func (j *auditor) checkSentAfterCancel() {
	left := map[string]*Attempt{}
	for i := range j.record.Attempts {
		if t := &j.record.Attempts[i]; t.Outcome == Cancelled {
			left[t.ID] = t
		}
	}
	for _, c := range j.record.Receipts {
		t := left[c.ID]
		if t == nil {
			continue
		}
		if over := c.At - t.Ended; over > cancelSlack+j.limits.LinkDelay+t.LinkDelay+j.pausedFor(c.Node, t.Ended, c.At)+j.stalledFor(c.Server, t.Ended, c.At) && !j.hadOutage(c.Node, t.Sent, c.At) {
			j.breach(RuleSentAfterCancel, c.At, "%s came to %s from node %d %v after its client had left", c.ID, c.Server, c.Node, over)
		}
	}
}

// checkDeadlines checks that no server is told more time than its client has left.
func (j *auditor) checkDeadlines() {
	tries := make(map[string]*Attempt, len(j.record.Attempts))
	for i := range j.record.Attempts {
		tries[j.record.Attempts[i].ID] = &j.record.Attempts[i]
	}
	for _, c := range j.record.Receipts {
		t := tries[c.ID]
		if t == nil || c.Deadline <= 0 {
			continue
		}
		allowed := deadlineSlack + j.limits.LinkDelay + t.LinkDelay + j.stalledFor(c.Server, t.Sent, c.At)
		if over := c.At + c.Deadline - t.Deadline; over > allowed && !j.hadOutage(c.Node, t.Sent, c.At) {
			j.breach(RuleDeadline, c.At, "%s told %s to work %v beyond its client's wait", c.ID, c.Server, over)
		}
	}
}

// checkResponses checks that every try has one whole answer of its own, in time.
func (j *auditor) checkResponses() {
	for i := range j.record.Attempts {
		t := &j.record.Attempts[i]
		if t.Responses > 1 {
			j.breach(RuleDuplicateResponse, t.Ended, "%s got %d answers from node %d", t.ID, t.Responses, t.Node)
		}
		switch t.Outcome {
		case Lost:
			if !j.hadOutage(t.Node, t.Sent, t.Ended) {
				j.breach(RuleUnanswered, t.Ended, "%s was sent to node %d at %v and never answered", t.ID, t.Node, t.Sent)
			}
		case Served, Rejected, Failed:
			if t.Ended > t.Deadline+j.limits.ResponseSlack+t.LinkDelay+j.pausedFor(t.Node, t.Sent, t.Ended) && !j.hadOutage(t.Node, t.Sent, t.Ended) {
				j.breach(RuleLate, t.Ended, "%s was answered %v after the client's wait", t.ID, t.Ended-t.Deadline)
			}
		}
		if t.Outcome == Served && t.BodyID != t.ID {
			j.breach(RuleWrongResponse, t.Ended, "%s was served the answer of %q", t.ID, t.BodyID)
		}
	}
}

// checkExecutions checks that nothing ran twice that must not, and that refusals were harmless.
func (j *auditor) checkExecutions() {
	first := map[int]*Execution{}
	byID := map[string]*Execution{}
	for i := range j.record.Executions {
		run := &j.record.Executions[i]
		byID[run.ID] = run
		if run.Effect == Safe {
			continue
		}
		if was := first[run.Operation]; was != nil {
			j.breach(RuleDuplicateExecution, run.At, "operation %d ran as %s at %s, and before as %s at %s", run.Operation, run.ID, run.Server,
				was.ID, was.Server)
			continue
		}
		first[run.Operation] = run
	}
	for i := range j.record.Attempts {
		t := &j.record.Attempts[i]
		if t.Outcome == Rejected && t.Effect == Unsafe && byID[t.ID] != nil {
			j.breach(RuleRejectedThoughExecuted, t.Ended, "%s was refused after it had begun at %s", t.ID, byID[t.ID].Server)
		}
	}
}

// checkSentAfterResponse checks that nothing is sent for a request that has its final answer.
func (j *auditor) checkSentAfterResponse() {
	ended := make(map[string]*Attempt, len(j.record.Attempts))
	forwarded := map[string]bool{}
	for _, c := range j.record.Receipts {
		forwarded[c.ID] = true
	}
	for i := range j.record.Attempts {
		t := &j.record.Attempts[i]
		ended[t.ID] = t
		if t.Outcome == RacedClose && forwarded[t.ID] && !j.hadOutage(t.Node, t.Sent, t.Ended) {
			j.breach(RuleUnanswered, t.Ended, "%s was read by node %d, sent on, and never answered", t.ID, t.Node)
		}
	}
	for _, c := range j.record.Receipts {
		t := ended[c.ID]
		if t == nil || t.Outcome == Cancelled || t.Outcome == RacedClose || t.Outcome == LinkReset || t.Outcome == Lost || t.Outcome == InTransit {
			continue // there was no final answer, or it is not known when the node learnt that the client is gone
		}
		if c.At > t.Ended+j.limits.ResponseSlack+j.limits.LinkDelay+j.pausedFor(c.Node, t.Sent, c.At)+j.stalledFor(c.Server, t.Ended, c.At) && !j.hadOutage(c.Node, t.Sent, c.At) {
			j.breach(RuleSentAfterResponse, c.At, "%s came to %s %v after its final answer", c.ID, c.Server, c.At-t.Ended)
		}
	}
}

// checkDrains checks that no server got anything new later than the grace after a node was told that it drains or is gone.
func (j *auditor) checkDrains() {
	type key struct {
		node   int
		server string
	}
	told := map[key][]ListUpdate{}
	for _, t := range j.record.ListUpdates {
		k := key{t.Node, t.Server}
		told[k] = append(told[k], t)
	}
	for _, list := range told {
		sort.SliceStable(list, func(a, b int) bool { return list[a].At < list[b].At })
	}
	for _, c := range j.record.Receipts {
		var last *ListUpdate
		for i, t := range told[key{c.Node, c.Server}] {
			if t.At <= c.At {
				last = &told[key{c.Node, c.Server}][i]
			}
		}
		if last == nil || !last.Withdrawn {
			continue
		}
		if c.At > last.At+j.limits.DrainGrace+j.limits.ResponseSlack+j.limits.LinkDelay+j.pausedFor(c.Node, last.At, c.At)+j.stalledFor(c.Server, last.At, c.At) && !j.hadOutage(c.Node, last.At, c.At) {
			j.breach(RuleDrain, c.At, "%s came to %s from node %d %v after its drain was told", c.ID, c.Server, c.Node,
				c.At-last.At)
		}
	}
}
