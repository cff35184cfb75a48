package audit

import (
	"slices"
	"time"
)

// rejoinTime is how long a node that was really gone for others has, once it is there again, before its absence counts:
// it has to be heard, and the news of it has to be passed on by gossip.
const rejoinTime = 5 * time.Second

// groundTruth is what was really so between two moments at which something changed.
type groundTruth struct {
	record    MembershipRecord
	cuts      [][2]int
	at        Offset
	up        []bool   // by node: its process runs and is not suspended
	upSince   []Offset // since when; 0: from the start
	downSince []Offset // since when it has not been up; -1: it is
}

// truth works out who could hear whom from a moment on.
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

// hears reports whether one node can hear another directly.
func (t *groundTruth) hears(to, from int) bool { return !slices.Contains(t.cuts, [2]int{from, to}) }

// heardByMajority reports whether most of the other running nodes hear a node.
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

// reaches reports whether anything from one node can come to another, through others that run.
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

// absentFor reports whether a node has had no process, or has not been able to reach the sample's, and for how long
// without a break.
func (a *memberAuditor) absentFor(k int, s MemberSample, node int) (time.Duration, bool) {
	since := Offset(-1)
	for ; k >= 0; k-- {
		t := a.truths[k]
		// The sample's own process has to have been there: one that has just started or been resumed has its time too.
		runs := t.up[node] || a.record.suspended(node, t.at) && !a.record.suspendedTooLong(node, t.at)
		observerNew := t.upSince[s.Node] > a.changes[k] || !t.up[s.Node]
		if observerNew || runs && t.reaches(node, s.Node) {
			break
		}
		since = a.changes[k]
	}
	if since < 0 {
		return 0, false
	}
	since = max(since, a.record.From)
	return s.At - since, true
}

// present reports whether a node has been there, heard by most and able to reach the sample's, for as long as it takes to
// rejoin. A short suspension does not count as absence.
func (a *memberAuditor) present(k int, s MemberSample, node int) bool {
	for ; k >= 0; k-- {
		t := a.truths[k]
		dead := t.downSince[node] >= 0 && !a.record.suspended(node, t.at)
		heard := t.heardByMajority(node) && t.reaches(node, s.Node)
		if dead || !heard || !t.up[s.Node] || a.record.suspendedTooLong(node, t.at) {
			return false
		}
		if s.At-a.changes[k] > rejoinTime {
			return true
		}
	}
	return true
}

// suspended reports whether a node is suspended at a moment.
func (m MembershipRecord) suspended(node int, at Offset) bool {
	return slices.ContainsFunc(m.Downtimes, func(d Downtime) bool { return d.Node == node && d.Suspended && d.From <= at && at < d.To })
}

// suspendedTooLong reports whether a node is suspended at a moment for longer than a suspicion lasts.
func (m MembershipRecord) suspendedTooLong(node int, at Offset) bool {
	return slices.ContainsFunc(m.Downtimes, func(d Downtime) bool {
		return d.Node == node && d.Suspended && d.From <= at && at < d.To && d.To-d.From > maxUnnoticedSuspension
	})
}

// maxUnnoticedSuspension is the longest suspension that must leave no trace in views: the shortest suspicion timeout
// less a probe's round trip.
const maxUnnoticedSuspension = 2100 * time.Millisecond
