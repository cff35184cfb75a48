package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var classes = []Class{{"cheap", 1}, {"dear", 8}, {"middle", 5}}

// classFractions holds each class's fraction of all requests.
var classFractions = []float64{0.6, 0.1, 0.3}

// node is one process of a simulated fleet. It receives a fixed fraction of all requests.
type node struct {
	name            string
	generation      uint64
	controller      *Controller
	counts          Counts
	admission       Admission
	uptime          time.Duration
	remainders      [3][2]float64 // fractional requests not counted yet: requested and accepted, by class
	requestFraction float64       // fraction of the fleet's requests that this node receives
	silent          bool          // neither sends nor receives summaries
	shed            float64       // shed requests, with fractional ones
}

// fleet simulates nodes in front of servers with a total capacity, which serve admitted requests in the order of arrival. Rates and
// the capacity are in requests per second.
type fleet struct {
	rng          *rand.Rand
	nodes        []*node
	now          time.Duration
	requestRate  float64
	capacity     float64
	lossRate     float64
	servedRates  [3]float64 // by class, in the last step
	admittedRate float64
	names        []string
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), requestRate: 1000, capacity: 2000}
	for i := range n {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("n%03d", i), requestFraction: 1 / float64(n)})
		f.restart(i)
		f.names = append(f.names, f.nodes[i].name)
	}
	return f
}

func (f *fleet) restart(i int) {
	n := f.nodes[i]
	n.generation++
	n.uptime, n.counts, n.admission = 0, Counts{Requested: make([]uint64, 3), Accepted: make([]uint64, 3)}, Admission{Fractions: []float64{1, 1, 1}}
	n.controller = New(Options{Name: n.name, Generation: n.generation, Classes: classes})
}

// step simulates 250 ms.
func (f *fleet) step() {
	const dt = 0.25
	f.now += 250 * time.Millisecond
	f.admittedRate = 0
	for _, n := range f.nodes {
		for i, classFraction := range classFractions {
			f.admittedRate += f.requestRate * n.requestFraction * classFraction * n.admission.Fractions[i]
		}
	}
	servedFraction := min(1, f.capacity/max(1, f.admittedRate))
	f.servedRates = [3]float64{}
	for _, n := range f.nodes {
		n.uptime += 250 * time.Millisecond
		for i, classFraction := range classFractions {
			requested := f.requestRate * n.requestFraction * classFraction * dt
			accepted := requested * n.admission.Fractions[i] * servedFraction
			f.servedRates[i] += accepted / dt
			n.remainders[i][0], n.remainders[i][1] = n.remainders[i][0]+requested, n.remainders[i][1]+accepted
			n.shed += requested * (1 - n.admission.Fractions[i])
			n.counts.Requested[i] += uint64(n.remainders[i][0])
			n.counts.Accepted[i] = min(n.counts.Requested[i], n.counts.Accepted[i]+uint64(n.remainders[i][1]))
			n.remainders[i][0] -= math.Floor(n.remainders[i][0])
			n.remainders[i][1] -= math.Floor(n.remainders[i][1])
		}
		n.counts.Shed = uint64(n.shed)
		n.controller.Observe(f.now, n.uptime, Counts{Shed: n.counts.Shed, Requested: append([]uint64{}, n.counts.Requested...), Accepted: append([]uint64{}, n.counts.Accepted...)})
		n.admission = n.controller.Decide(f.now, f.names)
		n.admission.Fractions = append([]float64{}, n.admission.Fractions...)
	}
	for _, n := range f.nodes {
		if n.silent {
			continue
		}
		summaries := n.controller.NextSummaries(f.now, 9)
		for range 3 {
			receiver := f.nodes[f.rng.IntN(len(f.nodes))]
			if f.rng.Float64() < f.lossRate || receiver.silent {
				continue
			}
			for k := range summaries {
				summary := summaries[f.rng.IntN(len(summaries))] // some summaries arrive twice, out of order or not at all
				if f.rng.IntN(2) == 0 {
					summary = summaries[k]
				}
				receiver.controller.Merge(f.now, summary)
			}
		}
	}
}

// run simulates a number of seconds. It returns the sum of the priorities of the served requests, as a fraction of the optimum: the
// sum if the servers served requests strictly by priority.
func (f *fleet) run(seconds float64) (servedValue float64) {
	optimum, achieved := 0.0, 0.0
	for range int(seconds * 4) {
		f.step()
		remaining := f.capacity
		for _, i := range []int{1, 2, 0} { // highest priority first
			requested := min(f.requestRate*classFractions[i], remaining)
			remaining -= requested
			optimum += requested * classes[i].Priority
			achieved += f.servedRates[i] * classes[i].Priority
		}
	}
	return achieved / optimum
}

// Without overload nothing may be shed. During a lasting overload the served value must be close to the optimum for any fleet size and
// with lost messages, and shedding must end within seconds after the servers have recovered.
func TestFleetShedsLowPriorityAndRecovers(t *testing.T) {
	for _, n := range []int{1, 3, 8, 16, 100} {
		for _, loss := range []float64{0, 0.3} {
			f := newFleet(n, uint64(n))
			f.lossRate = loss
			if value := f.run(10); value < 0.999 {
				t.Errorf("%d nodes: served value without overload = %.3f, want at least 0.999", n, value)
			}
			f.capacity = 550
			f.run(6)
			duringOverload := f.run(20)
			meanFraction, deviation := 0.0, 0.0 // mean and mean deviation of the nodes' admitted fractions of class "cheap"
			for _, member := range f.nodes {
				meanFraction += member.admission.Fractions[0] / float64(n)
			}
			for _, member := range f.nodes {
				deviation += math.Abs(member.admission.Fractions[0]-meanFraction) / float64(n)
			}
			cheapServed := f.servedRates[0] / (f.requestRate * classFractions[0])
			f.capacity = 2000
			f.run(5)
			afterRecovery := f.run(3)
			t.Logf("%d nodes, %.0f%% of messages lost: served value %.3f during overload, deviation %.3f, served value %.3f from 5 s after it",
				n, loss*100, duringOverload, deviation, afterRecovery)
			if duringOverload < 0.9 || cheapServed <= 0 || afterRecovery < 0.97 || deviation > 0.12 {
				t.Errorf("%d nodes, %.0f%% of messages lost: served value = %.3f, want >= 0.9; after it %.3f, want >= 0.97; deviation %.3f, want <= 0.12; cheap served %.3f, want > 0",
					n, loss*100, duringOverload, afterRecovery, deviation, cheapServed)
			}
		}
	}
}

// With 5 s of overload in every 20 s the admission must not oscillate between admitting everything and almost nothing.
func TestAdmissionIsStableUnderRepeatedOverload(t *testing.T) {
	f := newFleet(8, 5)
	f.run(5)
	for range 5 {
		f.requestRate = 3000
		during := f.run(5)
		f.requestRate = 1000
		after := f.run(15)
		if during < 0.75 || after < 0.97 {
			t.Errorf("served value = %.3f during an overload, %.3f after it; want at least 0.75 and 0.97", during, after)
		}
	}
}

// Nodes that receive summaries of at most a quarter of the fleet, or none, must shed nothing. A restart, and a node that reports a
// thousand times its requests, may reduce the served value only by a bounded amount.
func TestMissingOrFalseReportsHaveLimitedEffect(t *testing.T) {
	f := newFleet(8, 2)
	f.capacity = 550
	f.run(10)
	f.restart(3)
	if value := f.run(5); value < 0.85 {
		t.Errorf("served value after a restart = %.3f, want at least 0.85", value)
	}
	for i := range 6 {
		f.nodes[i].silent = true
	}
	f.run(6)
	for _, n := range f.nodes {
		if fraction := n.admission.Fractions[0]; fraction < 0.999 {
			t.Errorf("%s: admitted fraction of the cheap class = %.3f with at most a quarter of the reporters, want at least 0.999", n.name, fraction)
		}
	}
	f = newFleet(8, 3)
	f.capacity = 550
	f.run(10)
	faulty := f.nodes[0]
	for range 40 {
		f.step()
		falseCounts := Counts{Requested: []uint64{1 << 30, 1 << 30, 1 << 30}, Accepted: make([]uint64, 3)}
		for i := range falseCounts.Requested {
			falseCounts.Requested[i] += faulty.counts.Requested[i] * 1000
			falseCounts.Accepted[i] = faulty.counts.Accepted[i]
		}
		for _, n := range f.nodes[1:] {
			n.controller.Merge(f.now, Summary{Name: faulty.name, Generation: faulty.generation + 1, CountedAt: faulty.uptime, Counts: falseCounts})
		}
	}
	if value := f.run(5); value < 0.5 {
		t.Errorf("served value with a node that reports false counts = %.3f, want at least 0.5", value)
	}
}

// Summaries can arrive late, twice and out of order. In any order, merging them must lead to the same state, count each one once, and
// start from zero after a restart of the process.
func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
	summaries := []Summary{}
	for restarts := range uint64(2) {
		for k := range uint64(4) {
			summaries = append(summaries, Summary{Name: "a", Generation: restarts + 1, CountedAt: time.Duration(k+1) * time.Second, Counts: Counts{Requested: []uint64{10 * (k + 1), 0, 0}, Accepted: []uint64{k, 0, 0}}})
		}
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		controller := New(Options{Name: "b", Generation: 1, Classes: classes})
		for range 40 {
			controller.Merge(time.Second, summaries[rng.IntN(len(summaries))])
		}
		for _, summary := range summaries {
			controller.Merge(time.Second, summary)
		}
		latest := controller.sources["a"].latest()
		if controller.sources["a"].generation != 2 || latest.counts.Requested[0] != 40 || latest.countedAt != 4*time.Second {
			t.Fatalf("seed %d: source = %+v, want generation 2, 40 requested, counted at 4s", seed, controller.sources["a"])
		}
		if controller.Merge(time.Second, summaries[7]) || controller.Merge(time.Second, Summary{Name: "a", Generation: 2, CountedAt: 9 * time.Second, Counts: Counts{Requested: []uint64{1}}}) {
			t.Fatal("Merge accepted a repeated summary or one with other classes")
		}
	}
}

// While most attempts of the fleet fail, a retry only adds load, so the whole retry budget must be withheld and then restored
// gradually. A low failure ratio must withhold nothing.
func TestRetryBudgetReductionFollowsFailureRatio(t *testing.T) {
	controller := New(Options{Name: "a", Generation: 1, Classes: classes})
	counts, now := Counts{Requested: make([]uint64, 3), Accepted: make([]uint64, 3)}, time.Duration(0)
	run := func(seconds, failureRatio float64) float64 {
		reduction := 0.0
		for range int(seconds * 4) {
			now += 250 * time.Millisecond
			counts.Attempts, counts.Successes = counts.Attempts+100, counts.Successes+uint64(100*(1-failureRatio))
			controller.Observe(now, now, Counts{Attempts: counts.Attempts, Successes: counts.Successes, Requested: make([]uint64, 3), Accepted: make([]uint64, 3)})
			reduction = controller.Decide(now, []string{"a"}).RetryBudgetReduction
		}
		return reduction
	}
	for _, c := range []struct{ seconds, failureRatio, minReduction, maxReduction float64 }{{5, 0.1, 0, 0}, {2, 0.6, 1, 1}, {1.5, 0, 0.4, 0.95}, {5, 0, 0, 0}, {3, 0.35, 0.4, 0.6}} {
		if reduction := run(c.seconds, c.failureRatio); reduction < c.minReduction || reduction > c.maxReduction {
			t.Errorf("after %v s with failure ratio %v: reduction = %.2f, want %v to %v", c.seconds, c.failureRatio, reduction, c.minReduction, c.maxReduction)
		}
	}
}
