package balancer

import (
	"fmt"
	"math"
	"testing"
)

func TestDrawProbabilityIsProportionalToScore(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(2)...)
	b.balancer.servers.ready[0].score, b.balancer.servers.ready[1].score = 0.9, 0.3
	got := 0
	for i := 0; i < 4000; i++ {
		if b.balancer.drawByScore(b.balancer.servers.ready) == b.balancer.servers.ready[0] {
			got++
		}
	}
	if got < 2900 || got > 3100 {
		t.Errorf("draws of the server with score 0.9 = %d of 4000, want about 3000", got)
	}
}

func TestConcurrentRequestsUseDifferentServers(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(2)...)
	seen := map[ServerID]int{}
	for i := 0; i < 2; i++ {
		_, acts := b.arrive("read", 2000)
		seen[sentTo(acts)]++
	}
	if seen["s0"] != 1 || seen["s1"] != 1 {
		t.Errorf("servers of two concurrent requests = %v, want one request each", seen)
	}
}

func TestNonIdempotentRequestIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for outcome, wantRetry := range map[Outcome]bool{Errored: false, TimedOut: false, ConnectionLost: false, Overloaded: true, Unreachable: true} {
		b := newTestNode(t, settings(), testEndpoints(3)...)
		id, acts := b.arrive("bill", 2000)
		b.now += 10
		acts = b.completeAttempt(id, 0, sentTo(acts), outcome, 10)
		if got := sentTo(acts) != ""; got != wantRetry {
			t.Errorf("outcome %d: retried = %v, want %v", outcome, got, wantRetry)
		}
		if !wantRetry && count[Fail](acts) != 1 {
			t.Errorf("outcome %d: actions = %v, want one Fail", outcome, acts)
		}
	}
}

func TestKeyedRetryStaysInDedupScopeAndWindow(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(6)...)
	for i := 0; i < 40; i++ {
		b.balancer.retryBudget.available = retryBurst
		id, acts := b.arrive("put", 2000)
		firstServer := sentTo(acts)
		b.now++
		acts = b.completeAttempt(id, 0, firstServer, Errored, 1)
		secondServer := sentTo(acts)
		if secondServer != "" && b.balancer.servers.byID[secondServer].Cell != b.balancer.servers.byID[firstServer].Cell {
			t.Fatalf("retried in cell %d after an attempt in cell %d", b.balancer.servers.byID[secondServer].Cell, b.balancer.servers.byID[firstServer].Cell)
		}
		if secondServer == "" && count[Reject](acts) > 0 {
			t.Fatal("the request was rejected although an attempt may have run")
		}
		if secondServer != "" {
			b.completeAttempt(id, 1, secondServer, OK, 1)
		}
	}
	id, acts := b.arrive("put", 5000)
	b.now += 1100 // past the dedup window and the latency objective
	if acts = b.completeAttempt(id, 0, sentTo(acts), Errored, 1100); sentTo(acts) != "" || count[Fail](acts) != 1 {
		t.Errorf("actions after the dedup window = %v, want one Fail", acts)
	}
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	for _, kind := range []UpdateKind{DeltaUpdate, FullUpdate} {
		b := newTestNode(t, settings(), testEndpoints(3)...)
		entries := []Endpoint{{ID: "s1", State: Draining, Capacity: 1}}
		if kind == FullUpdate { // a server that is absent from a full list has been removed
			entries = []Endpoint{testEndpoints(3)[0], testEndpoints(3)[2]}
		}
		b.step(EndpointUpdate{Kind: kind, Endpoints: entries})
		for i := 0; i < 100; i++ {
			if b.serve("read", 5, allOK) == "s1" {
				t.Fatalf("update kind %d: a request was sent to a server that is draining or removed", kind)
			}
		}
	}
}

func TestIdleServerAcceptsHeavyRequest(t *testing.T) {
	set := settings()
	set.LoadReports = true
	b := newTestNode(t, set, testEndpoints(4)...)
	for i := 0; i < 40; i++ {
		b.lastRequestID++
		acts := b.step(Arrival{ID: b.lastRequestID, Class: "read", WorkHint: 50, Deadline: b.now + 2000})
		b.now += 100
		b.completeAttempt(b.lastRequestID, 0, sentTo(acts), OK, 100)
	}
	b.lastRequestID++
	if acts := b.step(Arrival{ID: b.lastRequestID, Class: "read", WorkHint: 250, Deadline: b.now + 2000}); sentTo(acts) == "" {
		t.Error("a request with a large work hint was rejected by an idle fleet")
	}
}

// If a request may have run, the dedup scope of its class limits the servers at which it can be retried, and
// determines whether it can be rejected.
func TestDedupScopeLimitsRetriesAndRejections(t *testing.T) {
	servers := testEndpoints(4)
	servers[3].Zone = "y"
	for scope, want := range map[DedupScope]int{DedupAcrossFleet: 4, DedupWithinZone: 3, DedupWithinCell: 2} {
		set := settings()
		set.Classes[1].DedupScope = scope
		b := newTestNode(t, set, servers...)
		r := &request{class: b.balancer.classes["put"], work: 1, mayHaveRun: true, dedup: dedupBinding{bound: true, group: b.balancer.servers.byID["s0"].dedupGroup(b.balancer.classes["put"]), sentAt: b.now, until: b.now + 500}}
		got := 0
		for _, s := range b.balancer.servers.ready {
			if b.balancer.eligible(r, s) {
				got++
			}
		}
		if got != want {
			t.Errorf("scope %d: eligible servers = %d, want %d", scope, got, want)
		}
		b.actions = b.actions[:0]
		b.balancer.actions = nil
		b.balancer.rejectOrFail(r, NoCapacity)
		if rejected := count[Reject](b.balancer.actions) == 1; rejected != (scope == DedupAcrossFleet) {
			t.Errorf("scope %d: actions = %v, want a Reject only for scope %d", scope, b.balancer.actions, DedupAcrossFleet)
		}
	}
}

// Guards against rejecting all requests because of outdated estimates: the node would not detect the end
// of a slowdown.
func TestExplorationDetectsEndOfSlowdown(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	for i := 0; i < 60; i++ {
		b.serve("read", 1500, allOK) // far beyond the latency objective
	}
	served := 0
	for i := 0; i < 400; i++ {
		if b.serve("read", 20, allOK) != "" {
			served++
		}
		b.now += 30
	}
	if served < 300 {
		t.Errorf("requests sent after the slowdown = %d of 400, want at least 300", served)
	}
}

// Guards against each node always having an exploration in flight while no server can respond in time:
// if there are more nodes than servers, that alone keeps the fleet overloaded. All explorations together
// must stay a small fraction of the servers' capacity.
func TestExplorationIsLimitedAcrossNodes(t *testing.T) {
	const nodes, servers = 200, 4
	set := settings()
	set.Nodes = nodes
	sent := 0
	for n := 0; n < nodes; n++ {
		lb, err := New(set, uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		b := &testNode{t: t, balancer: lb, now: 100000}
		b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(servers)})
		lb.estimate.unitTime = 1000 // no server can respond in time
		for _, s := range lb.servers.ready {
			s.timing.measured, s.timing.unitTime = true, 1000
		}
		for i := 0; i < 20; i++ { // 10 s
			b.now += 500
			if id, acts := b.arrive("read", 2000); sentTo(acts) != "" {
				sent++
				b.completeAttempt(id, 0, sentTo(acts), TimedOut, 1)
			}
		}
	}
	// 4 servers at 100 ms per request can serve 400 in 10 s. Random variation may add a few explorations.
	if maxSent := int(explorationFraction*400) + 20; sent > maxSent || sent < 20 {
		t.Errorf("explorations of %d nodes in 10 s = %d, want 20 to %d", nodes, sent, maxSent)
	}
}

// Guards against rejecting heavy requests while most of the fleet is idle: a request that is expected to
// take more than the usual fraction of the remaining time may still go to an idle server.
func TestHeavyRequestIsSentOnlyIfFleetIsIdle(t *testing.T) {
	for _, load := range []float64{0.1, 1.5} {
		set := settings()
		set.LoadReports = true
		b := newTestNode(t, set, testEndpoints(4)...)
		b.balancer.estimate.othersLoad, b.balancer.openAttempts = load, 1 // no exploration
		for _, s := range b.balancer.servers.ready {
			b.balancer.recordLoadReport(s, LoadReport{Valid: true, InFlight: 0})
		}
		b.balancer.estimate.othersLoad = load
		b.lastRequestID++
		b.step(Arrival{ID: b.lastRequestID, Class: "read", Deadline: b.now + 2000, WorkHint: 10})
		b.balancer.estimate.meanWorkHint = 2
		b.lastRequestID++
		acts := b.step(Arrival{ID: b.lastRequestID, Class: "read", Deadline: b.now + 2000, WorkHint: 8}) // four times the mean
		if sent := sentTo(acts) != ""; sent != (load < 1) {
			t.Errorf("mean load %.1f: sent = %v, want %v", load, sent, load < 1)
		}
	}
}

// Guards against queuing requests, and rejecting them later, if the load of the servers is unknown and the
// budget allows no probes: with hundreds of nodes, a fifth of the requests were rejected while servers had
// free capacity.
func TestRequestIsSentAtOnceIfServerLoadIsUnknown(t *testing.T) {
	sent := func(set Settings, load float64) bool {
		b := newTestNode(t, set, testEndpoints(40)...)
		b.balancer.estimate.othersLoad, b.balancer.probing.tokens.available = load, 0
		_, acts := b.arrive("read", 2000)
		return sentTo(acts) != ""
	}
	expensive, cheap := largeFleetSettings(10*probeBudgetFraction), largeFleetSettings(probeBudgetFraction/10)
	if !sent(expensive, 1) {
		t.Error("a request was queued although probes are too expensive to get load reports")
	}
	if sent(cheap, 1) {
		t.Error("a request was sent at unknown load although the budget allows probes")
	}
	if sent(expensive, 8) {
		t.Error("a request was sent although all servers are estimated to be full")
	}
	expensive.ProbesAllowed = false
	if !sent(expensive, 1) {
		t.Error("a request was queued although probes are not allowed")
	}
	expensive.LoadReports = false
	b := newTestNode(t, expensive, testEndpoints(1)...)
	if b.balancer.refreshEstimate(b.balancer.servers.byID["s0"]); b.balancer.servers.byID["s0"].estimate.uncertainty != 0 {
		t.Error("uncertainty is not 0 although servers send no load reports")
	}
}

// Guards against a new connection for every fourth request if each of many nodes uses all servers: servers
// close connections that are idle for seconds, and a handshake may cost a twelfth of a request.
func TestIdleConnectionsArePreferred(t *testing.T) {
	countDials := func(price float64, closesAfter func(i int) bool) (dialed int) {
		set := largeFleetSettings(0.1)
		set.Prices.Handshake = price
		b := newTestNode(t, set, testEndpoints(40)...)
		idleConnections := map[ServerID]int{}
		for i := range 200 {
			b.now += 50
			id, acts := b.arrive("read", 2000)
			s := sentTo(acts)
			if idleConnections[s]--; idleConnections[s] < 0 {
				idleConnections[s] = 0
				dialed++
			}
			b.now += 10
			b.completeAttempt(id, 0, s, OK, 10)
			if idleConnections[s]++; closesAfter(i) {
				idleConnections[s]--
				b.step(ConnectionClosed{Server: s})
			}
		}
		return dialed
	}
	never := func(int) bool { return false }
	if unpriced, priced := countDials(0, never), countDials(0.1, never); unpriced < 30 || priced > unpriced/2 {
		t.Errorf("connections opened = %d without a price, want at least 30; %d at price 0.1, want at most half", unpriced, priced)
	}
	if n := countDials(0.1, func(int) bool { return true }); n < 190 {
		t.Errorf("connections opened = %d although each is closed immediately, want at least 190 of 200", n)
	}
	if unpriced, priced := countDials(0, never), countDials(0.001, never); priced < unpriced/2 {
		t.Errorf("connections opened = %d at price 0.001, want at least half of the %d without a price", priced, unpriced)
	}
}

// Guards against a draw that favors servers early in the list after servers that cost too much are removed:
// the remaining ones must be drawn in proportion to their scores.
func TestRemainingServersAreDrawnInProportionToScore(t *testing.T) {
	set := settings()
	b := newTestNode(t, set, testEndpoints(5)...)
	for i, s := range b.balancer.servers.ready {
		s.timing.measured, s.timing.unitTime, s.timing.outcomeAt, s.score = true, 20, b.now, float64(i+1)
	}
	b.balancer.estimate.unitTime, b.balancer.estimate.initialUnitTime, b.balancer.scoredAt = 20, 20, b.now
	slow := b.balancer.servers.ready[2]
	slow.timing.unitTime = 40 // twice the unit time of the others, and still within the latency objective
	const picks = 20000
	got := map[ServerID]float64{}
	for range picks {
		r := &request{class: b.balancer.classes["read"], work: 1, arrived: b.now, objectiveAt: b.now + 400, deadline: b.now + 2000}
		got[b.balancer.pickServer(r).ID]++
	}
	for i, s := range b.balancer.servers.ready {
		want := float64(i+1) / (1 + 2 + 4 + 5)
		if s == slow {
			want = 0
		}
		if math.Abs(got[s.ID]/picks-want) > 0.015 {
			t.Errorf("drawn fraction of %s = %.3f, want %.3f", s.ID, got[s.ID]/picks, want)
		}
	}
}

// Guards against sending to another zone unnecessarily, and against staying in a zone whose servers are full.
func TestRequestLeavesZoneOnlyIfZoneIsFull(t *testing.T) {
	set := probeOnlySettings(1)
	set.Zone, set.Prices.CrossZone, set.ProbesAllowed = "here", 0.13, false
	list := []Endpoint{{ID: "near", Zone: "here", Capacity: 1}, {ID: "far", Zone: "there", Capacity: 1}}
	countCrossZone := func(nearLoad float64) int {
		n := 0
		for i := 0; i < 50; i++ {
			b := newTestNode(t, set, list...)
			b.balancer.rng.Uint64N(uint64(i + 1))
			for _, s := range b.balancer.servers.ready {
				s.timing.measured, s.timing.unitTime, s.timing.outcomeAt = true, 20, b.now
			}
			b.step(LoadProbeCompleted{Server: "near", Outcome: OK, Report: LoadReport{Valid: true, InFlight: nearLoad}})
			b.step(LoadProbeCompleted{Server: "far", Outcome: OK, Report: LoadReport{Valid: true}})
			if _, acts := b.arrive("read", 2000); sentTo(acts) == "far" {
				n++
			}
		}
		return n
	}
	if n := countCrossZone(0); n > 0 {
		t.Errorf("cross-zone requests = %d of 50 with an idle local zone, want 0", n)
	}
	if n := countCrossZone(40); n < 50 {
		t.Errorf("cross-zone requests = %d of 50 with a full local zone, want 50", n)
	}
}

// Guards against nodes that send the requests of one key to different servers, so that none has it cached.
func TestAllNodesPreferSameServersForKey(t *testing.T) {
	set := probeOnlySettings(2)
	set.KeyAffinity = true
	keysByServer := map[ServerID]int{}
	for k := 0; k < 60; k++ {
		r := &request{affinityKey: stableHash(fmt.Sprint("key", k))}
		primary, secondary := newTestNode(t, set, testEndpoints(12)...).balancer.affinityServers(r)
		r.affinity.version = 0
		other, _ := newTestNode(t, set, testEndpoints(12)...).balancer.affinityServers(&request{affinityKey: r.affinityKey})
		if primary == secondary || primary.ID != other.ID {
			t.Fatalf("preferred servers = %s and %s, at another node %s, want two servers and the same first", primary.ID, secondary.ID, other.ID)
		}
		keysByServer[primary.ID]++
	}
	if len(keysByServer) < 9 {
		t.Errorf("servers preferred by 60 keys = %d of 12, want at least 9", len(keysByServer))
	}
}

// Guards against saturated servers, which become slower for all requests: a server gets at most
// saturationFactor times its parallelism, and no late requests while it is busy.
func TestServersAreNotSaturated(t *testing.T) {
	set := settings()
	set.Classes[0].LateFraction, set.Goal.TailLatency = 0.5, 0.2
	b := newTestNode(t, set, testEndpoints(1)...)
	b.balancer.estimate.unitTime, b.balancer.servers.byID["s0"].timing.measured, b.balancer.servers.byID["s0"].timing.unitTime = 5, true, 5
	sent := 0
	for i := 0; i < 10; i++ {
		_, acts := b.arrive("read", 2000)
		sent += count[StartAttempt](acts)
	}
	if sent != saturationFactor {
		t.Errorf("requests sent to a server with parallelism 1 = %d, want %v", sent, saturationFactor)
	}
	lateRequest := &request{class: b.balancer.classes["read"], work: 1, deadline: b.now + 1500, objectiveAt: b.now - 1, late: true}
	if s := b.balancer.pickServer(lateRequest); s != nil {
		t.Error("a late request was sent to a busy server")
	}
}

// Guards against a class with a low priority weight and a long objective that fills the servers until each
// response takes longer than the objective of the class with the highest weight, and keeps them full after
// the load has ended (simulation batumi-freight, calm+mass: 0.2% of the responses in time). Its requests are
// sent while the expected time leaves capacity for the other class, and rejected at once otherwise.
func TestLongObjectivesLeaveCapacityForHigherPriority(t *testing.T) {
	for elapsed, wantSent := range map[Millis]bool{60: true, 250: false} {
		set := settings()
		set.Classes = []Class{{Name: "track", Idempotency: Idempotent, LatencyObjective: 1000, TotalTimeout: 3000, PriorityWeight: 1},
			{Name: "book", Idempotency: NonIdempotent, LatencyObjective: 200, TotalTimeout: 400, PriorityWeight: 9}}
		b := newTestNode(t, set, testEndpoints(2)...)
		for range 40 {
			b.serve("track", elapsed, allOK)
		}
		b.arrive("track", 3000) // uses up the exploration
		_, acts := b.arrive("track", 3000)
		if got := sentTo(acts) != ""; got != wantSent || !wantSent && count[Reject](acts) != 1 {
			t.Errorf("service time %v ms: sent = %v, want %v; actions = %v", elapsed, got, wantSent, acts)
		}
	}
}
