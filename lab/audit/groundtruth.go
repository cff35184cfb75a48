package audit

import (
	"slices"
	"time"
)

// rejoinTime is how long after its return a node that was down or unreachable may still be missing from views. The other
// members have to receive its messages first, and gossip has to spread the change.
const rejoinTime = 5 * time.Second

// groundTruth is the actual state of nodes and links between two consecutive changes.
type groundTruth struct {
	record    MembershipRecord
	cuts      [][2]int // directed links that are cut: from, to
	at        Offset
	up        []bool   // by node: its process runs and is not suspended
	upSince   []Offset // by node: end of its last downtime; 0: none
	downSince []Offset // by node: start of the current downtime; -1: it is up
}

// groundTruthAt computes which nodes run and which links are cut from a change on.
func (m MembershipRecord) groundTruthAt(at Offset) *groundTruth {
	truth := &groundTruth{record: m, at: at, up: make([]bool, m.Nodes), downSince: make([]Offset, m.Nodes), upSince: make([]Offset, m.Nodes)}
	for i := range truth.up {
		truth.up[i], truth.downSince[i] = true, -1
	}
	for _, downtime := range m.Downtimes {
		switch {
		case downtime.From <= at && at < downtime.To:
			truth.up[downtime.Node] = false
			truth.downSince[downtime.Node] = downtime.From
		case downtime.To <= at:
			truth.upSince[downtime.Node] = max(truth.upSince[downtime.Node], downtime.To)
		}
	}
	cut := map[[2]int]bool{}
	for _, event := range m.Links {
		if event.At > at {
			break
		}
		cut[[2]int{event.From, event.To}] = event.Cut
	}
	for link, isCut := range cut {
		if isCut {
			truth.cuts = append(truth.cuts, link)
		}
	}
	return truth
}

// receivesFrom reports whether messages from one node reach another over their direct link.
func (t *groundTruth) receivesFrom(to, from int) bool {
	return !slices.Contains(t.cuts, [2]int{from, to})
}

// receivedByMajority reports whether more than half of the other running nodes receive messages directly from a node.
func (t *groundTruth) receivedByMajority(node int) bool {
	receivers, others := 0, 0
	for other := range t.record.Nodes {
		if other == node || !t.up[other] {
			continue
		}
		others++
		if t.receivesFrom(other, node) {
			receivers++
		}
	}
	return 2*receivers > others
}

// reaches reports whether messages of one node can reach another, directly or relayed by other running nodes.
func (t *groundTruth) reaches(from, to int) bool {
	seen, queue := map[int]bool{from: true}, []int{from}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		if i == to {
			return true
		}
		for j := range t.record.Nodes {
			if !seen[j] && t.up[j] && t.receivesFrom(j, i) {
				seen[j] = true
				queue = append(queue, j)
			}
		}
	}
	return false
}

// changeTimes returns the sorted times at which the ground truth changes.
func (m MembershipRecord) changeTimes() []Offset {
	times := []Offset{0}
	for _, downtime := range m.Downtimes {
		times = append(times, downtime.From, downtime.To)
	}
	for _, event := range m.Links {
		times = append(times, event.At)
	}
	slices.Sort(times)
	return slices.Compact(times)
}

// absentFor reports whether a node is down or cannot reach the node of a sample, and for how long this has been so without
// interruption. truthIndex is the index of the ground truth at the time of the sample.
func (a *memberAuditor) absentFor(truthIndex int, sample MemberSample, node int) (time.Duration, bool) {
	since := Offset(-1)
	for ; truthIndex >= 0; truthIndex-- {
		truth := a.truths[truthIndex]
		// The absence counts only from the last start or resume of the observing process, because that process needs time to detect it.
		runs := truth.up[node] || a.record.suspended(node, truth.at) && !a.record.suspendedTooLong(node, truth.at)
		observerNew := truth.upSince[sample.Node] > a.changes[truthIndex] || !truth.up[sample.Node]
		if observerNew || runs && truth.reaches(node, sample.Node) {
			break
		}
		since = a.changes[truthIndex]
	}
	if since < 0 {
		return 0, false
	}
	since = max(since, a.record.From)
	return sample.At - since, true
}

// presentLongEnough reports whether, for at least rejoinTime, a node has run, the majority has received its messages and it
// could reach the node of the sample. A short suspension does not count as absence. truthIndex is the index of the ground
// truth at the time of the sample.
func (a *memberAuditor) presentLongEnough(truthIndex int, sample MemberSample, node int) bool {
	for ; truthIndex >= 0; truthIndex-- {
		truth := a.truths[truthIndex]
		killed := truth.downSince[node] >= 0 && !a.record.suspended(node, truth.at)
		reachable := truth.receivedByMajority(node) && truth.reaches(node, sample.Node)
		if killed || !reachable || !truth.up[sample.Node] || a.record.suspendedTooLong(node, truth.at) {
			return false
		}
		if sample.At-a.changes[truthIndex] > rejoinTime {
			return true
		}
	}
	return true
}

// suspended reports whether a node is suspended at the given time.
func (m MembershipRecord) suspended(node int, at Offset) bool {
	return slices.ContainsFunc(m.Downtimes, func(d Downtime) bool { return d.Node == node && d.Suspended && d.From <= at && at < d.To })
}

// suspendedTooLong reports whether a node is suspended at the given time by a suspension longer than maxUnnoticedSuspension.
func (m MembershipRecord) suspendedTooLong(node int, at Offset) bool {
	return slices.ContainsFunc(m.Downtimes, func(d Downtime) bool {
		return d.Node == node && d.Suspended && d.From <= at && at < d.To && d.To-d.From > maxUnnoticedSuspension
	})
}

// maxUnnoticedSuspension is the longest suspension that must not remove a node from any view: the shortest suspicion timeout
// minus the round trip of a probe.
const maxUnnoticedSuspension = 2100 * time.Millisecond
