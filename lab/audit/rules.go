package audit

import (
	"fmt"
	"sort"
	"time"
)

// auditor collects the breaches of one record.
type auditor struct {
	record   *Record
	limits   Limits
	breaches []Breach
}

func (a *auditor) breach(rule string, at Offset, format string, args ...any) {
	a.breaches = append(a.breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// hadOutage reports whether a node could not act at some time between two moments.
func (a *auditor) hadOutage(node int, from, to Offset) bool {
	for _, o := range a.record.Outages {
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

// pausedFor is how long a node was suspended between two moments.
func (a *auditor) pausedFor(node int, from, to Offset) time.Duration {
	sum := time.Duration(0)
	for _, p := range a.record.Pauses {
		if p.Node == node {
			sum += overlap(p.From, p.To, from, to)
		}
	}
	return sum
}

// stalledFor is how long the lab held back what was in transit to a server between two moments.
func (a *auditor) stalledFor(server string, from, to Offset) time.Duration {
	sum := time.Duration(0)
	for _, s := range a.record.Stalls {
		if s.Server == server {
			sum += overlap(s.From, s.To, from, to)
		}
	}
	return sum
}

// checkSentAfterCancel checks that no attempt begins once its client has gone.
func (a *auditor) checkSentAfterCancel() {
	left := map[string]*Attempt{}
	for i := range a.record.Attempts {
		if t := &a.record.Attempts[i]; t.Outcome == Cancelled {
			left[t.ID] = t
		}
	}
	for _, c := range a.record.Receipts {
		t := left[c.ID]
		if t == nil {
			continue
		}
		over := c.At - t.Ended
		allowed := cancelSlack + a.limits.LinkDelay + t.LinkDelay
		allowed += a.pausedFor(c.Node, t.Ended, c.At) + a.stalledFor(c.Server, t.Ended, c.At)
		if over > allowed && !a.hadOutage(c.Node, t.Sent, c.At) {
			a.breach(RuleSentAfterCancel, c.At, "%s came to %s from node %d %v after its client had left", c.ID, c.Server, c.Node, over)
		}
	}
}

// checkDeadlines checks that no server is given more time than its client has left.
func (a *auditor) checkDeadlines() {
	tries := make(map[string]*Attempt, len(a.record.Attempts))
	for i := range a.record.Attempts {
		tries[a.record.Attempts[i].ID] = &a.record.Attempts[i]
	}
	for _, c := range a.record.Receipts {
		t := tries[c.ID]
		if t == nil || c.Deadline <= 0 {
			continue
		}
		allowed := deadlineSlack + a.limits.LinkDelay + t.LinkDelay + a.stalledFor(c.Server, t.Sent, c.At)
		if over := c.At + c.Deadline - t.Deadline; over > allowed && !a.hadOutage(c.Node, t.Sent, c.At) {
			a.breach(RuleDeadline, c.At, "%s told %s to work %v beyond its client's wait", c.ID, c.Server, over)
		}
	}
}

// checkResponses checks that every attempt has one whole response of its own, in time.
func (a *auditor) checkResponses() {
	for i := range a.record.Attempts {
		t := &a.record.Attempts[i]
		if t.Responses > 1 {
			a.breach(RuleDuplicateResponse, t.Ended, "%s got %d answers from node %d", t.ID, t.Responses, t.Node)
		}
		switch t.Outcome {
		case Lost:
			if !a.hadOutage(t.Node, t.Sent, t.Ended) {
				a.breach(RuleUnanswered, t.Ended, "%s was sent to node %d at %v and never answered", t.ID, t.Node, t.Sent)
			}
		case Served, Rejected, Failed:
			latest := t.Deadline + a.limits.ResponseSlack + t.LinkDelay + a.pausedFor(t.Node, t.Sent, t.Ended)
			if t.Ended > latest && !a.hadOutage(t.Node, t.Sent, t.Ended) {
				a.breach(RuleLate, t.Ended, "%s was answered %v after the client's wait", t.ID, t.Ended-t.Deadline)
			}
		}
		if t.Outcome == Served && t.BodyID != t.ID {
			a.breach(RuleWrongResponse, t.Ended, "%s was served the answer of %q", t.ID, t.BodyID)
		}
	}
}

// checkExecutions checks that nothing was executed twice that must not be, and that what was rejected had not been
// executed.
func (a *auditor) checkExecutions() {
	first := map[int]*Execution{}
	byID := map[string]*Execution{}
	for i := range a.record.Executions {
		run := &a.record.Executions[i]
		byID[run.ID] = run
		if run.Effect == Safe {
			continue
		}
		if was := first[run.Operation]; was != nil {
			a.breach(RuleDuplicateExecution, run.At, "operation %d ran as %s at %s, and before as %s at %s", run.Operation, run.ID, run.Server,
				was.ID, was.Server)
			continue
		}
		first[run.Operation] = run
	}
	for i := range a.record.Attempts {
		t := &a.record.Attempts[i]
		if t.Outcome == Rejected && t.Effect == Unsafe && byID[t.ID] != nil {
			a.breach(RuleRejectedThoughExecuted, t.Ended, "%s was refused after it had begun at %s", t.ID, byID[t.ID].Server)
		}
	}
}

// hasResponse reports whether an attempt ended with a response. NotConnected counts as one: nothing may be sent for it. For the
// others it is not known when the node learned that its client is gone.
func (e Outcome) hasResponse() bool {
	switch e {
	case Cancelled, RacedClose, LinkReset, Lost, InTransit:
		return false
	}
	return true
}

// checkSentAfterResponse checks that nothing is sent for a request that has its final response.
func (a *auditor) checkSentAfterResponse() {
	ended := make(map[string]*Attempt, len(a.record.Attempts))
	forwarded := map[string]bool{}
	for _, c := range a.record.Receipts {
		forwarded[c.ID] = true
	}
	for i := range a.record.Attempts {
		t := &a.record.Attempts[i]
		ended[t.ID] = t
		if t.Outcome == RacedClose && forwarded[t.ID] && !a.hadOutage(t.Node, t.Sent, t.Ended) {
			a.breach(RuleUnanswered, t.Ended, "%s was read by node %d, sent on, and never answered", t.ID, t.Node)
		}
	}
	for _, c := range a.record.Receipts {
		t := ended[c.ID]
		if t == nil || !t.Outcome.hasResponse() {
			continue
		}
		latest := t.Ended + a.limits.ResponseSlack + a.limits.LinkDelay
		latest += a.pausedFor(c.Node, t.Sent, c.At) + a.stalledFor(c.Server, t.Ended, c.At)
		if c.At > latest && !a.hadOutage(c.Node, t.Sent, c.At) {
			a.breach(RuleSentAfterResponse, c.At, "%s came to %s %v after its final answer", c.ID, c.Server, c.At-t.Ended)
		}
	}
}

// checkDrains checks that no server got anything new later than the grace after a node was notified that it drains or
// is gone.
func (a *auditor) checkDrains() {
	type key struct {
		node   int
		server string
	}
	updates := map[key][]ListUpdate{}
	for _, u := range a.record.ListUpdates {
		k := key{u.Node, u.Server}
		updates[k] = append(updates[k], u)
	}
	for _, list := range updates {
		sort.SliceStable(list, func(a, b int) bool { return list[a].At < list[b].At })
	}
	for _, c := range a.record.Receipts {
		var last *ListUpdate
		for i, u := range updates[key{c.Node, c.Server}] {
			if u.At <= c.At {
				last = &updates[key{c.Node, c.Server}][i]
			}
		}
		if last == nil || !last.Withdrawn {
			continue
		}
		latest := last.At + a.limits.DrainGrace + a.limits.ResponseSlack + a.limits.LinkDelay
		latest += a.pausedFor(c.Node, last.At, c.At) + a.stalledFor(c.Server, last.At, c.At)
		if c.At > latest && !a.hadOutage(c.Node, last.At, c.At) {
			a.breach(RuleDrain, c.At, "%s came to %s from node %d %v after its drain was told", c.ID, c.Server, c.Node,
				c.At-last.At)
		}
	}
}
