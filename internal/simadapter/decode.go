package simadapter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"tackhub.example/tackhub/balancer"
)

// ParseBatch parses one line of input.
func ParseBatch(line []byte) (Batch, error) {
	var b Batch
	if len(bytes.TrimSpace(line)) == 0 || bytes.TrimSpace(line)[0] != '{' {
		return b, errors.New("invalid batch: not a JSON object")
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return b, fmt.Errorf("invalid batch: %w", err)
	}
	if b.Parts == nil {
		return b, errors.New("invalid batch: field parts is missing")
	}
	return b, nil
}

// outcomes maps the result codes of the wire format.
var outcomes = map[string]balancer.Outcome{
	"success": balancer.OK, "failure": balancer.Errored, "overloaded": balancer.Overloaded, "timed_out": balancer.TimedOut,
	"unreachable": balancer.Unreachable, "broken": balancer.ConnectionLost, "withdrawn": balancer.Cancelled, "void": balancer.NotSent,
}

// outcome translates a result code. An unknown code counts as an error of a request that may have been executed.
func outcome(rc string) balancer.Outcome {
	if result, known := outcomes[rc]; known {
		return result
	}
	return balancer.Errored
}

// endpointStates maps the endpoint states of the wire format.
var endpointStates = map[string]balancer.EndpointState{
	"Running": balancer.Ready, "Stopping": balancer.Draining, "Deleted": balancer.Removed,
}

// Entries translates an endpoint list. An endpoint in an unknown state counts as draining, so it receives no new requests.
func Entries(members []Entry) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, 0, len(members))
	for _, member := range members {
		state, known := endpointStates[member.Readiness]
		if !known {
			state = balancer.Draining
		}
		endpoints = append(endpoints, balancer.Endpoint{ID: balancer.ServerID(member.Backend), State: state, Zone: member.AZ,
			Cell: member.Block, Capacity: member.Capacity, Started: member.Start})
	}
	return endpoints
}

// updateKinds maps the kinds of endpoint updates of the wire format.
var updateKinds = map[string]balancer.UpdateKind{
	"delta": balancer.DeltaUpdate, "full": balancer.FullUpdate, "cached": balancer.CachedUpdate, "failed": balancer.UpdateFailed,
}

// Translate translates an event of the wire format to one of package balancer. It returns nil if the type of the event or the
// kind of an endpoint update is unknown; such events are ignored. lists holds the endpoint lists by number; indexes locates the
// figures of a load report.
func Translate(e *Event, lists map[int][]balancer.Endpoint, indexes ReportIndexes) balancer.Event {
	load := indexes.loadReport(e.Feedback)
	switch e.Type {
	case "announce":
		updateKind, known := updateKinds[e.Form]
		if !known {
			return nil
		}
		if updateKind == balancer.UpdateFailed {
			return balancer.EndpointUpdate{Kind: updateKind}
		}
		return balancer.EndpointUpdate{Kind: updateKind, Endpoints: lists[e.ListNumber]}
	case "arrival":
		return balancer.Arrival{ID: balancer.RequestID(e.Job), Class: e.Kind, Tenant: string(e.Project), Key: e.Object,
			WorkHint: e.SizeHint, IsRetry: e.Retry, Deadline: e.Expires}
	case "first_byte":
		return balancer.ResponseStarted{ID: balancer.RequestID(e.Job), Attempt: e.AttemptNumber}
	case "deadline_hit":
		return balancer.TimerFired{Token: e.TimerToken}
	case "attempt_end":
		return balancer.AttemptCompleted{ID: balancer.RequestID(e.Job), Attempt: e.AttemptNumber, Server: balancer.ServerID(e.Backend),
			Outcome: outcome(e.ResultCode), Elapsed: e.RTT, RequestFinished: e.NoMore, Report: load}
	case "sampled":
		return balancer.LoadProbeCompleted{Server: balancer.ServerID(e.Backend), Outcome: outcome(e.ResultCode), Elapsed: e.RTT, Report: load}
	case "peer_data":
		return balancer.GossipReceived{From: e.From, Body: e.Content}
	case "dropped":
		return balancer.ClientCancelled{ID: balancer.RequestID(e.Job)}
	}
	return nil
}

// ReportIndexes holds the indexes of the load report figures that the balancer reads; -1 if the report does not have the figure.
type ReportIndexes struct{ InFlight, Queued int }

// loadReport returns the load report with the given figures. It is valid only if the number of requests in flight is known.
func (p ReportIndexes) loadReport(figures []float64) (report balancer.LoadReport) {
	if p.InFlight >= 0 && p.InFlight < len(figures) {
		report = balancer.LoadReport{Valid: true, InFlight: figures[p.InFlight]}
		if p.Queued >= 0 && p.Queued < len(figures) {
			report.QueueKnown, report.Queued = true, figures[p.Queued]
		}
	}
	return report
}
