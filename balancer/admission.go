package balancer

const (
	// maxRecentRejections is the number of stored rejections at which all of them are removed, to limit
	// the memory. A busy node stores as many within seconds.
	maxRecentRejections = 4096
	// samplingMarkBits is the number of bits of a sampling mark that are converted to a number from 0 to 1.
	samplingMarkBits = 53
)

// rejection describes a rejected request that its client may retry.
type rejection struct {
	objectiveAt Millis
	expiresAt   Millis // until then a request with the same identity counts as the retry
}

// handleArrival rejects a new request immediately, or queues it and tries to send it to a server.
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

// recognizeRetry detects a retry that its client didn't mark: a request with the same key and class as a
// recently rejected one. It sets the retry's latency objective to that of the rejected request.
func (b *Balancer) recognizeRetry(r *request) {
	rejected, found := b.recentRejections[r.identity]
	if !found || b.now >= rejected.expiresAt {
		return
	}
	delete(b.recentRejections, r.identity)
	r.objectiveAt = rejected.objectiveAt
	r.late = rejected.objectiveAt <= b.now
}

// accountFirstAttempt credits the budgets that grow with each first attempt, and adds the request to the
// statistics of its tenant and its class. If clients don't mark retries, every request counts as a first
// attempt.
func (b *Balancer) accountFirstAttempt(r *request) {
	b.creditRetryBudget()
	b.creditGossipBudget()
	b.creditProbeBudget()
	if r.tenant != nil && r.tenant.Quota > 0 {
		r.overQuota = b.overQuota(r.tenant)
	}
	b.addToServedFractions(r, func(s *servedFraction, weight float64) { s.requested += weight })
}

// rejectedOnArrival reports whether a request is rejected before any server is considered, and the reason.
func (b *Balancer) rejectedOnArrival(r *request, mark uint64) (RejectReason, bool) {
	if r.late && r.class.LateFraction <= 0 { // serving it has no value and would delay other requests
		return LateRetry, true
	}
	if b.shedByFleet(r.class, mark) {
		return FleetOverload, true
	}
	return 0, false
}

// shedByFleet reports whether the fleet's load shedding rejects a request. The decision depends on the
// request's sampling mark, so it is the same at every node.
func (b *Balancer) shedByFleet(class *classState, mark uint64) bool {
	admitted, limited := b.fleet.admittedFraction[class.Name]
	return limited && float64(mark>>(64-samplingMarkBits))/(1<<samplingMarkBits) >= admitted
}

// rememberRejection stores a rejection so that recognizeRetry can detect an unmarked retry.
func (b *Balancer) rememberRejection(r *request) {
	if len(b.recentRejections) >= maxRecentRejections {
		clear(b.recentRejections)
	}
	if r.identity.key != "" && !b.settings.ClientsMarkRetries {
		b.recentRejections[r.identity] = rejection{r.objectiveAt, b.now + r.class.LatencyObjective}
	}
}
