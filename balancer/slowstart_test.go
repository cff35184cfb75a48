package balancer

import (
	"math"
	"slices"
	"testing"
)

// Guards against a wall clock that was stepped by an hour before the node started: the start times
// that discovery reports then differ by an hour from the node's clock.
func TestSlowStartWithSteppedWallClock(t *testing.T) {
	const hour = 3_600_000
	set := settings()
	set.SlowStart.InitialCapacity, set.SlowStart.Duration = 0.3, 9000
	for name, c := range map[string]struct {
		kind        UpdateKind
		startOffset Millis  // reported start time of the server, relative to now
		minInitial  float64 // bounds of minimumCapacity right after the update
		maxInitial  float64
		fullAfter   Millis // time after which minimumCapacity is 1
	}{
		"clocks agree":           {DeltaUpdate, -1000, 0.3, 0.4, 9000},
		"node's clock is ahead":  {DeltaUpdate, -hour, 0.3, 0.4, 9000},
		"node's clock is behind": {DeltaUpdate, hour, 0.3, 0.3, 9000},
		"behind, full list":      {FullUpdate, hour, 0.3, 0.3, 9000},
	} {
		b := newTestNode(t, set, Endpoint{ID: "warm", Capacity: 1})
		b.now += 2 * hour
		b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "warm", Capacity: 1}}})
		entries := []Endpoint{{ID: "warm", Capacity: 1}, {ID: "cold", Capacity: 1, Started: b.now + c.startOffset}}
		b.step(EndpointUpdate{Kind: c.kind, Endpoints: entries})
		newServer := b.balancer.servers.byID["cold"]
		if got := b.balancer.minimumCapacity(newServer); got < c.minInitial-1e-9 || got > c.maxInitial {
			t.Errorf("%s: minimum capacity after the update = %.2f, want %.2f to %.2f", name, got, c.minInitial, c.maxInitial)
		}
		b.now += c.fullAfter
		b.step(TimerFired{"sweep"})
		if got := b.balancer.minimumCapacity(newServer); math.Abs(got-1) > 1e-9 {
			t.Errorf("%s: minimum capacity after slow start = %.2f, want 1", name, got)
		}
	}
}

func TestNodeStaysWithinSlowStartBudget(t *testing.T) {
	set := settings()
	set.Nodes = 2
	set.Classes = set.Classes[:1]
	b := newTestNode(t, set, testEndpoints(1)...)
	for i := 0; i < 30; i++ {
		b.serve("read", 40, allOK)
	}
	unit := b.balancer.estimate.unitTime
	b.balancer.servers.ready[0].State = Removed
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{
		{ID: "s0", State: Removed}, {ID: "cold", Capacity: 1, Started: b.now}}})
	sent, start := 0, b.now
	for b.now < start+set.SlowStart.OverloadWindow {
		if id, acts := b.arrive("read", 2000); sentTo(acts) == "cold" {
			sent++
			b.completeAttempt(id, 0, "cold", Overloaded, 0) // rejected work counts too
		}
		b.now += 5
	}
	budget := set.SlowStart.OverloadFactor * (set.SlowStart.InitialCapacity + 0.2*(1-set.SlowStart.InitialCapacity)) * set.SlowStart.OverloadWindow / unit / float64(set.Nodes)
	if sent == 0 || float64(sent) > budget {
		t.Errorf("requests sent to a server in slow start = %d, want 1 to %.1f", sent, budget)
	}
}

// Guards against a restarted server that gets one request from each of hundreds of nodes at the same time, and
// against one that gets none during slow start because each node's quota is less than one request.
func TestSlowStartBudgetHoldsAcrossNodes(t *testing.T) {
	for _, reports := range []bool{true, false} {
		const nodes, servers = 300, 30
		set := settings()
		set.Nodes, set.LoadReports = nodes, reports
		startedAt, workByWindow := 100000.0, map[int]float64{}
		for n := 0; n < nodes; n++ {
			set.Node = n
			lb, err := New(set, uint64(n))
			if err != nil {
				t.Fatal(err)
			}
			b := &testNode{t: t, balancer: lb, now: startedAt}
			b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(servers)})
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "s7", Zone: "z", Capacity: 1, Started: startedAt}}})
			restarted := b.balancer.servers.byID["s7"]
			for ; b.now < startedAt+set.SlowStart.Duration; b.now += 100 { // every node tries to send a request every 100 ms
				lb.now = b.now
				r := &request{class: lb.classes["read"], work: 1, deadline: b.now + 2000}
				if slices.Contains(b.balancer.candidates(r), restarted) {
					restarted.slowStart.budget.available--
					workByWindow[int((b.now-startedAt)/set.SlowStart.OverloadWindow)] += b.balancer.estimate.unitTime
				}
			}
		}
		for window, sent := range workByWindow {
			capacity := min(1, set.SlowStart.InitialCapacity+(1-set.SlowStart.InitialCapacity)*float64(window)*set.SlowStart.OverloadWindow/set.SlowStart.Duration)
			if maxWork := set.SlowStart.OverloadFactor * capacity * set.SlowStart.OverloadWindow; sent > maxWork {
				t.Errorf("load reports %v: work sent in window %d = %.0f ms, want at most %.0f ms", reports, window, sent, maxWork)
			}
		}
		if workByWindow[0] < 0.1*set.SlowStart.OverloadFactor*set.SlowStart.InitialCapacity*set.SlowStart.OverloadWindow {
			t.Errorf("load reports %v: work sent in the first window = %.0f ms, want at least a tenth of its budget", reports, workByWindow[0])
		}
	}
}

// Guards against estimating the capacity of each server in slow start separately: in the simulation
// join+vast, 80 nodes expected full capacity of each of 36 replaced servers, and up to 57% of the first
// requests were late. An estimate from a few servers must apply to the others, and measurements during
// slow start must not make a server appear slow afterwards.
func TestSlowStartCapacityIsEstimatedFromAllServers(t *testing.T) {
	for _, speed := range []float64{0.35, 0.8} {
		entries := testEndpoints(4)
		b := newTestNode(t, largeFleetSettings(0.1), entries...)
		entries[2].Started, entries[3].Started = b.now, b.now
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: entries[2:]})
		measuredServer, unmeasuredServer := b.balancer.servers.byID["s2"], b.balancer.servers.byID["s3"]
		b.balancer.estimate.unitTime = 20
		for i := range 100 { // half of the requests wait for other requests at the server
			elapsed := b.balancer.estimate.unitTime / speed * []float64{0.7, 1.3}[i%2]
			a := attempt{server: measuredServer, sentAt: b.now, serviceRounds: 1}
			b.balancer.recordAttemptOutcome(measuredServer, &request{class: b.balancer.classes["read"], work: 1}, &a, OK, elapsed)
		}
		if got := b.balancer.estimatedCapacity(unmeasuredServer); math.Abs(got-speed) > 0.15 {
			t.Errorf("estimated capacity of an unmeasured server in slow start = %.2f, want about %v as measured on another", got, speed)
		}
		if slowStartTime := b.balancer.currentUnitTime(unmeasuredServer); slowStartTime < b.balancer.estimate.unitTime/(speed+0.15) {
			t.Errorf("unit time of an unmeasured server in slow start = %.1f ms, want at least %.1f ms, above the typical unit time", slowStartTime, b.balancer.estimate.unitTime/(speed+0.15))
		}
		b.now += b.balancer.settings.SlowStart.Duration
		measuredServer.timing.outcomeAt = b.now // so that the unit time does not decay
		b.step(TimerFired{"sweep"})
		if fullTime := b.balancer.currentUnitTime(measuredServer); fullTime > 1.6*b.balancer.estimate.unitTime || fullTime < b.balancer.estimate.unitTime/1.6 {
			t.Errorf("unit time after slow start = %.1f ms, want within a factor of 1.6 of the typical %.1f ms", fullTime, b.balancer.estimate.unitTime)
		}
	}
}
