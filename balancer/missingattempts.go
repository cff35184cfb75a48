package balancer

import "slices"

// missingAfterFactor is the multiple of an attempt's expected duration after which the attempt counts
// as missing if it is open and the server's load report does not include it.
const missingAfterFactor = 3.0

// markMissingAttempts marks open attempts at a server as missing, oldest first, if its load report
// counts fewer requests than this node has there. It marks only attempts that were sent before an
// attempt that has been answered, or that take far longer than expected. A missing attempt does not
// count as load, and no longer makes the server appear slow. If the request may be repeated and can
// still meet its objective, the attempt is cancelled so that the request is retried at another server.
// Such a retry uses no retry budget, because no server works on the request.
func (b *Balancer) markMissingAttempts(s *server, report LoadReport) {
	unreported := b.unreportedAttempts(s, report)
	s.attempts.missing = 0
	for _, r := range slices.Clone(s.attempts.requests) {
		a := r.openAttemptAt(s)
		if a.sentAt > b.now { // its body is still being received, so the server does not have the request yet
			continue
		}
		elapsed := b.now - a.sentAt
		wasMissing := a.missing
		if unreported >= 1 && a.missingAfter == 0 {
			a.missingAfter = elapsed
		}
		laterAnswered := a.sentAt < s.attempts.latestAnswered
		overdue := elapsed > missingAfterFactor*a.expectedDuration
		a.missing = unreported >= 1 && elapsed > reportFreshFor+2*b.estimate.reportLag && (laterAnswered || overdue)
		if !a.missing {
			continue
		}
		unreported--
		s.attempts.missing++
		repeatable := r.class.repeatable() && b.now < r.objectiveAt
		if !wasMissing && b.settings.CancelAllowed && !r.finished && repeatable {
			b.emit(CancelAttempt{r.id, r.attemptIndex(a)})
		}
	}
}

// unreportedAttempts returns the number of this node's open attempts at a server that are older than
// reportFreshFor, minus the number of requests in the server's load report.
func (b *Balancer) unreportedAttempts(s *server, report LoadReport) float64 {
	count := -report.InFlight
	for _, r := range s.attempts.requests {
		if b.now-r.openAttemptAt(s).sentAt > reportFreshFor {
			count++
		}
	}
	return count
}
