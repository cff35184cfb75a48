package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// MemberSample is what one process said of itself at a moment.
type MemberSample struct {
	At          Offset
	Node        int
	Start       uint64 // of its process
	View        uint64
	Members     []int // nodes in its view
	HasMajority bool  // it does not consider itself cut off or alone
}

// LinkEvent is a directed link that was cut, or whose cut ended.
type LinkEvent struct {
	At       Offset
	From, To int
	Cut      bool
}

// Downtime is a time in which a node had no process, or a suspended one.
type Downtime struct {
	Node      int
	From, To  Offset
	Suspended bool // the process kept what it knew
}

// MembershipRecord is what really happened, and what the processes said.
type MembershipRecord struct {
	Nodes          int
	From           Offset // when all had started; nothing before is judged
	Until          Offset
	Samples        []MemberSample
	Links          []LinkEvent
	Downtimes      []Downtime
	Quotas         []QuotaGrant
	OtherFaultEnds []Offset // when further faults of links ended, such as loss
}

// QuotaGrant is the share of the whole that a process may use from a moment on. From Until on it is After.
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
	DetectWithin   time.Duration // a node that is gone or unreachable is out of every view within it
	ConvergeWithin time.Duration // after the last fault all hold the same view within it
	IgnorePartial  bool          // nothing is expected of members that only some can hear
}

// MemberFigures are what the views came to.
type MemberFigures struct {
	Samples     int     `json:"samples"`
	Detection   float64 `json:"noticed_max_s"` // the longest time for which a view held a node that was gone
	Convergence float64 `json:"healed_s"`      // from the last fault until all held the same view; -1: not seen
	ViewChanges uint64  `json:"views_max"`     // changes of view at any process
	QuotaMax    float64 `json:"shares_max"`    // the most that all had together at any instant
	QuotaMean   float64 `json:"shares_mean"`   // what they had on average while it was judged
}

// process is one process of a node.
type process struct {
	node  int
	start uint64
}

// viewRange is the first and the latest number of a process's view.
type viewRange struct{ first, latest uint64 }

// memberAuditor compares the samples of one record with the truth.
type memberAuditor struct {
	record   MembershipRecord
	limits   MemberLimits
	changes  []Offset       // when the truth changes
	truths   []*groundTruth // from each change on
	views    map[process]viewRange
	reported map[string]bool
	breaches []Breach
	figures  MemberFigures
}

// Judge compares the samples with the truth. The rules: no live node that most can hear is out of the view of a process
// that has a majority; a node that is gone or unreachable is out of the views in time; a view's number never goes back;
// all agree in time once no fault is left; quotas together never exceed the whole.
func (m MembershipRecord) Judge(l MemberLimits) ([]Breach, MemberFigures) {
	sort.SliceStable(m.Links, func(i, j int) bool { return m.Links[i].At < m.Links[j].At })
	sort.SliceStable(m.Samples, func(i, j int) bool { return m.Samples[i].At < m.Samples[j].At })
	a := &memberAuditor{
		record:   m,
		limits:   l,
		changes:  m.changeTimes(),
		views:    map[process]viewRange{},
		reported: map[string]bool{},
		figures:  MemberFigures{Samples: len(m.Samples)},
	}
	for _, at := range a.changes {
		a.truths = append(a.truths, m.truth(at))
	}
	for _, s := range m.Samples {
		a.checkSample(s)
	}
	a.figures.Convergence = a.convergence()
	a.checkQuotas()
	return a.breaches, a.figures
}

// breach records a breach once for each rule and key: the same one shows in many samples.
func (a *memberAuditor) breach(at Offset, rule, key, format string, args ...any) {
	if a.reported[rule+key] {
		return
	}
	a.reported[rule+key] = true
	a.breaches = append(a.breaches, Breach{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// checkSample checks one sample's view number, and its members against the truth at that moment.
func (a *memberAuditor) checkSample(s MemberSample) {
	a.checkViewNumber(s)
	k := sort.Search(len(a.changes), func(i int) bool { return a.changes[i] > s.At }) - 1
	if s.At < a.record.From || k < 0 || !a.truths[k].up[s.Node] {
		return
	}
	for other := range a.record.Nodes {
		if other != s.Node {
			a.checkMember(s, k, other)
		}
	}
}

// checkViewNumber checks that a process's view number does not go back.
func (a *memberAuditor) checkViewNumber(s MemberSample) {
	p := process{s.Node, s.Start}
	v, known := a.views[p]
	if known && s.View < v.latest {
		a.breach(s.At, "members-view", fmt.Sprint(p), "n%d's view went from %d back to %d", s.Node, v.latest, s.View)
	}
	if !known {
		v.first = s.View
	}
	v.latest = s.View
	a.views[p] = v
	if s.At >= a.record.From {
		a.figures.ViewChanges = max(a.figures.ViewChanges, s.View-v.first)
	}
}

// checkMember checks whether another node is rightly in a sample's view, or rightly not. k is the truth's index.
func (a *memberAuditor) checkMember(s MemberSample, k, other int) {
	in := slices.Contains(s.Members, other)
	span, gone := a.absentFor(k, s, other)
	switch {
	case gone && !in:
	case gone && span > a.limits.DetectWithin && s.HasMajority: // a process that knows it is cut off claims nothing
		a.breach(s.At, "members-noticed", fmt.Sprint(s.Node, other), "n%d holds n%d in its view, which has not been there for %v",
			s.Node, other, span.Round(time.Millisecond))
	case gone:
		a.figures.Detection = max(a.figures.Detection, span.Seconds())
	case !in && s.HasMajority && !a.limits.IgnorePartial && a.present(k, s, other):
		a.breach(s.At, "members-taken-out", fmt.Sprint(s.Node, other), "n%d is out of n%d's view, though it lives and most can hear it",
			other, s.Node)
	}
}

// convergence is how long after the last fault all held the same view, in seconds; -1 where that cannot be told. Where
// it was too long that is a breach.
func (a *memberAuditor) convergence() float64 {
	m := a.record
	last := m.From
	for _, at := range append(slices.Clone(a.changes), m.OtherFaultEnds...) {
		if at < m.Until {
			last = max(last, at)
		}
	}
	t := a.truths[len(a.truths)-1]
	var want []int
	for i := range m.Nodes {
		if t.up[i] {
			want = append(want, i)
		}
	}
	tooSoon := m.Until-last < a.limits.ConvergeWithin
	if len(t.cuts) > 0 || len(m.Samples) == 0 || tooSoon {
		return -1
	}
	agreed := Offset(0)
	for _, s := range m.Samples {
		if s.At <= last || !t.up[s.Node] || slices.Equal(s.Members, want) {
			continue
		}
		agreed = s.At - last
		if agreed > a.limits.ConvergeWithin {
			a.breach(s.At, "members-healed", fmt.Sprint(s.Node), "%v after the last fault n%d holds %v, not %v",
				agreed.Round(time.Millisecond), s.Node, s.Members, want)
		}
	}
	return agreed.Seconds()
}

// quotaTolerance is what rounding may add to quotas that make up the whole.
const quotaTolerance = 1e-9

// checkQuotas checks that quotas together never exceed the whole.
func (a *memberAuditor) checkQuotas() {
	most, at, mean := a.record.combinedQuota()
	a.figures.QuotaMax = most
	a.figures.QuotaMean = mean
	if most > 1+quotaTolerance {
		a.breach(at, "shares", "", "all together had %.4f of the whole", most)
	}
}
