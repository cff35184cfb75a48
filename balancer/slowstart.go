package balancer

const (
	// maxNewServerAge, in ms, is the maximum age that this node assumes for a server that a delta update
	// reports as started, if this node has missed no earlier change of the endpoint list.
	maxNewServerAge Millis = 1000
	// slowStartBudgetFraction is the fraction of a server's slow start budget that the nodes use. The
	// rest is a margin, because this node's estimate of the server's capacity may be off by half.
	slowStartBudgetFraction = 0.6
	// slowStartBurstWindows is the time, in overload windows, for which a node may save its unspent quota
	// of a server's slow start budget.
	slowStartBurstWindows = 0.5
	// extraCapacityStep is how much one response of a server in slow start changes the estimated
	// capacity of all servers in slow start.
	extraCapacityStep = 0.05
)

// slowStartState is the state of one server's slow start.
type slowStartState struct {
	since  Millis      // when it began, by this node's clock; 0 if the server started long ago
	budget tokenBucket // work that this node may send now, in requests of mean work
}

// slowStartBegin returns when a server's slow start began, by this node's monotonic clock.
//
// The start time that discovery reports is wall time. If the clocks of the two machines differ, a
// server that has just started could skip its slow start and be overloaded, or a server that started
// long ago could remain in slow start until this node's clock has caught up. Therefore a start time
// in the future counts as now. If this node has missed no change of the endpoint list, the server has
// just started, and a start time more than maxNewServerAge ago counts as maxNewServerAge ago.
func (b *Balancer) slowStartBegin(started Millis, noChangeMissed bool) Millis {
	switch {
	case started <= 0:
		return 0
	case started > b.now:
		return b.now
	case noChangeMissed:
		return max(started, b.now-maxNewServerAge)
	}
	return started
}

// minimumCapacity returns the minimum capacity of a server at this point of its slow start, as a
// fraction of its full capacity from 0 to 1.
func (b *Balancer) minimumCapacity(s *server) float64 {
	slowStart := b.settings.SlowStart
	if s.slowStart.since <= 0 || slowStart.Duration <= 0 {
		return 1
	}
	age := b.now - s.slowStart.since
	return min(1, slowStart.InitialCapacity+(1-slowStart.InitialCapacity)*age/slowStart.Duration)
}

// estimatedCapacity returns the estimated capacity of a server, as a fraction of its full capacity. It
// is the minimum capacity plus a fraction of the rest, which is estimated from the responses of all
// servers in slow start. Without such a common estimate, each node's first request to each new server
// would be late.
func (b *Balancer) estimatedCapacity(s *server) float64 {
	minimum := b.minimumCapacity(s)
	return minimum + b.estimate.extraCapacity*(1-minimum)
}

// unitTimeAtFullCapacity converts the measured unit time of a server in slow start to the unit time
// that it would have had at full capacity. A success also raises or lowers the estimated capacity of
// all servers in slow start by a fixed step. The step is fixed because the error of the estimate cannot
// be measured: the number of the server's other requests at the time is unknown.
func (b *Balancer) unitTimeAtFullCapacity(s *server, unitTime Millis, success bool) Millis {
	capacity := b.estimatedCapacity(s)
	if capacity < 1 && success {
		step := extraCapacityStep
		if unitTime*capacity > b.typicalUnitTime(s)*b.estimate.slowdownFactor {
			step = -extraCapacityStep
		}
		b.estimate.extraCapacity = min(1, max(0, b.estimate.extraCapacity+step))
	}
	return unitTime * capacity
}

// slowStartRate returns the work per ms that this node may send to a server in slow start: its quota
// of the work that all nodes together may send. Work that the server rejects counts too.
func (b *Balancer) slowStartRate(s *server) float64 {
	fleetLoad := slowStartBudgetFraction * b.settings.SlowStart.OverloadFactor * b.minimumCapacity(s)
	return fleetLoad / b.typicalUnitTime(s) / b.fleetDivisor()
}

// slowStartAllows refills this node's budget for a server in slow start and reports whether the work
// fits into it.
//
// Invariant: in any overload window, all nodes together send a server in slow start at most its budget
// of N requests of mean work, plus 2√N+2 for random variation (TestFleetStaysWithinSlowStartBudget).
// Otherwise the first requests of all nodes would overload a server that has just started, and it
// would not recover.
func (b *Balancer) slowStartAllows(s *server, work float64) bool {
	if b.minimumCapacity(s) >= 1 {
		return true
	}
	rate := b.slowStartRate(s)
	maxSaved := rate * slowStartBurstWindows * b.settings.SlowStart.OverloadWindow
	return rate > 0 && s.slowStart.budget.refillPhased(b.now, rate, maxSaved) >= max(1, min(work, maxSaved))
}
