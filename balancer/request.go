package balancer

import "math"

// request is a request that this node is handling.
type request struct {
	id       RequestID
	identity requestIdentity
	class    *classState
	tenant   *tenantState // nil if the settings don't contain the tenant

	arrived     Millis
	deadline    Millis  // when the client gives up
	objectiveAt Millis  // until then an answer has its full priority weight
	late        bool    // objectiveAt had passed when the request arrived
	bodyPending bool    // the body is still incomplete
	work        float64 // estimated; 1 is the mean request
	overQuota   bool    // the tenant is over its quota

	attempts     []attempt
	openAttempts int
	mayHaveRun   bool // a server may have started to process an attempt
	finished     bool // answered, or cancelled by the client

	queued      bool
	priority    float64 // marginalValue at the last dispatch of the queue
	probesUntil Millis  // until then the request waits for the results of load probes

	dedup dedupBinding

	affinityKey uint64 // hash of the idempotency key; 0: no key affinity
	affinity    affinityPair
}

// affinityPair caches the two preferred servers for a request's key. It is valid only while version equals
// serverSet.version.
type affinityPair struct {
	primary, secondary *server
	version            int
}

// requestIdentity is the same for a request and its client's retries.
type requestIdentity struct {
	key   string
	class *classState
}

// attempt is one attempt of a request.
type attempt struct {
	server           *server
	group            DedupGroup // of the server when the attempt was sent
	sentAt           Millis     // +Inf while the request's body is incomplete
	serviceRounds    float64    // expected duration at the time of sending, in unit times
	expectedDuration Millis     // expected duration at the time of sending
	open             bool
	missing          bool   // absent from the server's latest load report
	missingAfter     Millis // time from sending to the first load report that omits the attempt; 0: none
}

// triedServer reports whether a request has had an attempt at a server.
func (r *request) triedServer(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}

// openAttemptAt returns a request's open attempt at a server; nil if there is none.
func (r *request) openAttemptAt(s *server) *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.server == s && a.open {
			return a
		}
	}
	return nil
}

// attemptIndex returns the index of an attempt among the request's attempts; -1 if it is none of them.
func (r *request) attemptIndex(a *attempt) int {
	for i := range r.attempts {
		if &r.attempts[i] == a {
			return i
		}
	}
	return -1
}

// markMayHaveRun records that an attempt may have run. If the request has an idempotency key, the earliest
// such attempt restricts further attempts to its dedup group and to its dedup window.
func (r *request) markMayHaveRun(a *attempt) {
	r.mayHaveRun = true
	if r.class.Idempotency != IdempotentWithKey {
		return
	}
	windowEnd := a.sentAt + r.class.DedupWindow
	if !r.dedup.bound || windowEnd < r.dedup.until {
		r.dedup = dedupBinding{bound: true, group: a.group, sentAt: a.sentAt, until: windowEnd}
	}
}

// finishRequest marks a request as finished. Its attempts may still be open.
func (b *Balancer) finishRequest(r *request) {
	r.finished = true
	r.queued = false
	b.removeIfNoOpenAttempts(r)
}

// removeIfNoOpenAttempts removes a finished request unless it has open attempts.
func (b *Balancer) removeIfNoOpenAttempts(r *request) {
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) handleClientCancelled(e ClientCancelled) {
	if r := b.requests[e.ID]; r != nil {
		b.finishRequest(r)
	}
}

// expectBody extends the deadline by the maximum time until the body is complete. If that time is 0, the
// body is already complete.
func (r *request) expectBody(uploadTimeout Millis) {
	r.bodyPending = uploadTimeout > 0
	r.deadline += max(0, uploadTimeout)
}

// attemptStart returns the time at which a server can start to process an attempt that is sent now. While
// the body is incomplete, this time is unknown (+Inf), and the attempt doesn't count as load of the server.
func (b *Balancer) attemptStart(r *request) Millis {
	if r.bodyPending {
		return math.Inf(1)
	}
	return b.now
}

// markBodyDelivered counts an attempt as load of its server from now on: its body is complete, or the
// attempt has ended.
func (b *Balancer) markBodyDelivered(a *attempt) {
	if !math.IsInf(a.sentAt, 1) {
		return
	}
	a.sentAt = b.now
	a.server.attempts.awaitingBody--
	a.server.estimate.computedAt = estimateOutdated
}

// handleBodyReceived makes the times of a request and its open attempts count from the end of its body.
func (b *Balancer) handleBodyReceived(e BodyReceived) {
	r := b.requests[e.ID]
	if r == nil || !r.bodyPending {
		return
	}
	r.bodyPending = false
	r.deadline = e.Deadline
	r.objectiveAt += b.now - r.arrived
	r.arrived = b.now
	for i := range r.attempts {
		if a := &r.attempts[i]; a.open {
			b.markBodyDelivered(a)
		}
	}
	b.dispatchQueue()
}
