// Package shadow asks, at each step of the decision module, what other settings would have decided on the same state, and
// counts where that differs. The module itself decides as if nobody watched.
package shadow

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// seenMost bounds the requests remembered. A node holds far fewer at a time; beyond it some are counted twice.
const seenMost = 1 << 16

// Kinds of difference: what the settings watched would have done.
const (
	DifferentServer = "other_server"       // sent to another server of the same zone
	DifferentZone   = "other_zone"         // sent to a server of another zone
	Queued          = "held"               // held what was sent, refused or failed
	Rejected        = "refused"            // refused what was sent, held or failed
	Failed          = "failed"             // failed what was sent, held or refused
	Sent            = "sent"               // sent what was held, refused or failed
	Retried         = "further_attempt"    // tried again what was not
	NotRetried      = "no_further_attempt" // not tried again what was
	RetryAfter      = "retry_after"        // told the client another time to come back
	Cancellation    = "withdrawal"         // withdrawn other attempts
	Probe           = "probe"              // asked other servers for their load
	Gossip          = "message"            // told the other nodes something else, or nothing
)

var kinds = []string{DifferentServer, DifferentZone, Queued, Rejected, Failed, Sent, Retried, NotRetried, RetryAfter,
	Cancellation, Probe, Gossip}

// Watch is a module that decides by its own settings and counts what others would have done.
type Evaluator struct {
	module *balancer.Balancer
	other  atomic.Pointer[balancer.Settings]
	log    *slog.Logger
	count  *counters.Shadow
	seen   map[balancer.RequestID]uint // kinds counted, a bit each: one that is held is decided on again and again
}

// New watches a module; with no settings to watch it only passes on.
func New(module *balancer.Balancer, other *balancer.Settings, log *slog.Logger, count *counters.Shadow) *Evaluator {
	w := &Evaluator{module: module, log: log, count: count, seen: map[balancer.RequestID]uint{}}
	w.Follow(other)
	return w
}

// Follow watches other settings from the next step on; none where nil.
func (w *Evaluator) Follow(other *balancer.Settings) {
	if old := w.other.Swap(other); (old == nil) != (other == nil) {
		w.log.Info("watching other settings", "code", "watch", "on", other != nil)
	}
}

// Census and Changes are the module's.
func (w *Evaluator) CountEndpoints() (listed, avoided int) { return w.module.CountEndpoints() }

// Snapshot is what the module knows.
func (w *Evaluator) Snapshot() balancer.State { return w.module.Snapshot() }

// Changes is how often the list, or what is excluded of it, has changed.
func (w *Evaluator) EndpointVersion() int { return w.module.EndpointVersion() }

// Step lets the module decide.
func (w *Evaluator) Step(now balancer.Millis, event balancer.Event) []balancer.Action {
	set := w.other.Load()
	if set == nil {
		return w.module.Step(now, event)
	}
	began := time.Now()
	would := w.ask(*set, now, event) // first: the module's step changes the state
	spent := time.Since(began)
	actions := w.module.Step(now, event)
	if would != nil {
		w.compare(event, actions, would)
	}
	w.count.Micros.Add(spent.Microseconds())
	return actions
}

// ask lets a copy of the module decide; nil where it cannot. A fault there is none of the node's.
func (w *Evaluator) ask(set balancer.Settings, now balancer.Millis, event balancer.Event) (would []balancer.Action) {
	defer func() {
		if p := recover(); p != nil {
			w.fault(p)
			would = nil
		}
	}()
	c, err := w.module.Clone(set)
	if err != nil {
		w.fault(err)
		return nil
	}
	return append([]balancer.Action{}, c.Step(now, event)...)
}

// fault counts a step that the other settings could not decide, and logs the first.
func (w *Evaluator) fault(what any) {
	if w.count.Faults.Inc(); w.count.Faults.Get() == 1 {
		w.log.Error("the settings watched could not decide, further steps are only counted", "code", "watch_fault", "fault", what)
	}
}

// verdict is what became of a request in one step.
type verdict struct {
	kind   string // Sent, Refused, Failed, or empty: nothing
	server balancer.ServerID
	after  balancer.Millis
}

// plan is one step's actions, sorted out.
type plan struct {
	requests  map[balancer.RequestID]verdict
	probes    []balancer.ServerID
	cancelled []balancer.CancelAttempt
	messages  []string
}

func sortOut(actions []balancer.Action) plan {
	p := plan{requests: map[balancer.RequestID]verdict{}}
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.StartAttempt:
			p.requests[a.ID] = verdict{kind: Sent, server: a.Server}
		case balancer.Reject:
			p.requests[a.ID] = verdict{kind: Rejected, after: a.RetryAfter}
		case balancer.Fail:
			p.requests[a.ID] = verdict{kind: Failed}
		case balancer.ProbeLoad:
			p.probes = append(p.probes, a.Server)
		case balancer.CancelAttempt:
			p.cancelled = append(p.cancelled, a)
		case balancer.BroadcastGossip:
			p.messages = append(p.messages, string(a.Body))
		}
	}
	slices.Sort(p.probes)
	return p
}

func (w *Evaluator) compare(event balancer.Event, actions, would []balancer.Action) {
	w.count.Steps.Inc()
	did, other := sortOut(actions), sortOut(would)
	tried := balancer.RequestID(0)
	if e, ok := event.(balancer.AttemptCompleted); ok {
		tried = e.ID
	}
	for id, v := range other.requests {
		w.differ(id, difference(did.requests[id], v, id == tried, w.module.ZoneOf))
	}
	for id, v := range did.requests {
		if _, both := other.requests[id]; !both {
			w.differ(id, difference(v, verdict{}, id == tried, w.module.ZoneOf))
		}
		if v.kind != Sent {
			delete(w.seen, id)
		}
	}
	for kind, differs := range map[string]bool{Probe: !slices.Equal(did.probes, other.probes),
		Cancellation: !slices.Equal(did.cancelled, other.cancelled), Gossip: !slices.Equal(did.messages, other.messages)} {
		if differs {
			w.count.Differ.Inc(kind)
		}
	}
	switch e := event.(type) {
	case balancer.AttemptCompleted:
		if e.Closed {
			delete(w.seen, e.ID)
		}
	case balancer.ClientCancelled:
		delete(w.seen, e.ID)
	}
}

// difference names what the other settings would have done instead; empty where they agree.
func difference(did, would verdict, tried bool, zone func(balancer.ServerID) string) string {
	switch {
	case did == would:
		return ""
	case did.kind == Sent && would.kind == Sent:
		if zone(did.server) != zone(would.server) {
			return DifferentZone
		}
		return DifferentServer
	case did.kind == would.kind:
		return RetryAfter
	case tried && would.kind == Sent:
		return Retried
	case tried && did.kind == Sent:
		return NotRetried
	case would.kind == "":
		return Queued
	}
	return would.kind
}

// differ counts a difference once for each request.
func (w *Evaluator) differ(id balancer.RequestID, kind string) {
	if kind == "" {
		return
	}
	bit := uint(1) << slices.Index(kinds, kind)
	if w.seen[id]&bit != 0 {
		return
	}
	if len(w.seen) >= seenMost {
		clear(w.seen)
	}
	w.seen[id] |= bit
	w.count.Differ.Inc(kind)
}
