package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var classes = []Class{{"cheap", 1}, {"dear", 8}, {"middle", 5}}

// mix is each class's fraction of the requests.
var mix = []float64{0.6, 0.1, 0.3}

// node is one process in a simulated fleet: it requests its part, and is served what the fleet's servers have left.
type node struct {
	name   string
	start  uint64
	s      *Controller
	c      Counts
	cut    Admission
	at     time.Duration
	rest   [3][2]float64 // parts of requests
	share  float64       // of all that is asked
	silent bool
	shed   float64
}

// fleet is some nodes in front of servers of a capacity, which serve what is admitted in the order in which it comes.
type fleet struct {
	rng      *rand.Rand
	nodes    []*node
	now      time.Duration
	asked    float64
	capacity float64
	loss     float64
	served   [3]float64 // in the last step
	let      float64
	names    []string
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), asked: 1000, capacity: 2000}
	for i := range n {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("n%03d", i), share: 1 / float64(n)})
		f.restart(i)
		f.names = append(f.names, f.nodes[i].name)
	}
	return f
}

func (f *fleet) restart(i int) {
	n := f.nodes[i]
	n.start++
	n.at, n.c, n.cut = 0, Counts{Requested: make([]uint64, 3), Accepted: make([]uint64, 3)}, Admission{Fractions: []float64{1, 1, 1}}
	n.s = New(Options{Name: n.name, Generation: n.start, Classes: classes})
}

// step is a quarter of a second.
func (f *fleet) step() {
	const dt = 0.25
	f.now += 250 * time.Millisecond
	f.let = 0
	for _, n := range f.nodes {
		for i, m := range mix {
			f.let += f.asked * n.share * m * n.cut.Fractions[i]
		}
	}
	part := min(1, f.capacity/max(1, f.let)) // what is let in is served in the order in which it comes
	f.served = [3]float64{}
	for _, n := range f.nodes {
		n.at += 250 * time.Millisecond
		for i, m := range mix {
			in := f.asked * n.share * m * dt
			out := in * n.cut.Fractions[i] * part
			f.served[i] += out / dt
			n.rest[i][0], n.rest[i][1] = n.rest[i][0]+in, n.rest[i][1]+out
			n.shed += in * (1 - n.cut.Fractions[i])
			n.c.Requested[i] += uint64(n.rest[i][0])
			n.c.Accepted[i] = min(n.c.Requested[i], n.c.Accepted[i]+uint64(n.rest[i][1]))
			n.rest[i][0] -= math.Floor(n.rest[i][0])
			n.rest[i][1] -= math.Floor(n.rest[i][1])
		}
		n.c.Shed = uint64(n.shed)
		n.s.Observe(f.now, n.at, Counts{Shed: n.c.Shed, Requested: append([]uint64{}, n.c.Requested...), Accepted: append([]uint64{}, n.c.Accepted...)})
		n.cut = n.s.Decide(f.now, f.names)
		n.cut.Fractions = append([]float64{}, n.cut.Fractions...)
	}
	for _, n := range f.nodes {
		if n.silent {
			continue
		}
		items := n.s.NextSummaries(f.now, 9)
		for range 3 {
			to := f.nodes[f.rng.IntN(len(f.nodes))]
			if f.rng.Float64() < f.loss || to.silent {
				continue
			}
			for k := range items {
				m := items[f.rng.IntN(len(items))] // doubled and out of order
				if f.rng.IntN(2) == 0 {
					m = items[k]
				}
				to.s.Merge(f.now, m)
			}
		}
	}
}

func (f *fleet) run(seconds float64) (worth float64) {
	best, got := 0.0, 0.0
	for range int(seconds * 4) {
		f.step()
		left := f.capacity
		for _, i := range []int{1, 2, 0} { // all knowledge: the dearest first
			in := min(f.asked*mix[i], left)
			left -= in
			best += in * classes[i].Priority
			got += f.served[i] * classes[i].Priority
		}
	}
	return got / best
}

// Without overload nothing is shed. Under lasting overload the fleet earns nearly what could be earned, whatever its size and however
// many messages are lost, and it ends within seconds of the servers' return.
func TestTheFleetShedsAsOne(t *testing.T) {
	for _, n := range []int{1, 3, 8, 16, 100} {
		for _, loss := range []float64{0, 0.3} {
			f := newFleet(n, uint64(n))
			f.loss = loss
			if w := f.run(10); w < 0.999 {
				t.Errorf("%d nodes: worth %.3f in calm", n, w)
			}
			f.capacity = 550
			f.run(6)
			worth := f.run(20)
			mean, off := 0.0, 0.0 // how much of the cheap is on the wrong side of the cut, by node
			for _, x := range f.nodes {
				mean += x.cut.Fractions[0] / float64(n)
			}
			for _, x := range f.nodes {
				off += math.Abs(x.cut.Fractions[0]-mean) / float64(n)
			}
			cheap := f.served[0] / (f.asked * mix[0])
			f.capacity = 2000
			f.run(5)
			back := f.run(3)
			t.Logf("%d nodes, %.0f%% lost: %.3f of what could be earned, %.3f of the cheap on the wrong side, %.3f from 5 s after", n, loss*100, worth, off, back)
			if worth < 0.9 || cheap <= 0 || back < 0.97 || off > 0.12 {
				t.Errorf("%d nodes, %.0f%% lost: worth %.3f, %.3f after, spread %.3f, cheap served %.3f", n, loss*100, worth, back, off, cheap)
			}
		}
	}
}

// With 5 s of overload in every 20 s the admission must not swing between all and nothing.
func TestEpisodes(t *testing.T) {
	f := newFleet(8, 5)
	f.run(5)
	for range 5 {
		f.asked = 3000
		during := f.run(5)
		f.asked = 1000
		after := f.run(15)
		if during < 0.75 || after < 0.97 {
			t.Errorf("worth %.3f during an episode, %.3f after it", during, after)
		}
	}
}

// A node that hears from few others sheds less, and one that hears from none decides alone. A restart, a node that claims a thousand
// times its work, and half of the fleet falling silent do bounded harm.
func TestWrongAndMissingFigures(t *testing.T) {
	f := newFleet(8, 2)
	f.capacity = 550
	f.run(10)
	f.restart(3)
	if w := f.run(5); w < 0.85 {
		t.Errorf("worth %.3f after a restart", w)
	}
	for i := range 6 {
		f.nodes[i].silent = true // and deaf
	}
	f.run(6)
	for _, n := range f.nodes {
		if s := n.cut.Fractions[0]; s < 0.999 {
			t.Errorf("%s lets in %.3f of the cheap while it hears of a quarter at most", n.name, s)
		}
	}
	f = newFleet(8, 3)
	f.capacity = 550
	f.run(10)
	liar := f.nodes[0]
	for range 40 {
		f.step()
		lie := Counts{Requested: []uint64{1 << 30, 1 << 30, 1 << 30}, Accepted: make([]uint64, 3)}
		for i := range lie.Requested {
			lie.Requested[i] += liar.c.Requested[i] * 1000
			lie.Accepted[i] = liar.c.Accepted[i]
		}
		for _, n := range f.nodes[1:] {
			n.s.Merge(f.now, Summary{Name: liar.name, Generation: liar.start + 1, At: liar.at, Counts: lie})
		}
	}
	if w := f.run(5); w < 0.5 {
		t.Errorf("worth %.3f beside one that claims a thousand times its work", w)
	}
}

// Summaries come late, twice and out of order. Whatever their order, merging them ends in the same state, each counts once, and a
// process that restarts begins from nothing.
func TestMerge(t *testing.T) {
	sums := []Summary{}
	for start := range uint64(2) {
		for k := range uint64(4) {
			sums = append(sums, Summary{Name: "a", Generation: start + 1, At: time.Duration(k+1) * time.Second, Counts: Counts{Requested: []uint64{10 * (k + 1), 0, 0}, Accepted: []uint64{k, 0, 0}}})
		}
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := New(Options{Name: "b", Generation: 1, Classes: classes})
		for range 40 {
			s.Merge(time.Second, sums[rng.IntN(len(sums))])
		}
		for _, m := range sums {
			s.Merge(time.Second, m)
		}
		latest := s.sources["a"].latest()
		if s.sources["a"].generation != 2 || latest.counts.Requested[0] != 40 || latest.at != 4*time.Second {
			t.Fatalf("seed %d: holds %+v", seed, s.sources["a"])
		}
		if s.Merge(time.Second, sums[7]) || s.Merge(time.Second, Summary{Name: "a", Generation: 2, At: 9 * time.Second, Counts: Counts{Requested: []uint64{1}}}) {
			t.Fatal("a summary was taken twice, or one of other classes")
		}
	}
}

// While most attempts of the fleet fail a retry only adds load, so the whole retry budget is withheld; it comes back gradually. Few
// failures withhold nothing.
func TestRetriesAreHeldBack(t *testing.T) {
	s := New(Options{Name: "a", Generation: 1, Classes: classes})
	c, now := Counts{Requested: make([]uint64, 3), Accepted: make([]uint64, 3)}, time.Duration(0)
	run := func(seconds, fail float64) float64 {
		held := 0.0
		for range int(seconds * 4) {
			now += 250 * time.Millisecond
			c.Attempts, c.Successes = c.Attempts+100, c.Successes+uint64(100*(1-fail))
			s.Observe(now, now, Counts{Attempts: c.Attempts, Successes: c.Successes, Requested: make([]uint64, 3), Accepted: make([]uint64, 3)})
			held = s.Decide(now, []string{"a"}).RetryHoldback
		}
		return held
	}
	for _, c := range []struct{ seconds, fail, low, high float64 }{{5, 0.1, 0, 0}, {2, 0.6, 1, 1}, {1.5, 0, 0.4, 0.95}, {5, 0, 0, 0}, {3, 0.35, 0.4, 0.6}} {
		if held := run(c.seconds, c.fail); held < c.low || held > c.high {
			t.Errorf("%v s at %v failing: %.2f held back, want %v to %v", c.seconds, c.fail, held, c.low, c.high)
		}
	}
}
