package balancer

import "math"

const (
	// retryBudgetRatio is the number of retries earned by a first attempt: the clients' own retries
	// multiply them already.
	retryBudgetRatio = 0.1
	// retryBurst bounds the saved retries; it lets the requests of a lost server move at once.
	retryBurst = 5.0
	// retryAfterFraction is the part of the time left that a client may be told to wait; the rest is
	// for its next attempt.
	retryAfterFraction = 0.25
)

// earnRetries adds what one first attempt earns for the retry budget, less what the fleet holds back.
func (b *Balancer) earnRetries() {
	b.retryBudget.earn(retryBudgetRatio*(1-b.fleet.retryReduction), retryBurst)
}

// retryOrGiveUp decides on a request whose attempts have all ended without an answer. A retry needs
// an attempt left, time left, a request that may be repeated, and a token of the retry budget where
// the last outcome spends one.
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

// spendsRetryBudget reports whether a retry after this outcome costs a token. It does where a server
// has worked on the attempt or was asked to, Overloaded included: the retry is load. Where no server
// has it, or this balancer itself cancelled a missing attempt, a retry adds nothing to any server.
func (o Outcome) spendsRetryBudget() bool {
	return o != Unreachable && o != NotSent && o != Cancelled
}

// mayRetry reports whether a request may have another attempt, apart from the budget. Invariant: a
// request that may have run is never repeated unless it is idempotent or has an idempotency key.
func (b *Balancer) mayRetry(r *request) bool {
	attemptsLeft := len(r.attempts) < b.settings.MaxAttempts
	timeLeft := b.now < r.objectiveAt && b.now < r.deadline-b.settings.Tick
	return attemptsLeft && timeLeft && (!r.mayHaveRun || r.class.repeatable())
}

// repeatable reports whether a request of this class that may have run may be repeated at all; where
// to is eligible's to say.
func (c *classState) repeatable() bool { return c.Idempotency != NonIdempotent }

// rejectOrFail gives the final answer at once: a rejection, which promises that a retry does no
// harm, or a failure where that can't be promised.
func (b *Balancer) rejectOrFail(r *request, reason RejectReason) {
	if b.retryMayHarm(r) {
		b.emit(Fail{r.id, reason})
	} else {
		b.emit(Reject{ID: r.id, RetryAfter: b.retryAfter(r), Reason: reason})
		b.rememberRejection(r)
	}
	b.finishRequest(r)
}

// retryMayHarm reports whether a client's retry could take effect twice: an attempt may have run, and
// the retry may reach a server that does not recognize it.
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

// retryAfter, in ms, is when the requests that are queued now will have been worked off, but no
// later than an answer is still of use: a client that comes back after its objective only adds
// load. 0: nothing is said.
func (b *Balancer) retryAfter(r *request) Millis {
	if !b.settings.RetryAfterAllowed || len(b.servers.ready) == 0 {
		return 0
	}
	queued := float64((len(b.queue.waiting) + 1) * b.fleet.size)
	wait := b.estimate.unitTime * queued / float64(len(b.servers.ready)) / math.Round(b.estimate.parallelism)
	return max(0, min(b.settings.MaxRetryAfter, wait, retryAfterFraction*b.timeToObjective(r)))
}
