package balancer

import "math"

const (
	// servedShareTimeConstant, in ms, is the time constant of the served shares of classes and tenants.
	servedShareTimeConstant = 30000.0
	// lateRequestDiscount orders late requests after all that can still be in time.
	lateRequestDiscount = 1e6
)

// servedShare follows the weight that was asked for and the weight that was served in time,
// forgetting slowly.
type servedShare struct {
	asked, served float64
	at            Millis
}

func (s *servedShare) decay(now Millis) {
	kept := math.Exp(-(now - s.at) / servedShareTimeConstant)
	s.asked *= kept
	s.served *= kept
	s.at = now
}

// ratio is the share of what was asked for that was served in time; 1 if nothing was asked for.
func (s *servedShare) ratio() float64 {
	if s.asked <= 0 {
		return 1
	}
	return s.served / s.asked
}

// addToShares adds a request's weight to the shares of its class and, inside its quota, of its tenant.
func (b *Balancer) addToShares(r *request, add func(*servedShare, float64)) {
	weight := b.priorityWeight(r)
	r.class.decay(b.now)
	add(&r.class.servedShare, weight)
	if r.tenant != nil && !r.overQuota {
		r.tenant.decay(b.now)
		add(&r.tenant.servedShare, weight)
	}
}

// marginalValue is what serving a request adds to the operator's objective for each unit of work:
// its weight in the whole, and more where its class or its tenant is the worst served. The queue is
// worked off in this order.
func (b *Balancer) marginalValue(r *request) float64 {
	if r.late {
		return r.class.LateFraction * b.priorityWeight(r) / r.work / lateRequestDiscount
	}
	total, worstClass := b.classShares()
	goal := b.settings.Goal
	gain := (goal.Overall + goal.WorstWindow + goal.TailLatency + goal.Availability) / max(minShare, total)
	if r.class.ratio() <= worstClass {
		gain += goal.WorstClass / max(minShare, r.class.asked)
	}
	if r.tenant != nil && !r.overQuota && r.tenant.ratio() <= b.worstTenantRatio() {
		gain += goal.WorstTenant / max(minShare, r.tenant.asked)
	}
	return gain * b.priorityWeight(r) / r.work
}

// classShares are the weight asked for over all classes, and the served ratio of the worst one.
func (b *Balancer) classShares() (total, worst float64) {
	worst = 1
	for _, class := range b.settings.Classes {
		state := b.classes[class.Name]
		total += state.asked
		worst = min(worst, state.ratio())
	}
	return total, worst
}

// worstTenantRatio is the served ratio of the worst served tenant.
func (b *Balancer) worstTenantRatio() float64 {
	worst := 1.0
	for _, tenant := range b.settings.Tenants {
		worst = min(worst, b.tenants[tenant.Name].ratio())
	}
	return worst
}
