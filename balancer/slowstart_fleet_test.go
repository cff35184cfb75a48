package balancer

import (
	"math"
	"testing"
)

// slowStartFleet is many balancers, each a node of its own, with one server that has just started.
type slowStartFleet struct {
	set             Settings
	nodes           []*testNode
	typicalUnitTime Millis
	serverStartedAt Millis
	sent            []slowStartCall // to the warming server, by all
}

type slowStartCall struct {
	at   Millis
	cost float64
}

// newSlowStartFleet has the warming server allow so many calls in its first window.
func newSlowStartFleet(t *testing.T, nodes int, allowed float64, seed int) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{set: settings(), serverStartedAt: 100000}
	f.set.Nodes, f.set.Classes = nodes, f.set.Classes[:1]
	f.typicalUnitTime = f.set.SlowStart.OverloadFactor * f.set.SlowStart.InitialCapacity * f.set.SlowStart.OverloadWindow / allowed
	f.set.Classes[0].LatencyObjective = 40 * f.typicalUnitTime // long enough that the budget alone holds anything back
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(t, i, seed*10000+i))
	}
	return f
}

func (f *slowStartFleet) startNode(t *testing.T, node, seed int) *testNode {
	return f.startNodeAt(t, node, seed, f.serverStartedAt)
}

// startNodeAt starts a node that hears of the warming server then.
func (f *slowStartFleet) startNodeAt(t *testing.T, node, seed int, now Millis) *testNode {
	set := f.set
	set.Node = node
	l, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	l.estimate.unitTime, l.estimate.initialUnitTime, l.estimate.meanWorkHint = f.typicalUnitTime, f.typicalUnitTime, 10 // as after many requests
	b := &testNode{t: t, balancer: l, now: now}
	b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)})
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "cold", Zone: "z", Capacity: 1, Started: f.serverStartedAt}}})
	return b
}

// budget is what the settings allow the server in a window that begins then.
func (f *slowStartFleet) budget(at Millis) float64 {
	share := min(1, f.set.SlowStart.InitialCapacity+(1-f.set.SlowStart.InitialCapacity)*(at-f.serverStartedAt)/f.set.SlowStart.Duration)
	return f.set.SlowStart.OverloadFactor * share * f.set.SlowStart.OverloadWindow / f.typicalUnitTime
}

// sendBurst has requests come to all nodes for a span, every so many ms, with only the warming server left.
func (f *slowStartFleet) sendBurst(from, span, every Millis, cost func(int) float64) {
	costs := map[RequestID]float64{}
	var carry func(b *testNode, acts []Action)
	carry = func(b *testNode, acts []Action) {
		for _, a := range acts {
			if s, ok := a.(StartAttempt); ok && s.Server == "cold" {
				f.sent = append(f.sent, slowStartCall{b.now, costs[s.ID]})
				b.balancer.retryBudget.left, b.balancer.servers.byID["cold"].outlier.ejected = 0, false
				carry(b, b.end(s.ID, 0, "cold", Overloaded, 0)) // rejected work counts too
			}
		}
	}
	for i, b := range f.nodes {
		b.now = from
		b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "cold", Zone: "z", Capacity: 1, Started: f.serverStartedAt}}})
		b.balancer.explorations.left = -1e9 // the test is on the budget alone: what is sent without a fit passes it too
		for k := 0; b.now < from+span; k++ {
			b.now += every * (0.5 + float64((i*7+k)%11)/10)
			b.next++
			costs[b.next] = cost(i + k)
			carry(b, b.step(Arrival{ID: b.next, Class: "read", Deadline: b.now + f.set.SlowStart.OverloadWindow/4, WorkHint: 10 * cost(i+k)}))
			carry(b, b.step(TimerFired{"sweep"}))
		}
	}
}

// worstWindow is the window that went furthest beyond N calls and what is put down to chance, and that
// window's N.
func (f *slowStartFleet) worstWindow() (over, n float64) {
	over = math.Inf(-1)
	for _, from := range f.sent {
		sum, allowed := 0.0, f.budget(from.at)
		for _, c := range f.sent {
			if c.at >= from.at && c.at < from.at+f.set.SlowStart.OverloadWindow {
				sum += c.cost
			}
		}
		if o := sum - allowed - 2*math.Sqrt(allowed) - 2; o > over {
			over, n = o, allowed
		}
	}
	return over, n
}

func meanCost(int) float64 { return 1 }

// Guards against nodes that each keep one call for a warming server and spend it at once: thirty of
// them are beyond any small budget, however slowly each bucket refills. What all balancers send
// together in any window stays within the server's budget of N calls and 2 x root of N + 2 for
// chance.
func TestFleetStaysWithinSlowStartBudget(t *testing.T) {
	saved := func(f *slowStartFleet) Millis { return f.serverStartedAt + 0.3*f.set.SlowStart.Duration } // by then each node has had time to save its part
	span, every := 1.5*settings().SlowStart.OverloadWindow, settings().SlowStart.OverloadWindow/40
	heavy := func(k int) float64 { // the mean is one
		if k%10 == 0 {
			return 4
		}
		return 2.0 / 3
	}
	for name, play := range map[string]func(*slowStartFleet){
		"a rush":                     func(f *slowStartFleet) { f.sendBurst(saved(f), span, every, meanCost) },
		"a rush with heavy requests": func(f *slowStartFleet) { f.sendBurst(saved(f), span, every, heavy) },
		"a rush from the start":      func(f *slowStartFleet) { f.sendBurst(f.serverStartedAt, span, every, meanCost) },
		"half of the nodes are restarted within it": func(f *slowStartFleet) {
			f.sendBurst(saved(f), span/2, every, meanCost)
			for i := range f.nodes {
				if i%2 == 0 {
					f.nodes[i] = f.startNodeAt(t, i, 1_000_000+i, saved(f)+span/2)
				}
			}
			f.sendBurst(saved(f)+span/2, span/2, every, meanCost)
		},
		"half of the nodes know it only now": func(f *slowStartFleet) {
			for i := range f.nodes {
				if i%2 == 0 {
					f.nodes[i] = f.startNodeAt(t, i, 1_000_000+i, saved(f))
				}
			}
			f.sendBurst(saved(f), span, every, meanCost)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs, over, worst := 0, 0, math.Inf(-1)
			for _, nodes := range []int{2, 5, 20, 30, 300, 1024} {
				for _, allowed := range []float64{5, 15, 100} {
					for seed := range 6 {
						f := newSlowStartFleet(t, nodes, allowed, seed)
						play(f)
						runs++
						if o, _ := f.worstWindow(); o > 0 {
							over++
							worst = max(worst, o)
							t.Logf("%d nodes, %v calls allowed, seed %d: %.1f calls beyond chance", nodes, allowed, seed, o)
						}
					}
				}
			}
			if over*50 > runs {
				t.Errorf("%d of %d fleets passed a warming server's budget by more than chance, at the worst by %.1f calls", over, runs, worst)
			}
		})
	}
}

// TestFleetUsesSlowStartBudget holds the price of it: what a fleet in want of servers uses of the budget.
func TestFleetUsesSlowStartBudget(t *testing.T) {
	for _, nodes := range []int{2, 30, 300} {
		used, allowed := 0.0, 0.0
		for seed := range 10 {
			f := newSlowStartFleet(t, nodes, 60, seed)
			f.sendBurst(f.serverStartedAt, f.set.SlowStart.Duration/2, f.set.SlowStart.OverloadWindow/40, meanCost)
			for at := f.serverStartedAt; at < f.serverStartedAt+f.set.SlowStart.Duration/2; at += f.set.SlowStart.OverloadWindow {
				allowed += f.budget(at + f.set.SlowStart.OverloadWindow/2)
			}
			used += float64(len(f.sent))
		}
		if share := used / allowed; share < 0.45 || share > 0.8 {
			t.Errorf("%d nodes use %.2f of a warming server's budget", nodes, share)
		} else {
			t.Logf("%d nodes use %.2f of a warming server's budget", nodes, share)
		}
	}
}
