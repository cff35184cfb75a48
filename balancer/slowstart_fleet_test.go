package balancer

import (
	"math"
	"testing"
)

// slowStartFleet is a fleet of nodes, each with its own balancer, and one server in slow start.
type slowStartFleet struct {
	set             Settings
	nodes           []*testNode
	typicalUnitTime Millis
	serverStartedAt Millis
	sent            []slowStartCall // calls of all nodes to the server in slow start
}

// slowStartCall is a call to the server in slow start.
type slowStartCall struct {
	sentAt Millis
	cost   float64 // in requests of mean work
}

// newSlowStartFleet makes a fleet in which the server's budget for its first overload window is the given
// number of allowed calls.
func newSlowStartFleet(t *testing.T, nodes int, allowed float64, seed int) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{set: settings(), serverStartedAt: 100000}
	f.set.Nodes, f.set.Classes = nodes, f.set.Classes[:1]
	f.typicalUnitTime = f.set.SlowStart.OverloadFactor * f.set.SlowStart.InitialCapacity * f.set.SlowStart.OverloadWindow / allowed
	f.set.Classes[0].LatencyObjective = 40 * f.typicalUnitTime // so long that only the budget limits the calls
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(t, i, seed*10000+i))
	}
	return f
}

// startNode starts a node at the time at which the server starts.
func (f *slowStartFleet) startNode(t *testing.T, node, seed int) *testNode {
	return f.startNodeAt(t, node, seed, f.serverStartedAt)
}

// startNodeAt starts a node that is notified of the server in slow start at the time now.
func (f *slowStartFleet) startNodeAt(t *testing.T, node, seed int, now Millis) *testNode {
	set := f.set
	set.Node = node
	lb, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	lb.estimate.unitTime, lb.estimate.initialUnitTime, lb.estimate.meanWorkHint = f.typicalUnitTime, f.typicalUnitTime, 10 // as after many requests
	b := &testNode{t: t, balancer: lb, now: now}
	b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(4)})
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "cold", Zone: "z", Capacity: 1, Started: f.serverStartedAt}}})
	return b
}

// budget returns the number of calls that the settings allow the server in an overload window that begins
// at the given time.
func (f *slowStartFleet) budget(windowStart Millis) float64 {
	capacity := min(1, f.set.SlowStart.InitialCapacity+(1-f.set.SlowStart.InitialCapacity)*(windowStart-f.serverStartedAt)/f.set.SlowStart.Duration)
	return f.set.SlowStart.OverloadFactor * capacity * f.set.SlowStart.OverloadWindow / f.typicalUnitTime
}

// sendBurst sends requests to each node between from and from+span, at the given mean interval. The server in
// slow start is the only server.
func (f *slowStartFleet) sendBurst(from, span, meanInterval Millis, cost func(int) float64) {
	costs := map[RequestID]float64{}
	var perform func(b *testNode, acts []Action)
	perform = func(b *testNode, acts []Action) {
		for _, a := range acts {
			if s, ok := a.(StartAttempt); ok && s.Server == "cold" {
				f.sent = append(f.sent, slowStartCall{b.now, costs[s.ID]})
				b.balancer.retryBudget.available, b.balancer.servers.byID["cold"].outlier.ejected = 0, false
				perform(b, b.completeAttempt(s.ID, 0, "cold", Overloaded, 0)) // rejected work counts too
			}
		}
	}
	for i, b := range f.nodes {
		b.now = from
		b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "cold", Zone: "z", Capacity: 1, Started: f.serverStartedAt}}})
		b.balancer.explorations.available = -1e9 // no explorations: they use the same budget, and the test checks only the budget
		for k := 0; b.now < from+span; k++ {
			b.now += meanInterval * (0.5 + float64((i*7+k)%11)/10)
			b.lastRequestID++
			costs[b.lastRequestID] = cost(i + k)
			perform(b, b.step(Arrival{ID: b.lastRequestID, Class: "read", Deadline: b.now + f.set.SlowStart.OverloadWindow/4, WorkHint: 10 * cost(i+k)}))
			perform(b, b.step(TimerFired{"sweep"}))
		}
	}
}

// worstWindow compares each overload window that begins with a call with its limit: a budget of n calls, plus
// 2√n+2 for random variation. It returns the largest excess over the limit, in calls, and the budget n of
// that window.
func (f *slowStartFleet) worstWindow() (worstExcess, windowBudget float64) {
	worstExcess = math.Inf(-1)
	for _, from := range f.sent {
		sum, allowed := 0.0, f.budget(from.sentAt)
		for _, c := range f.sent {
			if c.sentAt >= from.sentAt && c.sentAt < from.sentAt+f.set.SlowStart.OverloadWindow {
				sum += c.cost
			}
		}
		if excess := sum - allowed - 2*math.Sqrt(allowed) - 2; excess > worstExcess {
			worstExcess, windowBudget = excess, allowed
		}
	}
	return worstExcess, windowBudget
}

func meanCost(int) float64 { return 1 }

// Guards against nodes that each save one call for a server in slow start and send it at the same time:
// thirty nodes then exceed any small budget, however slowly each bucket refills. In any window, all nodes
// together must stay within the server's budget of N calls plus 2√N+2 for random variation.
func TestFleetStaysWithinSlowStartBudget(t *testing.T) {
	savedAt := func(f *slowStartFleet) Millis { return f.serverStartedAt + 0.3*f.set.SlowStart.Duration } // by then each node has had time to save its quota
	span, meanInterval := 1.5*settings().SlowStart.OverloadWindow, settings().SlowStart.OverloadWindow/40
	heavy := func(k int) float64 { // the mean is 1
		if k%10 == 0 {
			return 4
		}
		return 2.0 / 3
	}
	for name, send := range map[string]func(*slowStartFleet){
		"burst":                     func(f *slowStartFleet) { f.sendBurst(savedAt(f), span, meanInterval, meanCost) },
		"burst with heavy requests": func(f *slowStartFleet) { f.sendBurst(savedAt(f), span, meanInterval, heavy) },
		"burst from the start":      func(f *slowStartFleet) { f.sendBurst(f.serverStartedAt, span, meanInterval, meanCost) },
		"half of the nodes restart during the burst": func(f *slowStartFleet) {
			f.sendBurst(savedAt(f), span/2, meanInterval, meanCost)
			for i := range f.nodes {
				if i%2 == 0 {
					f.nodes[i] = f.startNodeAt(t, i, 1_000_000+i, savedAt(f)+span/2)
				}
			}
			f.sendBurst(savedAt(f)+span/2, span/2, meanInterval, meanCost)
		},
		"half of the nodes discover the server at the burst": func(f *slowStartFleet) {
			for i := range f.nodes {
				if i%2 == 0 {
					f.nodes[i] = f.startNodeAt(t, i, 1_000_000+i, savedAt(f))
				}
			}
			f.sendBurst(savedAt(f), span, meanInterval, meanCost)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs, over, worst := 0, 0, math.Inf(-1)
			for _, nodes := range []int{2, 5, 20, 30, 300, 1024} {
				for _, allowed := range []float64{5, 15, 100} {
					for seed := range 6 {
						f := newSlowStartFleet(t, nodes, allowed, seed)
						send(f)
						runs++
						if excess, _ := f.worstWindow(); excess > 0 {
							over++
							worst = max(worst, excess)
							t.Logf("%d nodes, %v calls allowed, seed %d: %.1f calls over the limit", nodes, allowed, seed, excess)
						}
					}
				}
			}
			if over*50 > runs {
				t.Errorf("fleets that exceeded the limit = %d of %d, want at most 1 in 50; largest excess %.1f calls", over, runs, worst)
			}
		})
	}
}

// Guards against too much unused slow start budget: an overloaded fleet must use 0.45 to 0.8 of it.
func TestFleetUsesSlowStartBudget(t *testing.T) {
	for _, nodes := range []int{2, 30, 300} {
		used, allowed := 0.0, 0.0
		for seed := range 10 {
			f := newSlowStartFleet(t, nodes, 60, seed)
			f.sendBurst(f.serverStartedAt, f.set.SlowStart.Duration/2, f.set.SlowStart.OverloadWindow/40, meanCost)
			for windowStart := f.serverStartedAt; windowStart < f.serverStartedAt+f.set.SlowStart.Duration/2; windowStart += f.set.SlowStart.OverloadWindow {
				allowed += f.budget(windowStart + f.set.SlowStart.OverloadWindow/2)
			}
			used += float64(len(f.sent))
		}
		if fraction := used / allowed; fraction < 0.45 || fraction > 0.8 {
			t.Errorf("%d nodes: used fraction of the slow start budget = %.2f, want 0.45 to 0.8", nodes, fraction)
		} else {
			t.Logf("%d nodes: used fraction of the slow start budget = %.2f", nodes, fraction)
		}
	}
}
