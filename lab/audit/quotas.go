package audit

import (
	"slices"
	"sort"
)

// quotaHistory is what one process was granted, in order, and when it was last asked.
type quotaHistory struct {
	grants     []QuotaGrant
	lastSample Offset
}

// at is the quota that the process may use at a moment; false where that is not known.
func (h *quotaHistory) at(t Offset) (float64, bool) {
	n := sort.Search(len(h.grants), func(i int) bool { return h.grants[i].At > t })
	if n == 0 || t > h.lastSample {
		return 0, false
	}
	g := h.grants[n-1]
	if t < g.Until {
		return g.Value, true
	}
	return g.After, true
}

// quotaHistories are the grants by process, and the moments at which some quota changes.
func (m MembershipRecord) quotaHistories() (map[process]*quotaHistory, []Offset) {
	histories := map[process]*quotaHistory{}
	var changes []Offset
	for _, g := range m.Quotas {
		p := process{g.Node, g.Start}
		if histories[p] == nil {
			histories[p] = &quotaHistory{}
		}
		histories[p].grants = append(histories[p].grants, g)
		changes = append(changes, g.At)
		if g.Until < m.Until {
			changes = append(changes, g.Until)
		}
	}
	for _, s := range m.Samples {
		if h := histories[process{s.Node, s.Start}]; h != nil {
			h.lastSample = max(h.lastSample, s.At)
		}
	}
	for _, h := range histories {
		sort.SliceStable(h.grants, func(i, j int) bool { return h.grants[i].At < h.grants[j].At })
	}
	slices.Sort(changes)
	return histories, slices.Compact(changes)
}

// combinedQuota is the most that all processes might use at one instant, when that was, and the mean. A suspended
// process uses nothing. What a killed process did after its last sample is not known and is left out.
func (m MembershipRecord) combinedQuota() (most float64, when Offset, mean float64) {
	histories, changes := m.quotaHistories()
	integral := 0.0 // of the sum over the judged seconds
	until := Offset(0)
	for i, at := range changes {
		sum := 0.0
		for p, h := range histories {
			if quota, known := h.at(at); known && !m.suspended(p.node, at) {
				sum += quota
			}
		}
		if sum > most {
			most = sum
			when = at
		}
		if at >= m.From && i+1 < len(changes) {
			integral += sum * (changes[i+1] - at).Seconds()
			until = changes[i+1]
		}
	}
	if until > m.From {
		mean = integral / (until - m.From).Seconds()
	}
	return most, when, mean
}
