package shadow

import (
	"slices"

	"tackhub.example/tackhub/balancer"
)

// Kinds of differences: what the shadow settings would have done. The values are the counters' keys.
const (
	DifferentServer = "other_server"       // sent to another server of the same zone
	DifferentZone   = "other_zone"         // sent to a server of another zone
	Queued          = "held"               // queued what was sent, rejected or failed
	Rejected        = "refused"            // rejected what was sent, queued or failed
	Failed          = "failed"             // failed what was sent, queued or rejected
	Sent            = "sent"               // sent what was queued, rejected or failed
	Retried         = "further_attempt"    // retried what was not
	NotRetried      = "no_further_attempt" // not retried what was
	RetryAfter      = "retry_after"        // told the client another time to come back
	Cancellation    = "withdrawal"         // cancelled other attempts
	Probe           = "probe"              // probed other servers for their load
	Gossip          = "message"            // told the other nodes something else, or nothing
)

var kinds = []string{DifferentServer, DifferentZone, Queued, Rejected, Failed, Sent, Retried, NotRetried, RetryAfter,
	Cancellation, Probe, Gossip}

// decision is what became of a request in one step.
type decision struct {
	kind       string // Sent, Rejected, Failed, or empty: nothing
	server     balancer.ServerID
	retryAfter balancer.Millis
}

// stepResult is one step's actions, by kind.
type stepResult struct {
	requests  map[balancer.RequestID]decision
	probes    []balancer.ServerID // sorted
	cancelled []balancer.CancelAttempt
	messages  []string
}

func resultOf(actions []balancer.Action) stepResult {
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

// compare counts where two results of one step differ.
func (e *Evaluator) compare(event balancer.Event, actual, shadow []balancer.Action) {
	e.counters.Steps.Inc()
	did, would := resultOf(actual), resultOf(shadow)
	e.compareRequests(event, did, would)
	for kind, differs := range map[string]bool{
		Probe:        !slices.Equal(did.probes, would.probes),
		Cancellation: !slices.Equal(did.cancelled, would.cancelled),
		Gossip:       !slices.Equal(did.messages, would.messages),
	} {
		if differs {
			e.counters.Differ.Inc(kind)
		}
	}
	e.forgetFinished(event)
}

func (e *Evaluator) compareRequests(event balancer.Event, did, would stepResult) {
	ended := balancer.RequestID(0) // the request whose attempt has ended, so that a further one is a retry
	if completed, ok := event.(balancer.AttemptCompleted); ok {
		ended = completed.ID
	}
	for id, shadow := range would.requests {
		e.countDifference(id, difference(did.requests[id], shadow, id == ended, e.balancer.ZoneOf))
	}
	for id, actual := range did.requests {
		if _, both := would.requests[id]; !both {
			e.countDifference(id, difference(actual, decision{}, id == ended, e.balancer.ZoneOf))
		}
		if actual.kind != Sent {
			delete(e.counted, id)
		}
	}
}

// difference names what the shadow settings would have done instead; empty where they agree.
func difference(did, would decision, attemptEnded bool, zoneOf func(balancer.ServerID) string) string {
	switch {
	case did == would:
		return ""
	case did.kind == Sent && would.kind == Sent:
		if zoneOf(did.server) != zoneOf(would.server) {
			return DifferentZone
		}
		return DifferentServer
	case did.kind == would.kind:
		return RetryAfter
	case attemptEnded && would.kind == Sent:
		return Retried
	case attemptEnded && did.kind == Sent:
		return NotRetried
	case would.kind == "":
		return Queued
	}
	return would.kind
}

// countDifference counts a kind of difference once for each request: one that is queued is decided
// on again and again.
func (e *Evaluator) countDifference(id balancer.RequestID, kind string) {
	if kind == "" {
		return
	}
	bit := uint(1) << slices.Index(kinds, kind)
	if e.counted[id]&bit != 0 {
		return
	}
	if len(e.counted) >= maxRequests {
		clear(e.counted)
	}
	e.counted[id] |= bit
	e.counters.Differ.Inc(kind)
}

// forgetFinished drops a request that an event has ended.
func (e *Evaluator) forgetFinished(event balancer.Event) {
	switch event := event.(type) {
	case balancer.AttemptCompleted:
		if event.RequestFinished {
			delete(e.counted, event.ID)
		}
	case balancer.ClientCancelled:
		delete(e.counted, event.ID)
	}
}
