package balancer

import "math"

// Share is how much this node may use now of what the whole fleet may use together, from 0 to 1. It holds before Until, in the
// node's time; from then on After does, until the next one. A module that has never been told one has its even part.
type FleetQuota struct {
	Current float64
	Until   Millis
	After   float64
}

func (FleetQuota) event() {}

// parts is by what a budget of the whole fleet is divided for this node, infinite where it has none of it. Checked at the
// moment of use: a node that was stopped wakes with a share that may have run out.
func (l *Balancer) parts() float64 {
	if l.fleetShare == nil {
		return float64(l.set.Nodes)
	}
	of := l.fleetShare.After
	if l.now < l.fleetShare.Until {
		of = l.fleetShare.Current
	}
	if of <= 0 {
		return math.Inf(1)
	}
	return float64(l.processes) / of
}
