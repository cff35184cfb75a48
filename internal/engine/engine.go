// Package engine runs the single goroutine that owns the balancer. Events arrive through a mailbox.
// The engine passes each one to the balancer and executes the actions that the balancer returns. It
// makes no decisions of its own and never blocks on I/O. The interfaces through which it executes
// actions must not block either.
package engine

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
)

// noTimerWait is how long the engine sleeps if no timer is set and no message arrives.
const noTimerWait = time.Hour

// Balancer decides how requests are routed.
type Balancer interface {
	// Step handles one event at the given time and returns the resulting actions in the order of
	// their execution.
	Step(now balancer.Millis, event balancer.Event) []balancer.Action
}

// EndpointCounter is implemented by balancers that count the servers in the endpoint list and those
// of them that the balancer avoids.
type EndpointCounter interface {
	CountEndpoints() (listed, avoided int)
	EndpointVersion() int // changes whenever the result of CountEndpoints may have changed
}

// Prober sends load probes. ProbeLoad does not block; done is called with the result.
type Prober interface {
	ProbeLoad(server balancer.ServerID, done func(Completion))
}

// EndpointWatcher starts to watch the endpoint list. WatchEndpoints does not block.
type EndpointWatcher interface{ WatchEndpoints() }

// Broadcaster sends a message to the other nodes. Broadcast does not block.
type Broadcaster interface{ Broadcast(body []byte) }

// Options configure an Engine.
type Options struct {
	Balancer        Balancer
	Clock           clock.Clock
	Prober          Prober
	EndpointWatcher EndpointWatcher
	Broadcaster     Broadcaster // nil if the nodes exchange no messages
	MaxAttempts     int         // per request
	Log             *slog.Logger
	Counters        *counters.Counters
}

// Engine drives the balancer. Except for the mailbox and stopped, its fields belong to the goroutine
// that executes Run.
type Engine struct {
	balancer    Balancer
	clock       clock.Clock
	prober      Prober
	watcher     EndpointWatcher
	broadcaster Broadcaster
	maxAttempts int
	log         *slog.Logger
	counters    *counters.Counters

	mailbox chan message
	stopped chan struct{} // closed when Run returns

	timers        timers
	requests      map[balancer.RequestID]*pendingRequest
	nextID        balancer.RequestID
	pendingEvents []balancer.Event // events to be handled in this step, the current one first

	endpointCounter EndpointCounter // nil if the balancer does not implement it
	endpointVersion int             // the version at the last count
}

// New returns an Engine. Run starts it.
func New(o Options) *Engine {
	endpointCounter, _ := o.Balancer.(EndpointCounter)
	return &Engine{
		balancer:        o.Balancer,
		clock:           o.Clock,
		prober:          o.Prober,
		watcher:         o.EndpointWatcher,
		broadcaster:     o.Broadcaster,
		maxAttempts:     o.MaxAttempts,
		log:             o.Log,
		counters:        o.Counters,
		mailbox:         make(chan message, mailboxSize),
		stopped:         make(chan struct{}),
		requests:        map[balancer.RequestID]*pendingRequest{},
		endpointCounter: endpointCounter,
	}
}

// Run handles messages and timers until the context is cancelled.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	wake := time.NewTimer(noTimerWait)
	defer wake.Stop()
	for {
		e.recoverPanic(e.fireDueTimers)
		wake.Reset(e.untilNextTimer())
		select {
		case m := <-e.mailbox:
			e.counters.Engine.MaxQueue.Max(int64(len(e.mailbox)) + 1)
			e.recoverPanic(func() { m.deliver(e) })
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) untilNextTimer() time.Duration {
	fireAt, ok := e.timers.nextFireTime()
	if !ok {
		return noTimerWait
	}
	return clock.Duration(max(0, fireAt-e.clock.Now()))
}

// recoverPanic calls f and recovers from a panic in it, so that a fault in the handling of one event
// does not end the process. Events that are still pending from the failed step are dropped.
func (e *Engine) recoverPanic(f func()) {
	defer func() {
		if p := recover(); p != nil {
			e.counters.Engine.Panics.Inc()
			e.pendingEvents = nil
			e.log.Error("panic in the engine", "code", "panic", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// fireDueTimers handles all due timers: those that the balancer set and the deadlines of attempts.
func (e *Engine) fireDueTimers() {
	for {
		now := e.clock.Now()
		t, ok := e.timers.popDue(now)
		if !ok {
			return
		}
		e.counters.Engine.MaxTimerDelay.Max(int64((now - t.fireAt) * 1000))
		switch {
		case t.attempt == nil:
			e.step(balancer.TimerFired{Token: t.token})
		case t.attempt.inFlight:
			e.timeOut(t.attempt)
		}
	}
}

// step passes an event to the balancer and executes the resulting actions. If executing an action
// raises another event, this event is handled after the current one, before step returns.
func (e *Engine) step(event balancer.Event) {
	e.pendingEvents = append(e.pendingEvents, event)
	if len(e.pendingEvents) > 1 {
		return // called from execute: the loop of the outer call handles the event
	}
	for len(e.pendingEvents) > 0 {
		began := time.Now()
		actions := e.balancer.Step(e.clock.At(began), e.pendingEvents[0])
		e.counters.Engine.Events.Inc()
		e.counters.Engine.MaxStep.Max(time.Since(began).Microseconds())
		for _, a := range actions {
			e.execute(a)
		}
		e.pendingEvents = e.pendingEvents[1:]
	}
	e.pendingEvents = nil
	e.countEndpoints()
}

// countEndpoints updates the counters of the endpoint list if it has changed.
func (e *Engine) countEndpoints() {
	if e.endpointCounter == nil || e.endpointCounter.EndpointVersion() == e.endpointVersion {
		return
	}
	e.endpointVersion = e.endpointCounter.EndpointVersion()
	listed, avoided := e.endpointCounter.CountEndpoints()
	e.counters.Endpoints.Entries.Set(int64(listed))
	e.counters.Endpoints.Avoided.Set(int64(avoided))
}
