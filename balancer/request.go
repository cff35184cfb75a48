package balancer

import "math"

// request is one request that this node holds.
type request struct {
	id       RequestID
	identity requestIdentity
	class    *classState
	tenant   *tenantState // nil where the settings name none

	arrived     Millis
	deadline    Millis // when the client gives up
	objectiveAt Millis // an answer until then earns its full weight
	late        bool   // objectiveAt had passed when it arrived
	bodyPending bool   // its body is still coming
	work        float64
	overQuota   bool // its tenant is over its quota

	attempts     []attempt
	openAttempts int
	mayHaveRun   bool // some attempt may have run
	finished     bool // answered, or cancelled by its client

	queued      bool
	priority    float64 // in the queue
	probesUntil Millis  // it waits for load probes until then

	dedupServer *server // the server of the first attempt that may have run
	dedupUntil  Millis  // until then repeats are dropped in that server's dedup scope

	affinityKey uint64 // 0: none that matters
	affinity    affinityPair
}

// affinityPair are the servers that a request's key prefers, as of a version of the endpoint list.
type affinityPair struct {
	first, second *server
	version       int
}

// requestIdentity is what a request and its client's retries have in common.
type requestIdentity struct {
	key   string
	class *classState
}

// attempt is one attempt of a request.
type attempt struct {
	server        *server
	sentAt        Millis  // +Inf while the request's body is still coming
	serviceRounds float64 // unit times until it should be done, as expected when it was sent
	expected      Millis
	open          bool
	missing       bool   // not in the server's latest report
	missingAfter  Millis // how long it had been out when a report first lacked it
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

// openAttemptAt is a request's open attempt at a server; nil where there is none.
func (r *request) openAttemptAt(s *server) *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.server == s && a.open {
			return a
		}
	}
	return nil
}

// attemptIndex is an attempt's place among the request's.
func (r *request) attemptIndex(a *attempt) int {
	for i := range r.attempts {
		if &r.attempts[i] == a {
			return i
		}
	}
	return -1
}

// markMayHaveRun records that an attempt may have run. The earliest such attempt binds the further
// ones of a request with an idempotency key to its server's dedup scope and window.
func (r *request) markMayHaveRun(a *attempt) {
	r.mayHaveRun = true
	if r.class.Idempotency != IdempotentWithKey {
		return
	}
	windowEnd := a.sentAt + r.class.DedupWindow
	if r.dedupServer == nil || windowEnd < r.dedupUntil {
		r.dedupServer = a.server
		r.dedupUntil = windowEnd
	}
}

// finishRequest ends a request; its attempts may still be out.
func (b *Balancer) finishRequest(r *request) {
	r.finished = true
	r.queued = false
	b.forgetIfFinished(r)
}

// forgetIfFinished drops a finished request once no attempt of it is out.
func (b *Balancer) forgetIfFinished(r *request) {
	if r.openAttempts == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) handleClientCancelled(e ClientCancelled) {
	if r := b.requests[e.ID]; r != nil {
		b.finishRequest(r)
	}
}

// expectBody notes for how long a request's body may still be coming at most; 0: it is complete.
func (r *request) expectBody(timeout Millis) {
	r.bodyPending = timeout > 0
	r.deadline += max(0, timeout)
}

// attemptStart is when a server that is sent a request now can begin it. While the body is still
// coming that is unknown, and the server is taken to hold nothing of it.
func (b *Balancer) attemptStart(r *request) Millis {
	if r.bodyPending {
		return math.Inf(1)
	}
	return b.now
}

// bodyDelivered counts an attempt as held by its server from now on: its request is complete, or over.
func (b *Balancer) bodyDelivered(a *attempt) {
	if !math.IsInf(a.sentAt, 1) {
		return
	}
	a.sentAt = b.now
	a.server.attempts.awaitingBody--
	a.server.estimate.at = estimateOutdated
}

// handleBodyReceived counts a request's time, and that of its attempts, from now on.
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
			b.bodyDelivered(a)
		}
	}
	b.dispatchQueue()
}
