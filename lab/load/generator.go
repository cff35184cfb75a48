// Package load simulates the clients as an open-loop load generator. It sends each request at its scheduled time, whatever
// the state of earlier requests, so that slow responses do not reduce the load (no coordinated omission). Every latency is
// measured from the scheduled time.
package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	// lateResponseWindow is how long a client listens after its deadline, to distinguish a late response from a missing one.
	// A response that arrives in this window counts as late.
	lateResponseWindow = 300 * time.Millisecond

	// maxInFlight limits the operations in flight. With more, the system is far above its capacity and the run is aborted as
	// meaningless.
	maxInFlight = 50_000
)

// Operation is the outcome of one operation as its client observed it, across all its attempts.
type Operation struct {
	Class, Tenant int
	ScheduledAt   time.Duration // send time in the schedule
	SendDelay     time.Duration // how late the lab started it
	Ended         time.Duration
	Outcome       audit.Outcome
	Attempts      int
}

// Options configure a Generator.
type Options struct {
	Scenario      *scenario.Scenario
	Schedule      *scenario.Schedule
	Nodes         []string
	Start         time.Time
	Alive         func(node int) bool          // reports whether a node's process is running
	StoppingFor   func(node int) time.Duration // time since a node's planned stop began; nil if unknown
	CoapAddresses []string                     // by node; empty if all operations use HTTP
}

// Generator simulates the clients of one run.
type Generator struct {
	options     Options
	pool        *connPool
	links       []*netfault.Link
	freeDevices []chan *device // by node: CoAP devices that are not in use

	inFlight atomic.Int64
	pending  sync.WaitGroup

	mu         sync.Mutex
	attempts   []audit.Attempt
	operations []Operation
}

// New creates a generator. It sends nothing before Run.
func New(o Options) *Generator {
	g := &Generator{options: o, links: make([]*netfault.Link, len(o.Nodes))}
	up, down := backend.Impairments(o.Scenario.Links.Clients)
	stalls := o.Scenario.HasFault(scenario.FaultClientsStall)
	for i := range g.links {
		if stalls || !up.Clean() || !down.Clean() {
			g.links[i] = netfault.NewLink(up, down, o.Scenario.Seed<<8+uint64(i))
		}
	}
	g.pool = newConnPool(o.Nodes, g.links)
	g.pool.stoppingFor = o.StoppingFor
	g.openDevices()
	return g
}

// ErrOverloaded is returned by Run if more than maxInFlight operations are in flight.
var ErrOverloaded = fmt.Errorf("more than %d operations are in flight", maxInFlight)

// Run starts every operation at its scheduled time and waits until all have ended. It returns the context's error or
// ErrOverloaded.
func (g *Generator) Run(ctx context.Context) error {
	defer g.pool.close()
	defer g.closeDevices()
	defer g.pending.Wait()
	for i, arrival := range g.options.Schedule.Arrivals {
		due := g.options.Start.Add(arrival.At)
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if g.inFlight.Load() > maxInFlight {
			return ErrOverloaded
		}
		g.inFlight.Add(1)
		g.pending.Go(func() {
			defer g.inFlight.Add(-1)
			g.runOperation(ctx, i, arrival)
		})
	}
	return nil
}

// Apply starts or ends a fault of the clients' links.
func (g *Generator) Apply(e scenario.Event) {
	switch e.Kind {
	case scenario.FaultClientsStall:
		backend.ApplyStall(g.links[e.Node], e, netfault.Out, netfault.In)
	case scenario.FaultClientsHalfClose:
		if !e.Ends {
			g.pool.halfClose(e.Node)
		}
	case scenario.FaultClientsReset:
		if !e.Ends {
			g.pool.reset(e.Node)
		}
	}
}

// Results returns all attempts and operations that have ended.
func (g *Generator) Results() ([]audit.Attempt, []Operation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts, g.operations
}

// CompletedSince returns the operations that have ended, without the first n.
func (g *Generator) CompletedSince(n int) []Operation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Operation(nil), g.operations[n:]...)
}

// now returns the time since the start of the schedule.
func (g *Generator) now() time.Duration { return time.Since(g.options.Start) }

// response is the outcome of one attempt, with the response if there was one.
type response struct {
	outcome       audit.Outcome
	status        int
	body          string
	count         int  // responses received
	closesConn    bool // the node closes the connection after the response
	retryAfter    time.Duration
	hasRetryAfter bool
}

// runOperation performs one operation with all its attempts and records its outcome.
func (g *Generator) runOperation(ctx context.Context, op int, arrival scenario.Arrival) {
	class := g.options.Scenario.Classes[arrival.Class]
	out := Operation{Class: arrival.Class, Tenant: arrival.Tenant, ScheduledAt: arrival.At, SendDelay: g.now() - arrival.At}
	rng := rand.New(rand.NewPCG(arrival.Random, g.options.Scenario.Seed))
	deadline := arrival.At + class.Deadline
	for attemptIndex := 0; ; attemptIndex++ {
		remaining := deadline - g.now()
		if remaining <= time.Millisecond {
			break
		}
		var result response
		if g.usesCoap(arrival) {
			result = g.attemptCoap(ctx, op, attemptIndex, arrival, remaining)
		} else {
			result = g.attempt(ctx, op, attemptIndex, arrival, remaining)
		}
		out.Outcome, out.Attempts = result.outcome, attemptIndex+1
		wait, retries := g.retryDelay(class, result, attemptIndex, rng)
		if !retries || g.now()+wait >= deadline {
			break
		}
		time.Sleep(wait)
	}
	out.Ended = g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.operations = append(g.operations, out)
}

// retryDelay reports whether the client retries after a response, and after which delay. If the failed request may have been
// executed, the client retries it only if its class is safe to repeat, as the rules require of clients.
func (g *Generator) retryDelay(class scenario.Class, result response, attemptIndex int, rng *rand.Rand) (time.Duration, bool) {
	clients := g.options.Scenario.Clients
	if attemptIndex >= clients.Retries || clients.Retry == "none" {
		return 0, false
	}
	switch result.outcome {
	case audit.Rejected, audit.NotConnected:
	case audit.Failed, audit.Lost, audit.LinkReset, audit.InTransit:
		if class.Effect != scenario.EffectSafe {
			return 0, false
		}
	default:
		return 0, false
	}
	backoff := time.Duration(float64(clients.Backoff) * math.Pow(2, float64(attemptIndex)) * (0.5 + rng.Float64()))
	switch clients.Retry {
	case "now", "ignore":
		return 0, true
	case "follow":
		if result.hasRetryAfter {
			return result.retryAfter, true
		}
	}
	return backoff, true
}
