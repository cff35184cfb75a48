package balancer

import "math"

// fleetLimits holds the limits of the fleet and this node's quota of the fleet-wide budgets.
type fleetLimits struct {
	processes        int                // processes of this node: two during an upgrade
	size             int                // processes of the fleet, if each node has as many as this one
	quota            *FleetQuota        // nil: an equal fraction for each process
	admittedFraction map[string]float64 // by class, from 0 to 1; other classes are not limited
	retryReduction   float64            // fraction by which the retry budget is reduced, from 0 to 1
}

// fleetDivisor returns the number by which a fleet-wide budget is divided to get this process's budget;
// +Inf if the process may use nothing. It is computed on each use, because the quota may have expired
// while the node was paused.
func (b *Balancer) fleetDivisor() float64 {
	quota := b.fleet.quota
	if quota == nil {
		return float64(b.fleet.size)
	}
	fraction := quota.After
	if b.now < quota.Until {
		fraction = quota.Current
	}
	if fraction <= 0 {
		return math.Inf(1)
	}
	return float64(b.fleet.processes) / fraction
}

// setProcesses sets the number of processes of this node, among which its budgets are divided.
func (b *Balancer) setProcesses(processes int) {
	if b.fleet.processes == processes || processes < 1 {
		return
	}
	b.fleet.size = b.fleet.size / b.fleet.processes * processes
	// The remaining slow start budgets are divided when a process is added, but not multiplied when one
	// ends: the other process may have spent its half.
	if processes > b.fleet.processes {
		for _, s := range b.servers.known {
			s.slowStart.budget.available *= float64(b.fleet.processes) / float64(processes)
		}
	}
	b.fleet.processes = processes
}
