package balancer

import (
	"math"
	"sort"
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
	staleTimeConstant = 4000.0
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

// updateTypicalUnitTime takes the median over the servers with a fresh record of their own.
func (b *Balancer) updateTypicalUnitTime() {
	var unitTimes []float64
	for _, s := range b.servers.ready {
		// The old record of an unused server would hold the median up.
		fresh := b.now < s.timing.outcomeAt+staleAfter+staleTimeConstant
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
	b.setTypicalUnitTime(unitTimes[len(unitTimes)/2])
}

// setTypicalUnitTime sets the typical unit time, at least minLatency. Budgets and rates are divided by
// it: after answers that took no time at all they would not be numbers, for good.
func (b *Balancer) setTypicalUnitTime(unitTime Millis) {
	b.estimate.unitTime = max(minLatency, unitTime)
}

// currentUnitTime is the time that a server is taken to need for each request that it holds.
func (b *Balancer) currentUnitTime(s *server) Millis {
	typical := b.typicalUnitTime(s)
	unitTime := typical
	if s.timing.measured {
		unitTime = b.decayToTypical(s, s.timing.unitTime*b.estimate.pace)
	}
	unitTime = max(minUnitTimeRatio*typical, unitTime)
	return max(minLatency, unitTime/b.estimatedCapacity(s), b.unansweredTimePerRound(s))
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
	return typical + (value-typical)*math.Exp(-stale/staleTimeConstant)
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
		gain = 1 - (1-latencySmoothing)*math.Exp(-(b.now-timing.outcomeAt)/staleTimeConstant)
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
