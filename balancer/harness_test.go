package balancer

import (
	"fmt"
	"testing"
)

// testNode drives one Balancer by hand and keeps its actions.
type testNode struct {
	t        *testing.T
	balancer *Balancer
	now      Millis
	actions  []Action
	next     RequestID
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
	l, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &testNode{t: t, balancer: l, now: 100000}
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

// arrive brings a request with the given time to live and returns its id and what was done.
func (b *testNode) arrive(class string, ttl Millis) (RequestID, []Action) {
	b.next++
	return b.next, b.step(Arrival{ID: b.next, Class: class, Deadline: b.now + ttl})
}

// end finishes an attempt.
func (b *testNode) end(id RequestID, n int, s ServerID, res Outcome, took Millis) []Action {
	return b.step(AttemptCompleted{ID: id, Attempt: n, Server: s, Outcome: res, Elapsed: took, RequestFinished: res == OK})
}

// serve sends one request and ends it wherever it went.
func (b *testNode) serve(class string, took Millis, result func(ServerID) Outcome) ServerID {
	id, acts := b.arrive(class, 2000)
	s := sentTo(acts)
	if s == "" {
		return ""
	}
	b.now += took
	b.balancer.scoredAt = 0 // every request is a cycle here
	acts = b.end(id, 0, s, result(s), took)
	for n := 1; sentTo(acts) != ""; n++ { // later attempts succeed
		acts = b.end(id, n, sentTo(acts), OK, 1)
	}
	return s
}

func allOK(ServerID) Outcome { return OK }

// pass lets time go by in cycles.
func (b *testNode) pass(d Millis) {
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

// fleet are settings of one of hundreds of nodes, with probes at a price.
func fleet(probe float64) Settings {
	set := settings()
	set.Nodes, set.ProbesAllowed, set.LoadReports, set.Prices.Probe = 300, true, true, probe
	return set
}

// probed are settings under which load is learnt by probes alone and nodes may talk.
func probed(nodes int) Settings {
	set := settings()
	set.Nodes, set.ProbesAllowed, set.LoadReports, set.ReportsFromProbesOnly, set.GossipAllowed = nodes, true, true, true, true
	set.Prices.Probe, set.Prices.Gossip = 0.004, 0.01
	return set
}
