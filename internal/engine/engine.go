// Package engine holds the one goroutine that owns the balancer. Events reach it through a mailbox;
// the balancer takes a step on each, and its actions are handed to whoever carries them out. The
// engine decides nothing and never waits for I/O; nor may whoever carries out an action.
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

// noTimerWait is how long the engine sleeps where no timer is set.
const noTimerWait = time.Hour

// Balancer is what decides.
type Balancer interface {
	// Step takes one event at the given time and returns what is to be done, in order.
	Step(now balancer.Millis, event balancer.Event) []balancer.Action
}

// EndpointCounter is a balancer that tells how many servers are listed and how many of them it avoids.
type EndpointCounter interface {
	CountEndpoints() (listed, avoided int)
	EndpointVersion() int // CountEndpoints gives the same while this does
}

// Prober asks a server for its load. It does not wait.
type Prober interface {
	ProbeLoad(server balancer.ServerID, done func(Completion))
}

// EndpointWatcher follows the endpoint list from now on. It does not wait.
type EndpointWatcher interface{ WatchEndpoints() }

// Broadcaster sends a message to the other nodes. It does not wait.
type Broadcaster interface{ Broadcast(body []byte) }

// Options are what an engine works with.
type Options struct {
	Balancer        Balancer
	Clock           clock.Clock
	Prober          Prober
	EndpointWatcher EndpointWatcher
	Broadcaster     Broadcaster // nil where nodes don't send messages to one another
	MaxAttempts     int         // for each request
	Log             *slog.Logger
	Counters        *counters.Counters
}

// Engine drives the balancer. All fields but the mailbox belong to the goroutine of Run.
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
	stopped chan struct{} // closed when Run has returned

	timers   timers
	requests map[balancer.RequestID]*pendingRequest
	nextID   balancer.RequestID
	queue    []balancer.Event // events that actions brought about; they follow at once

	endpointCounter EndpointCounter // nil where the balancer is none
	endpointVersion int             // as last counted
}

// New makes an engine; Run starts it.
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

// Run works until the context ends.
func (e *Engine) Run(ctx context.Context) {
	defer close(e.stopped)
	wake := time.NewTimer(noTimerWait)
	defer wake.Stop()
	for {
		e.recoverPanic(e.fireDueTimers)
		wake.Reset(e.untilNextTimer())
		select {
		case m := <-e.mailbox:
			e.counters.Engine.QueueMax.Max(int64(len(e.mailbox)) + 1)
			e.recoverPanic(func() { m.deliver(e) })
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) untilNextTimer() time.Duration {
	at, ok := e.timers.next()
	if !ok {
		return noTimerWait
	}
	return clock.Span(max(0, at-e.clock.Now()))
}

// recoverPanic keeps a panic over one event from ending the node. The events that this one brought
// about are dropped.
func (e *Engine) recoverPanic(f func()) {
	defer func() {
		if p := recover(); p != nil {
			e.counters.Engine.Panics.Inc()
			e.queue = nil
			e.log.Error("panic in the engine", "code", "panic", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

// fireDueTimers handles the timers that are due, those of the balancer and the deadlines of attempts.
func (e *Engine) fireDueTimers() {
	for {
		now := e.clock.Now()
		t, ok := e.timers.due(now)
		if !ok {
			return
		}
		e.counters.Engine.LateBy.Max(int64((now - t.at) * 1000))
		switch {
		case t.attempt == nil:
			e.step(balancer.TimerFired{Token: t.token})
		case t.attempt.open:
			e.timeOut(t.attempt)
		}
	}
}

// step lets the balancer decide on one event, and on those that carrying its actions out brings about.
func (e *Engine) step(event balancer.Event) {
	e.queue = append(e.queue, event)
	if len(e.queue) > 1 {
		return // called while an action is carried out: the loop of the outer call takes it next
	}
	for len(e.queue) > 0 {
		began := time.Now()
		actions := e.balancer.Step(e.clock.At(began), e.queue[0])
		e.counters.Engine.Events.Inc()
		e.counters.Engine.StepMax.Max(time.Since(began).Microseconds())
		for _, a := range actions {
			e.carryOut(a)
		}
		e.queue = e.queue[1:]
	}
	e.queue = nil
	e.countEndpoints()
}

// countEndpoints renews the counters of the endpoint list once it has changed.
func (e *Engine) countEndpoints() {
	if e.endpointCounter == nil || e.endpointCounter.EndpointVersion() == e.endpointVersion {
		return
	}
	e.endpointVersion = e.endpointCounter.EndpointVersion()
	listed, avoided := e.endpointCounter.CountEndpoints()
	e.counters.Endpoints.Entries.Set(int64(listed))
	e.counters.Endpoints.Avoided.Set(int64(avoided))
}
