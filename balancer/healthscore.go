package balancer

import "math"

const (
	// scoreInterval, in ms, is the maximum age of the scores used to place a request.
	scoreInterval = 100.0
	// Weights of the components of a score (docs/design.md). They need not sum to 1.
	latencyWeight       = 0.4
	errorRateWeight     = 0.3
	recentSuccessWeight = 0.1
	// minLatency, in ms, is the lower bound of latencies and unit times, because they are used as
	// divisors.
	minLatency = 1e-3
)

// updateScores computes the score of each ready server, from 0 to 1, and updates the typical unit time.
func (b *Balancer) updateScores() {
	b.scoredAt = b.now
	b.logZoneChanges()
	best := math.Inf(1)
	for _, s := range b.servers.ready {
		best = min(best, b.effectiveLatency(s)) // uses the previous typical unit time
	}
	b.updateTypicalUnitTime()
	for _, s := range b.servers.ready {
		if s.outcomes.recentLen == 0 {
			continue // a new server keeps its initial score
		}
		s.score = b.score(s, best)
	}
}

// score returns the weighted mean of three components: the best latency divided by the server's
// latency, one minus its error rate, and its recent success rate.
func (b *Balancer) score(s *server, bestLatency Millis) float64 {
	latency := latencyWeight * bestLatency / b.effectiveLatency(s)
	errors := errorRateWeight * (1 - s.errorRate(b.now))
	recent := recentSuccessWeight * s.recentSuccessRate()
	return (latency + errors + recent) / (latencyWeight + errorRateWeight + recentSuccessWeight)
}

// setInitialScore sets the score of a new or readmitted server to the mean score of the other ready
// servers, or to 1 if there are none.
func (b *Balancer) setInitialScore(s *server) {
	sum, n := 0.0, 0.0
	for _, other := range b.servers.ready {
		if other != s {
			sum += other.score
			n++
		}
	}
	s.score = 1
	if n > 0 {
		s.score = sum / n
	}
}

// effectiveLatency returns the smoothed latency of a server, or the time that its oldest attempt has
// been unanswered if that is longer, so that a hung server is detected before its attempts time out.
// A stale latency decays toward the typical unit time.
func (b *Balancer) effectiveLatency(s *server) Millis {
	return max(minLatency, b.decayToTypical(s, s.timing.latency), b.unansweredTime(s))
}

// unansweredTime returns how long the oldest attempt at a server has been unanswered. It ignores
// attempts that were sent before an attempt that has already been answered: such an attempt was lost
// or belongs to a heavy request, so it is no evidence of a slow server.
func (b *Balancer) unansweredTime(s *server) Millis {
	unanswered, _ := b.oldestUnanswered(s)
	return unanswered
}

// unansweredTimePerServiceRound returns unansweredTime divided by the number of unit times that the
// attempt was expected to take.
func (b *Balancer) unansweredTimePerServiceRound(s *server) Millis {
	unanswered, rounds := b.oldestUnanswered(s)
	return unanswered / rounds
}

// oldestUnanswered returns how long the oldest attempt at a server has been unanswered, and its
// expected number of unit times. The time counts from the last outcome if that came after the attempt
// was sent. It is 0 if all open attempts are superseded, or if the server fails only the class of that
// attempt.
func (b *Balancer) oldestUnanswered(s *server) (unanswered Millis, serviceRounds float64) {
	r, a := s.oldestAttempt()
	if a == nil || b.classFault(s, r.class) {
		return 0, 1
	}
	return b.now - max(a.sentAt, s.timing.outcomeAt), a.serviceRounds
}

// recordAttemptOutcome updates the health records of a server with the outcome of an attempt.
func (b *Balancer) recordAttemptOutcome(s *server, r *request, a *attempt, outcome Outcome, elapsed Millis) {
	cancelledEarly := outcome == Cancelled && elapsed < a.expectedDuration
	if outcome == NotSent || cancelledEarly {
		return // no evidence about the server
	}
	success := outcome == OK
	b.recordZoneOutcome(s, outcome, elapsed)
	classOnly := b.recordClassOutcome(s, r.class, outcome)
	if classOnly && !success {
		return
	}
	if outcome != Cancelled {
		s.outcomes.record(b.now, success)
	}
	b.recordTiming(s, r, a, outcome, elapsed)
	if success {
		s.attempts.latestAnswered = max(s.attempts.latestAnswered, a.sentAt)
	}
	s.timing.outcomeAt = b.now
	b.updateEjection(s, outcome, a.sentAt)
}
