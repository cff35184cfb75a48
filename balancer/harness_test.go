package balancer

import (
	"fmt"
	"testing"
)

// testNode wraps a Balancer whose events and time a test controls, and records the actions.
type testNode struct {
	t             *testing.T
	balancer      *Balancer
	now           Millis
	actions       []Action
	lastRequestID RequestID
}

func settings() Settings {
	return Settings{
		Nodes: 1,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent, LatencyObjective: 400, TotalTimeout: 2000, PriorityWeight: 1},
			{Name: "put", Idempotency: IdempotentWithKey, DedupScope: DedupWithinCell, DedupWindow: 1000, LatencyObjective: 400, TotalTimeout: 2000, PriorityWeight: 1},
			{Name: "bill", Idempotency: NonIdempotent, LatencyObjective: 400, TotalTimeout: 2000, PriorityWeight: 5},
		},
		Goal: GoalWeights{Overall: 1}, OverQuotaFraction: 0.1, ClientsMarkRetries: true,
		DrainGrace: 1000, SlowStart: SlowStart{InitialCapacity: 0.25, Duration: 10000, OverloadFactor: 3, OverloadWindow: 2000}, MaxPollInterval: 10000,
		MaxAttempts: 5, CancelAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: 2000, Tick: 1,
	}
}

func newTestNode(t *testing.T, set Settings, servers ...Endpoint) *testNode {
	t.Helper()
	lb, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &testNode{t: t, balancer: lb, now: 100000}
	b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: servers})
	return b
}

func testEndpoints(n int) []Endpoint {
	var out []Endpoint
	for i := 0; i < n; i++ {
		out = append(out, Endpoint{ID: ServerID(fmt.Sprintf("s%d", i)), Zone: "z", Cell: i % 2, Capacity: 1})
	}
	return out
}

func (b *testNode) step(e Event) []Action {
	out := b.balancer.Step(b.now, e)
	b.actions = append(b.actions, out...)
	return out
}

// arrive sends an Arrival whose deadline is ttl from now, and returns the request's ID and the actions.
func (b *testNode) arrive(class string, ttl Millis) (RequestID, []Action) {
	b.lastRequestID++
	return b.lastRequestID, b.step(Arrival{ID: b.lastRequestID, Class: class, Deadline: b.now + ttl})
}

// completeAttempt completes attempt number n of a request.
func (b *testNode) completeAttempt(id RequestID, n int, s ServerID, outcome Outcome, took Millis) []Action {
	return b.step(AttemptCompleted{ID: id, Attempt: n, Server: s, Outcome: outcome, Elapsed: took, RequestFinished: outcome == OK})
}

// serve sends one request and completes its first attempt after took ms, with the outcome that result returns for its server.
// Later attempts succeed. It returns the server of the first attempt; empty if there was none.
func (b *testNode) serve(class string, took Millis, result func(ServerID) Outcome) ServerID {
	id, acts := b.arrive(class, 2000)
	s := sentTo(acts)
	if s == "" {
		return ""
	}
	b.now += took
	b.balancer.scoredAt = 0 // update the scores with every request
	acts = b.completeAttempt(id, 0, s, result(s), took)
	for n := 1; sentTo(acts) != ""; n++ { // later attempts succeed
		acts = b.completeAttempt(id, n, sentTo(acts), OK, 1)
	}
	return s
}

func allOK(ServerID) Outcome { return OK }

// advance advances the time in steps of 250 ms and dispatches the queue after each step.
func (b *testNode) advance(d Millis) {
	for until := b.now + d; b.now < until; {
		b.now += 250
		b.step(TimerFired{"sweep"})
	}
}

func sentTo(acts []Action) ServerID {
	for _, a := range acts {
		if s, ok := a.(StartAttempt); ok {
			return s.Server
		}
	}
	return ""
}

func count[A Action](acts []Action) int {
	n := 0
	for _, a := range acts {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

// largeFleetSettings returns the settings of a node in a fleet of 300 nodes, with the given price of load probes.
func largeFleetSettings(probePrice float64) Settings {
	set := settings()
	set.Nodes, set.ProbesAllowed, set.LoadReports, set.Prices.Probe = 300, true, true, probePrice
	return set
}

// probeOnlySettings returns settings in which only probe results contain load reports, and gossip is allowed.
func probeOnlySettings(nodes int) Settings {
	set := settings()
	set.Nodes, set.ProbesAllowed, set.LoadReports, set.ReportsFromProbesOnly, set.GossipAllowed = nodes, true, true, true, true
	set.Prices.Probe, set.Prices.Gossip = 0.004, 0.01
	return set
}
