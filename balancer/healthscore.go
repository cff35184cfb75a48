package balancer

import "math"

const (
	// scoreInterval, in ms, is the greatest age of the scores that a request is placed by.
	scoreInterval = 100.0
	// Weights of a score's parts (docs/design.md). They need not sum to 1.
	latencyWeight       = 0.4
	errorRateWeight     = 0.3
	recentSuccessWeight = 0.1
	// minLatency, in ms, keeps quotients finite.
	minLatency = 1e-3
)

// updateScores scores each ready server from 0 to 1 and renews the typical unit time.
func (b *Balancer) updateScores() {
	b.scoredAt = b.now
	b.logZoneChanges()
	best := math.Inf(1)
	for _, s := range b.servers.ready {
		best = min(best, b.effectiveLatency(s)) // by the typical unit time of before
	}
	b.updateTypicalUnitTime()
	for _, s := range b.servers.ready {
		if s.outcomes.recentLen == 0 {
			continue // a new server keeps the others' mean
		}
		s.score = b.score(s, best)
	}
}

// score is the weighted mean of a server's latency against the best one, its error rate and its
// recent successes.
func (b *Balancer) score(s *server, bestLatency Millis) float64 {
	latency := latencyWeight * bestLatency / b.effectiveLatency(s)
	errors := errorRateWeight * (1 - s.errorRate(b.now))
	recent := recentSuccessWeight * s.recentSuccessRate()
	return (latency + errors + recent) / (latencyWeight + errorRateWeight + recentSuccessWeight)
}

// setInitialScore gives a new or readmitted server the others' mean score.
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

// effectiveLatency is the smoothed latency, raised at once by attempts that are out for longer:
// silence counts before the outcome arrives. A record that nothing renews fades toward the typical
// one.
func (b *Balancer) effectiveLatency(s *server) Millis {
	return max(minLatency, b.decayToTypical(s, s.timing.latency), b.unansweredTime(s))
}

// unansweredTime is how long a server has kept silent over its oldest attempt. It ignores attempts
// that an answer to a later one has overtaken: those are lost or heavy, and say nothing about the
// server.
func (b *Balancer) unansweredTime(s *server) Millis {
	silent, _ := b.oldestUnanswered(s)
	return silent
}

// unansweredTimePerRound is the same, divided by the unit times that the attempt should have taken.
func (b *Balancer) unansweredTimePerRound(s *server) Millis {
	silent, rounds := b.oldestUnanswered(s)
	return silent / rounds
}

func (b *Balancer) oldestUnanswered(s *server) (silent Millis, serviceRounds float64) {
	r, a := s.oldestAttempt()
	if a == nil || b.classFault(s, r.class) {
		return 0, 1
	}
	return b.now - max(a.sentAt, s.timing.outcomeAt), a.serviceRounds
}

// recordAttemptOutcome records how an attempt ended in its server's health.
func (b *Balancer) recordAttemptOutcome(s *server, r *request, a *attempt, outcome Outcome, elapsed Millis) {
	cancelledEarly := outcome == Cancelled && elapsed < a.expected
	if outcome == NotSent || cancelledEarly {
		return // says nothing about the server
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
