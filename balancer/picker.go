package balancer

import (
	"math"
	"slices"
)

const (
	// maxCostRatio: servers that cost more than this multiple of the best one are not drawn.
	maxCostRatio = 1.25
	// newRequestTimeFraction is the part of the time to the objective that a first attempt may be
	// expected to use; the rest is for variance.
	newRequestTimeFraction = 0.4
	// queuedRequestTimeFraction is the same for what is left to a queued request: with less, each
	// newer request would pass it.
	queuedRequestTimeFraction = 0.7
	// idleServerRequests: a server that holds fewer requests counts as idle.
	idleServerRequests = 0.5
	// idleTimeFraction is the part of the time to the objective that an idle server may be expected to
	// use: its time varies less, and sparing it gains nothing.
	idleTimeFraction = 0.7
	// idleFleetTimeFraction is how much that part grows with the idle share of the fleet: up to the
	// whole time when half is idle.
	idleFleetTimeFraction = 2.0
	// saturationFactor: a server that holds more than this multiple of what it works on at once
	// gets slower for all.
	saturationFactor = 3.0
	// keyAffinitySaving is the share of the work that is taken to be saved where a request's key
	// was met lately.
	keyAffinitySaving = 0.5
	// explorationFraction is the part of the servers' capacity that may be used by requests that only
	// find out whether a slowdown is over.
	explorationFraction = 0.1
	// minPriorityWeight keeps quotients finite.
	minPriorityWeight = 1e-3
)

// placementEstimate is what a server would cost the request that is being placed.
type placementEstimate struct {
	expected Millis // time until the answer
	cost     Millis // with everything else that counts against the server, expressed as time
}

// placementLimits bound which servers a request may be sent to.
type placementLimits struct {
	requests float64 // that the server may hold
	expected Millis  // at a server whose load is known ...
	unknown  Millis  // ... and so much longer where nothing is known of it
	idle     Millis  // at an idle server
}

// eligible reports whether the rules let a request go to a server at all. Invariants: nothing new
// goes to a draining server; a request that may have run is repeated only if it is idempotent or,
// with an idempotency key, inside its dedup scope and window.
func (b *Balancer) eligible(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	if !r.mayHaveRun || r.class.Idempotency == Idempotent {
		return true
	}
	if !r.class.repeatable() || b.now >= r.dedupUntil {
		return false
	}
	switch r.class.DedupScope {
	case DedupWithinZone:
		return s.Zone == r.dedupServer.Zone
	case DedupWithinCell:
		return s.Cell == r.dedupServer.Cell
	}
	return true
}

// candidates are the servers that a request may be drawn to: eligible, with slow start budget left,
// not ejected, not tried. An ejected server whose ejection time is over gets one trial, by a
// request that can bear a failure. When all are ejected, all are candidates.
func (b *Balancer) candidates(r *request) []*server {
	open := b.candidateBuffer[:0]
	allEjected := !slices.ContainsFunc(b.servers.ready, func(s *server) bool { return !s.outlier.ejected })
	for _, s := range b.servers.ready {
		if !b.eligible(r, s) || !b.slowStartAllows(s, r.work) || r.triedServer(s) {
			continue
		}
		if allEjected || !s.outlier.ejected || b.mayCarryTrial(r, s) {
			open = append(open, s)
		}
	}
	b.candidateBuffer = open
	if !b.polling.stale() {
		return open
	}
	// Where no server surely takes requests all stay open: a lost discovery must not stop the service.
	if sure := slices.DeleteFunc(slices.Clone(open), b.mayBeDraining); len(sure) > 0 {
		return sure
	}
	return open
}

// mayCarryTrial reports whether a request may be the trial of an ejected server.
func (b *Balancer) mayCarryTrial(r *request, s *server) bool {
	due := b.now >= s.outlier.trialAt && s.attempts.inFlight == 0
	return due && r.class.Idempotency == b.outliers.trialIdempotency && len(r.attempts) == 0
}

// drawByScore draws one of the servers with a chance in proportion to its score; nil where there
// are none.
func (b *Balancer) drawByScore(from []*server) *server {
	sum := 0.0
	for _, s := range from {
		sum += s.score
	}
	at := b.rng.Float64() * sum
	for i, s := range from {
		at -= s.score
		if at < 0 || i == len(from)-1 {
			return s
		}
	}
	return nil
}

// pickServer picks the server of a request: drawn by score among those that would answer in time
// and cost little more than the best. Nil where none would answer in time.
func (b *Balancer) pickServer(r *request) *server {
	first, second := b.affinityServers(r)
	limits := b.placementLimits(r)
	open := b.candidates(r)
	best := math.Inf(1)
	fit := open[:0]
	for _, s := range open {
		work := r.work
		if s == first || s == second {
			work *= 1 - keyAffinitySaving
		}
		s.placement.expected = b.estimatedUnitTime(s) * b.serviceRounds(b.estimatedRequests(s), work)
		if b.answersInTime(r, s, limits) {
			s.placement.cost = b.placementCost(r, s)
			best = min(best, s.placement.cost)
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 && b.mayExplore(r) {
		return b.drawByScore(open)
	}
	// Drawing among the servers that cost little more than the best one equals drawing among all and
	// redrawing the others.
	fit = slices.DeleteFunc(fit, func(s *server) bool { return s.placement.cost > best*maxCostRatio })
	for _, preferred := range []*server{first, second} {
		if preferred != nil && slices.Contains(fit, preferred) {
			return preferred
		}
	}
	return b.drawByScore(fit)
}

// placementLimits are the limits of a request's placement now.
func (b *Balancer) placementLimits(r *request) placementLimits {
	left := b.timeToObjective(r)
	protected := r.class.protectedObjective // spares servers for what has a higher weight and less time
	parallelism := math.Round(b.estimate.parallelism)
	limits := placementLimits{idle: min(b.idleServerTimeFraction()*left, idleTimeFraction*protected)}
	if r.late { // what is late must make nothing else late
		limits.requests = parallelism
		limits.expected = min(queuedRequestTimeFraction*left, newRequestTimeFraction*protected)
		return limits
	}
	share := b.timeFraction(r.class, newRequestTimeFraction)
	queuedShare := b.timeFraction(r.class, queuedRequestTimeFraction)
	limits.requests = saturationFactor * parallelism * (share / newRequestTimeFraction)
	whole := min(r.objectiveAt, r.deadline) - r.arrived
	expected := min(share*whole, queuedShare*left)
	limits.unknown = max(0, left-expected) * (1 - b.probeCoverage())
	limits.expected = min(expected, newRequestTimeFraction*protected)
	return limits
}

// answersInTime reports whether a candidate is within a request's limits.
func (b *Balancer) answersInTime(r *request, s *server, limits placementLimits) bool {
	requests := b.estimatedRequests(s)
	expected := s.placement.expected
	if requests < limits.requests && expected <= limits.expected+s.estimate.doubt*limits.unknown {
		return true
	}
	return !r.late && requests < idleServerRequests && expected <= limits.idle
}

// placementCost is what a candidate costs a request, expressed as time: the expected answer, the
// risk of a failure, another zone, a new connection.
func (b *Balancer) placementCost(r *request, s *server) Millis {
	objective := r.class.LatencyObjective
	cost := s.placement.expected + (s.estimate.failureShare+b.zoneFailureShare(s.zoneFailures))*objective
	wholeWeight := objective * b.meanPriorityWeight / max(minPriorityWeight, r.class.PriorityWeight)
	if s.Zone != b.settings.Zone {
		cost += b.settings.Prices.CrossZone * wholeWeight
	}
	if s.idleConnections < 1 {
		cost += b.settings.Prices.Handshake * wholeWeight
	}
	if b.classFault(s, r.class) {
		cost += b.classFailureShare(s, r.class) * objective
	}
	return cost
}

// idleServerTimeFraction is the part of the time to the objective that an idle server may be expected
// to use. While much of the fleet is idle heavy requests may use more of it: hints are rough, and
// nothing else is held up.
func (b *Balancer) idleServerTimeFraction() float64 {
	if !b.settings.LoadReports {
		return idleTimeFraction
	}
	return max(idleTimeFraction, newRequestTimeFraction+idleFleetTimeFraction*(1-b.estimate.othersLoad))
}

// timeFraction widens a share of the time to the objective where a late answer still earns something,
// since less is lost by a wrong guess. Where the operator's objective weighs the tail more would be
// lost, and the share stays.
func (b *Balancer) timeFraction(class *classState, share float64) float64 {
	if b.settings.Goal.TailLatency > 0 {
		return share
	}
	return share + (1-share)*class.LateFraction
}

// mayExplore reports whether a request is sent though no server would answer in time, to find out
// whether a slowdown is over.
func (b *Balancer) mayExplore(r *request) bool {
	return !r.late && b.openAttempts == 0 && b.timeToObjective(r) > 0 && b.takeExploration()
}

// takeExploration rations explorations. Without any, all requests would be rejected on old evidence
// for good. One always out from each node would keep a crowded fleet down where nodes outnumber
// servers, so the nodes' sum is kept to a share of the servers' capacity, each node in a random
// phase.
func (b *Balancer) takeExploration() bool {
	unitTime := min(b.estimate.unitTime, b.estimate.initialUnitTime)
	rate := explorationFraction * float64(len(b.servers.ready)) / unitTime / float64(b.fleet.size)
	b.explorations.refill(b.now, rate, 1)
	return b.explorations.take()
}

// affinityServers are the two servers that all nodes prefer for a request's key, where a server
// that met the key lately does less work for it: the two highest by a hash of both, of those not
// ejected (rendezvous hashing).
func (b *Balancer) affinityServers(r *request) (first, second *server) {
	if r.affinityKey == 0 || r.affinity.version == b.servers.version {
		return r.affinity.first, r.affinity.second
	}
	var highest, next uint64
	for _, s := range b.servers.ready {
		h := (r.affinityKey ^ s.nameHash) * 0x9e3779b97f4a7c15
		h ^= h >> 32
		switch {
		case s.outlier.ejected || h <= next:
		case h > highest:
			first, second = s, first
			highest, next = h, highest
		default:
			second = s
			next = h
		}
	}
	r.affinity = affinityPair{first, second, b.servers.version}
	return first, second
}
