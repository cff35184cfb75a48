package balancer

import (
	"math"
	"slices"
)

const (
	// maxCostRatio is the highest placement cost at which a server can be chosen, as a multiple of the
	// lowest cost.
	maxCostRatio = 1.25
	// newRequestTimeFraction limits the expected time of an attempt, as a fraction of the time from
	// arrival to the objective. The rest allows for variance.
	newRequestTimeFraction = 0.4
	// queuedRequestTimeFraction limits the expected time of an attempt, as a fraction of the remaining
	// time to the objective. With a smaller fraction, newer requests would always be placed before a
	// queued one.
	queuedRequestTimeFraction = 0.7
	// idleServerRequests is the estimated number of requests below which a server counts as idle.
	idleServerRequests = 0.5
	// idleTimeFraction limits the expected time of an attempt at an idle server, as a fraction of the
	// time to the objective. It is larger than newRequestTimeFraction because service times at an idle
	// server vary less, and keeping it free gains nothing.
	idleTimeFraction = 0.7
	// idleFleetTimeFraction is multiplied by the idle fraction of the fleet and added to
	// newRequestTimeFraction to give the same limit if that is larger. If 0.3 of the fleet is idle, the
	// limit is all of the time to the objective; if more is idle, the limit is longer than that time.
	idleFleetTimeFraction = 2.0
	// saturationFactor, as a multiple of a server's parallelism, is the number of requests above which
	// the server becomes slower for all of them.
	saturationFactor = 3.0
	// keyAffinitySaving is the fraction of the work that is assumed to be saved at a server that has
	// recently processed a request with the same key.
	keyAffinitySaving = 0.5
	// explorationFraction is the fraction of the servers' capacity that may be used by requests that are
	// sent only to detect the end of a slowdown.
	explorationFraction = 0.1
	// minPriorityWeight is the lower bound of a priority weight that is used as a divisor.
	minPriorityWeight = 1e-3
)

// placementEstimate is the estimated cost of sending the request that is being placed to a server.
type placementEstimate struct {
	expected Millis // expected time until the response
	cost     Millis // expected, plus all other costs expressed as time (see placementCost)
}

// placementLimits limit the servers that a request may be sent to.
type placementLimits struct {
	maxRequests     float64 // highest number of requests at the server
	maxExpected     Millis  // longest expected time at a server whose load is known
	extraIfUnknown  Millis  // added to maxExpected in proportion to the uncertainty about the load
	maxExpectedIdle Millis  // longest expected time at an idle server
}

// eligible reports whether a request is permitted to go to a server. Invariants: a draining server
// gets no new attempts; a request that may have run is repeated only if it is idempotent or, with an
// idempotency key, at a server that remembers the key and until its dedup window ends.
func (b *Balancer) eligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	if !r.mayHaveRun || r.class.Idempotency == Idempotent {
		return true
	}
	return r.class.repeatable() && b.now < r.dedup.until && r.dedup.remembers(s)
}

// candidates returns the servers that a request may be sent to: those that are eligible, have enough
// slow start budget, are not ejected and were not tried by this request. An ejected server whose
// ejection time is over gets one request as a trial, of a class for which a failure does the least
// harm. If all servers are ejected, the ejections are ignored.
func (b *Balancer) candidates(r *request) []*server {
	allowed := b.candidateBuffer[:0]
	allEjected := !slices.ContainsFunc(b.servers.ready, func(s *server) bool { return !s.outlier.ejected })
	for _, s := range b.servers.ready {
		if !b.eligible(r, s) || !b.slowStartAllows(s, r.work) || r.triedServer(s) {
			continue
		}
		if allEjected || !s.outlier.ejected || b.canBeTrial(r, s) {
			allowed = append(allowed, s)
		}
	}
	b.candidateBuffer = allowed
	if !b.polling.stale() {
		return allowed
	}
	// If every server may be draining, none is excluded, because a failure of discovery must not stop
	// the service.
	if accepting := slices.DeleteFunc(slices.Clone(allowed), b.mayBeDraining); len(accepting) > 0 {
		return accepting
	}
	return allowed
}

// canBeTrial reports whether a request may be used as the trial of an ejected server.
func (b *Balancer) canBeTrial(r *request, s *server) bool {
	due := b.now >= s.outlier.trialAt && s.attempts.inFlight == 0
	return due && r.class.Idempotency == b.outliers.trialIdempotency && len(r.attempts) == 0
}

// drawByScore draws a server at random, with a probability proportional to its score. It returns nil
// if there are no servers.
func (b *Balancer) drawByScore(candidates []*server) *server {
	sum := 0.0
	for _, s := range candidates {
		sum += s.score
	}
	remaining := b.rng.Float64() * sum
	for i, s := range candidates {
		remaining -= s.score
		if remaining < 0 || i == len(candidates)-1 {
			return s
		}
	}
	return nil
}

// pickServer chooses the server for a request. It considers the candidates that are expected to
// respond in time and whose placement cost is close to the lowest. Among these it prefers the request's
// affinity servers; otherwise it draws one by score. If no candidate is expected to respond in time, it
// returns nil, or a server drawn by score if the request is used for exploration.
func (b *Balancer) pickServer(r *request) *server {
	primary, secondary := b.affinityServers(r)
	limits := b.placementLimits(r)
	allowed := b.candidates(r)
	best := math.Inf(1)
	inTime := allowed[:0]
	for _, s := range allowed {
		work := r.work
		if s == primary || s == secondary {
			work *= 1 - keyAffinitySaving
		}
		s.placement.expected = b.estimatedUnitTime(s) * b.serviceRounds(b.estimatedRequests(s), work)
		if b.answersInTime(r, s, limits) {
			s.placement.cost = b.placementCost(r, s)
			best = min(best, s.placement.cost)
			inTime = append(inTime, s)
		}
	}
	if len(inTime) == 0 && b.mayExplore(r) {
		return b.drawByScore(allowed)
	}
	// Removing expensive servers does not change the ratios between the draw probabilities of the others.
	inTime = slices.DeleteFunc(inTime, func(s *server) bool { return s.placement.cost > best*maxCostRatio })
	for _, preferred := range []*server{primary, secondary} {
		if preferred != nil && slices.Contains(inTime, preferred) {
			return preferred
		}
	}
	return b.drawByScore(inTime)
}

// placementLimits returns the current placement limits of a request.
func (b *Balancer) placementLimits(r *request) placementLimits {
	timeLeft := b.timeToObjective(r)
	// Limiting a request by this objective keeps capacity free for classes with a higher priority weight
	// and a shorter objective.
	protectedTime := r.class.protectedObjective
	parallelism := math.Round(b.estimate.parallelism)
	limits := placementLimits{
		maxExpectedIdle: min(b.idleServerTimeFraction()*timeLeft, idleTimeFraction*protectedTime),
	}
	if r.late { // a late request must not make other requests late
		limits.maxRequests = parallelism
		limits.maxExpected = min(queuedRequestTimeFraction*timeLeft, newRequestTimeFraction*protectedTime)
		return limits
	}
	newFraction := b.timeFraction(r.class, newRequestTimeFraction)
	queuedFraction := b.timeFraction(r.class, queuedRequestTimeFraction)
	limits.maxRequests = saturationFactor * parallelism * (newFraction / newRequestTimeFraction)
	totalTime := min(r.objectiveAt, r.deadline) - r.arrived
	expectedTime := min(newFraction*totalTime, queuedFraction*timeLeft)
	limits.extraIfUnknown = max(0, timeLeft-expectedTime) * (1 - b.probeCoverage())
	limits.maxExpected = min(expectedTime, newRequestTimeFraction*protectedTime)
	return limits
}

// answersInTime reports whether a candidate is within the placement limits of a request.
func (b *Balancer) answersInTime(r *request, s *server, limits placementLimits) bool {
	requests := b.estimatedRequests(s)
	expected := s.placement.expected
	if requests < limits.maxRequests &&
		expected <= limits.maxExpected+s.estimate.uncertainty*limits.extraIfUnknown {
		return true
	}
	return !r.late && requests < idleServerRequests && expected <= limits.maxExpectedIdle
}

// placementCost returns the cost of sending a request to a candidate, expressed as time. It is the sum
// of the expected response time, the risk of a failure, and the prices of crossing zones and of a new
// connection.
func (b *Balancer) placementCost(r *request, s *server) Millis {
	objective := r.class.LatencyObjective
	cost := s.placement.expected + (s.estimate.failureRate+b.zoneFailureRate(s.zoneFailures))*objective
	timePerPrice := objective * b.meanPriorityWeight / max(minPriorityWeight, r.class.PriorityWeight)
	if s.Zone != b.settings.Zone {
		cost += b.settings.Prices.CrossZone * timePerPrice
	}
	if s.idleConnections < 1 {
		cost += b.settings.Prices.Handshake * timePerPrice
	}
	if b.classFault(s, r.class) {
		cost += b.classFailureRate(s, r.class) * objective
	}
	return cost
}

// idleServerTimeFraction returns the limit of the expected time of an attempt at an idle server, as a
// fraction of the time to the objective. It is larger while much of the fleet is idle, because work
// hints are inaccurate and a heavy request then delays no others.
func (b *Balancer) idleServerTimeFraction() float64 {
	if !b.settings.LoadReports {
		return idleTimeFraction
	}
	return max(idleTimeFraction, newRequestTimeFraction+idleFleetTimeFraction*(1-b.estimate.othersLoad))
}

// timeFraction increases a fraction of the time to the objective for a class whose late responses
// still count, because a wrong estimate then costs less. It returns the fraction unchanged if the
// operator's goal weights tail latency, because a late response then costs more.
func (b *Balancer) timeFraction(class *classState, fraction float64) float64 {
	if b.settings.Goal.TailLatency > 0 {
		return fraction
	}
	return fraction + (1-fraction)*class.LateFraction
}

// mayExplore reports whether a request is sent although no server is expected to respond in time, to
// detect the end of a slowdown.
func (b *Balancer) mayExplore(r *request) bool {
	return !r.late && b.openAttempts == 0 && b.timeToObjective(r) > 0 && b.takeExploration()
}

// takeExploration takes a token from the exploration budget and reports whether one was available.
// Without exploration, outdated estimates could cause all requests to be rejected permanently. If each
// node always had an exploration in flight, an overloaded fleet with more nodes than servers would not
// recover. Therefore all nodes together are limited to a fraction of the servers' capacity, and each
// node's budget starts at a random fill level, so that explorations are spread over time.
func (b *Balancer) takeExploration() bool {
	unitTime := min(b.estimate.unitTime, b.estimate.initialUnitTime)
	rate := explorationFraction * float64(len(b.servers.ready)) / unitTime / float64(b.fleet.size)
	b.explorations.refill(b.now, rate, 1)
	return b.explorations.take()
}

// affinityServers returns the two servers that all nodes prefer for a request's key, because a server
// that has recently processed a request with the key does less work for the next one. They are the
// servers with the highest hashes of key and server name among those that are not ejected (rendezvous
// hashing).
func (b *Balancer) affinityServers(r *request) (primary, secondary *server) {
	if r.affinityKey == 0 || r.affinity.version == b.servers.version {
		return r.affinity.primary, r.affinity.secondary
	}
	var highest, secondHighest uint64
	for _, s := range b.servers.ready {
		hash := (r.affinityKey ^ s.nameHash) * 0x9e3779b97f4a7c15
		hash ^= hash >> 32
		switch {
		case s.outlier.ejected || hash <= secondHighest:
		case hash > highest:
			primary, secondary = s, primary
			highest, secondHighest = hash, highest
		default:
			secondary = s
			secondHighest = hash
		}
	}
	r.affinity = affinityPair{primary, secondary, b.servers.version}
	return primary, secondary
}
