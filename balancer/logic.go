package balancer

import (
	"math"
	"math/rand/v2"
)

// This file holds the module's entry: New makes the logic of one node, Step takes one event. The interface
// (settings, events, actions) is in api.go. A request passes arrivals.go, dispatch.go, picker.go, attempts.go
// and, where it is tried again or given up, retries.go; docs/design.md says what the design page rules.

// New makes the logic of one node, or says which setting makes that impossible.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := validate(set); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)
	l := &Balancer{set: set, processes: 1, source: source, rng: rand.New(source),
		servers: map[ServerID]*server{}, classes: map[string]*classState{}, tenants: map[string]*tenantState{},
		requests: map[RequestID]*request{}, retries: tokens{left: retryBurst}, askDelay: askFirstWait,
		said: map[speaker][]*server{}, heardFrom: map[int]Millis{}, refused: map[subject]comingBack{},
		width: 1, ease: 1, pace: 1, warmth: 0.5, probes: tokens{left: probeWidth}, trialBy: NonIdempotent,
		lateAt: math.Inf(1), zones: map[string]*classHealth{}}
	l.unit, l.explorations.left = math.Inf(1), l.rng.Float64()
	for i, c := range set.Classes {
		l.classes[c.Name] = &classState{Class: c, index: i, guard: shortestAbove(set, c)}
		l.unit = min(l.unit, c.LatencyObjective/4) // until measured: four requests make an aim
		l.trialBy = min(l.trialBy, c.Idempotency)
		l.meanWorth += c.PriorityWeight / float64(len(set.Classes))
	}
	l.guess = l.unit
	for _, t := range set.Tenants {
		l.tenants[t.Name] = &tenantState{Tenant: t}
	}
	return l, nil
}

// Step takes one event at the given time and returns what is to be done, in order.
func (l *Balancer) Step(now Millis, event Event) []Action {
	l.now, l.out = now, nil
	if !l.started {
		l.start()
	}
	switch e := event.(type) {
	case Arrival:
		l.arrive(e)
	case AttemptCompleted:
		l.attemptEnd(e)
	case ClientCancelled:
		if r := l.requests[e.ID]; r != nil {
			l.finish(r)
		}
	case LoadProbeCompleted:
		l.probeEnd(e)
	case TimerFired:
		l.timer(e.Token)
	case ConnectionClosed:
		if s := l.servers[e.Server]; s != nil {
			s.idle = max(0, s.idle-1)
		}
	case EndpointUpdate:
		l.serverList(e)
	case GossipReceived:
		l.hear(e)
	case BodyReceived:
		l.uploaded(e)
	case SiblingProcesses:
		l.beside(e.Count)
	case fleetNews:
		e.apply(l)
	case StateTransferred:
		l.inherit(e.State)
	}
	l.tell()
	return l.out
}

func (l *Balancer) start() {
	l.started, l.explorations.at = true, l.now
	if l.set.WatchEndpoints { // nodes that start together must not all call at once: most calls would fail
		l.askAt = l.now + l.rng.Float64()*min(askSpread*float64(l.set.Nodes-1), l.askWait(), MaxPollBackoff)
		l.do(SetTimer{"ask", l.askAt})
	}
}

func (l *Balancer) timer(token string) {
	switch token {
	case "sweep", "probes":
		l.sweeping = l.sweeping && token != "sweep"
		l.dispatch()
	case "ask":
		if l.set.WatchEndpoints && !l.subscribe && l.now >= l.askAt {
			l.ask()
		}
	}
}
