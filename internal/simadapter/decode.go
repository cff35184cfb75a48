package simadapter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"tackhub.example/tackhub/balancer"
)

// ParseBatch reads one line.
func ParseBatch(line []byte) (Batch, error) {
	var b Batch
	if len(bytes.TrimSpace(line)) == 0 || bytes.TrimSpace(line)[0] != '{' {
		return b, errors.New("not a batch: no JSON object")
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return b, fmt.Errorf("not a batch: %w", err)
	}
	if b.Parts == nil {
		return b, errors.New("not a batch: no parts")
	}
	return b, nil
}

var outcomes = map[string]balancer.Outcome{
	"success": balancer.OK, "failure": balancer.Errored, "overloaded": balancer.Overloaded, "timed_out": balancer.TimedOut,
	"unreachable": balancer.Unreachable, "broken": balancer.ConnectionLost, "withdrawn": balancer.Cancelled, "void": balancer.NotSent,
}

// outcome reads an outcome; one that is not known is taken as an error that may have run.
func outcome(rc string) balancer.Outcome {
	if r, ok := outcomes[rc]; ok {
		return r
	}
	return balancer.Errored
}

var endpointStates = map[string]balancer.EndpointState{
	"Running": balancer.Ready, "Stopping": balancer.Draining, "Deleted": balancer.Removed,
}

// Entries turns a wire list into the balancer's. An unknown state counts as draining: nothing new
// is sent there.
func Entries(members []Entry) []balancer.Endpoint {
	out := make([]balancer.Endpoint, 0, len(members))
	for _, m := range members {
		state, ok := endpointStates[m.Readiness]
		if !ok {
			state = balancer.Draining
		}
		out = append(out, balancer.Endpoint{ID: balancer.ServerID(m.Backend), State: state, Zone: m.AZ,
			Cell: m.Block, Capacity: m.Capacity, Started: m.Start})
	}
	return out
}

var updateKinds = map[string]balancer.UpdateKind{
	"delta": balancer.DeltaUpdate, "full": balancer.FullUpdate, "cached": balancer.CachedUpdate, "failed": balancer.UpdateFailed,
}

// Translate turns a wire event into the balancer's, with the lists by number; nil for one to be
// skipped. Indexes say where a load report's figures stand.
func Translate(e *Event, lists map[int][]balancer.Endpoint, indexes ReportIndexes) balancer.Event {
	load := indexes.load(e.Feedback)
	switch e.What {
	case "announce":
		form, ok := updateKinds[e.Form]
		if !ok {
			return nil
		}
		if form == balancer.UpdateFailed {
			return balancer.EndpointUpdate{Kind: form}
		}
		return balancer.EndpointUpdate{Kind: form, Endpoints: lists[e.Ref]}
	case "arrival":
		return balancer.Arrival{ID: balancer.RequestID(e.Job), Class: e.Kind, Tenant: string(e.Project), Key: e.Object,
			WorkHint: e.SizeHint, IsRetry: e.Retry, Deadline: e.Expires}
	case "first_byte":
		return balancer.ResponseStarted{ID: balancer.RequestID(e.Job), Attempt: e.N}
	case "deadline_hit":
		return balancer.TimerFired{Token: e.Ctx}
	case "attempt_end":
		return balancer.AttemptCompleted{ID: balancer.RequestID(e.Job), Attempt: e.N, Server: balancer.ServerID(e.Backend),
			Outcome: outcome(e.RC), Elapsed: e.RTT, RequestFinished: e.NoMore, Report: load}
	case "sampled":
		return balancer.LoadProbeCompleted{Server: balancer.ServerID(e.Backend), Outcome: outcome(e.RC), Elapsed: e.RTT, Report: load}
	case "peer_data":
		return balancer.GossipReceived{From: e.From, Body: e.Content}
	case "dropped":
		return balancer.ClientCancelled{ID: balancer.RequestID(e.Job)}
	}
	return nil
}

// ReportIndexes are where a load report holds what the balancer reads; -1 where it does not.
type ReportIndexes struct{ InFlight, Queued int }

func (p ReportIndexes) load(figures []float64) (l balancer.LoadReport) {
	if p.InFlight >= 0 && p.InFlight < len(figures) {
		l = balancer.LoadReport{Valid: true, InFlight: figures[p.InFlight]}
		if p.Queued >= 0 && p.Queued < len(figures) {
			l.QueueKnown, l.Queued = true, figures[p.Queued]
		}
	}
	return l
}
