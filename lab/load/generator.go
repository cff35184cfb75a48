// Package load is the clients: an open loop that sends each request when the schedule says, whatever has become of the
// ones before it, so that a slow response never thins the load (no coordinated omission). Every latency counts from the
// scheduled send.
package load

import (
	"context"
	"errors"
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
	// lateWindow is how long a client listens beyond its wait, to tell a late response from none. The rule counts from
	// the wait; what comes in this time is late.
	lateWindow = 300 * time.Millisecond

	// maxInFlight bounds the operations in flight. Beyond it the system is far past its capacity and the run is void.
	maxInFlight = 50_000
)

// Operation is one operation as its client saw it, over all its attempts.
type Operation struct {
	Class, Tenant int
	ScheduledAt   time.Duration // when it was to be sent
	SendDelay     time.Duration // by how much the lab was behind
	Ended         time.Duration
	Outcome       audit.Outcome
	Attempts      int
}

// Options are what the clients work with.
type Options struct {
	Scenario      *scenario.Scenario
	Schedule      *scenario.Schedule
	Nodes         []string
	Start         time.Time
	Alive         func(node int) bool          // whether a node's process runs
	StoppingFor   func(node int) time.Duration // how long a node's planned stop has been going on; nil: not known
	CoapAddresses []string                     // the nodes' CoAP addresses; empty: all operations use HTTP
}

// Generator is the clients of one run.
type Generator struct {
	options     Options
	pool        *connPool
	links       []*netfault.Link
	freeDevices []chan *device // CoAP devices by node: the free ones

	inFlight atomic.Int64
	pending  sync.WaitGroup

	mu         sync.Mutex
	attempts   []audit.Attempt
	operations []Operation
}

// New makes the clients; nothing is sent before Run.
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

// ErrOverloaded says that more operations are in flight than the lab can hold.
var ErrOverloaded = errors.New("the rig holds too many open requests")

// Run sends every arrival at its time and waits for the last outcome. The error is the context's, or ErrOverloaded.
func (g *Generator) Run(ctx context.Context) error {
	defer g.pool.close()
	defer g.closeDevices()
	defer g.pending.Wait()
	for i, a := range g.options.Schedule.Arrivals {
		due := g.options.Start.Add(a.At)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
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
			g.runOperation(ctx, i, a)
		})
	}
	return nil
}

// Apply begins or ends a fault of the clients' links.
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

// Results are all attempts and operations that have ended.
func (g *Generator) Results() ([]audit.Attempt, []Operation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.attempts, g.operations
}

// CompletedSince returns the operations that ended after the first n.
func (g *Generator) CompletedSince(n int) []Operation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Operation(nil), g.operations[n:]...)
}

// now is the time since the schedule's start.
func (g *Generator) now() time.Duration { return time.Since(g.options.Start) }

// response is what came for one attempt.
type response struct {
	outcome       audit.Outcome
	status        int
	body          string
	count         int
	closesConn    bool // the node ends the connection with it
	retryAfter    time.Duration
	hasRetryAfter bool
}

// runOperation plays one operation with its attempts.
func (g *Generator) runOperation(ctx context.Context, op int, a scenario.Arrival) {
	c := g.options.Scenario.Classes[a.Class]
	out := Operation{Class: a.Class, Tenant: a.Tenant, ScheduledAt: a.At, SendDelay: g.now() - a.At}
	rng := rand.New(rand.NewPCG(a.Random, g.options.Scenario.Seed))
	deadline := a.At + c.Deadline
	for try := 0; ; try++ {
		left := deadline - g.now()
		if left <= time.Millisecond {
			break
		}
		var r response
		if g.usesCoap(a) {
			r = g.attemptCoap(ctx, op, try, a, left)
		} else {
			r = g.attempt(ctx, op, try, a, left)
		}
		out.Outcome, out.Attempts = r.outcome, try+1
		wait, retries := g.retryDelay(c, r, try, rng)
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

// retryDelay reports whether this client retries, and after what delay. What failed and may have been executed is retried
// only where the class is safe to repeat: that is the client's part of the rules.
func (g *Generator) retryDelay(c scenario.Class, r response, try int, rng *rand.Rand) (time.Duration, bool) {
	h := g.options.Scenario.Clients
	if try >= h.Retries || h.Retry == "none" {
		return 0, false
	}
	switch r.outcome {
	case audit.Rejected, audit.NotConnected:
	case audit.Failed, audit.Lost, audit.LinkReset, audit.InTransit:
		if c.Effect != scenario.EffectSafe {
			return 0, false
		}
	default:
		return 0, false
	}
	backoff := time.Duration(float64(h.Backoff) * math.Pow(2, float64(try)) * (0.5 + rng.Float64()))
	switch h.Retry {
	case "now", "ignore":
		return 0, true
	case "follow":
		if r.hasRetryAfter {
			return r.retryAfter, true
		}
	}
	return backoff, true
}
