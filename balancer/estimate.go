package balancer

import "math"

const (
	// assumedSuccesses is added to the number of outcomes of a server, because one failure among few
	// requests may be chance.
	assumedSuccesses = 5.0
	// gossipedOutcomeDivisor divides the numbers of outcomes that other nodes report in gossip.
	gossipedOutcomeDivisor = 2
	// gossipedOutcomesMaxAge, in ms, is how long outcomes reported in gossip count.
	gossipedOutcomesMaxAge = 3 * outcomeGossipInterval
	// healthyProbabilityPerFailure is the factor by which each consecutive failure reduces the
	// probability that a server is healthy.
	healthyProbabilityPerFailure = 0.5
)

// fleetEstimate holds this node's estimates that apply to all servers.
type fleetEstimate struct {
	unitTime        Millis  // typical time in which a server of capacity 1 serves a request of mean work
	initialUnitTime Millis  // unitTime assumed before any was measured
	slowdownFactor  float64 // current service times divided by the recorded unit times of the servers
	parallelism     float64 // requests that a server works on in parallel; further ones wait
	extraCapacity   float64 // capacity of servers in slow start: 0 is minimumCapacity, 1 is full capacity
	othersLoad      float64 // mean number of requests of other nodes at a server, according to recent reports
	reportLag       Millis  // smoothed age of load reports on arrival
	meanWorkHint    Millis  // smoothed mean of the work hints
}

// serverEstimate caches the estimates about one server, because many requests use them. They are
// computed at most once for each value of the clock, unless an event at the server invalidates them.
type serverEstimate struct {
	computedAt  Millis  // when the estimates were computed; estimateOutdated if they are invalid
	requests    float64 // number of requests at the server, of all nodes
	uncertainty float64 // of requests: 0 if fully known, 1 if unknown
	unitTime    Millis  // time in which the server serves a request of mean work
	failureRate float64 // fraction of requests that fail at the server
}

// estimateOutdated marks a server estimate that must be recomputed.
const estimateOutdated Millis = -1

// refreshEstimate recomputes the estimates about a server unless they are current.
func (b *Balancer) refreshEstimate(s *server) {
	if s.estimate.computedAt == b.now {
		return
	}
	s.estimate.computedAt = b.now
	s.estimate.requests = b.estimateRequests(s)
	s.estimate.unitTime = b.currentUnitTime(s)
	s.estimate.failureRate = b.estimatedFailureRate(s)
}

// estimatedRequests returns the estimated number of requests at a server.
func (b *Balancer) estimatedRequests(s *server) float64 {
	b.refreshEstimate(s)
	return s.estimate.requests
}

// estimatedUnitTime returns the estimated time in which a server serves a request of mean work.
func (b *Balancer) estimatedUnitTime(s *server) Millis {
	b.refreshEstimate(s)
	return s.estimate.unitTime
}

// expectedTime returns the expected duration of a request that is sent to a server now.
func (b *Balancer) expectedTime(s *server, r *request) Millis {
	return b.estimatedUnitTime(s) * b.serviceRounds(b.estimatedRequests(s), r.work)
}

// estimatedFailureRate returns the estimated fraction of requests that fail at a server, based on this
// node's outcomes and those that other nodes report in gossip. It is 0 if gossip is not allowed: this node's
// failures then count only in the score and for ejection.
func (b *Balancer) estimatedFailureRate(s *server) float64 {
	noRecentFailure := s.outcomes.failedAt < b.now-outcomeBucketCount*outcomeBucketLength
	if !b.settings.GossipAllowed || len(s.gossipReports) == 0 && noRecentFailure {
		return 0
	}
	successes, failures := s.outcomeCounts(b.now)
	failed := float64(failures)
	total := float64(successes+failures) + assumedSuccesses
	for _, report := range s.gossipReports {
		if report.kind == gossipOutcomes && b.now < report.receivedAt+gossipedOutcomesMaxAge {
			failed += report.failures / gossipedOutcomeDivisor
			total += (report.loadOrSuccesses + report.failures) / gossipedOutcomeDivisor
		}
	}
	// A server that has just failed several times is more likely to fail again than its failure rate in
	// the error window suggests.
	streakProbability := 1 - math.Pow(healthyProbabilityPerFailure, float64(s.outlier.consecutiveFailures))
	streakProbability *= exponential(-(b.now - s.timing.outcomeAt) / staleTimeConstant)
	return max(streakProbability, failed/total)
}
