package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestRestartedServerBeginsWithoutRecord(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	failing(t, b, "s1", Errored)
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "s1", Capacity: 1, Started: b.now}}})
	s := b.balancer.servers.byID["s1"]
	if s.outlier.ejected || s.outcomes.recentLen != 0 || b.balancer.minimumCapacity(s) > 0.3 {
		t.Errorf("restarted server kept its past: ejected %v, outcomes %d, ramp %.2f", s.outlier.ejected, s.outcomes.recentLen, b.balancer.minimumCapacity(s))
	}
	if len(b.balancer.servers.ready) != 3 {
		t.Errorf("%d servers listed, want 3", len(b.balancer.servers.ready))
	}
}

func TestWatchIsRetried(t *testing.T) {
	set := settings()
	set.WatchEndpoints = true
	b := newTestNode(t, set, testEndpoints(2)...)
	if b.step(TimerFired{"ask"}); count[WatchEndpoints](b.actions) != 1 {
		t.Fatal("no subscription at the start")
	}
	for i := 0; i < 6; i++ {
		var at Millis
		for _, a := range b.step(EndpointUpdate{Kind: UpdateFailed}) {
			if timer, ok := a.(SetTimer); ok && timer.Token == "ask" {
				at = timer.At
			}
		}
		if at <= b.now || at-b.now > set.MaxPollInterval {
			t.Fatalf("asks again in %.0f ms", at-b.now)
		}
		b.now = at
		if count[WatchEndpoints](b.step(TimerFired{"ask"})) != 1 {
			t.Fatal("a failed call is not repeated")
		}
	}
	if len(b.balancer.servers.ready) != 2 {
		t.Error("a failed call lost the list")
	}
	b.step(EndpointUpdate{Kind: DeltaUpdate})
	b.now += 60000
	if count[WatchEndpoints](b.step(TimerFired{"ask"})) != 0 {
		t.Error("asks again while subscribed")
	}
}

// Guards against hundreds of nodes that start together and all call discovery at once: it has a
// fixed capacity, and calls that fail come back.
func TestFirstPollsAreSpread(t *testing.T) {
	const nodes = 400
	set := settings()
	set.Nodes, set.WatchEndpoints = nodes, true
	calls := map[int]int{}
	for n := 0; n < nodes; n++ {
		l, err := New(set, uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		at, asked := 100000.0, false
		for _, a := range l.Step(at, EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)}) {
			if s, ok := a.(SetTimer); ok && s.Token == "ask" {
				at = s.At
			}
		}
		asked = count[WatchEndpoints](l.Step(at, TimerFired{"ask"})) == 1
		if !asked || at > 100000+set.MaxPollInterval/2 {
			t.Fatalf("node %d asked: %v, at %.0f ms after its start", n, asked, at-100000)
		}
		calls[int(at-100000)/500]++
	}
	for k, n := range calls {
		if n > 90 {
			t.Errorf("%d of %d nodes call in the half second from %d ms", n, nodes, k*500)
		}
	}
}

// Guards against sending to servers that may have been told to drain long ago, where the list is
// late: those that took a request of ours just now surely do not drain. Where there are none all
// stay open, and news ends it.
func TestOverdueListPrefersServersThatJustAnswered(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(20)...)
	b.step(EndpointUpdate{Kind: UpdateStale})
	b.now += b.balancer.settings.DrainGrace / 4
	if n := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]})); n != 20 {
		t.Errorf("%d candidates within the grace, want all 20", n)
	}
	b.serve("read", 10, allOK)
	for i := 0; i < 50; i++ {
		b.now += b.balancer.settings.DrainGrace / 10
		id, acts := b.arrive("read", 2000)
		s := sentTo(acts)
		if i > 10 && b.balancer.mayBeDraining(b.balancer.servers.byID[s]) {
			t.Fatalf("sent to %s, which has taken nothing for half the grace", s)
		}
		b.now += 10
		b.end(id, 0, s, OK, 10)
	}
	sure := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]}))
	if sure == 0 || sure == 20 {
		t.Errorf("%d of 20 servers are open after news has been late for long", sure)
	}
	b.now += 10 * b.balancer.settings.DrainGrace
	b.step(TimerFired{"sweep"})
	if n := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]})); n != 20 {
		t.Errorf("%d candidates where none is sure, want all 20", n)
	}
	b.step(EndpointUpdate{Kind: UpdateStale})
	b.serve("read", 10, allOK)
	b.now += b.balancer.settings.DrainGrace
	b.serve("read", 10, allOK)
	b.step(EndpointUpdate{Kind: DeltaUpdate})
	if n := len(b.balancer.candidates(&request{class: b.balancer.classes["read"]})); n != 20 {
		t.Errorf("%d candidates after news, want all 20", n)
	}
}

// discoveryModel takes calls in turn at so many a second. One that would wait longer than two
// seconds is turned away: at that time, or at once where twice as many wait. What it is asked it
// works on all the same, as was seen.
type discoveryModel struct {
	timePerCall Millis // for one call
	busyUntil   Millis // until then
	rejected    int
}

// call tells when the answer comes and whether it is the list.
func (d *discoveryModel) call(now Millis) (at Millis, ok bool) {
	const patience = 2000
	d.busyUntil = max(d.busyUntil, now) + d.timePerCall
	switch wait := d.busyUntil - now; {
	case wait <= patience:
		return d.busyUntil, true
	case wait > 2*patience:
		d.busyUntil -= d.timePerCall // not even looked at
		d.rejected++
		return now + 1, false
	}
	d.rejected++
	return now + patience, false
}

// Guards against nodes that, restarted together, keep discovery full by coming back at once when it
// turns them away: six seconds after their start 42 of 56 knew under half of 42 new servers, and
// 24% was rejected (herd+vast).
func TestRestartedNodesAreInformedByOverloadedDiscovery(t *testing.T) {
	for _, size := range []struct {
		nodes  int
		within Millis // until nine in ten know the list
		calls  float64
	}{{1, 1000, 1}, {8, 1500, 1.5}, {80, 10000, 2}, {300, 13000, 1.5}, {1000, 6000, 1.5}} {
		d := &discoveryModel{timePerCall: 5000 / float64(max(50, size.nodes))} // a call from every node in 5 s: it grows with them
		set := settings()
		set.Nodes, set.WatchEndpoints = size.nodes, true
		type wake struct {
			at   Millis
			node int
			what Event
		}
		var queue []wake
		push := func(w wake) {
			i, _ := slices.BinarySearchFunc(queue, w.at, func(q wake, at Millis) int { return int(math.Copysign(1, q.at-at)) })
			queue = slices.Insert(queue, i, w)
		}
		nodes, calls := make([]*Balancer, size.nodes), 0
		for i := range nodes {
			set.Node = i
			l, err := New(set, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			nodes[i] = l
			push(wake{rand.New(rand.NewPCG(uint64(i), 1)).Float64(), i, EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)}})
		}
		var informed []Millis
		for now := 0.0; len(queue) > 0 && len(informed) < size.nodes && now < 3*size.within; {
			w := queue[0]
			queue = queue[1:]
			now = w.at
			if l, ok := w.what.(EndpointUpdate); ok && l.Kind == FullUpdate {
				informed = append(informed, now)
			}
			for _, a := range nodes[w.node].Step(now, w.what) {
				switch a := a.(type) {
				case SetTimer:
					push(wake{a.At, w.node, TimerFired{a.Token}})
				case WatchEndpoints:
					calls++
					at, ok := d.call(now)
					form := UpdateFailed
					if ok {
						form = FullUpdate
					}
					push(wake{at, w.node, EndpointUpdate{Kind: form, Endpoints: testEndpoints(4)}})
				}
			}
		}
		most := (9*size.nodes + 9) / 10
		if len(informed) < most || informed[most-1] > size.within {
			t.Errorf("%d nodes: %d informed, turned away %d times; nine in ten are to be by %v ms", size.nodes, len(informed), d.rejected, size.within)
		}
		if each := float64(calls) / float64(size.nodes); each > size.calls {
			t.Errorf("%d nodes: %.1f calls each, %v at most", size.nodes, each, size.calls)
		}
	}
}

// TestRemovedEntryKeepsDedupScope: the entry of a server that is gone may lack its cell. A keyed
// request that may have run there stays bound to the group that it ran in, which an entry of zeros
// took for cell 0.
func TestRemovedEntryKeepsDedupScope(t *testing.T) {
	for name, told := range map[string]Endpoint{
		"gone":       {ID: "s1", State: Removed},
		"drains":     {ID: "s1", State: Draining, Zone: "z", Cell: 0, Capacity: 1},
		"moved cell": {ID: "s1", Zone: "z", Cell: 0, Capacity: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestNode(t, settings(), testEndpoints(2)[1]) // s1, of cell 1
			id, acts := b.arrive("put", 2000)
			if sentTo(acts) != "s1" {
				t.Fatalf("not sent to s1: %v", acts)
			}
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{told, {ID: "s0", Zone: "z", Cell: 0, Capacity: 1}}})
			b.now += 10
			acts = b.end(id, 0, "s1", ConnectionLost, 10)
			if to := sentTo(acts); to != "" {
				t.Errorf("a repeat went to %s of another cell", to)
			}
			if count[Fail](acts) != 1 {
				t.Errorf("want a failure at once, got %v", acts)
			}
		})
	}
}

// Guards against a balancer that rests for longer than news of the list may take: its pauses grew
// to 7.5 s, and its first call came up to 5 s after the start, whatever its carrier spent besides.
func TestPollBackoffKeepsItsBound(t *testing.T) {
	for _, nodes := range []int{1, 2, 8, 36, 80, 300, 350, 1024} {
		for seed := range uint64(20) {
			set := settings()
			set.Nodes, set.WatchEndpoints = nodes, true
			l, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			now, event := 1000.0, Event(EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)})
			for call := range 12 {
				at := -1.0
				for _, a := range l.Step(now, event) {
					if timer, ok := a.(SetTimer); ok && timer.Token == "ask" {
						at = timer.At
					}
				}
				if at < 0 || at-now > MaxPollBackoff {
					t.Fatalf("%d nodes, call %d: asks %v ms later, bound %v", nodes, call, at-now, MaxPollBackoff)
				}
				l.Step(at, TimerFired{"ask"}) // calls
				now, event = at+2500, EndpointUpdate{Kind: UpdateFailed}
			}
		}
	}
}
