package balancer

const (
	// servedFractionTimeConstant, in ms, is the decay time constant of the served fractions.
	servedFractionTimeConstant = 30000.0
	// lateRequestDiscount divides the marginal value of late requests, so that all requests that can still
	// be answered in time precede them in the queue.
	lateRequestDiscount = 1e6
)

// servedFraction measures which fraction of the requested priority weight was served in time. Both sums
// decay exponentially.
type servedFraction struct {
	requested, served float64
	updatedAt         Millis
}

func (s *servedFraction) decay(now Millis) {
	decayFactor := exponential(-(now - s.updatedAt) / servedFractionTimeConstant)
	s.requested *= decayFactor
	s.served *= decayFactor
	s.updatedAt = now
}

// servedRatio returns the fraction of the requested weight that was served in time, or 1 if there were no
// requests.
func (s *servedFraction) servedRatio() float64 {
	if s.requested <= 0 {
		return 1
	}
	return s.served / s.requested
}

// addToServedFractions adds a request's weight to the statistics of its class and, if the tenant is within
// its quota, of its tenant. The function add adds it to the requested or to the served weight.
func (b *Balancer) addToServedFractions(r *request, add func(*servedFraction, float64)) {
	weight := b.priorityWeight(r)
	r.class.decay(b.now)
	add(&r.class.servedFraction, weight)
	if r.tenant != nil && !r.overQuota {
		r.tenant.decay(b.now)
		add(&r.tenant.servedFraction, weight)
	}
}

// marginalValue returns by how much the value of the operator's goal rises per unit of work if a request is
// served. It is higher if the request's class or tenant is the worst served one. Queued requests are
// dispatched in the order of this value, highest first.
func (b *Balancer) marginalValue(r *request) float64 {
	if r.late {
		return r.class.LateFraction * b.priorityWeight(r) / r.work / lateRequestDiscount
	}
	total, worstClass := b.summarizeClasses()
	goal := b.settings.Goal
	gain := (goal.Overall + goal.WorstWindow + goal.TailLatency + goal.Availability) /
		max(minRequestedWeight, total)
	if r.class.servedRatio() <= worstClass {
		gain += goal.WorstClass / max(minRequestedWeight, r.class.requested)
	}
	if r.tenant != nil && !r.overQuota && r.tenant.servedRatio() <= b.worstTenantRatio() {
		gain += goal.WorstTenant / max(minRequestedWeight, r.tenant.requested)
	}
	return gain * b.priorityWeight(r) / r.work
}

// summarizeClasses returns the total requested weight of all classes, and the lowest served ratio.
func (b *Balancer) summarizeClasses() (total, worst float64) {
	worst = 1
	for _, class := range b.settings.Classes {
		state := b.classes[class.Name]
		total += state.requested
		worst = min(worst, state.servedRatio())
	}
	return total, worst
}

// worstTenantRatio returns the served ratio of the worst served tenant.
func (b *Balancer) worstTenantRatio() float64 {
	worst := 1.0
	for _, tenant := range b.settings.Tenants {
		worst = min(worst, b.tenants[tenant.Name].servedRatio())
	}
	return worst
}
