package balancer

import "math"

const (
	// ejectionConsecutiveFailures in a row eject a server (design: the profile for
	// latency-sensitive services) ...
	ejectionConsecutiveFailures = 3
	// ... unless such a row is likelier than this by the server's failure share before it.
	ejectionMaxChance = 1e-6
	// ejectionErrorRate is the share of failures in the window that ejects a server ...
	ejectionErrorRate = 0.5
	// ... once the window has this many outcomes.
	ejectionMinOutcomes = 20
	// ejectionTime, in ms, is how long an ejected server waits for its trial (design: the same
	// profile).
	ejectionTime = 10000
	// healthyFailureRatio: next to a failing server another one counts as healthy if it fails at
	// most this many times as often.
	healthyFailureRatio = 0.5
	// healthyMinFraction of the remaining servers must be healthy; with fewer the cause is shared.
	healthyMinFraction = 0.3
)

// outlierDetector is what ejection needs to know beyond the single server.
type outlierDetector struct {
	sharedCauseUntil Millis      // until then further ejections that a shared cause prevents are not logged
	trialIdempotency Idempotency // only classes of this idempotency carry trials: the least harm available
}

// ejectionState is whether one server is ejected.
type ejectionState struct {
	consecutiveFailures int // in the order of sending
	ejected             bool
	trialAt             Millis // earliest time of the next trial, while ejected
}

// updateEjection ejects a server whose outcomes call for it, and readmits one that passed its
// trial. An attempt is a trial if it was sent at or after trialAt.
//
// Rejections by a full server are load and no fault: ejecting for them would overload the next
// server.
func (b *Balancer) updateEjection(s *server, outcome Outcome, sentAt Millis) {
	state := &s.outlier
	if state.ejected && sentAt < state.trialAt {
		return // sent before trialAt: not the trial
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
	if sentAt >= s.attempts.latestAnswered { // otherwise the answer to a later attempt has ended the row
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

// isOutlier reports whether a server's own record calls for ejection: too many failures in a row, or
// too many in the window. Where a server fails a share of all requests anyway, a short streak
// is chance.
func (s *server) isOutlier(now Millis) bool {
	successes, failures := s.outcomeCounts(now)
	total := successes + failures
	streak := s.outlier.consecutiveFailures
	shareBefore := float64(max(0, failures-streak)) / float64(max(1, total-streak))
	if streak >= ejectionConsecutiveFailures && math.Pow(shareBefore, float64(streak)) <= ejectionMaxChance {
		return true
	}
	return total >= ejectionMinOutcomes && float64(failures) >= ejectionErrorRate*float64(total)
}

// othersHealthy reports whether enough servers remain that clearly fail less. If not, the cause is
// shared or is this node, and ejecting one server after the other would move all load to the last
// one.
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

func (b *Balancer) eject(s *server) {
	s.outlier.ejected = true
	s.outlier.trialAt = b.now + ejectionTime
	b.servers.version++
	successes, failures := s.outcomeCounts(b.now)
	b.logf("ejected %s: %d failures in a row, %d of %d in the window",
		s.ID, s.outlier.consecutiveFailures, failures, successes+failures)
}

func (b *Balancer) readmit(s *server) {
	s.outlier.ejected = false
	b.outliers.sharedCauseUntil = 0
	s.outcomes.reset()
	b.setInitialScore(s)
	b.servers.version++
	b.logf("readmitted %s after its trial", s.ID)
}

// logSharedCause says that too few other servers are healthy: once for each time that this lasts. It is
// over when a server is ejected or readmitted, or no ejection was prevented for the error window.
func (b *Balancer) logSharedCause() {
	logged := b.now < b.outliers.sharedCauseUntil
	b.outliers.sharedCauseUntil = b.now + outcomeBucketCount*outcomeBucketLength
	if logged {
		return
	}
	b.logf("too few other servers are healthy: a shared cause or this node; ejecting no more")
}
