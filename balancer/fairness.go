package balancer

import "math"

// This file decides who is served when not all can be: the worth of classes and the shares of tenants.

// countArrival books a first try to its class and tenant, and tells whether the tenant is over its share.
// A node that sees more than its part of all traffic scales the quotas alike.
func (l *Balancer) countArrival(r *request, retry bool) {
	if retry && l.set.ClientsMarkRetries {
		return
	}
	l.retries.refill(l.retries.at+1, retryShare*(1-l.noRetries), retryBurst)
	l.tellings.refill(l.tellings.at+1, tellSpend, tellBurst*tellSpend)
	hands := l.crowd + float64(l.outstanding)/max(1, float64(len(l.list)))
	spend := l.ease * probeSpend * min(1, hands/math.Round(l.width)) // little is gained by asking idle servers
	l.probes.left = min(3*probeWidth, l.probes.left+spend/max(1e-9, l.set.ProbePrice))
	if t := r.tenant; t != nil && t.Quota > 0 {
		quota := t.Quota * l.quotaScale()
		t.quota.refill(l.now, quota/1000, quota)
		k := math.Exp(-(l.now - t.rateAt) / rateMemory)
		t.rate = t.rate*k + 1000/rateMemory
		t.rateAt = l.now
		r.overQuo = !t.quota.take()
	}
	l.book(r, func(s *share, w float64) { s.asked += w })
}

// marginalWorth is what serving a request adds to the operator's goal for each unit of work: its worth in
// the whole, and more where its class or its tenant is the worst served.
func (l *Balancer) marginalWorth(r *request) float64 {
	if r.late {
		return r.class.LateFraction * l.worth(r) / r.cost / 1e6 // after all that can still be in time
	}
	total, worstClass, worstTenant := 0.0, 1.0, 1.0
	for _, c := range l.set.Classes {
		st := l.classes[c.Name]
		total += st.asked
		worstClass = min(worstClass, st.ratio())
	}
	for _, t := range l.set.Tenants {
		worstTenant = min(worstTenant, l.tenants[t.Name].ratio())
	}
	g := l.set.Goal
	gain := (g.Overall + g.WorstWindow + g.TailLatency + g.Availability) / max(1e-9, total)
	if r.class.ratio() <= worstClass {
		gain += g.WorstClass / max(1e-9, r.class.asked)
	}
	if r.tenant != nil && !r.overQuo && r.tenant.ratio() <= worstTenant {
		gain += g.WorstTenant / max(1e-9, r.tenant.asked)
	}
	return gain * l.worth(r) / r.cost
}
