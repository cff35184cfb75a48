package shadow

import (
	"slices"

	"tackhub.example/tackhub/balancer"
)

// Kinds of differences between the actual decision and that of the shadow settings. Each comment describes what the shadow
// settings would have done. The values are the keys of the counters.
const (
	DifferentServer = "other_server"       // sent the request to another server of the same zone
	DifferentZone   = "other_zone"         // sent the request to a server of another zone
	Queued          = "held"               // queued a request that was sent, rejected or failed
	Rejected        = "refused"            // rejected a request that was sent, queued or failed
	Failed          = "failed"             // failed a request that was sent, queued or rejected
	Sent            = "sent"               // sent a request that was queued, rejected or failed
	Retried         = "further_attempt"    // retried a request that was not retried
	NotRetried      = "no_further_attempt" // did not retry a request that was retried
	RetryAfter      = "retry_after"        // sent another Retry-After time to the client
	Cancellation    = "withdrawal"         // cancelled other attempts
	Probe           = "probe"              // sent load probes to other servers
	Gossip          = "message"            // sent other gossip messages, or none
)

// kinds lists all kinds of differences. The index of a kind is its bit in Evaluator.countedKinds.
var kinds = []string{DifferentServer, DifferentZone, Queued, Rejected, Failed, Sent, Retried, NotRetried, RetryAfter,
	Cancellation, Probe, Gossip}

// decision is the decision of one step of the balancer about a request.
type decision struct {
	kind       string // Sent, Rejected or Failed; empty if the step decided nothing
	server     balancer.ServerID
	retryAfter balancer.Millis
}

// stepResult holds the actions of one step, grouped by kind.
type stepResult struct {
	requests  map[balancer.RequestID]decision
	probes    []balancer.ServerID // sorted
	cancelled []balancer.CancelAttempt
	messages  []string
}

// newStepResult groups the actions of one step.
func newStepResult(actions []balancer.Action) stepResult {
	result := stepResult{requests: map[balancer.RequestID]decision{}}
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.StartAttempt:
			result.requests[a.ID] = decision{kind: Sent, server: a.Server}
		case balancer.Reject:
			result.requests[a.ID] = decision{kind: Rejected, retryAfter: a.RetryAfter}
		case balancer.Fail:
			result.requests[a.ID] = decision{kind: Failed}
		case balancer.ProbeLoad:
			result.probes = append(result.probes, a.Server)
		case balancer.CancelAttempt:
			result.cancelled = append(result.cancelled, a)
		case balancer.BroadcastGossip:
			result.messages = append(result.messages, string(a.Body))
		}
	}
	slices.Sort(result.probes)
	return result
}

// compare counts the differences between the actual actions of a step and those of the shadow settings.
func (e *Evaluator) compare(event balancer.Event, actual, shadow []balancer.Action) {
	e.counters.Steps.Inc()
	actualResult, shadowResult := newStepResult(actual), newStepResult(shadow)
	e.compareRequests(event, actualResult, shadowResult)
	for kind, differs := range map[string]bool{
		Probe:        !slices.Equal(actualResult.probes, shadowResult.probes),
		Cancellation: !slices.Equal(actualResult.cancelled, shadowResult.cancelled),
		Gossip:       !slices.Equal(actualResult.messages, shadowResult.messages),
	} {
		if differs {
			e.counters.Differences.Inc(kind)
		}
	}
	e.forgetFinished(event)
}

// compareRequests counts the differences between the decisions about each request.
func (e *Evaluator) compareRequests(event balancer.Event, actualResult, shadowResult stepResult) {
	endedID := balancer.RequestID(0) // the request whose attempt has ended; a new attempt of it is a retry
	if completed, ok := event.(balancer.AttemptCompleted); ok {
		endedID = completed.ID
	}
	for id, shadowDecision := range shadowResult.requests {
		e.countDifference(id, difference(actualResult.requests[id], shadowDecision, id == endedID, e.balancer.ZoneOf))
	}
	for id, actualDecision := range actualResult.requests {
		if _, inShadow := shadowResult.requests[id]; !inShadow {
			e.countDifference(id, difference(actualDecision, decision{}, id == endedID, e.balancer.ZoneOf))
		}
		if actualDecision.kind != Sent {
			delete(e.countedKinds, id)
		}
	}
}

// difference returns the kind of the difference between two decisions about a request, or an empty string if they are equal.
// attemptEnded is true if the step handled the end of an attempt of the request.
func difference(actual, shadow decision, attemptEnded bool, zoneOf func(balancer.ServerID) string) string {
	switch {
	case actual == shadow:
		return ""
	case actual.kind == Sent && shadow.kind == Sent:
		if zoneOf(actual.server) != zoneOf(shadow.server) {
			return DifferentZone
		}
		return DifferentServer
	case actual.kind == shadow.kind:
		return RetryAfter
	case attemptEnded && shadow.kind == Sent:
		return Retried
	case attemptEnded && actual.kind == Sent:
		return NotRetried
	case shadow.kind == "":
		return Queued
	}
	return shadow.kind
}

// countDifference counts a kind of difference once for each request, because a queued request is decided on again in many steps.
func (e *Evaluator) countDifference(id balancer.RequestID, kind string) {
	if kind == "" {
		return
	}
	bit := uint(1) << slices.Index(kinds, kind)
	if e.countedKinds[id]&bit != 0 {
		return
	}
	if len(e.countedKinds) >= maxTrackedRequests {
		clear(e.countedKinds)
	}
	e.countedKinds[id] |= bit
	e.counters.Differences.Inc(kind)
}

// forgetFinished removes a request from countedKinds if the event ends it.
func (e *Evaluator) forgetFinished(event balancer.Event) {
	switch event := event.(type) {
	case balancer.AttemptCompleted:
		if event.RequestFinished {
			delete(e.countedKinds, event.ID)
		}
	case balancer.ClientCancelled:
		delete(e.countedKinds, event.ID)
	}
}
