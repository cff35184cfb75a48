// Package shadow evaluates other settings beside those in force: at each step of the balancer it
// asks what they would have decided on the same state, and counts where that differs. The balancer
// itself decides as if nobody asked.
package shadow

import (
	"log/slog"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// maxRequests bounds the requests that are remembered. A node holds far fewer at a time; beyond it
// some are counted twice.
const maxRequests = 1 << 16

// Evaluator is a balancer that decides by its own settings and counts what others would have done.
type Evaluator struct {
	balancer *balancer.Balancer
	settings atomic.Pointer[balancer.Settings] // the shadow settings; nil: none
	log      *slog.Logger
	counters *counters.Shadow
	counted  map[balancer.RequestID]uint // a bit for each kind of difference counted
}

// New evaluates other settings beside a balancer's; with none it only passes steps on.
func New(module *balancer.Balancer, other *balancer.Settings, log *slog.Logger, count *counters.Shadow) *Evaluator {
	e := &Evaluator{balancer: module, log: log, counters: count, counted: map[balancer.RequestID]uint{}}
	e.SetSettings(other)
	return e
}

// SetSettings evaluates other settings from the next step on; none where nil. It is safe for concurrent use.
func (e *Evaluator) SetSettings(other *balancer.Settings) {
	if old := e.settings.Swap(other); (old == nil) != (other == nil) {
		e.log.Info("evaluating shadow settings", "code", "watch", "on", other != nil)
	}
}

// CountEndpoints is the balancer's.
func (e *Evaluator) CountEndpoints() (listed, avoided int) { return e.balancer.CountEndpoints() }

// EndpointVersion is the balancer's.
func (e *Evaluator) EndpointVersion() int { return e.balancer.EndpointVersion() }

// ServerHealth is the balancer's.
func (e *Evaluator) ServerHealth(now balancer.Millis, limit int) []balancer.ServerHealth {
	return e.balancer.ServerHealth(now, limit)
}

// Snapshot is what the balancer knows.
func (e *Evaluator) Snapshot() balancer.State { return e.balancer.Snapshot() }

// Step lets the balancer decide.
func (e *Evaluator) Step(now balancer.Millis, event balancer.Event) []balancer.Action {
	settings := e.settings.Load()
	if settings == nil {
		return e.balancer.Step(now, event)
	}
	began := time.Now()
	shadow := e.evaluate(*settings, now, event) // first: the balancer's own step changes the state
	spent := time.Since(began)
	actions := e.balancer.Step(now, event)
	if shadow != nil {
		e.compare(event, actions, shadow)
	}
	e.counters.Micros.Add(spent.Microseconds())
	return actions
}

// evaluate lets a copy of the balancer decide by the shadow settings; nil where it can't. A panic
// there must not end the node.
func (e *Evaluator) evaluate(settings balancer.Settings, now balancer.Millis, event balancer.Event) (actions []balancer.Action) {
	defer func() {
		if p := recover(); p != nil {
			e.recordFault(p)
			actions = nil
		}
	}()
	clone, err := e.balancer.Clone(settings)
	if err != nil {
		e.recordFault(err)
		return nil
	}
	return append([]balancer.Action{}, clone.Step(now, event)...)
}

// recordFault counts a step that the shadow settings could not decide, and logs the first.
func (e *Evaluator) recordFault(fault any) {
	e.counters.Faults.Inc()
	if e.counters.Faults.Get() == 1 {
		e.log.Error("the shadow settings could not decide, further steps are only counted", "code", "watch_fault", "fault", fault)
	}
}
