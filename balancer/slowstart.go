package balancer

const (
	// maxReportedAge, in ms, is the longest that a server can have been up when a list that is
	// followed without a gap tells of its start.
	maxReportedAge Millis = 1000
	// slowStartMargin is the part of a warming server's budget that is used: this node's estimate
	// of its capacity may be off by half.
	slowStartMargin = 0.6
	// slowStartBurst is how much of its budget a node may save, in overload windows.
	slowStartBurst = 0.5
	// warmCapacityStep is how far one answer of a warming server moves the estimate of all warming
	// servers' capacity.
	warmCapacityStep = 0.05
)

// slowStartState is one server's slow start.
type slowStartState struct {
	since  Millis      // by this node's clock; 0: the server has been up for long
	budget tokenBucket // in work units (1: the mean request), while the server warms up
}

// slowStartBegin is when a server's slow start began, by this node's clock, which runs on evenly
// whatever the wall clock does.
//
// The start that discovery reports is wall time. Where the clocks of the two machines differ, a
// server that has just started could be taken for warm and be overloaded, or a warm one for cold
// until the clocks meet. So a start in the future counts as one now, and one that a live list
// reports as news cannot be older than maxReportedAge.
func (b *Balancer) slowStartBegin(started Millis, live bool) Millis {
	switch {
	case started <= 0:
		return 0
	case started > b.now:
		return b.now
	case live:
		return max(started, b.now-maxReportedAge)
	}
	return started
}

// minimumCapacity is the least share of its capacity that a server can have by now, from 0 to 1.
func (b *Balancer) minimumCapacity(s *server) float64 {
	slowStart := b.settings.SlowStart
	if s.slowStart.since <= 0 || slowStart.Duration <= 0 {
		return 1
	}
	age := b.now - s.slowStart.since
	return min(1, slowStart.InitialCapacity+(1-slowStart.InitialCapacity)*age/slowStart.Duration)
}

// estimatedCapacity is the share of its capacity that a server is taken to have: its minimum by
// now, and of the rest as much as other warming servers show. Without the latter every node would
// have to meet every new server with a first request that is late.
func (b *Balancer) estimatedCapacity(s *server) float64 {
	least := b.minimumCapacity(s)
	return least + b.estimate.warmCapacity*(1-least)
}

// unitTimeWhenWarm is the unit time that a warming server would have shown once warm. Each of its
// answers tells which way the estimate of warming servers' capacity is off; by how much it can't
// tell, since what else the server held is not known.
func (b *Balancer) unitTimeWhenWarm(s *server, unitTime Millis, success bool) Millis {
	capacity := b.estimatedCapacity(s)
	if capacity < 1 && success {
		step := warmCapacityStep
		if unitTime*capacity > b.typicalUnitTime(s)*b.estimate.pace {
			step = -warmCapacityStep
		}
		b.estimate.warmCapacity = min(1, max(0, b.estimate.warmCapacity+step))
	}
	return unitTime * capacity
}

// slowStartRate is the work per ms that this node may send to a warming server: its part of what
// all nodes together may send. Rejected work counts too.
func (b *Balancer) slowStartRate(s *server) float64 {
	bearable := slowStartMargin * b.settings.SlowStart.OverloadFactor * b.minimumCapacity(s)
	return bearable / b.typicalUnitTime(s) / b.fleetDivisor()
}

// slowStartAllows refills a warming server's budget and reports whether the work fits into it.
//
// Invariant: what all nodes together send a warming server in any overload window stays within its
// budget of N, but for chance (2√N+2; TestNodesTogetherKeepSlowStartBudget). Without it a server that
// has just started is overloaded by the first requests of all nodes and stays down.
func (b *Balancer) slowStartAllows(s *server, work float64) bool {
	if b.minimumCapacity(s) >= 1 {
		return true
	}
	rate := b.slowStartRate(s)
	saved := rate * slowStartBurst * b.settings.SlowStart.OverloadWindow
	return rate > 0 && s.slowStart.budget.refillPhased(b.now, rate, saved) >= max(1, min(work, saved))
}
