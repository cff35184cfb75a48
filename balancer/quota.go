package balancer

import "math"

const (
	// tenantRateMemory, in ms, is the time constant of the tenants' rates.
	tenantRateMemory = 3000.0
	// msPerSecond converts rates a second to rates a millisecond.
	msPerSecond = 1000
)

// tenantState is one tenant and what this node knows of it.
type tenantState struct {
	Tenant
	servedShare
	rate   float64 // first attempts a second, smoothed
	rateAt Millis
	quota  tokenBucket // of this node's part of the quota
}

// overQuota records a first attempt of a tenant and reports whether the tenant is over its quota. A
// node that sees more than its part of all traffic takes a larger part of each quota.
func (b *Balancer) overQuota(t *tenantState) bool {
	quota := t.Quota * b.nodeQuotaFraction()
	t.quota.refill(b.now, quota/msPerSecond, quota)
	kept := math.Exp(-(b.now - t.rateAt) / tenantRateMemory)
	t.rate = t.rate*kept + msPerSecond/tenantRateMemory
	t.rateAt = b.now
	return !t.quota.take()
}

// nodeQuotaFraction is this node's part of the tenants' quotas: the part of all traffic inside
// quotas that it sees, and never more than the whole. With all tenants over their quotas the
// loudest must not raise its own.
func (b *Balancer) nodeQuotaFraction() float64 {
	rate, quota := 0.0, 0.0
	for _, tenant := range b.settings.Tenants {
		state := b.tenants[tenant.Name]
		rate += state.rate * math.Exp(-(b.now-state.rateAt)/tenantRateMemory)
		quota += tenant.Quota
	}
	return min(1, max(1/float64(b.settings.Nodes), rate/max(1, quota)))
}

// fleetLimits are the limits that hold for the fleet as a whole.
type fleetLimits struct {
	processes        int                // that make this node: two during an upgrade
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
		return float64(b.settings.Nodes)
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
	b.settings.Nodes = b.settings.Nodes / b.fleet.processes * processes
	// What is left is split; it doesn't double when there is one process again.
	if processes > b.fleet.processes {
		for _, s := range b.servers.known {
			s.slowStart.budget.left *= float64(b.fleet.processes) / float64(processes)
		}
	}
	b.fleet.processes = processes
}
