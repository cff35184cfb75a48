package balancer

import "slices"

// missingAfterFactor: an attempt that is out for this multiple of its expected time and not in the
// server's report is missing.
const missingAfterFactor = 3.0

// markMissingAttempts marks the attempts at a server that its report doesn't hold, oldest first, of
// those that an answer to a later attempt has overtaken or that take far longer than expected. They
// are no load, and their silence says nothing about the server's speed. One that may be repeated is
// cancelled, so that it is retried elsewhere while it is in time; the retry costs no budget, since
// no server works on the request.
func (b *Balancer) markMissingAttempts(s *server, report LoadReport) {
	missing := b.unreportedAttempts(s, report)
	s.attempts.missing = 0
	for _, r := range slices.Clone(s.attempts.requests) {
		a := r.openAttemptAt(s)
		if a.sentAt > b.now { // its body is still coming: no server has the request yet
			continue
		}
		elapsed := b.now - a.sentAt
		known := a.missing
		if missing >= 1 && a.missingAfter == 0 {
			a.missingAfter = elapsed
		}
		overtaken := a.sentAt < s.attempts.latestAnswered
		overdue := elapsed > missingAfterFactor*a.expected
		a.missing = missing >= 1 && elapsed > reportFreshFor+2*b.estimate.reportLag && (overtaken || overdue)
		if !a.missing {
			continue
		}
		missing--
		s.attempts.missing++
		repeatable := r.class.repeatable() && b.now < r.objectiveAt
		if !known && b.settings.CancelAllowed && !r.finished && repeatable {
			b.emit(CancelAttempt{r.id, r.attemptIndex(a)})
		}
	}
}

// unreportedAttempts is how many of this node's attempts, of those out for longer than a report is
// fresh, a report can't hold.
func (b *Balancer) unreportedAttempts(s *server, report LoadReport) float64 {
	count := -report.InFlight
	for _, r := range s.attempts.requests {
		if b.now-r.openAttemptAt(s).sentAt > reportFreshFor {
			count++
		}
	}
	return count
}
