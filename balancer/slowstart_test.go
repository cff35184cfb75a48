package balancer

import (
	"math"
	"slices"
	"testing"
)

// TestSlowStartWithSteppedWallClock: the wall clock of this machine was stepped by an hour before
// the node started, so that the starts that discovery tells lie an hour off.
func TestSlowStartWithSteppedWallClock(t *testing.T) {
	const hour = 3_600_000
	set := settings()
	set.SlowStart.InitialCapacity, set.SlowStart.Duration = 0.3, 9000
	for name, c := range map[string]struct {
		form  UpdateKind
		off   Millis
		least float64 // of the capacity that it counts with at once ...
		most  float64
		after Millis // ... and when it counts whole
	}{
		"clocks agree":           {DeltaUpdate, -1000, 0.3, 0.4, 9000},
		"node's clock is ahead":  {DeltaUpdate, -hour, 0.3, 0.4, 9000},
		"node's clock is behind": {DeltaUpdate, hour, 0.3, 0.3, 9000},
		"behind, whole list":     {FullUpdate, hour, 0.3, 0.3, 9000},
	} {
		b := newTestNode(t, set, Endpoint{ID: "warm", Capacity: 1})
		b.now += 2 * hour
		b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "warm", Capacity: 1}}})
		entries := []Endpoint{{ID: "warm", Capacity: 1}, {ID: "cold", Capacity: 1, Started: b.now + c.off}}
		b.step(EndpointUpdate{Kind: c.form, Endpoints: entries})
		cold := b.balancer.servers.byID["cold"]
		if got := b.balancer.minimumCapacity(cold); got < c.least-1e-9 || got > c.most {
			t.Errorf("%s: counts %.2f of its capacity at once, want %.2f to %.2f", name, got, c.least, c.most)
		}
		b.now += c.after
		b.step(TimerFired{"sweep"})
		if got := b.balancer.minimumCapacity(cold); math.Abs(got-1) > 1e-9 {
			t.Errorf("%s: still counts %.2f of its capacity after its time", name, got)
		}
	}
}

func TestSlowStartBudget(t *testing.T) {
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
			b.end(id, 0, "cold", Overloaded, 0) // rejected work counts too
		}
		b.now += 5
	}
	budget := set.SlowStart.OverloadFactor * (set.SlowStart.InitialCapacity + 0.2*(1-set.SlowStart.InitialCapacity)) * set.SlowStart.OverloadWindow / unit / float64(set.Nodes)
	if sent == 0 || float64(sent) > budget {
		t.Errorf("sent %d to a warming server, want 1 to %.1f", sent, budget)
	}
}

// Guards against a returned server that gets one request from each of hundreds of nodes at once,
// and against one that gets none until it is warm because no node's part makes a whole request.
func TestSlowStartBudgetHoldsAcrossNodes(t *testing.T) {
	for _, reports := range []bool{true, false} {
		const nodes, servers = 300, 30
		set := settings()
		set.Nodes, set.LoadReports = nodes, reports
		began, work := 100000.0, map[int]float64{}
		for n := 0; n < nodes; n++ {
			set.Node = n
			l, err := New(set, uint64(n))
			if err != nil {
				t.Fatal(err)
			}
			b := &testNode{t: t, balancer: l, now: began}
			b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(servers)})
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "s7", Zone: "z", Capacity: 1, Started: began}}})
			cold := b.balancer.servers.byID["s7"]
			for ; b.now < began+set.SlowStart.Duration; b.now += 100 { // every node would send it one every 100 ms
				l.now = b.now
				r := &request{class: l.classes["read"], work: 1, deadline: b.now + 2000}
				if slices.Contains(b.balancer.candidates(r), cold) {
					cold.slowStart.budget.left--
					work[int((b.now-began)/set.SlowStart.OverloadWindow)] += b.balancer.estimate.unitTime
				}
			}
		}
		for window, sent := range work {
			share := min(1, set.SlowStart.InitialCapacity+(1-set.SlowStart.InitialCapacity)*float64(window)*set.SlowStart.OverloadWindow/set.SlowStart.Duration)
			if most := set.SlowStart.OverloadFactor * share * set.SlowStart.OverloadWindow; sent > most {
				t.Errorf("reports %v: window %d got %.0f ms of work, %.0f push it over", reports, window, sent, most)
			}
		}
		if work[0] < 0.1*set.SlowStart.OverloadFactor*set.SlowStart.InitialCapacity*set.SlowStart.OverloadWindow {
			t.Errorf("reports %v: the first window got %.0f ms of work", reports, work[0])
		}
	}
}

// Guards against learning anew at each warming server that it is slow: 80 nodes sent each of 36
// replaced servers a first request at the fleet's speed, and up to 57% of those came late
// (join+vast). What a few showed holds for the rest, and what was seen of one while it was cold
// does not hold it down once it is warm.
func TestSlowStartCapacityIsEstimatedFromAllServers(t *testing.T) {
	for _, speed := range []float64{0.35, 0.8} {
		entries := testEndpoints(4)
		b := newTestNode(t, fleet(0.1), entries...)
		entries[2].Started, entries[3].Started = b.now, b.now
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: entries[2:]})
		met, unseen := b.balancer.servers.byID["s2"], b.balancer.servers.byID["s3"]
		b.balancer.estimate.unitTime = 20
		for i := range 100 { // half of them wait for what else is there
			took := b.balancer.estimate.unitTime / speed * []float64{0.7, 1.3}[i%2]
			a := attempt{server: met, sentAt: b.now, serviceRounds: 1}
			b.balancer.recordAttemptOutcome(met, &request{class: b.balancer.classes["read"], work: 1}, &a, OK, took)
		}
		if got := b.balancer.estimatedCapacity(unseen); math.Abs(got-speed) > 0.15 {
			t.Errorf("a warming server never met is taken to have %.2f of its capacity, another showed %v", got, speed)
		}
		if now := b.balancer.currentUnitTime(unseen); now < b.balancer.estimate.unitTime/(speed+0.15) {
			t.Errorf("a warming server never met is taken to need %.1f ms, a warm one needs %.1f", now, b.balancer.estimate.unitTime)
		}
		b.now += b.balancer.settings.SlowStart.Duration
		met.timing.outcomeAt = b.now // not by fading
		b.step(TimerFired{"sweep"})
		if felt := b.balancer.currentUnitTime(met); felt > 1.6*b.balancer.estimate.unitTime || felt < b.balancer.estimate.unitTime/1.6 {
			t.Errorf("warm by now it is taken to need %.1f ms, the fleet %.1f", felt, b.balancer.estimate.unitTime)
		}
	}
}
