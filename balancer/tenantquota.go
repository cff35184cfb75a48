package balancer

import "math"

const (
	// tenantRateTimeConstant, in ms, is the time constant of the tenants' rates.
	tenantRateTimeConstant = 3000.0
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
	kept := math.Exp(-(b.now - t.rateAt) / tenantRateTimeConstant)
	t.rate = t.rate*kept + msPerSecond/tenantRateTimeConstant
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
		rate += state.rate * math.Exp(-(b.now-state.rateAt)/tenantRateTimeConstant)
		quota += tenant.Quota
	}
	return min(1, max(1/float64(b.fleet.size), rate/max(1, quota)))
}
