package balancer

// This file holds slow start: when a server's began, and what this node may send it meanwhile.

// freshMost is the longest that a server has been up when a list that is followed without a gap
// tells of its start.
const freshMost Millis = 1000

// slowStart is when a server's slow start began, by this node's clock, which runs on evenly whatever
// the machine's wall clock does. The start that discovery tells is wall time: where the two clocks
// differ, a server that has just started could be taken for warm, or a warm one for cold until the
// clocks meet. So a start in the future is one of now, and one that a live list tells as news cannot
// be old.
func (l *Balancer) slowStart(started Millis, live bool) Millis {
	switch {
	case started <= 0:
		return 0
	case started > l.now:
		return l.now
	case live:
		return max(started, l.now-freshMost)
	}
	return started
}

// coldRate is the cost per millisecond that this node may send a cold server: its part of the
// budget, had every node sent as much; the others' windows are taken to be as long as ours.
// Everything sent counts, refused work too. Where a node's part is under one request its phase rations.
func (l *Balancer) coldRate(s *server) float64 {
	return coldMargin * l.set.OverloadFactor * l.ramp(s) / l.typicalUnit(s) / l.parts()
}

// coldRoom refills a cold server's budget and tells whether cost fits. It guards from pushing over one that
// has just started and stays down then: also where all nodes have saved their parts and spend them together.
func (l *Balancer) coldRoom(s *server, cost float64) bool {
	if l.ramp(s) >= 1 {
		return true
	}
	rate := l.coldRate(s)
	saved := rate * coldBurst * l.set.OverloadWindow
	return rate > 0 && s.budget.ration(l.now, rate, saved) >= max(1, min(cost, saved))
}
