package balancer

import "math"

const (
	// ejectionConsecutiveFailures is the number of consecutive failures that ejects a server. It comes
	// from the design's profile for latency-sensitive services.
	ejectionConsecutiveFailures = 3
	// maxStreakProbability is the highest probability of a streak of failures at which the streak ejects
	// the server. The probability is computed from the failure rate before the streak, so that a server
	// that fails often is not ejected for a streak that occurs by chance.
	maxStreakProbability = 1e-6
	// ejectionErrorRate is the fraction of failures in the error window that ejects a server if the
	// window has at least ejectionMinOutcomes outcomes.
	ejectionErrorRate   = 0.5
	ejectionMinOutcomes = 20
	// ejectionTime, in ms, is the time from the ejection of a server to its trial. Like
	// ejectionConsecutiveFailures, it comes from the design's profile for latency-sensitive services.
	ejectionTime = 10000
	// healthyFailureRatio is the highest recent failure rate of a server that counts as healthy, as a
	// multiple of the failing server's rate.
	healthyFailureRatio = 0.5
	// healthyMinFraction is the minimum fraction of the other servers that must be healthy for an
	// ejection. If fewer are healthy, the failures are attributed to a shared cause.
	healthyMinFraction = 0.3
)

// outlierDetector holds the state of outlier detection that is not specific to one server.
type outlierDetector struct {
	sharedCauseUntil Millis // until then, ejections prevented by a shared cause are not logged again
	// trialIdempotency is the idempotency of the classes whose requests are used as trials. Among the
	// configured classes, it is the one with which a failed trial does the least harm.
	trialIdempotency Idempotency
}

// ejectionState is the ejection state of one server.
type ejectionState struct {
	consecutiveFailures int // in the order in which the attempts were sent
	ejected             bool
	trialAt             Millis // earliest time of the next trial, while ejected
}

// updateEjection ejects a server that is an outlier and readmits one whose trial succeeded. A trial
// is an attempt that was sent at or after trialAt.
//
// A rejection by a full server indicates load, not a fault. It never leads to ejection, because that
// would overload the remaining servers.
func (b *Balancer) updateEjection(s *server, outcome Outcome, sentAt Millis) {
	state := &s.outlier
	if state.ejected && sentAt < state.trialAt {
		return // sent before trialAt, so it is not the trial
	}
	switch outcome {
	case OK:
		state.consecutiveFailures = 0
		if state.ejected {
			b.readmit(s)
		}
		return
	case Overloaded, Cancelled:
		return
	}
	if sentAt >= s.attempts.latestAnswered { // otherwise the response to a later attempt has ended the streak
		state.consecutiveFailures++
	}
	if state.ejected {
		state.trialAt = b.now + ejectionTime
		return
	}
	if !s.isOutlier(b.now) {
		return
	}
	if !b.othersHealthy(s) {
		b.logSharedCause()
		return
	}
	b.outliers.sharedCauseUntil = 0
	b.eject(s)
}

// isOutlier reports whether a server's outcomes justify ejection: too many consecutive failures, or
// too many failures in the error window. A streak does not count if it is likely to occur by chance
// at the failure rate that the server had before it.
func (s *server) isOutlier(now Millis) bool {
	successes, failures := s.outcomeCounts(now)
	total := successes + failures
	streak := s.outlier.consecutiveFailures
	rateBefore := float64(max(0, failures-streak)) / float64(max(1, total-streak))
	if streak >= ejectionConsecutiveFailures && math.Pow(rateBefore, float64(streak)) <= maxStreakProbability {
		return true
	}
	return total >= ejectionMinOutcomes && float64(failures) >= ejectionErrorRate*float64(total)
}

// othersHealthy reports whether enough of the other servers fail clearly less often. If not, the
// failures have a shared cause or a cause on this node, and ejecting one server after another would
// move all load to the last one.
func (b *Balancer) othersHealthy(s *server) bool {
	healthy, remaining := 0.0, 0.0
	for _, other := range b.servers.ready {
		if other == s || other.outlier.ejected || other.outcomes.recentLen == 0 {
			continue
		}
		remaining++
		if 1-other.recentSuccessRate() <= healthyFailureRatio*(1-s.recentSuccessRate()) {
			healthy++
		}
	}
	return healthy > 0 && healthy >= healthyMinFraction*remaining
}

// eject ejects a server until its trial succeeds.
func (b *Balancer) eject(s *server) {
	s.outlier.ejected = true
	s.outlier.trialAt = b.now + ejectionTime
	b.servers.version++
	successes, failures := s.outcomeCounts(b.now)
	b.logf("ejected %s: %d consecutive failures, %d of %d outcomes in the error window failed",
		s.ID, s.outlier.consecutiveFailures, failures, successes+failures)
}

// readmit ends the ejection of a server. It clears the server's outcomes and resets its score.
func (b *Balancer) readmit(s *server) {
	s.outlier.ejected = false
	b.outliers.sharedCauseUntil = 0
	s.outcomes.reset()
	b.setInitialScore(s)
	b.servers.version++
	b.logf("readmitted %s after its trial", s.ID)
}

// logSharedCause logs that an ejection was prevented because too few other servers are healthy. It
// logs once per episode. An episode ends when a server is ejected or readmitted, or when no ejection
// was prevented for the length of the error window.
func (b *Balancer) logSharedCause() {
	logged := b.now < b.outliers.sharedCauseUntil
	b.outliers.sharedCauseUntil = b.now + outcomeBucketCount*outcomeBucketLength
	if logged {
		return
	}
	b.logf("no further ejections: too few other servers are healthy, the cause is shared or on this node")
}
