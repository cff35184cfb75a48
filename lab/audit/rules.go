package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// auditor collects the breaches of one record.
type auditor struct {
	record   *Record
	limits   Limits
	breaches []Breach
}

// breach records a breach of a rule.
func (a *auditor) breach(rule string, at Offset, format string, args ...any) {
	a.breaches = append(a.breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// hadOutage reports whether an outage of a node overlaps a time span.
func (a *auditor) hadOutage(node int, from, to Offset) bool {
	for _, outage := range a.record.Outages {
		if outage.Node == node && outage.From <= to && outage.To >= from {
			return true
		}
	}
	return false
}

// overlap returns the length of the intersection of two time spans.
func overlap(from1, to1, from2, to2 Offset) time.Duration {
	return max(0, min(to1, to2)-max(from1, from2))
}

// pausedFor returns how long a node was suspended within a time span.
func (a *auditor) pausedFor(node int, from, to Offset) time.Duration {
	sum := time.Duration(0)
	for _, pause := range a.record.Pauses {
		if pause.Node == node {
			sum += overlap(pause.From, pause.To, from, to)
		}
	}
	return sum
}

// stalledFor returns how long, within a time span, the lab delayed the data in transit to a server.
func (a *auditor) stalledFor(server string, from, to Offset) time.Duration {
	sum := time.Duration(0)
	for _, stall := range a.record.Stalls {
		if stall.Server == server {
			sum += overlap(stall.From, stall.To, from, to)
		}
	}
	return sum
}

// checkSentAfterCancel checks that no request reaches a server after its client has cancelled it.
func (a *auditor) checkSentAfterCancel() {
	cancelled := map[string]*Attempt{}
	for i := range a.record.Attempts {
		if attempt := &a.record.Attempts[i]; attempt.Outcome == Cancelled {
			cancelled[attempt.ID] = attempt
		}
	}
	for _, receipt := range a.record.Receipts {
		attempt := cancelled[receipt.ID]
		if attempt == nil {
			continue
		}
		delay := receipt.At - attempt.Ended
		allowed := cancelSlack + a.limits.LinkDelay + attempt.LinkDelay
		allowed += a.pausedFor(receipt.Node, attempt.Ended, receipt.At) + a.stalledFor(receipt.Server, attempt.Ended, receipt.At)
		if delay > allowed && !a.hadOutage(receipt.Node, attempt.Sent, receipt.At) {
			a.breach(RuleSentAfterCancel, receipt.At, "%s reached %s from node %d %v after its client had cancelled", receipt.ID, receipt.Server,
				receipt.Node, delay)
		}
	}
}

// checkDeadlines checks that no server is given more time than the client has left.
func (a *auditor) checkDeadlines() {
	attempts := make(map[string]*Attempt, len(a.record.Attempts))
	for i := range a.record.Attempts {
		attempts[a.record.Attempts[i].ID] = &a.record.Attempts[i]
	}
	for _, receipt := range a.record.Receipts {
		attempt := attempts[receipt.ID]
		if attempt == nil || receipt.Deadline <= 0 {
			continue
		}
		allowed := deadlineSlack + a.limits.LinkDelay + attempt.LinkDelay + attempt.Unreachable
		allowed += a.stalledFor(receipt.Server, attempt.Sent, receipt.At)
		if excess := a.deadlineExcess(attempt, receipt); excess > allowed && !a.hadOutage(receipt.Node, attempt.Sent, receipt.At) {
			a.breach(RuleDeadline, receipt.At, "%s reached %s with a time limit that ends %v after its client's timeout", receipt.ID,
				receipt.Server, excess)
		}
	}
}

// deadlineExcess returns by how much the time limit of a receipt exceeds the time that its client has left. A safe request of which the
// next process of its node got a later copy is new to that process, which counts the client's whole time from that copy.
func (a *auditor) deadlineExcess(attempt *Attempt, receipt Receipt) time.Duration {
	if _, ok := a.nextProcess(attempt, receipt); ok {
		return receipt.Deadline - (attempt.Deadline - attempt.Sent)
	}
	return receipt.At + receipt.Deadline - attempt.Deadline
}

// checkResponses checks that every attempt gets exactly one complete response, its own, in time.
func (a *auditor) checkResponses() {
	for i := range a.record.Attempts {
		attempt := &a.record.Attempts[i]
		if attempt.Responses > 1 {
			a.breach(RuleDuplicateResponse, attempt.Ended, "%s got %d responses from node %d, want 1", attempt.ID, attempt.Responses, attempt.Node)
		}
		switch attempt.Outcome {
		case Lost:
			if !a.hadOutage(attempt.Node, attempt.Sent, attempt.Ended) {
				a.breach(RuleUnanswered, attempt.Ended, "%s was sent to node %d at %v and never answered", attempt.ID, attempt.Node, attempt.Sent)
			}
		case Served, Rejected, Failed:
			latest := attempt.Deadline + a.limits.ResponseSlack + attempt.LinkDelay + attempt.Unreachable + a.pausedFor(attempt.Node, attempt.Sent, attempt.Ended)
			if attempt.Ended > latest && !a.hadOutage(attempt.Node, attempt.Sent, attempt.Ended) {
				a.breach(RuleLate, attempt.Ended, "%s was answered %v after the client's timeout", attempt.ID, attempt.Ended-attempt.Deadline)
			}
		}
		if attempt.Outcome == Served && attempt.BodyID != attempt.ID {
			a.breach(RuleWrongResponse, attempt.Ended, "%s got the response of request %q", attempt.ID, attempt.BodyID)
		}
	}
}

// checkExecutions checks that no keyed or unsafe operation was executed twice, and that no server had started an unsafe
// request that was rejected.
func (a *auditor) checkExecutions() {
	firstByOperation := map[int]*Execution{}
	executionByID := map[string]*Execution{}
	for i := range a.record.Executions {
		execution := &a.record.Executions[i]
		executionByID[execution.ID] = execution
		if execution.Effect == Safe {
			continue
		}
		if earlier := firstByOperation[execution.Operation]; earlier != nil {
			a.breach(RuleDuplicateExecution, execution.At, "operation %d was executed as %s at %s, and earlier as %s at %s", execution.Operation,
				execution.ID, execution.Server, earlier.ID, earlier.Server)
			continue
		}
		firstByOperation[execution.Operation] = execution
	}
	for i := range a.record.Attempts {
		attempt := &a.record.Attempts[i]
		if attempt.Outcome == Rejected && attempt.Effect == Unsafe && executionByID[attempt.ID] != nil {
			a.breach(RuleRejectedThoughExecuted, attempt.Ended, "%s was rejected after %s had started it", attempt.ID,
				executionByID[attempt.ID].Server)
		}
	}
}

// hasResponse reports whether an attempt ended with a final response, after which no server may receive it. NotConnected
// counts as one, because no node accepted the request. For the other outcomes it is unknown when the node detected that the
// client was gone.
func (o Outcome) hasResponse() bool {
	switch o {
	case Cancelled, RacedClose, LinkReset, Lost, InTransit:
		return false
	}
	return true
}

// nextProcess returns the start of the process from which a server received a safe request, if that process started after the client had
// sent the first copy. A request with an effect must not run there again.
func (a *auditor) nextProcess(attempt *Attempt, receipt Receipt) (startedAt Offset, ok bool) {
	if attempt.Effect != Safe || attempt.CopyDelay == 0 {
		return 0, false
	}
	for _, start := range a.record.Starts {
		if start.Node == receipt.Node && start.At > attempt.Sent && start.At < receipt.At {
			startedAt, ok = start.At, true
		}
	}
	return startedAt, ok
}

// takenFromCopy reports whether a copy of a request that was under way when its response arrived made the next process of its node take
// the request: a server received it from that process within CopyDelay. The process may try further servers later.
func (a *auditor) takenFromCopy(attempt *Attempt, receipt Receipt, latest Offset) bool {
	startedAt, ok := a.nextProcess(attempt, receipt)
	return ok && slices.ContainsFunc(a.record.Receipts, func(first Receipt) bool {
		return first.ID == receipt.ID && first.Node == receipt.Node && first.At > startedAt && first.At <= latest+attempt.CopyDelay
	})
}

// checkSentAfterResponse checks that no server receives a request after its final response. It also reports a request as
// unanswered if its connection closed right after it was written and the node forwarded it.
func (a *auditor) checkSentAfterResponse() {
	attempts := make(map[string]*Attempt, len(a.record.Attempts))
	forwarded := map[string]bool{}
	for _, receipt := range a.record.Receipts {
		forwarded[receipt.ID] = true
	}
	for i := range a.record.Attempts {
		attempt := &a.record.Attempts[i]
		attempts[attempt.ID] = attempt
		if attempt.Outcome == RacedClose && forwarded[attempt.ID] && !a.hadOutage(attempt.Node, attempt.Sent, attempt.Ended) {
			a.breach(RuleUnanswered, attempt.Ended, "%s was read by node %d, forwarded and never answered", attempt.ID, attempt.Node)
		}
	}
	for _, receipt := range a.record.Receipts {
		attempt := attempts[receipt.ID]
		if attempt == nil || !attempt.Outcome.hasResponse() {
			continue
		}
		latest := attempt.Ended + a.limits.ResponseSlack + a.limits.LinkDelay
		latest += a.pausedFor(receipt.Node, attempt.Sent, receipt.At) + a.stalledFor(receipt.Server, attempt.Ended, receipt.At)
		if receipt.At > latest && !a.takenFromCopy(attempt, receipt, latest) && !a.hadOutage(receipt.Node, attempt.Sent, receipt.At) {
			a.breach(RuleSentAfterResponse, receipt.At, "%s reached %s %v after its final response", receipt.ID, receipt.Server,
				receipt.At-attempt.Ended)
		}
	}
}

// checkDrains checks that a node sends a server no request later than the drain grace after the node was notified that the
// server is draining or gone.
func (a *auditor) checkDrains() {
	type key struct {
		node   int
		server string
	}
	updates := map[key][]ListUpdate{}
	for _, update := range a.record.ListUpdates {
		k := key{update.Node, update.Server}
		updates[k] = append(updates[k], update)
	}
	for _, list := range updates {
		sort.SliceStable(list, func(a, b int) bool { return list[a].At < list[b].At })
	}
	for _, receipt := range a.record.Receipts {
		withdrawnAt, withdrawn := withdrawnSince(updates[key{receipt.Node, receipt.Server}], receipt.At)
		if !withdrawn {
			continue
		}
		toldAt := a.notifiedAfterOutages(receipt.Node, withdrawnAt, receipt.At)
		latest := toldAt + a.limits.DrainGrace + a.limits.ResponseSlack + a.limits.LinkDelay
		latest += a.pausedFor(receipt.Node, toldAt, receipt.At) + a.stalledFor(receipt.Server, toldAt, receipt.At)
		if receipt.At > latest {
			a.breach(RuleDrain, receipt.At, "%s reached %s from node %d %v after the notification of its drain", receipt.ID, receipt.Server,
				receipt.Node, receipt.At-withdrawnAt)
		}
	}
}

// withdrawnSince returns when a server was withdrawn that is withdrawn at a given time: the time of the first update that withdrew it
// and was not followed by one that put it into service. Later updates may repeat the withdrawal. The updates are ordered by time.
func withdrawnSince(updates []ListUpdate, at Offset) (since Offset, withdrawn bool) {
	for _, update := range updates {
		if update.At > at {
			break
		}
		if update.Withdrawn && !withdrawn {
			since = update.At
		}
		withdrawn = update.Withdrawn
	}
	return since, withdrawn
}

// notifiedAfterOutages returns when a node counts as notified of a change at a time, as seen at a later one: at once, or at the end of
// the last outage in between. The process that starts then is notified of what happened during the outage.
func (a *auditor) notifiedAfterOutages(node int, changedAt, seenAt Offset) Offset {
	notifiedAt := changedAt
	for _, outage := range a.record.Outages {
		if outage.Node == node && outage.From <= seenAt && outage.To >= changedAt {
			notifiedAt = max(notifiedAt, outage.To)
		}
	}
	return notifiedAt
}
