package balancer

import (
	"math"
	"sort"
)

const (
	// scoreInterval, in ms, is the greatest age of the scores that a request is placed by.
	scoreInterval = 100.0
	// Weights of a score's parts (design). They need not sum to 1.
	latencyWeight       = 0.4
	errorRateWeight     = 0.3
	recentSuccessWeight = 0.1
	// minLatency, in ms, keeps quotients finite.
	minLatency = 1e-3
)

const (
	// latencySmoothing is the weight of a new sample of latency and unit time.
	latencySmoothing = 0.2
	// paceSmoothing is the weight of a new sample of the fleet's pace.
	paceSmoothing = 0.08
	// maxPaceSample bounds a sample of the pace, so that one heavy request does not slow the whole
	// fleet's estimate.
	maxPaceSample = 3.0
	// paceReversion draws the pace back to 1, since in the long run the servers' own records hold a
	// slowdown.
	paceReversion = 0.01
	// staleAfter, in ms: a record older than this begins to fade toward the fleet's typical one ...
	staleAfter = 2000.0
	// ... with this time constant, in ms.
	staleDecay = 4000.0
	// minUnitTimeRatio: no server is taken to be faster than this multiple of the typical unit
	// time. Otherwise all nodes would send to the one that looked fastest.
	minUnitTimeRatio = 0.6
)

// serverTiming is how fast a server has been.
type serverTiming struct {
	latency   Millis // smoothed; a failure counts as its class's latency objective
	unitTime  Millis // smoothed time for each request that the server holds, at pace 1
	measured  bool   // unitTime comes from the server's own answers
	outcomeAt Millis // when the last outcome was recorded
}

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

// updateTypicalUnitTime takes the median over the servers with a fresh record of their own.
func (b *Balancer) updateTypicalUnitTime() {
	var unitTimes []float64
	for _, s := range b.servers.ready {
		// The old record of an unused server would hold the median up.
		fresh := b.now < s.timing.outcomeAt+staleAfter+staleDecay
		if !s.timing.measured || !fresh {
			continue
		}
		unitTime := s.timing.unitTime * b.estimate.pace
		if b.settings.CapacitiesListed && s.Capacity > 0 {
			unitTime *= s.Capacity
		}
		unitTimes = append(unitTimes, unitTime)
	}
	if len(unitTimes) == 0 {
		return
	}
	sort.Float64s(unitTimes)
	b.estimate.unitTime = unitTimes[len(unitTimes)/2]
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
	return max(minLatency, b.decayToTypical(s, s.timing.latency), b.unansweredTime(s, false))
}

// currentUnitTime is the time that a server is taken to need for each request that it holds.
func (b *Balancer) currentUnitTime(s *server) Millis {
	typical := b.typicalUnitTime(s)
	unitTime := typical
	if s.timing.measured {
		unitTime = b.decayToTypical(s, s.timing.unitTime*b.estimate.pace)
	}
	unitTime = max(minUnitTimeRatio*typical, unitTime)
	return max(minLatency, unitTime/b.estimatedCapacity(s), b.unansweredTime(s, true))
}

// typicalUnitTime is the fleet's time for each request that a server of this capacity holds.
func (b *Balancer) typicalUnitTime(s *server) Millis {
	if b.settings.CapacitiesListed && s.Capacity > 0 {
		return b.estimate.unitTime / s.Capacity
	}
	return b.estimate.unitTime
}

// decayToTypical lets a server's figure return to the typical unit time once nothing renews it.
func (b *Balancer) decayToTypical(s *server, value Millis) Millis {
	stale := b.now - s.timing.outcomeAt - staleAfter
	if stale <= 0 || s.attempts.inFlight > 0 {
		return value
	}
	typical := b.typicalUnitTime(s)
	return typical + (value-typical)*math.Exp(-stale/staleDecay)
}

// unansweredTime is how long a server has kept silent over its oldest attempt; with perRequest
// divided by the requests ahead of it. It ignores attempts that an answer to a later one has
// overtaken: those are lost or heavy, and say nothing about the server.
func (b *Balancer) unansweredTime(s *server, perRequest bool) Millis {
	r, a := s.oldestAttempt()
	if a == nil || b.classFault(s, r.class) {
		return 0
	}
	silent := b.now - max(a.sentAt, s.timing.outcomeAt)
	if perRequest {
		silent /= a.serviceRounds
	}
	return silent
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

// recordTiming takes an attempt's duration into the server's latency and unit time, and into the
// fleet's pace: what slows all servers down shows in all answers long before it shows in each
// server's own record.
func (b *Balancer) recordTiming(s *server, r *request, a *attempt, outcome Outcome, elapsed Millis) {
	success := outcome == OK
	timing := &s.timing
	latency := elapsed
	if !success { // a quick error must not look like a quick answer, a lost one not like a long queue
		latency = r.class.LatencyObjective
	}
	gain := 1.0 // the first answer replaces the initial guess
	if timing.measured {
		// An old record counts for less.
		gain = 1 - (1-latencySmoothing)*math.Exp(-(b.now-timing.outcomeAt)/staleDecay)
	}
	timing.latency += gain * (latency - timing.latency)
	unitTime := b.unitTimeWhenWarm(s, elapsed/a.serviceRounds, success)
	if success && timing.measured {
		sample := min(maxPaceSample, max(1/maxPaceSample, unitTime/max(minLatency, timing.unitTime)))
		b.estimate.pace += paceSmoothing*(sample-b.estimate.pace) + paceReversion*(1-b.estimate.pace)
	}
	unitTime /= b.estimate.pace
	unanswered := outcome == TimedOut || outcome == Cancelled
	slowerThanKnown := unitTime > timing.unitTime && !s.superseded(a)
	if success || unanswered && slowerThanKnown {
		timing.unitTime += gain * (unitTime - timing.unitTime)
	}
	timing.measured = timing.measured || success
}
