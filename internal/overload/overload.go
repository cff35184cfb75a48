// Package overload has the nodes of a fleet refuse the same work when there is more than the servers can do: each tells
// what it was asked for and what was served of it, by class, and each works out the same cut from the same figures.
//
// It is pure: counts, summaries and the time come in, a cut goes out. It rests on no view being right: a node that hears of
// few others cuts less, and one that hears of none decides alone as before. docs/overload.md says why it is built so.
package overload

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// window is the time over which rates are taken: long enough for a few hundred requests, short enough to follow servers
	// that come back within seconds. A summary older than oldest counts no more.
	window, oldest = 1200 * time.Millisecond, 3 * time.Second

	// begins is the share of the work that was refused from which on there is overload, startsAfter decisions in a row.
	// Below it each node's own ordering does as well, and a cut would only cost.
	begins, startsAfter = 0.08, 2

	// ends is how many decisions in a row must find room for everything.
	ends = 8

	// tight and loose are how much more than was done is let in, by the part that was done of what was let in, between doneLow
	// and doneAt of what it is in calm. Full servers come to rest where 0.06 too much is let in, which keeps a queue before
	// them; the other doubles in some three windows what is let in once servers are back. What is refused for other reasons
	// may grow by as much before a cut that follows what was done would shrink.
	tight, loose    = 1.04, 1.35
	doneLow, doneAt = 0.94, 0.99

	// smooth is how far the cut follows each decision: the figures of a window hold a few per cent of chance, which differs by
	// node, and the marginal class's share moves by several times that.
	smooth = 0.5

	// lowest of all that is asked for is let in at the least: figures that are badly wrong must not close a fleet.
	lowest = 0.2

	// least of every class is let in: whoever is refused for long must be seen to be served again, and the goal may count
	// the worst-served.
	least = 0.02

	// believed is how many times the median of all members one may claim to have been asked: front ends spread unevenly, and
	// some nodes of the operators' trials see several times the mean.
	believed = 4

	// The budget for further attempts falls from whole to nothing as the part of all attempts that fails goes from failFew to
	// failMost: there each further one only adds to what fails. It comes back by retriesBack a decision, three seconds for the
	// whole: servers that have just come back are the ones that a storm of repeats would push over. triedLeast attempts a second
	// tell nothing.
	failFew, failMost, retriesBack, triedLeast = 0.2, 0.5, 0.08, 5

	// covered of the reporters must be heard of for the cut to count whole, and not at all below half of that. There are so
	// many reporters at the most, the same for all: the cut rests on shares, and those of two dozen nodes are a fleet's.
	covered, reporters = 0.75, 24
)

// Class is a class of requests; each request is taken for the same work.
type Class struct {
	Name     string
	Priority float64
}

// Counts are what one process has counted since its start.
type Counts struct {
	Shed      uint64   // refused by the cut
	Attempts  uint64   // attempts that have ended
	Successes uint64   // of these, the ones that were served
	Requested []uint64 // requests ended, by class
	Accepted  []uint64 // of these, the ones that were not refused: what failed took its place at the servers too
}

// Summary is a process's counts at a moment of its own. A later one of the same process replaces an earlier, so that losing,
// doubling and reordering count nothing twice; a process that starts anew begins from nothing.
type Summary struct {
	Name       string
	Generation uint64        // of the process
	At         time.Duration // since then, by its own clock
	Age        time.Duration // since then, on the way
	Counts
}

// Options are one process's.
type Options struct {
	Name       string
	Generation uint64
	Classes    []Class
}

// point is a summary as it was taken in.
type point struct {
	at    time.Duration // by the process's own clock
	heard time.Duration // by ours, its age taken off
	c     Counts
}

// source is one process that tells.
type source struct {
	start  uint64
	points []point // the newest last
	sent   int     // times that the newest was passed on
}

// State is one process's.
type Controller struct {
	o         Options
	from      map[string]*source
	order     []int // classes, the dearest first
	active    bool
	unmet     int      // decisions in a row that found work not served
	roomy     int      // ... that found room for everything
	part      float64  // of all that is asked for, let in
	calm      float64  // part that was done of what was asked for, before the overload
	tell      []string // reporters
	noRetries float64
	shares    []float64
	figures   FleetRates
}

// New makes the state.
func New(o Options) *Controller {
	s := &Controller{o: o, from: map[string]*source{}, shares: make([]float64, len(o.Classes)), calm: 1}
	for i := range o.Classes {
		s.order = append(s.order, i)
		s.shares[i] = 1
	}
	slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(o.Classes[b].Priority, o.Classes[a].Priority) })
	return s
}

// Observe takes this process's own counts, at a moment since its start.
func (s *Controller) Observe(now, at time.Duration, c Counts) {
	s.Merge(now, Summary{Name: s.o.Name, Generation: s.o.Generation, At: at, Counts: c})
}

// Merge takes a summary in, and tells whether it was news. Summaries may come in any order and any number of times.
func (s *Controller) Merge(now time.Duration, m Summary) bool {
	if len(m.Requested) != len(s.o.Classes) || len(m.Accepted) != len(s.o.Classes) || m.Age > oldest {
		return false
	}
	f := s.from[m.Name]
	if f == nil || m.Generation > f.start {
		f = &source{start: m.Generation}
		s.from[m.Name] = f
	}
	if m.Generation < f.start {
		return false
	}
	if n := len(f.points); n > 0 && (m.At <= f.points[n-1].at || !grown(f.points[n-1].c, m.Counts)) {
		return false // seen, or not the counts of one process: it is left out until it makes sense again
	}
	f.points, f.sent = append(f.points, point{m.At, now - m.Age, m.Counts}), 0
	for len(f.points) > 2 && f.points[len(f.points)-1].at-f.points[1].at >= window {
		f.points = f.points[1:]
	}
	return true
}

func grown(a, b Counts) bool {
	for i := range a.Requested {
		if b.Requested[i] < a.Requested[i] || b.Accepted[i] < a.Accepted[i] || b.Accepted[i] > b.Requested[i] {
			return false
		}
	}
	return b.Shed >= a.Shed && b.Attempts >= a.Attempts && b.Successes >= a.Successes
}

// Fresh are summaries to pass on: this process's own, and those of others that have been passed on least, n in all.
func (s *Controller) NextSummaries(now time.Duration, n int) []Summary {
	names := make([]string, 0, len(s.from))
	for name, f := range s.from {
		if now-f.points[len(f.points)-1].heard < oldest && slices.Contains(s.tell, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		own := func(n string) int {
			if n == s.o.Name {
				return 0
			}
			return 1
		}
		return cmp.Or(own(a)-own(b), s.from[a].sent-s.from[b].sent, cmp.Compare(a, b))
	})
	var out []Summary
	for _, name := range names[:min(n, len(names))] {
		f := s.from[name]
		f.sent++
		p := f.points[len(f.points)-1]
		out = append(out, Summary{Name: name, Generation: f.start, At: p.at, Age: now - p.heard, Counts: p.c})
	}
	return out
}

// Figures are what a decision rests on, a second, over the members heard of.
type FleetRates struct {
	Members   int // heard of lately
	Requested []float64
	Accepted  []float64
	Shed      float64
	Attempts  float64
	Successes float64
	Limit     float64 // what may be let in; 0: all
	Coverage  float64 // share of the members that were heard of
}

// Reporters are the members whose figures count: all, or so many by the hash of their names, the same at every node.
func Reporters(members []string) []string {
	if len(members) <= reporters {
		return members
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return out[:reporters]
}

// rate is what one process counts in a second.
type rate struct {
	asked, done           []float64
	shed, all, tried, won float64
}

// rates adds up what all tell.
func (s *Controller) rates(now time.Duration) FleetRates {
	n := len(s.o.Classes)
	f := FleetRates{Requested: make([]float64, n), Accepted: make([]float64, n)}
	var each []rate
	for name, src := range s.from {
		last := src.points[len(src.points)-1]
		if now-last.heard >= oldest {
			if now-last.heard >= 20*oldest {
				delete(s.from, name)
			}
			continue
		}
		if !slices.Contains(s.tell, name) {
			continue
		}
		f.Members++
		first := src.points[0]
		span := (last.at - first.at).Seconds()
		if span <= 0 {
			continue
		}
		r := rate{asked: make([]float64, n), done: make([]float64, n), shed: float64(last.c.Shed-first.c.Shed) / span,
			tried: float64(last.c.Attempts-first.c.Attempts) / span, won: float64(last.c.Successes-first.c.Successes) / span}
		for i := range n {
			r.asked[i] = float64(last.c.Requested[i]-first.c.Requested[i]) / span
			r.done[i] = float64(last.c.Accepted[i]-first.c.Accepted[i]) / span
		}
		r.all = sum(r.asked)
		each = append(each, r)
	}
	slices.SortFunc(each, func(a, b rate) int { return cmp.Compare(a.all, b.all) })
	for _, r := range each {
		scale := 1.0
		if most := believed * each[len(each)/2].all; len(each) > 2 && r.all > most && most > 0 {
			scale = most / r.all // it is mistaken, or lies: it counts for no more than a busy one could
		}
		for i := range n {
			f.Requested[i] += r.asked[i] * scale
			f.Accepted[i] += r.done[i] * scale
		}
		f.Shed += r.shed * scale
		f.Attempts, f.Successes = f.Attempts+r.tried*scale, f.Successes+r.won*scale
	}
	f.Coverage = min(1, float64(f.Members)/float64(max(1, len(s.tell))))
	return f
}

// Cut is what a node lets in.
type Admission struct {
	Active        bool
	Fractions     []float64 // of each class, from 0 to 1
	RetryHoldback float64   // part of the retry budget that is held back
}

// Decide works out the cut from what is known, with these members in the view. It is called a few times a second.
func (s *Controller) Decide(now time.Duration, members []string) Admission {
	s.tell = Reporters(members)
	f := s.rates(now)
	s.hold(f)
	asked, done := sum(f.Requested), sum(f.Accepted)
	for i := range s.shares {
		s.shares[i] = 1
	}
	if asked <= 0 {
		s.active, s.unmet, s.roomy, s.figures = false, 0, 0, f
		return Admission{Fractions: s.shares, RetryHoldback: s.noRetries}
	}
	if s.unmet++; done >= (1-begins)*asked {
		s.unmet = 0
	}
	if !s.active && s.unmet >= startsAfter {
		s.active, s.roomy, s.part = true, 0, 0
	}
	if !s.active {
		if s.unmet == 0 {
			s.calm = done / asked
		}
		s.figures = f
		return Admission{Fractions: s.shares, RetryHoldback: s.noRetries}
	}
	met := min(1, done/max(1e-9, asked-f.Shed)/s.calm)
	grow := tight + (loose-tight)*min(1, max(0, met-doneLow)/(doneAt-doneLow))
	part := max(lowest, grow*done/s.calm/asked)
	if s.part == 0 {
		s.part = part
	}
	s.part += smooth * (part - s.part)
	f.Limit = s.part * asked
	if s.roomy++; f.Limit < asked {
		s.roomy = 0
	}
	if s.roomy >= ends {
		s.active = false
	}
	s.figures = f
	s.fill(f)
	return Admission{Active: s.active, Fractions: s.shares, RetryHoldback: s.noRetries}
}

// hold works out how much of the retry budget is held back: at once when attempts fail, given back gradually.
func (s *Controller) hold(f FleetRates) {
	want := 0.0
	if f.Attempts >= triedLeast {
		want = min(1, max(0, 1-f.Successes/f.Attempts-failFew)/(failMost-failFew))
	}
	s.noRetries = max(want*s.strength(f), s.noRetries-retriesBack)
}

// strength is how much a decision counts: with part of the fleet unheard of less, and nothing at half of what must be heard.
func (s *Controller) strength(f FleetRates) float64 { return min(1, max(0, 2*f.Coverage/covered-1)) }

// fill lets the dearest in first until the limit is reached.
func (s *Controller) fill(f FleetRates) {
	left := f.Limit
	for _, a := range f.Requested {
		left -= least * a
	}
	strength := s.strength(f)
	for _, i := range s.order {
		a := f.Requested[i] * (1 - least)
		in := min(a, max(0, left))
		left -= in
		if f.Requested[i] > 0 {
			s.shares[i] = 1 - strength*(1-least-in/f.Requested[i])
		}
	}
}

func sum(x []float64) float64 {
	out := 0.0
	for _, v := range x {
		out += v
	}
	return out
}

// Figures are those of the last decision.
func (s *Controller) Rates() FleetRates { return s.figures }
