package quota

import "time"

// Status reports to operators which fraction of the quota a process may use, and why. UnitsLeased and UnitsOfEndedLessors count units
// that the process's own member owns.
type Status struct {
	Fraction            float64  `json:"share"` // of the whole quota
	Members             int      `json:"members"`
	UnitsLeased         int      `json:"units_leased"`
	UnitsOfEndedLessors int      `json:"units_sole"`          // used without an expiry because the lessor's process has ended
	LapsedLessors       []string `json:"lapsed,omitempty"`    // lessors whose units this process may not use now, since it has no valid lease
	InheritedFrom       []string `json:"inherited,omitempty"` // lessees whose units this process uses because their leases are over
}

// Status returns the status of the process at the given time.
func (a *Allocator) Status(now time.Duration) Status {
	out := Status{Fraction: a.Allocation(now).Fraction, Members: len(a.options.Members)}
	for _, l := range a.lessors {
		switch {
		case l.processEnded:
			out.UnitsOfEndedLessors += l.units
		case l.leased(now):
			out.UnitsLeased += l.units
		default:
			out.LapsedLessors = append(out.LapsedLessors, l.name)
		}
	}
	for _, l := range a.lessees {
		if l.leaseEnded(now, a.options.LeaseTTL) {
			out.InheritedFrom = append(out.InheritedFrom, l.name)
		}
	}
	return out
}
