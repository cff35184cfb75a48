package audit

import (
	"slices"
	"sort"
)

// quotaHistory holds the quotas granted to one process, ordered by time, and the time of its last sample.
type quotaHistory struct {
	grants     []QuotaGrant
	lastSample Offset
}

// quotaAt returns the quota that the process may use at the given time. It returns false if the quota is unknown then.
func (h *quotaHistory) quotaAt(t Offset) (float64, bool) {
	later := sort.Search(len(h.grants), func(i int) bool { return h.grants[i].At > t })
	if later == 0 || t > h.lastSample {
		return 0, false
	}
	grant := h.grants[later-1]
	if t < grant.Until {
		return grant.Value, true
	}
	return grant.After, true
}

// quotaHistories returns the grants by process, and the sorted times at which any quota changes.
func (m MembershipRecord) quotaHistories() (map[process]*quotaHistory, []Offset) {
	histories := map[process]*quotaHistory{}
	var changes []Offset
	for _, g := range m.Quotas {
		p := process{g.Node, g.Generation}
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
		if h := histories[process{s.Node, s.Generation}]; h != nil {
			h.lastSample = max(h.lastSample, s.At)
		}
	}
	for _, h := range histories {
		sort.SliceStable(h.grants, func(i, j int) bool { return h.grants[i].At < h.grants[j].At })
	}
	slices.Sort(changes)
	return histories, slices.Compact(changes)
}

// combinedQuota adds up the quotas that all processes may use at the same time. It returns the maximum of the sum, when the
// maximum was reached, and the mean from MembershipRecord.From on. A suspended process uses nothing. After its last sample
// the quota of a killed process is unknown and is left out.
func (m MembershipRecord) combinedQuota() (maximum float64, maximumAt Offset, mean float64) {
	histories, changes := m.quotaHistories()
	integral := 0.0 // of the sum over time from m.From on, in quota seconds
	until := Offset(0)
	for i, at := range changes {
		sum := 0.0
		for owner, history := range histories {
			if quota, known := history.quotaAt(at); known && !m.suspended(owner.node, at) {
				sum += quota
			}
		}
		if sum > maximum {
			maximum = sum
			maximumAt = at
		}
		if at >= m.From && i+1 < len(changes) {
			integral += sum * (changes[i+1] - at).Seconds()
			until = changes[i+1]
		}
	}
	if until > m.From {
		mean = integral / (until - m.From).Seconds()
	}
	return maximum, maximumAt, mean
}
