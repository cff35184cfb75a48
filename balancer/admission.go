package balancer

const (
	// maxRecentRejections bounds the rejections that are remembered: seconds of a busy node.
	maxRecentRejections = 4096
	// samplingMarkBits of a request's sampling mark make a number from 0 to 1.
	samplingMarkBits = 53
)

// rejection is a rejected request whose client may retry it.
type rejection struct {
	objectiveAt Millis
	until       Millis // a request of the same identity is taken for the retry until then
}

// handleArrival takes a new request in: rejects it at once, or queues it and tries to place it.
func (b *Balancer) handleArrival(e Arrival) {
	class := b.classes[e.Class]
	if b.requests[e.ID] != nil {
		return
	}
	if class == nil {
		b.emit(Reject{ID: e.ID, Reason: UnknownClass})
		return
	}
	r := b.newRequest(e, class)
	b.requests[r.id] = r
	b.setObjective(r, e.IsRetry)
	r.expectBody(e.UploadTimeout)
	b.recognizeRetry(r)
	if isFirst := !e.IsRetry || !b.settings.ClientsMarkRetries; isFirst {
		b.accountFirstAttempt(r)
	}
	if reason, rejected := b.rejectedOnArrival(r, e.SamplingMark); rejected {
		b.rejectOrFail(r, reason)
		return
	}
	b.enqueue(r)
	b.sendLoadProbes(r)
	b.dispatchQueue()
}

func (b *Balancer) newRequest(e Arrival, class *classState) *request {
	r := &request{
		id:       e.ID,
		identity: requestIdentity{e.Key, class},
		class:    class,
		tenant:   b.tenants[e.Tenant],
		arrived:  b.now,
		deadline: e.Deadline,
		work:     1,
	}
	if b.settings.KeyAffinity && e.Key != "" {
		r.affinityKey = stableHash(e.Key)
	}
	if e.WorkHint > 0 {
		r.work = b.workFromHint(e.WorkHint)
	}
	return r
}

// recognizeRetry takes a request that comes soon after a rejection of the same key for its retry,
// where clients don't mark retries: its latency objective then counts from the first attempt.
func (b *Balancer) recognizeRetry(r *request) {
	rejected, found := b.recentRejections[r.identity]
	if !found || b.now >= rejected.until {
		return
	}
	delete(b.recentRejections, r.identity)
	r.objectiveAt = rejected.objectiveAt
	r.late = rejected.objectiveAt <= b.now
}

// accountFirstAttempt earns what a request allows to spend, and records it for its tenant and its
// class. Where clients don't mark retries every request counts as a first attempt.
func (b *Balancer) accountFirstAttempt(r *request) {
	b.earnRetries()
	b.earnGossip()
	b.earnProbes()
	if r.tenant != nil && r.tenant.Quota > 0 {
		r.overQuota = b.overQuota(r.tenant)
	}
	b.addToShares(r, func(s *servedShare, weight float64) { s.asked += weight })
}

// rejectedOnArrival reports whether a request is rejected before any server is considered, and why.
func (b *Balancer) rejectedOnArrival(r *request, mark uint64) (RejectReason, bool) {
	if r.late && r.class.LateFraction <= 0 { // worth nothing by now: work on it would make others late as well
		return LateRetry, true
	}
	if b.shedByFleet(r.class, mark) {
		return FleetOverload, true
	}
	return 0, false
}

// shedByFleet reports whether the fleet has no capacity for a request. Its sampling mark decides,
// which is the same at whichever node it arrives.
func (b *Balancer) shedByFleet(class *classState, mark uint64) bool {
	admitted, limited := b.fleet.admittedFraction[class.Name]
	return limited && float64(mark>>(64-samplingMarkBits))/(1<<samplingMarkBits) >= admitted
}

// rememberRejection keeps a rejection, so that an unmarked retry is recognized.
func (b *Balancer) rememberRejection(r *request) {
	if len(b.recentRejections) >= maxRecentRejections {
		clear(b.recentRejections)
	}
	if r.identity.key != "" && !b.settings.ClientsMarkRetries {
		b.recentRejections[r.identity] = rejection{r.objectiveAt, b.now + r.class.LatencyObjective}
	}
}
