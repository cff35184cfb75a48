package balancer

import "math"

// fleetLimits are the limits that hold for the fleet as a whole.
type fleetLimits struct {
	processes        int                // that make this node: two during an upgrade
	size             int                // processes of the whole fleet, if every node runs as many as this one
	quota            *FleetQuota        // nil: the even part
	admittedFraction map[string]float64 // by class; a class that isn't named is admitted whole
	retryReduction   float64            // the part of the retry budget that is held back, from 0 to 1
}

// fleetDivisor is what a budget of the whole fleet is divided by for this process; +Inf where it
// has no part. It is worked out at the moment of use: a node that was stopped for a while wakes up
// with a quota that may have run out.
func (b *Balancer) fleetDivisor() float64 {
	quota := b.fleet.quota
	if quota == nil {
		return float64(b.fleet.size)
	}
	part := quota.After
	if b.now < quota.Until {
		part = quota.Current
	}
	if part <= 0 {
		return math.Inf(1)
	}
	return float64(b.fleet.processes) / part
}

// setProcesses makes this process one of so many that are one node: its part of the fleet's budgets
// is divided among them.
func (b *Balancer) setProcesses(processes int) {
	if b.fleet.processes == processes || processes < 1 {
		return
	}
	b.fleet.size = b.fleet.size / b.fleet.processes * processes
	// What is left is split; it doesn't double when there is one process again.
	if processes > b.fleet.processes {
		for _, s := range b.servers.known {
			s.slowStart.budget.left *= float64(b.fleet.processes) / float64(processes)
		}
	}
	b.fleet.processes = processes
}
