package balancer

import (
	"sort"
)

const (
	// latencySmoothing is the weight of a new sample in the averages of latency and unit time.
	latencySmoothing = 0.2
	// slowdownSmoothing is the weight of a new sample in the fleet's slowdown factor.
	slowdownSmoothing = 0.08
	// maxSlowdownSample limits each sample of the slowdown factor to the range from 1/maxSlowdownSample
	// to maxSlowdownSample, so that one heavy request does not raise the estimate for the whole fleet.
	maxSlowdownSample = 3.0
	// slowdownReversion is the weight with which each sample also moves the slowdown factor toward 1. The
	// factor covers only recent changes: a lasting slowdown is part of the servers' unit times.
	slowdownReversion = 0.01
	// staleAfter, in ms, is the age from which a server's latency and unit time decay toward the
	// fleet's typical unit time.
	staleAfter = 2000.0
	// staleTimeConstant, in ms, is the time constant of that decay.
	staleTimeConstant = 4000.0
	// minUnitTimeRatio is the lower bound of a server's unit time, as a multiple of the typical unit
	// time. Without it, all nodes would send to the server that appears fastest.
	minUnitTimeRatio = 0.6
)

// serverTiming holds the measured speed of one server.
type serverTiming struct {
	latency   Millis // smoothed; a failure counts as the latency objective of its class
	unitTime  Millis // smoothed service time of a request of mean work, divided by the fleet's slowdown factor
	measured  bool   // unitTime was measured on responses of this server
	outcomeAt Millis // when the last outcome was recorded
}

// updateTypicalUnitTime sets the typical unit time to the median over the servers that have recent
// measurements.
func (b *Balancer) updateTypicalUnitTime() {
	var unitTimes []float64
	for _, s := range b.servers.ready {
		// The unit time of an unused server is omitted: it is outdated and could keep the median too high.
		fresh := b.now < s.timing.outcomeAt+staleAfter+staleTimeConstant
		if !s.timing.measured || !fresh {
			continue
		}
		unitTime := s.timing.unitTime * b.estimate.slowdownFactor
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

// setTypicalUnitTime sets the typical unit time to at least minLatency. Budgets and rates are divided
// by it, so a value of 0, measured on responses with an elapsed time of 0, would permanently turn
// them into NaN or infinity.
func (b *Balancer) setTypicalUnitTime(unitTime Millis) {
	b.estimate.unitTime = max(minLatency, unitTime)
}

// currentUnitTime returns the estimated time that a server now takes to serve a request of mean work.
// The estimate accounts for the fleet's slowdown factor and for slow start. It also rises while the
// server's oldest attempt is unanswered.
func (b *Balancer) currentUnitTime(s *server) Millis {
	typical := b.typicalUnitTime(s)
	unitTime := typical
	if s.timing.measured {
		unitTime = b.decayToTypical(s, s.timing.unitTime*b.estimate.slowdownFactor)
	}
	unitTime = max(minUnitTimeRatio*typical, unitTime)
	return max(minLatency, unitTime/b.estimatedCapacity(s), b.unansweredTimePerServiceRound(s))
}

// typicalUnitTime returns the fleet's typical unit time, divided by the server's capacity if the
// endpoint list contains capacities.
func (b *Balancer) typicalUnitTime(s *server) Millis {
	if b.settings.CapacitiesListed && s.Capacity > 0 {
		return b.estimate.unitTime / s.Capacity
	}
	return b.estimate.unitTime
}

// decayToTypical returns a server's latency or unit time, decayed toward the typical unit time if
// the server has no attempt in flight and its last outcome is older than staleAfter.
func (b *Balancer) decayToTypical(s *server, value Millis) Millis {
	staleFor := b.now - s.timing.outcomeAt - staleAfter
	if staleFor <= 0 || s.attempts.inFlight > 0 {
		return value
	}
	typical := b.typicalUnitTime(s)
	return typical + (value-typical)*exponential(-staleFor/staleTimeConstant)
}

// recordTiming updates the server's latency and unit time, and the fleet's slowdown factor, with the
// duration of an attempt. The slowdown factor is sampled on the responses of all servers, so it
// reflects a slowdown of the whole fleet long before the unit time of each server does.
func (b *Balancer) recordTiming(s *server, r *request, a *attempt, outcome Outcome, elapsed Millis) {
	success := outcome == OK
	timing := &s.timing
	latency := elapsed
	if !success { // neither a fast error nor the timeout of a lost attempt shows the server's latency
		latency = r.class.LatencyObjective
	}
	gain := 1.0 // the first response replaces the initial estimate
	if timing.measured {
		// The weight of the previous value decreases with its age.
		gain = 1 - (1-latencySmoothing)*exponential(-(b.now-timing.outcomeAt)/staleTimeConstant)
	}
	timing.latency += gain * (latency - timing.latency)
	unitTime := b.unitTimeAtFullCapacity(s, elapsed/a.serviceRounds, success)
	if success && timing.measured {
		sample := min(maxSlowdownSample, max(1/maxSlowdownSample, unitTime/max(minLatency, timing.unitTime)))
		b.estimate.slowdownFactor += slowdownSmoothing*(sample-b.estimate.slowdownFactor) +
			slowdownReversion*(1-b.estimate.slowdownFactor)
	}
	unitTime /= b.estimate.slowdownFactor
	unanswered := outcome == TimedOut || outcome == Cancelled
	slowerThanRecorded := unitTime > timing.unitTime && !s.superseded(a)
	if success || unanswered && slowerThanRecorded {
		timing.unitTime += gain * (unitTime - timing.unitTime)
	}
	timing.measured = timing.measured || success
}
