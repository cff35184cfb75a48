// Package simadapter translates between the simulator's wire (basalt-222b, one JSON value a line) and the
// types of package logic. It decides nothing.
package simadapter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"tackhub.example/tackhub/balancer"
)

// Batch is one line of events.
type Batch struct {
	Now    float64 `json:"now_ms"`
	Serial uint64  `json:"serial"`
	Parts  []Part  `json:"parts"`
}

// Part holds the events of one instance.
type Part struct {
	Node  int     `json:"node_id"`
	Items []Event `json:"items"`
}

// Event is any event of the wire; What tells which of the fields count.
type Event struct {
	What string `json:"what"`

	Nonce   uint64          `json:"nonce64"`
	Options json.RawMessage `json:"options"`

	Ref     int     `json:"ref"`
	Members []Entry `json:"members_list"`
	Form    string  `json:"form"`

	Job      uint64    `json:"job"`
	SizeHint float64   `json:"size_hint_ms"`
	Kind     string    `json:"kind"`
	Object   string    `json:"object"`
	Retry    bool      `json:"retry"`
	Project  Name      `json:"project"`
	Expires  float64   `json:"expires_ms"`
	NoMore   bool      `json:"no_more"`
	RTT      float64   `json:"rtt_ms"`
	Backend  string    `json:"backend"`
	RC       string    `json:"rc"`
	N        int       `json:"n"`
	Feedback []float64 `json:"feedback"`
	Ctx      string    `json:"ctx"`
	From     int       `json:"from"`
	Content  []byte    `json:"content"`
}

// Name is a text that may also come as a number where there is none (a tenant of 0).
type Name string

// UnmarshalJSON reads a text, null or a number.
func (n *Name) UnmarshalJSON(b []byte) error {
	if len(b) > 0 && b[0] == '"' {
		return json.Unmarshal(b, (*string)(n))
	}
	*n = ""
	return nil
}

// Entry is one server of a list.
type Entry struct {
	Block     int     `json:"block"`
	Readiness string  `json:"readiness"`
	Capacity  float64 `json:"capacity_hint"`
	Backend   string  `json:"backend"`
	AZ        string  `json:"az"`
	Start     float64 `json:"start_time_ms"`
}

// Reply answers a batch.
type Reply struct {
	Serial uint64      `json:"serial"`
	Parts  []ReplyPart `json:"parts"`
}

// ReplyPart holds the actions of one instance.
type ReplyPart struct {
	Node      int   `json:"node_id"`
	Decisions []any `json:"decisions"`
}

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

var results = map[string]balancer.Outcome{
	"success": balancer.OK, "failure": balancer.Errored, "overloaded": balancer.Overloaded, "timed_out": balancer.TimedOut,
	"unreachable": balancer.Unreachable, "broken": balancer.ConnectionLost, "withdrawn": balancer.Cancelled, "void": balancer.NotSent,
}

// result reads an outcome; one that is not known is taken as an error that may have run.
func result(rc string) balancer.Outcome {
	if r, ok := results[rc]; ok {
		return r
	}
	return balancer.Errored
}

var states = map[string]balancer.EndpointState{
	"Running": balancer.Ready, "Stopping": balancer.Draining, "Deleted": balancer.Removed,
}

// Entries turns a wire list into logic's. An unknown state counts as draining: nothing new is sent there.
func Entries(members []Entry) []balancer.Endpoint {
	out := make([]balancer.Endpoint, 0, len(members))
	for _, m := range members {
		state, ok := states[m.Readiness]
		if !ok {
			state = balancer.Draining
		}
		out = append(out, balancer.Endpoint{ID: balancer.ServerID(m.Backend), State: state, Zone: m.AZ,
			Cell: m.Block, Capacity: m.Capacity, Started: m.Start})
	}
	return out
}

var forms = map[string]balancer.UpdateKind{
	"delta": balancer.DeltaUpdate, "full": balancer.FullUpdate, "cached": balancer.CachedUpdate, "failed": balancer.UpdateFailed,
}

// Translate turns a wire event into logic's, with the lists by number; nil for one to be skipped.
// At tells the places of a load report's figures.
func Translate(e *Event, lists map[int][]balancer.Endpoint, at Places) balancer.Event {
	load := at.load(e.Feedback)
	switch e.What {
	case "announce":
		form, ok := forms[e.Form]
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
			Outcome: result(e.RC), Elapsed: e.RTT, Closed: e.NoMore, Report: load}
	case "sampled":
		return balancer.LoadProbeCompleted{Server: balancer.ServerID(e.Backend), Outcome: result(e.RC), Elapsed: e.RTT, Report: load}
	case "peer_data":
		return balancer.GossipReceived{From: e.From, Body: e.Content}
	case "dropped":
		return balancer.ClientCancelled{ID: balancer.RequestID(e.Job)}
	}
	return nil
}

// Places are where a load report holds what the module reads; -1 where it does not.
type Places struct{ InFlight, Waiting int }

func (p Places) load(figures []float64) (l balancer.LoadReport) {
	if p.InFlight >= 0 && p.InFlight < len(figures) {
		l = balancer.LoadReport{Valid: true, InFlight: figures[p.InFlight]}
		if p.Waiting >= 0 && p.Waiting < len(figures) {
			l.QueueKnown, l.Queued = true, figures[p.Waiting]
		}
	}
	return l
}

type callOut struct {
	What    string  `json:"what"`
	Job     uint64  `json:"job"`
	Stop    float64 `json:"stop_at_ms,omitempty"`
	Backend string  `json:"backend"`
}

type jobAction struct {
	What      string  `json:"what"`
	Job       uint64  `json:"job"`
	NotBefore float64 `json:"not_before_for_ms,omitempty"`
}

type recall struct {
	What string `json:"what"`
	Job  uint64 `json:"job"`
	N    int    `json:"n"`
}

type setTimer struct {
	What string  `json:"what"`
	Ctx  string  `json:"ctx"`
	Time float64 `json:"time_ms"`
}

type backendAction struct {
	What    string `json:"what"`
	Backend string `json:"backend"`
}

type tell struct {
	What    string `json:"what"`
	To      *int   `json:"recipient"`
	Content []byte `json:"content"`
}

type watch struct {
	What string `json:"what"`
	On   bool   `json:"on"`
}

type reason struct {
	What string `json:"what"`
	Text string `json:"reason_text"`
}

// Encode turns an action into its wire form.
func Encode(a balancer.Action) any {
	switch a := a.(type) {
	case balancer.StartAttempt:
		return callOut{"call_out", uint64(a.ID), a.Deadline, string(a.Server)}
	case balancer.CancelAttempt:
		return recall{"recall", uint64(a.ID), a.Attempt}
	case balancer.Reject:
		return jobAction{"busy", uint64(a.ID), a.RetryAfter}
	case balancer.Fail:
		return jobAction{"error", uint64(a.ID), 0}
	case balancer.SetTimer:
		return setTimer{"set_timer", a.Token, a.At}
	case balancer.ProbeLoad:
		return backendAction{"health_check", string(a.Server)}
	case balancer.WatchEndpoints:
		return watch{"stream_changes", true}
	case balancer.BroadcastGossip:
		return tell{"tell", nil, a.Body}
	case balancer.Log:
		return reason{"record", a.Text}
	}
	return reason{"internal_error", fmt.Sprintf("no wire form for %T", a)}
}

// InternalError is the wire form of a node that cannot decide.
func InternalError(text string) any { return reason{"internal_error", text} }
