package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A restarted server must start without its earlier outcomes and ejection, and in slow start.
func TestRestartedServerStartsWithoutHistory(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	failUntilEjected(t, b, "s1", Errored)
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "s1", Capacity: 1, Started: b.now}}})
	s := b.balancer.servers.byID["s1"]
	if s.outlier.ejected || s.outcomes.recentLen != 0 || b.balancer.minimumCapacity(s) > 0.3 {
		t.Errorf("restarted server: ejected = %v, want false; outcomes = %d, want 0; minimum capacity = %.2f, want at most 0.3", s.outlier.ejected, s.outcomes.recentLen, b.balancer.minimumCapacity(s))
	}
	if len(b.balancer.servers.ready) != 3 {
		t.Errorf("ready servers = %d, want 3", len(b.balancer.servers.ready))
	}
}

// After a failed poll or watch the balancer keeps its list and polls again after a backoff, but not while a
// watch is active.
func TestRetryFailedWatch(t *testing.T) {
	set := settings()
	set.WatchEndpoints = true
	b := newTestNode(t, set, testEndpoints(2)...)
	if b.step(TimerFired{"ask"}); count[WatchEndpoints](b.actions) != 1 {
		t.Fatalf("WatchEndpoints actions after the first poll timer = %d, want 1", count[WatchEndpoints](b.actions))
	}
	for i := 0; i < 6; i++ {
		var at Millis
		for _, a := range b.step(EndpointUpdate{Kind: UpdateFailed}) {
			if timer, ok := a.(SetTimer); ok && timer.Token == "ask" {
				at = timer.At
			}
		}
		if at <= b.now || at-b.now > set.MaxPollInterval {
			t.Fatalf("next poll after %.0f ms, want above 0 and at most %.0f", at-b.now, set.MaxPollInterval)
		}
		b.now = at
		if count[WatchEndpoints](b.step(TimerFired{"ask"})) != 1 {
			t.Fatal("no poll when the timer fires after a failed poll, want one")
		}
	}
	if len(b.balancer.servers.ready) != 2 {
		t.Errorf("ready servers after failed polls = %d, want 2", len(b.balancer.servers.ready))
	}
	b.step(EndpointUpdate{Kind: DeltaUpdate})
	b.now += 60000
	if count[WatchEndpoints](b.step(TimerFired{"ask"})) != 0 {
		t.Error("polled while a watch is active, want no poll")
	}
}

// If hundreds of nodes start together, their first polls must be spread over time. Discovery has a fixed
// capacity, and polls that it rejects are repeated.
func TestFirstPollsOfNodesAreSpread(t *testing.T) {
	const nodes = 400
	set := settings()
	set.Nodes, set.WatchEndpoints = nodes, true
	calls := map[int]int{}
	for n := 0; n < nodes; n++ {
		lb, err := New(set, uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		at, polled := 100000.0, false
		for _, a := range lb.Step(at, EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)}) {
			if s, ok := a.(SetTimer); ok && s.Token == "ask" {
				at = s.At
			}
		}
		polled = count[WatchEndpoints](lb.Step(at, TimerFired{"ask"})) == 1
		if !polled || at > 100000+set.MaxPollInterval/2 {
			t.Fatalf("node %d: polled = %v at %.0f ms after its start, want a poll within %.0f ms", n, polled, at-100000, set.MaxPollInterval/2)
		}
		calls[int(at-100000)/500]++
	}
	for k, n := range calls {
		if n > 90 {
			t.Errorf("%d of %d nodes poll within 500 ms from %d ms on, want at most 90", n, nodes, k*500)
		}
	}
}

// While the endpoint list is stale, a server may be draining although its entry doesn't say so. The balancer must
// prefer servers that answered recently, since these can't be draining. If there are none, it uses all servers. It
// uses all servers again after the next update.
func TestStaleListPrefersRecentlyAnsweringServers(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(20)...)
	b.step(EndpointUpdate{Kind: UpdateStale})
	b.now += b.balancer.settings.DrainGrace / 4
	if n := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]})); n != 20 {
		t.Errorf("candidates within the drain grace = %d, want 20", n)
	}
	b.serve("read", 10, allOK)
	for i := 0; i < 50; i++ {
		b.now += b.balancer.settings.DrainGrace / 10
		id, acts := b.arrive("read", 2000)
		s := sentTo(acts)
		if i > 10 && b.balancer.mayBeDraining(b.balancer.servers.byID[s]) {
			t.Fatalf("sent to %s, which has answered no request for half of the drain grace", s)
		}
		b.now += 10
		b.completeAttempt(id, 0, s, OK, 10)
	}
	recentlyAnswering := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]}))
	if recentlyAnswering == 0 || recentlyAnswering == 20 {
		t.Errorf("candidates while the list is stale for longer than the drain grace = %d, want more than 0 and fewer than 20", recentlyAnswering)
	}
	b.now += 10 * b.balancer.settings.DrainGrace
	b.step(TimerFired{"sweep"})
	if n := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]})); n != 20 {
		t.Errorf("candidates without a recent answer = %d, want 20", n)
	}
	b.step(EndpointUpdate{Kind: UpdateStale})
	b.serve("read", 10, allOK)
	b.now += b.balancer.settings.DrainGrace
	b.serve("read", 10, allOK)
	b.step(EndpointUpdate{Kind: DeltaUpdate})
	if n := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]})); n != 20 {
		t.Errorf("candidates after an update = %d, want 20", n)
	}
}

// discoveryModel simulates a discovery service that answers polls one after the other. If the wait would exceed two
// seconds, the poll is rejected after two seconds, but still takes up the time for its answer. If the wait would
// exceed four seconds, the poll is rejected immediately and takes up no time. This behaviour was observed.
type discoveryModel struct {
	timePerCall Millis
	busyUntil   Millis
	rejected    int
}

// call returns when the answer to a poll arrives, and whether it contains the list.
func (d *discoveryModel) call(now Millis) (answeredAt Millis, accepted bool) {
	const maxWait = 2000
	d.busyUntil = max(d.busyUntil, now) + d.timePerCall
	switch wait := d.busyUntil - now; {
	case wait <= maxWait:
		return d.busyUntil, true
	case wait > 2*maxWait:
		d.busyUntil -= d.timePerCall // the rejected poll takes up no time
		d.rejected++
		return now + 1, false
	}
	d.rejected++
	return now + maxWait, false
}

// Nodes that restart together must not keep discovery overloaded by repeating rejected polls immediately. In
// one run (herd+vast), 42 of 56 nodes had fewer than half of 42 new servers in their list six seconds after their
// start, and 24% of the requests were rejected.
func TestRestartedNodesGetListFromOverloadedDiscovery(t *testing.T) {
	for _, size := range []struct {
		nodes  int
		within Millis  // maximum time until 90% of the nodes have the list
		calls  float64 // maximum mean number of polls for each node
	}{{1, 1000, 1}, {8, 1500, 1.5}, {80, 10000, 2}, {300, 13000, 1.5}, {1000, 6000, 1.5}} {
		discovery := &discoveryModel{timePerCall: 5000 / float64(max(50, size.nodes))} // answers one poll from every node within 5 s
		set := settings()
		set.Nodes, set.WatchEndpoints = size.nodes, true
		type scheduledEvent struct {
			at    Millis
			node  int
			event Event
		}
		var queue []scheduledEvent
		push := func(w scheduledEvent) {
			i, _ := slices.BinarySearchFunc(queue, w.at, func(q scheduledEvent, at Millis) int { return int(math.Copysign(1, q.at-at)) })
			queue = slices.Insert(queue, i, w)
		}
		nodes, calls := make([]*Balancer, size.nodes), 0
		for i := range nodes {
			set.Node = i
			lb, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			nodes[i] = lb
			push(scheduledEvent{rand.New(rand.NewPCG(uint64(i), 1)).Float64(), i, EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)}})
		}
		var receivedAt []Millis // when each node received the list
		for now := 0.0; len(queue) > 0 && len(receivedAt) < size.nodes && now < 3*size.within; {
			w := queue[0]
			queue = queue[1:]
			now = w.at
			if update, isUpdate := w.event.(EndpointUpdate); isUpdate && update.Kind == FullUpdate {
				receivedAt = append(receivedAt, now)
			}
			for _, a := range nodes[w.node].Step(now, w.event) {
				switch a := a.(type) {
				case SetTimer:
					push(scheduledEvent{a.At, w.node, TimerFired{a.Token}})
				case WatchEndpoints:
					calls++
					answeredAt, accepted := discovery.call(now)
					kind := UpdateFailed
					if accepted {
						kind = FullUpdate
					}
					push(scheduledEvent{answeredAt, w.node, EndpointUpdate{Kind: kind, Endpoints: testEndpoints(4)}})
				}
			}
		}
		requiredNodes := (9*size.nodes + 9) / 10
		if len(receivedAt) < requiredNodes || receivedAt[requiredNodes-1] > size.within {
			t.Errorf("%d nodes: %d have the list, %d polls rejected; want 90%% of the nodes to have it within %v ms", size.nodes, len(receivedAt), discovery.rejected, size.within)
		}
		if perNode := float64(calls) / float64(size.nodes); perNode > size.calls {
			t.Errorf("%d nodes: %.1f polls for each node, want at most %v", size.nodes, perNode, size.calls)
		}
	}
}

// The entry of a removed server may lack the cell, and the Endpoint then contains cell 0. A request with an
// idempotency key that may have run on the server must still be retried only in the original cell.
func TestRemovedEntryKeepsDedupScope(t *testing.T) {
	for name, update := range map[string]Endpoint{
		"gone":       {ID: "s1", State: Removed},
		"drains":     {ID: "s1", State: Draining, Zone: "z", Cell: 0, Capacity: 1},
		"moved cell": {ID: "s1", Zone: "z", Cell: 0, Capacity: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestNode(t, settings(), testEndpoints(2)[1]) // s1, of cell 1
			id, acts := b.arrive("put", 2000)
			if sentTo(acts) != "s1" {
				t.Fatalf("actions = %v, want an attempt at s1", acts)
			}
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{update, {ID: "s0", Zone: "z", Cell: 0, Capacity: 1}}})
			b.now += 10
			acts = b.completeAttempt(id, 0, "s1", ConnectionLost, 10)
			if to := sentTo(acts); to != "" {
				t.Errorf("retried at %s in another cell, want no retry", to)
			}
			if count[Fail](acts) != 1 {
				t.Errorf("actions = %v, want one failure", acts)
			}
		})
	}
}

// The time between polls must stay within MaxPollBackoff, so that a node receives a changed list in time. In a
// former version it grew to 7.5 s, and the first poll came up to 5 s after the start. The caller adds further delays.
func TestPollBackoffStaysWithinMaximum(t *testing.T) {
	for _, nodes := range []int{1, 2, 8, 36, 80, 300, 350, 1024} {
		for seed := range uint64(20) {
			set := settings()
			set.Nodes, set.WatchEndpoints = nodes, true
			lb, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			now, event := 1000.0, Event(EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)})
			for call := range 12 {
				at := -1.0
				for _, a := range lb.Step(now, event) {
					if timer, ok := a.(SetTimer); ok && timer.Token == "ask" {
						at = timer.At
					}
				}
				if at < 0 || at-now > MaxPollBackoff {
					t.Fatalf("%d nodes, call %d: next poll after %v ms, want at most %v", nodes, call, at-now, MaxPollBackoff)
				}
				lb.Step(at, TimerFired{"ask"}) // polls
				now, event = at+2500, EndpointUpdate{Kind: UpdateFailed}
			}
		}
	}
}
