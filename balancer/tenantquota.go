package balancer

const (
	// tenantRateTimeConstant, in ms, is the decay time constant of the tenants' request rates.
	tenantRateTimeConstant = 3000.0
	// msPerSecond converts rates per second to rates per millisecond.
	msPerSecond = 1000
)

// tenantState is one tenant with this node's measurements.
type tenantState struct {
	Tenant
	servedFraction
	rate   float64 // first attempts per second, smoothed
	rateAt Millis
	quota  tokenBucket // this node's fraction of the quota
}

// overQuota records a first attempt of a tenant and reports whether the tenant is over its quota. A node
// that receives more than an equal fraction of the traffic uses a larger fraction of each quota.
func (b *Balancer) overQuota(t *tenantState) bool {
	quota := t.Quota * b.nodeQuotaFraction()
	t.quota.refill(b.now, quota/msPerSecond, quota)
	decayFactor := exponential(-(b.now - t.rateAt) / tenantRateTimeConstant)
	t.rate = t.rate*decayFactor + msPerSecond/tenantRateTimeConstant
	t.rateAt = b.now
	return !t.quota.take()
}

// nodeQuotaFraction returns this node's fraction of the tenants' quotas: the request rate at this node
// divided by the sum of all quotas, but at least an equal fraction for each process and at most 1. The
// limit of 1 prevents the busiest tenant from raising its own quota when all tenants exceed theirs.
func (b *Balancer) nodeQuotaFraction() float64 {
	rate, quota := 0.0, 0.0
	for _, tenant := range b.settings.Tenants {
		state := b.tenants[tenant.Name]
		rate += state.rate * exponential(-(b.now-state.rateAt)/tenantRateTimeConstant)
		quota += tenant.Quota
	}
	return min(1, max(1/float64(b.fleet.size), rate/max(1, quota)))
}
