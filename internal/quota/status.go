package quota

import "time"

// Status says what a process may use and why, for operators. Units are the process's own unless the field says otherwise.
type Status struct {
	Fraction      float64  `json:"share"` // of the whole
	Members       int      `json:"members"`
	UnitsLeased   int      `json:"units_leased"`
	UnitsSole     int      `json:"units_sole"`          // in use without a lease, since their lessor's process has ended
	LapsedLessors []string `json:"lapsed,omitempty"`    // lessors whose units this process may not use now
	InheritedFrom []string `json:"inherited,omitempty"` // lessees whose units this process uses now
}

// Status returns the status at a moment.
func (a *Allocator) Status(now time.Duration) Status {
	out := Status{Fraction: a.Allocation(now).Fraction, Members: len(a.options.Members)}
	for _, l := range a.lessors {
		switch {
		case l.ended:
			out.UnitsSole += l.units
		case l.leased(now):
			out.UnitsLeased += l.units
		default:
			out.LapsedLessors = append(out.LapsedLessors, l.name)
		}
	}
	for _, l := range a.lessees {
		if l.lapsed(now, a.options.LeaseTTL) {
			out.InheritedFrom = append(out.InheritedFrom, l.name)
		}
	}
	return out
}
