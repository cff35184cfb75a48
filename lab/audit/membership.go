package audit

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// MemberSample is the view that one process reported in one sample.
type MemberSample struct {
	At          Offset
	Node        int
	Generation  uint64 // generation of the process
	View        uint64 // number of its view
	Members     []int  // nodes in its view
	HasMajority bool   // false if the process reported that it is isolated or has no peers
}

// LinkEvent is the start or the end of the cut of a directed link.
type LinkEvent struct {
	At       Offset
	From, To int
	Cut      bool
}

// Downtime is a time span in which a node had no process, or its process was suspended.
type Downtime struct {
	Node      int
	From, To  Offset
	Suspended bool // the process kept its state
}

// MembershipRecord holds the injected faults of a run and the views and quotas that the processes reported.
type MembershipRecord struct {
	Nodes          int
	From           Offset // when all nodes had started; earlier members and views are not compared with the ground truth
	Until          Offset // end of the run
	Samples        []MemberSample
	Links          []LinkEvent
	Downtimes      []Downtime
	Quotas         []QuotaGrant
	OtherFaultEnds []Offset // when link faults other than cuts ended, such as loss
}

// QuotaGrant is the fraction of the fleet-wide quota that a process may use: Value from At to Until, and After from then on.
type QuotaGrant struct {
	Node       int
	Generation uint64 // generation of the process
	At         Offset
	Value      float64
	Until      Offset
	After      float64
}

// Forever is the Until of a grant that does not expire.
const Forever = Offset(1<<63 - 1)

// MemberLimits are the limits that views have to keep.
type MemberLimits struct {
	DetectWithin   time.Duration // time limit for removing a node that is down or unreachable from every view
	ConvergeWithin time.Duration // time limit from the last fault until all views are the same
	IgnorePartial  bool          // live members may be missing from views, for runs in which only some nodes receive their messages
}

// MemberFigures are the measurements of the views and quotas of a run.
type MemberFigures struct {
	Samples     int     `json:"samples"`
	Detection   float64 `json:"noticed_max_s"` // the longest time that a view still contained a node that was down or unreachable
	Convergence float64 `json:"healed_s"`      // from the last fault until all views were the same; -1: unknown
	ViewChanges uint64  `json:"views_max"`     // maximum over the processes of the number of view changes
	QuotaMax    float64 `json:"shares_max"`    // maximum of the sum of all quotas at one time
	QuotaMean   float64 `json:"shares_mean"`   // mean of that sum from MembershipRecord.From on
}

// process is one process of a node.
type process struct {
	node       int
	generation uint64
}

// viewRange holds the first and the latest view number of a process.
type viewRange struct{ first, latest uint64 }

// memberAuditor compares the samples of one record with the ground truth.
type memberAuditor struct {
	record   MembershipRecord
	limits   MemberLimits
	changes  []Offset       // when the ground truth changes
	truths   []*groundTruth // truths[i] applies from changes[i] on
	views    map[process]viewRange
	reported map[string]bool
	breaches []Breach
	figures  MemberFigures
}

// Judge compares the samples with the ground truth. It checks these rules:
//   - A live node whose messages the majority receives is in the view of every process that has a majority.
//   - A node that is down or unreachable is removed from the views within MemberLimits.DetectWithin.
//   - The view number of a process never decreases.
//   - All views are the same within MemberLimits.ConvergeWithin after the last fault.
//   - The quotas of all processes never add up to more than the fleet-wide quota.
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
		a.truths = append(a.truths, m.groundTruthAt(at))
	}
	for _, s := range m.Samples {
		a.checkSample(s)
	}
	a.figures.Convergence = a.convergence()
	a.checkQuotas()
	return a.breaches, a.figures
}

// breach records only the first breach for each rule and key, because the same fault shows in many samples.
func (a *memberAuditor) breach(at Offset, rule, key, format string, args ...any) {
	if a.reported[rule+key] {
		return
	}
	a.reported[rule+key] = true
	a.breaches = append(a.breaches, Breach{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// checkSample checks the view number of one sample, and its members against the ground truth at that time.
func (a *memberAuditor) checkSample(sample MemberSample) {
	a.checkViewNumber(sample)
	truthIndex := sort.Search(len(a.changes), func(i int) bool { return a.changes[i] > sample.At }) - 1
	if sample.At < a.record.From || truthIndex < 0 || !a.truths[truthIndex].up[sample.Node] {
		return
	}
	for other := range a.record.Nodes {
		if other != sample.Node {
			a.checkMember(sample, truthIndex, other)
		}
	}
}

// checkViewNumber checks that the view number of a process does not decrease.
func (a *memberAuditor) checkViewNumber(sample MemberSample) {
	owner := process{sample.Node, sample.Generation}
	view, known := a.views[owner]
	if known && sample.View < view.latest {
		a.breach(sample.At, "members-view", fmt.Sprint(owner), "the view number of n%d went from %d back to %d", sample.Node, view.latest,
			sample.View)
	}
	if !known {
		view.first = sample.View
	}
	view.latest = sample.View
	a.views[owner] = view
	if sample.At >= a.record.From {
		a.figures.ViewChanges = max(a.figures.ViewChanges, sample.View-view.first)
	}
}

// checkMember checks whether another node is correctly in the view of a sample or missing from it. truthIndex is the index
// of the ground truth at the time of the sample.
func (a *memberAuditor) checkMember(sample MemberSample, truthIndex, other int) {
	included := slices.Contains(sample.Members, other)
	absence, absent := a.absentFor(truthIndex, sample, other)
	switch {
	case absent && !included:
	case absent && absence > a.limits.DetectWithin && sample.HasMajority: // the view of an isolated process is not checked
		a.breach(sample.At, "members-noticed", fmt.Sprint(sample.Node, other),
			"the view of n%d still contains n%d, which has been down or unreachable for %v", sample.Node, other, absence.Round(time.Millisecond))
	case absent:
		a.figures.Detection = max(a.figures.Detection, absence.Seconds())
	case !included && sample.HasMajority && !a.limits.IgnorePartial && a.presentLongEnough(truthIndex, sample, other):
		a.breach(sample.At, "members-taken-out", fmt.Sprint(sample.Node, other),
			"n%d is missing from the view of n%d, although it runs and the majority receives its messages", other, sample.Node)
	}
}

// convergence returns how long after the last fault, in seconds, all views were the same, or -1 if that is unknown. It
// records a breach for each node that took longer than MemberLimits.ConvergeWithin.
func (a *memberAuditor) convergence() float64 {
	m := a.record
	lastFault := m.From
	for _, at := range append(slices.Clone(a.changes), m.OtherFaultEnds...) {
		if at < m.Until {
			lastFault = max(lastFault, at)
		}
	}
	finalTruth := a.truths[len(a.truths)-1]
	var running []int
	for i := range m.Nodes {
		if finalTruth.up[i] {
			running = append(running, i)
		}
	}
	tooSoon := m.Until-lastFault < a.limits.ConvergeWithin
	if len(finalTruth.cuts) > 0 || len(m.Samples) == 0 || tooSoon {
		return -1
	}
	lastDisagreement := Offset(0)
	for _, sample := range m.Samples {
		if sample.At <= lastFault || !finalTruth.up[sample.Node] || slices.Equal(sample.Members, running) {
			continue
		}
		lastDisagreement = sample.At - lastFault
		if lastDisagreement > a.limits.ConvergeWithin {
			a.breach(sample.At, "members-healed", fmt.Sprint(sample.Node), "%v after the last fault the view of n%d is %v, want %v",
				lastDisagreement.Round(time.Millisecond), sample.Node, sample.Members, running)
		}
	}
	return lastDisagreement.Seconds()
}

// quotaTolerance allows for rounding errors when quotas are added up.
const quotaTolerance = 1e-9

// checkQuotas checks that the quotas of all processes never add up to more than the fleet-wide quota.
func (a *memberAuditor) checkQuotas() {
	maximum, at, mean := a.record.combinedQuota()
	a.figures.QuotaMax = maximum
	a.figures.QuotaMean = mean
	if maximum > 1+quotaTolerance {
		a.breach(at, "shares", "", "the quotas of all nodes add up to %.4f of the fleet-wide quota, want at most 1", maximum)
	}
}
