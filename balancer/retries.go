package balancer

import "math"

// This file decides on further attempts, on giving up, and on what a refused client is told.

// again decides on a request whose attempts have all ended without an answer. An unreachable server had no
// work of it, so going on costs no budget.
func (l *Balancer) again(r *request, last Outcome) {
	free := last == Cancelled || last == Unreachable
	harmless := !r.mayRun || r.class.Idempotency != NonIdempotent
	may := len(r.attempts) < l.set.MaxAttempts && l.now < r.aimAt && harmless
	if l.now >= r.expires-l.set.Tick || !may || !free && !l.retries.take() {
		l.giveUp(r, AttemptsExhausted)
		return
	}
	l.hold(r)
}

// giveUp gives the final answer at once: a refusal where a retry is surely harmless, else a failure.
func (l *Balancer) giveUp(r *request, why RejectReason) {
	c := r.class
	keptApart := c.Idempotency == IdempotentWithKey && c.DedupScope != DedupAcrossFleet
	if (r.mayRun || r.open > 0) && (c.Idempotency == NonIdempotent || keptApart) {
		l.do(Fail{r.id, why})
	} else {
		l.do(Reject{ID: r.id, RetryAfter: l.retryAfter(r), Reason: why})
		if len(l.refused) >= refusedMost {
			clear(l.refused)
		}
		if r.subject.key != "" && !l.set.ClientsMarkRetries {
			l.refused[r.subject] = comingBack{r.aimAt, l.now + r.class.LatencyObjective}
		}
	}
	l.finish(r)
}

// retryAfter is when the requests now held will have been worked off, but no later than an answer would still
// be of use: a client told to come back after its aim only adds load, and its refusal then comes late.
func (l *Balancer) retryAfter(r *request) Millis {
	if !l.set.RetryAfterAllowed || len(l.list) == 0 {
		return 0
	}
	wait := l.unit * float64((len(l.heldQueue)+1)*l.set.Nodes) / float64(len(l.list)) / math.Round(l.width)
	return max(0, min(l.set.MaxRetryAfter, wait, retryAfterShare*l.timeLeft(r)))
}
