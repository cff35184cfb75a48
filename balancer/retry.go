package balancer

import "math"

const (
	// retryBudgetRatio is the number of retries that each first attempt adds to the budget. It is low
	// because the clients' own retries already multiply the load.
	retryBudgetRatio = 0.1
	// retryBurst is the maximum of the retry budget. It allows several requests at a failed server to be
	// retried at the same time.
	retryBurst = 5.0
	// retryAfterFraction is the largest fraction of the time to the objective that Retry-After may use.
	// The rest remains for the client's next attempt.
	retryAfterFraction = 0.25
)

// creditRetryBudget adds the retries that one first attempt allows, reduced by the fleet's retryReduction.
func (b *Balancer) creditRetryBudget() {
	b.retryBudget.credit(retryBudgetRatio*(1-b.fleet.retryReduction), retryBurst)
}

// retryOrGiveUp queues a request whose attempts have all failed for a retry, or gives the final answer. A
// retry requires that mayRetry allows it and, depending on the last outcome, a token of the retry budget.
func (b *Balancer) retryOrGiveUp(r *request, last Outcome) {
	if !b.mayRetry(r) {
		b.rejectOrFail(r, AttemptsExhausted)
		return
	}
	if last.spendsRetryBudget() && !b.retryBudget.take() {
		b.rejectOrFail(r, AttemptsExhausted)
		return
	}
	b.enqueue(r)
}

// spendsRetryBudget reports whether a retry after this outcome costs a token. It does if the attempt
// reached a server, Overloaded included, because the retry is additional load. It doesn't if no server has
// the request, or if this balancer cancelled the attempt as missing.
func (o Outcome) spendsRetryBudget() bool {
	return o != Unreachable && o != NotSent && o != Cancelled
}

// mayRetry reports whether a request may have another attempt, regardless of the retry budget. Invariant:
// a request that may have run is never repeated unless it is idempotent or has an idempotency key.
func (b *Balancer) mayRetry(r *request) bool {
	attemptsLeft := len(r.attempts) < b.settings.MaxAttempts
	timeLeft := b.now < r.objectiveAt && b.now < r.deadline-b.settings.Tick
	return attemptsLeft && timeLeft && (!r.mayHaveRun || r.class.repeatable())
}

// repeatable reports whether requests of this class may be repeated after they may have run. The servers
// to which such a repeat may be sent are limited by Balancer.eligible.
func (c *classState) repeatable() bool { return c.Idempotency != NonIdempotent }

// rejectOrFail gives the final answer: a rejection if the client can retry safely, otherwise a failure. It
// never delays the answer.
func (b *Balancer) rejectOrFail(r *request, reason RejectReason) {
	if b.retryMayHarm(r) {
		b.emit(Fail{r.id, reason})
	} else {
		b.emit(Reject{ID: r.id, RetryAfter: b.retryAfter(r), Reason: reason})
		b.rememberRejection(r)
	}
	b.finishRequest(r)
}

// retryMayHarm reports whether a client's retry could make the request take effect twice: an attempt may
// have run, and the retry may reach a server that does not detect the repeat.
func (b *Balancer) retryMayHarm(r *request) bool {
	if !r.mayHaveRun && r.openAttempts == 0 {
		return false
	}
	switch r.class.Idempotency {
	case NonIdempotent:
		return true
	case IdempotentWithKey:
		return r.class.DedupScope != DedupAcrossFleet
	}
	return false
}

// retryAfter returns the value for Retry-After, in ms, or 0 for none. It is the estimated time that the
// servers need for the requests that are queued now, limited to a fraction of the time to the objective: a
// client that retries after its objective only adds load. Without servers it is that limit.
func (b *Balancer) retryAfter(r *request) Millis {
	if !b.settings.RetryAfterAllowed {
		return 0
	}
	queued := float64((len(b.queue.waiting) + 1) * b.fleet.size)
	wait := b.estimate.unitTime * queued / float64(len(b.servers.ready)) / math.Round(b.estimate.parallelism)
	return max(0, min(b.settings.MaxRetryAfter, wait, retryAfterFraction*b.timeToObjective(r)))
}
