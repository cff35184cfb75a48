package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// A member sample is what one process said of itself at a moment.
type MemberSample struct {
	At          Offset
	Node        int
	Start       uint64 // of its process
	View        uint64
	Members     []int // nodes in its view
	HasMajority bool  // it does not hold itself for cut off or alone

}

// LinkEvent is a directed link that was cut or made whole.
type LinkEvent struct {
	At       Offset
	From, To int
	Cut      bool
}

// Downtime is a time in which a node's process was not there, or stood still.
type Downtime struct {
	Node      int
	From, To  Offset
	Suspended bool // it stood still, and what it knew is still there
}

// MembershipRecord is what was really so, and what the processes said.
type MembershipRecord struct {
	Nodes          int
	From           Offset // when all had started; what came before is not judged
	Until          Offset
	Samples        []MemberSample
	Links          []LinkEvent
	Downtimes      []Downtime
	Quotas         []QuotaGrant
	OtherFaultEnds []Offset // when further faults of links ended, such as loss
}

// QuotaGrant is what a process might use of the whole from a moment on; from Until on it is After.
type QuotaGrant struct {
	Node  int
	Start uint64
	At    Offset
	Value float64
	Until Offset
	After float64
}

// Forever is the end of what has none.
const Forever = Offset(1<<63 - 1)

// MemberLimits are how views are judged.
type MemberLimits struct {
	DetectWithin   time.Duration // who is gone, or cannot be heard on any way, is out of every view within it
	ConvergeWithin time.Duration // after the last fault all hold the same view within it
	IgnorePartial  bool          // nothing is asked of members that only some can hear
}

// MemberFigures are what the views came to.
type MemberFigures struct {
	Samples     int     `json:"samples"`
	Detection   float64 `json:"noticed_max_s"` // the longest until one that was gone was out of some view
	Convergence float64 `json:"healed_s"`      // after the last fault, until all held the same; -1: not seen
	ViewChanges uint64  `json:"views_max"`     // changes of view at any process
	QuotaMax    float64 `json:"shares_max"`    // the most that all had together at any instant
	// QuotaMean is what they had on average while it was judged.
	QuotaMean float64 `json:"shares_mean"`
}

// rejoinTime is how long one that was really gone for others has, once it is there again, before its absence counts: it has to be
// heard, and news of it to go round.
const rejoinTime = 5 * time.Second

// groundTruth is the truth at each moment at which it changed.
type groundTruth struct {
	record    MembershipRecord
	cuts      [][2]int
	at        Offset
	up        []bool   // runs and does not stand still
	upSince   []Offset // since when
	downSince []Offset // since when there is no process
}

// truth works out who can hear whom in a span in which nothing changes.
func (m MembershipRecord) truth(at Offset) *groundTruth {
	t := &groundTruth{record: m, at: at, up: make([]bool, m.Nodes), downSince: make([]Offset, m.Nodes), upSince: make([]Offset, m.Nodes)}
	for i := range t.up {
		t.up[i], t.downSince[i] = true, -1
	}
	for _, d := range m.Downtimes {
		switch {
		case d.From <= at && at < d.To:
			t.up[d.Node] = false
			t.downSince[d.Node] = d.From
		case d.To <= at:
			t.upSince[d.Node] = max(t.upSince[d.Node], d.To)
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

func (t *groundTruth) hears(to, from int) bool { return !slices.Contains(t.cuts, [2]int{from, to}) }

// heardByMajority tells whether most of the others that run hear a node.
func (t *groundTruth) heardByMajority(node int) bool {
	hear, of := 0, 0
	for k := range t.record.Nodes {
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

// reaches tells whether anything from one node can come to another, through others that run.
func (t *groundTruth) reaches(from, to int) bool {
	seen, next := map[int]bool{from: true}, []int{from}
	for len(next) > 0 {
		i := next[0]
		next = next[1:]
		if i == to {
			return true
		}
		for j := range t.record.Nodes {
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
func (m MembershipRecord) Judge(l MemberLimits) ([]Breach, MemberFigures) {
	sort.SliceStable(m.Links, func(i, j int) bool { return m.Links[i].At < m.Links[j].At })
	sort.SliceStable(m.Samples, func(i, j int) bool { return m.Samples[i].At < m.Samples[j].At })
	f := MemberFigures{Samples: len(m.Samples), Convergence: -1}
	var out []Breach
	told := map[string]bool{}
	breach := func(at Offset, rule, key, format string, args ...any) {
		if !told[rule+key] { // once for each pair: it lasts for many samples
			told[rule+key] = true
			out = append(out, Breach{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)})
		}
	}
	marks := m.changeTimes()
	truths := make([]*groundTruth, len(marks))
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
			f.ViewChanges = max(f.ViewChanges, s.View-v[0])
		}
		if s.At < m.From || k < 0 || !truths[k].up[s.Node] {
			continue
		}
		for j := range m.Nodes {
			if j == s.Node {
				continue
			}
			in := slices.Contains(s.Members, j)
			if span, gone := m.absentFor(truths, marks, k, s, j); gone {
				if in && span > l.DetectWithin && s.HasMajority { // one that knows it is cut off claims nothing
					breach(s.At, "members-noticed", fmt.Sprint(s.Node, j), "n%d holds n%d in its view, which has not been there for %v", s.Node, j, span.Round(time.Millisecond))
				} else if in {
					f.Detection = max(f.Detection, span.Seconds())
				}
				continue
			}
			if !in && s.HasMajority && !l.IgnorePartial && m.present(truths, marks, k, s, j) {
				breach(s.At, "members-taken-out", fmt.Sprint(s.Node, j), "n%d is out of n%d's view, though it lives and most can hear it", j, s.Node)
			}
		}
	}
	f.Convergence = m.convergence(truths, marks, l, breach)
	at := Offset(0)
	if f.QuotaMax, at, f.QuotaMean = m.combinedQuota(); f.QuotaMax > 1+1e-9 {
		breach(at, "shares", "", "all together had %.4f of the whole", f.QuotaMax)
	}
	return out, f
}

// combinedQuota is the most that all processes might use at one instant, when that was, and the mean. A process that stands still
// uses nothing; what one that was killed did after it was last asked is not known, and is left out.
func (m MembershipRecord) combinedQuota() (most float64, when Offset, mean float64) {
	type process struct {
		told []QuotaGrant
		last Offset
	}
	key := func(node int, start uint64) [2]uint64 { return [2]uint64{uint64(node), start} }
	all := map[[2]uint64]*process{}
	var marks []Offset
	for _, h := range m.Quotas {
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
	over, until := 0.0, Offset(0)
	for i, at := range marks {
		sum := 0.0
		for k, p := range all {
			n := sort.Search(len(p.told), func(i int) bool { return p.told[i].At > at })
			if n == 0 || at > p.last || m.suspended(int(k[0]), at) {
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

// changeTimes are the moments at which the truth changes.
func (m MembershipRecord) changeTimes() []Offset {
	out := []Offset{0}
	for _, d := range m.Downtimes {
		out = append(out, d.From, d.To)
	}
	for _, l := range m.Links {
		out = append(out, l.At)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// absentFor tells whether a node has had no process, or no way to the sample's, and for how long without a break.
func (m MembershipRecord) absentFor(truths []*groundTruth, marks []Offset, k int, s MemberSample, j int) (time.Duration, bool) {
	since := Offset(-1)
	for ; k >= 0; k-- {
		t := truths[k]
		// The sample's own process has to have been there: one that has just started or been woken has its time too.
		runs := t.up[j] || m.suspended(j, t.at) && !m.suspendedTooLong(j, t.at)
		if t.upSince[s.Node] > marks[k] || !t.up[s.Node] || runs && t.reaches(j, s.Node) {
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

// present tells whether a node has been there, heard by most and with a way to the sample's, for as long as it takes to be
// back. Standing still for a while is being there.
func (m MembershipRecord) present(truths []*groundTruth, marks []Offset, k int, s MemberSample, j int) bool {
	for ; k >= 0; k-- {
		t := truths[k]
		dead := t.downSince[j] >= 0 && !m.suspended(j, t.at)
		if dead || !t.heardByMajority(j) || !t.up[s.Node] || m.suspendedTooLong(j, t.at) || !t.reaches(j, s.Node) {
			return false
		}
		if s.At-marks[k] > rejoinTime {
			return true
		}
	}
	return true
}

// suspended tells whether a node stands still at a moment.
func (m MembershipRecord) suspended(node int, at Offset) bool {
	return slices.ContainsFunc(m.Downtimes, func(d Downtime) bool { return d.Node == node && d.Suspended && d.From <= at && at < d.To })
}

// suspendedTooLong tells whether a node stands still for longer than a suspicion lasts at a moment.
func (m MembershipRecord) suspendedTooLong(node int, at Offset) bool {
	return slices.ContainsFunc(m.Downtimes, func(d Downtime) bool {
		return d.Node == node && d.Suspended && d.From <= at && at < d.To && d.To-d.From > maxUnnoticedSuspension
	})
}

// maxUnnoticedSuspension is the longest standstill that must leave no trace in views: the least suspicion less a probe's way.
const maxUnnoticedSuspension = 2100 * time.Millisecond

// convergence is how long after the last fault all held the same, and a breach where that was too long.
func (m MembershipRecord) convergence(truths []*groundTruth, marks []Offset, l MemberLimits, breach func(Offset, string, string, string, ...any)) float64 {
	last := m.From
	for _, at := range append(slices.Clone(marks), m.OtherFaultEnds...) {
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
	if len(t.cuts) > 0 || len(m.Samples) == 0 || m.Until-last < l.ConvergeWithin {
		return -1 // it ends with something wrong, or too soon to tell
	}
	agreed := Offset(0)
	for _, s := range m.Samples {
		if s.At > last && t.up[s.Node] && !slices.Equal(s.Members, want) {
			agreed = s.At - last
			if agreed > l.ConvergeWithin {
				breach(s.At, "members-healed", fmt.Sprint(s.Node), "%v after the last fault n%d holds %v, not %v", agreed.Round(time.Millisecond), s.Node, s.Members, want)
			}
		}
	}
	return agreed.Seconds()
}
