// Package shadow evaluates other settings, the shadow settings, alongside those in force. At each step of the balancer it computes
// what the shadow settings would have decided in the same state, and counts the differences. The evaluation does not affect the
// decisions of the balancer.
package shadow

import (
	"log/slog"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

// maxTrackedRequests limits the requests in Evaluator.countedKinds. A node has far fewer requests at a time. At the limit all entries
// are removed, so some differences are counted twice.
const maxTrackedRequests = 1 << 16

// Evaluator wraps a balancer, which decides by its own settings, and counts where the shadow settings would have decided otherwise.
type Evaluator struct {
	balancer     *balancer.Balancer
	settings     atomic.Pointer[balancer.Settings] // the shadow settings; nil if there are none
	log          *slog.Logger
	counters     *counters.Shadow
	countedKinds map[balancer.RequestID]uint // a bit for each kind of difference that was counted
}

// New returns an Evaluator for a balancer. If shadowSettings is nil, it only forwards the steps to the balancer.
func New(primary *balancer.Balancer, shadowSettings *balancer.Settings, log *slog.Logger, count *counters.Shadow) *Evaluator {
	e := &Evaluator{balancer: primary, log: log, counters: count, countedKinds: map[balancer.RequestID]uint{}}
	e.SetSettings(shadowSettings)
	return e
}

// SetSettings replaces the shadow settings from the next step on. If shadowSettings is nil, the evaluation ends. It is safe for
// concurrent use.
func (e *Evaluator) SetSettings(shadowSettings *balancer.Settings) {
	if previous := e.settings.Swap(shadowSettings); (previous == nil) != (shadowSettings == nil) {
		e.log.Info("shadow evaluation turned on or off", "code", "watch", "on", shadowSettings != nil)
	}
}

// CountEndpoints returns the balancer's CountEndpoints.
func (e *Evaluator) CountEndpoints() (listed, avoided int) { return e.balancer.CountEndpoints() }

// EndpointVersion returns the balancer's EndpointVersion.
func (e *Evaluator) EndpointVersion() int { return e.balancer.EndpointVersion() }

// ServerHealth returns the balancer's ServerHealth.
func (e *Evaluator) ServerHealth(now balancer.Millis, limit int) []balancer.ServerHealth {
	return e.balancer.ServerHealth(now, limit)
}

// Snapshot returns the balancer's state.
func (e *Evaluator) Snapshot() balancer.State { return e.balancer.Snapshot() }

// Step runs a step of the balancer and returns its actions. If there are shadow settings, it counts where their actions differ.
func (e *Evaluator) Step(now balancer.Millis, event balancer.Event) []balancer.Action {
	settings := e.settings.Load()
	if settings == nil {
		return e.balancer.Step(now, event)
	}
	startTime := time.Now()
	shadow := e.evaluate(*settings, now, event) // before the balancer's own step, which changes the state
	evaluationTime := time.Since(startTime)
	actions := e.balancer.Step(now, event)
	if shadow != nil {
		e.compare(event, actions, shadow)
	}
	e.counters.Micros.Add(evaluationTime.Microseconds())
	return actions
}

// evaluate runs the step on a clone of the balancer with the shadow settings. It returns nil if that fails. It recovers from panics,
// because a fault in the evaluation must not end the node.
func (e *Evaluator) evaluate(settings balancer.Settings, now balancer.Millis, event balancer.Event) (actions []balancer.Action) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			e.recordFault(panicValue)
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

// recordFault counts a step whose shadow evaluation failed. It logs only the first one.
func (e *Evaluator) recordFault(cause any) {
	e.counters.Faults.Inc()
	if e.counters.Faults.Get() == 1 {
		e.log.Error("shadow evaluation of a step failed; further failures are only counted", "code", "watch_fault", "fault", cause)
	}
}
