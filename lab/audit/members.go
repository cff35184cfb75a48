package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// A member sample is what one process said of itself at a moment.
type MemberSample struct {
	At      At
	Node    int
	Start   uint64 // of its process
	View    uint64
	Members []int // nodes in its view
	Whole   bool  // it does not hold itself for cut off or alone

}

// LinkEvent is a directed link that was cut or made whole.
type LinkEvent struct {
	At       At
	From, To int
	Cut      bool
}

// Down is a time in which a node's process was not there, or stood still.
type Down struct {
	Node     int
	From, To At
	Stopped  bool // it stood still, and what it knew is still there
}

// Members is what was really so, and what the processes said.
type Members struct {
	Nodes   int
	From    At // when all had started; what came before is not judged
	Until   At
	Samples []MemberSample
	Links   []LinkEvent
	Downs   []Down
	Shares  []ShareTold
	Others  []At // when further faults of links ended, such as loss
}

// ShareTold is what a process might use of the whole from a moment on; from Until on it is After.
type ShareTold struct {
	Node  int
	Start uint64
	At    At
	Value float64
	Until At
	After float64
}

// ForEver is the end of what has none.
const ForEver = At(1<<63 - 1)

// MemberLimits are how views are judged.
type MemberLimits struct {
	Notice time.Duration // who is gone, or cannot be heard on any way, is out of every view within it
	Heal   time.Duration // after the last fault all hold the same view within it
	Uneven bool          // nothing is asked of members that only some can hear
}

// MemberFigures are what the views came to.
type MemberFigures struct {
	Samples int     `json:"samples"`
	Noticed float64 `json:"noticed_max_s"` // the longest until one that was gone was out of some view
	Healed  float64 `json:"healed_s"`      // after the last fault, until all held the same; -1: not seen
	Views   uint64  `json:"views_max"`     // changes of view at any process
	Shares  float64 `json:"shares_max"`    // the most that all had together at any instant
	// SharesMean is what they had on average while it was judged.
	SharesMean float64 `json:"shares_mean"`
}

// back is how long one that was really gone for others has, once it is there again, before its absence counts: it has to be
// heard, and news of it to go round.
const back = 5 * time.Second

// times is the truth at each moment at which it changed.
type times struct {
	m    Members
	cuts [][2]int
	at   At
	up   []bool // runs and does not stand still
	been []At   // since when
	gone []At   // since when there is no process
}

// truth works out who can hear whom in a span in which nothing changes.
func (m Members) truth(at At) *times {
	t := &times{m: m, at: at, up: make([]bool, m.Nodes), gone: make([]At, m.Nodes), been: make([]At, m.Nodes)}
	for i := range t.up {
		t.up[i], t.gone[i] = true, -1
	}
	for _, d := range m.Downs {
		switch {
		case d.From <= at && at < d.To:
			t.up[d.Node] = false
			t.gone[d.Node] = d.From
		case d.To <= at:
			t.been[d.Node] = max(t.been[d.Node], d.To)
		}
	}
	cut := map[[2]int]bool{}
	for _, l := range m.Links {
		if l.At > at {
			break
		}
		cut[[2]int{l.From, l.To}] = l.Cut
	}
	for p, on := range cut {
		if on {
			t.cuts = append(t.cuts, p)
		}
	}
	return t
}

func (t *times) hears(to, from int) bool { return !slices.Contains(t.cuts, [2]int{from, to}) }

// most tells whether most of the others that run hear a node.
func (t *times) most(node int) bool {
	hear, of := 0, 0
	for k := range t.m.Nodes {
		if k == node || !t.up[k] {
			continue
		}
		of++
		if t.hears(k, node) {
			hear++
		}
	}
	return 2*hear > of
}

// way tells whether anything from one node can come to another, through others that run.
func (t *times) way(from, to int) bool {
	seen, next := map[int]bool{from: true}, []int{from}
	for len(next) > 0 {
		i := next[0]
		next = next[1:]
		if i == to {
			return true
		}
		for j := range t.m.Nodes {
			if !seen[j] && t.up[j] && t.hears(j, i) {
				seen[j] = true
				next = append(next, j)
			}
		}
	}
	return false
}

// Judge holds the samples against the truth. The rules: nobody alive that most can hear is out of the view of a process that
// is whole; who is gone, or cannot be heard on any way, is out in time; a view's number never goes back; all agree in time
// once nothing is wrong any more; shares together never pass the whole.
func (m Members) Judge(l MemberLimits) ([]Breach, MemberFigures) {
	sort.SliceStable(m.Links, func(i, j int) bool { return m.Links[i].At < m.Links[j].At })
	sort.SliceStable(m.Samples, func(i, j int) bool { return m.Samples[i].At < m.Samples[j].At })
	f := MemberFigures{Samples: len(m.Samples), Healed: -1}
	var out []Breach
	told := map[string]bool{}
	breach := func(at At, rule, key, format string, args ...any) {
		if !told[rule+key] { // once for each pair: it lasts for many samples
			told[rule+key] = true
			out = append(out, Breach{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)})
		}
	}
	marks := m.marks()
	truths := make([]*times, len(marks))
	for k, at := range marks {
		truths[k] = m.truth(at)
	}
	views := map[[2]uint64][2]uint64{} // first and last number by node and process
	for _, s := range m.Samples {
		k := sort.Search(len(marks), func(i int) bool { return marks[i] > s.At }) - 1
		key := [2]uint64{uint64(s.Node), s.Start}
		v, known := views[key]
		if known && s.View < v[1] {
			breach(s.At, "members-view", fmt.Sprint(key), "n%d's view went from %d back to %d", s.Node, v[1], s.View)
		}
		if !known {
			v[0] = s.View
		}
		views[key] = [2]uint64{v[0], s.View}
		if s.At >= m.From {
			f.Views = max(f.Views, s.View-v[0])
		}
		if s.At < m.From || k < 0 || !truths[k].up[s.Node] {
			continue
		}
		for j := range m.Nodes {
			if j == s.Node {
				continue
			}
			in := slices.Contains(s.Members, j)
			if span, gone := m.absent(truths, marks, k, s, j); gone {
				if in && span > l.Notice && s.Whole { // one that knows it is cut off claims nothing
					breach(s.At, "members-noticed", fmt.Sprint(s.Node, j), "n%d holds n%d in its view, which has not been there for %v", s.Node, j, span.Round(time.Millisecond))
				} else if in {
					f.Noticed = max(f.Noticed, span.Seconds())
				}
				continue
			}
			if !in && s.Whole && !l.Uneven && m.there(truths, marks, k, s, j) {
				breach(s.At, "members-taken-out", fmt.Sprint(s.Node, j), "n%d is out of n%d's view, though it lives and most can hear it", j, s.Node)
			}
		}
	}
	f.Healed = m.healed(truths, marks, l, breach)
	at := At(0)
	if f.Shares, at, f.SharesMean = m.together(); f.Shares > 1+1e-9 {
		breach(at, "shares", "", "all together had %.4f of the whole", f.Shares)
	}
	return out, f
}

// together is the most that all processes might use at one instant, when that was, and the mean. A process that stands still
// uses nothing; what one that was killed did after it was last asked is not known, and is left out.
func (m Members) together() (most float64, when At, mean float64) {
	type process struct {
		told []ShareTold
		last At
	}
	key := func(node int, start uint64) [2]uint64 { return [2]uint64{uint64(node), start} }
	all := map[[2]uint64]*process{}
	var marks []At
	for _, h := range m.Shares {
		k := key(h.Node, h.Start)
		if all[k] == nil {
			all[k] = &process{}
		}
		all[k].told = append(all[k].told, h)
		if marks = append(marks, h.At); h.Until < m.Until {
			marks = append(marks, h.Until)
		}
	}
	for _, s := range m.Samples {
		if p := all[key(s.Node, s.Start)]; p != nil {
			p.last = max(p.last, s.At)
		}
	}
	for _, p := range all {
		sort.SliceStable(p.told, func(i, j int) bool { return p.told[i].At < p.told[j].At })
	}
	slices.Sort(marks)
	marks = slices.Compact(marks)
	over, until := 0.0, At(0)
	for i, at := range marks {
		sum := 0.0
		for k, p := range all {
			n := sort.Search(len(p.told), func(i int) bool { return p.told[i].At > at })
			if n == 0 || at > p.last || m.stopped(int(k[0]), at) {
				continue
			}
			if h := p.told[n-1]; at < h.Until {
				sum += h.Value
			} else {
				sum += h.After
			}
		}
		if sum > most {
			most, when = sum, at
		}
		if at >= m.From && i+1 < len(marks) {
			over += sum * (marks[i+1] - at).Seconds()
			until = marks[i+1]
		}
	}
	if until > m.From {
		mean = over / (until - m.From).Seconds()
	}
	return most, when, mean
}

// marks are the moments at which the truth changes.
func (m Members) marks() []At {
	out := []At{0}
	for _, d := range m.Downs {
		out = append(out, d.From, d.To)
	}
	for _, l := range m.Links {
		out = append(out, l.At)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// absent tells whether a node has had no process, or no way to the sample's, and for how long without a break.
func (m Members) absent(truths []*times, marks []At, k int, s MemberSample, j int) (time.Duration, bool) {
	since := At(-1)
	for ; k >= 0; k-- {
		t := truths[k]
		// The sample's own process has to have been there: one that has just started or been woken has its time too.
		runs := t.up[j] || m.stopped(j, t.at) && !m.long(j, t.at)
		if t.been[s.Node] > marks[k] || !t.up[s.Node] || runs && t.way(j, s.Node) {
			break
		}
		since = marks[k]
	}
	if since < 0 {
		return 0, false
	}
	since = max(since, m.From)
	return s.At - since, true
}

// there tells whether a node has been there, heard by most and with a way to the sample's, for as long as it takes to be
// back. Standing still for a while is being there.
func (m Members) there(truths []*times, marks []At, k int, s MemberSample, j int) bool {
	for ; k >= 0; k-- {
		t := truths[k]
		dead := t.gone[j] >= 0 && !m.stopped(j, t.at)
		if dead || !t.most(j) || !t.up[s.Node] || m.long(j, t.at) || !t.way(j, s.Node) {
			return false
		}
		if s.At-marks[k] > back {
			return true
		}
	}
	return true
}

// stopped tells whether a node stands still at a moment.
func (m Members) stopped(node int, at At) bool {
	return slices.ContainsFunc(m.Downs, func(d Down) bool { return d.Node == node && d.Stopped && d.From <= at && at < d.To })
}

// long tells whether a node stands still for longer than a suspicion lasts at a moment.
func (m Members) long(node int, at At) bool {
	return slices.ContainsFunc(m.Downs, func(d Down) bool {
		return d.Node == node && d.Stopped && d.From <= at && at < d.To && d.To-d.From > mostStop
	})
}

// mostStop is the longest standstill that must leave no trace in views: the least suspicion less a probe's way.
const mostStop = 2100 * time.Millisecond

// healed is how long after the last fault all held the same, and a breach where that was too long.
func (m Members) healed(truths []*times, marks []At, l MemberLimits, breach func(At, string, string, string, ...any)) float64 {
	last := m.From
	for _, at := range append(slices.Clone(marks), m.Others...) {
		if at < m.Until {
			last = max(last, at)
		}
	}
	t := truths[len(truths)-1]
	var want []int
	for i := range m.Nodes {
		if t.up[i] {
			want = append(want, i)
		}
	}
	if len(t.cuts) > 0 || len(m.Samples) == 0 || m.Until-last < l.Heal {
		return -1 // it ends with something wrong, or too soon to tell
	}
	agreed := At(0)
	for _, s := range m.Samples {
		if s.At > last && t.up[s.Node] && !slices.Equal(s.Members, want) {
			agreed = s.At - last
			if agreed > l.Heal {
				breach(s.At, "members-healed", fmt.Sprint(s.Node), "%v after the last fault n%d holds %v, not %v", agreed.Round(time.Millisecond), s.Node, s.Members, want)
			}
		}
	}
	return agreed.Seconds()
}
