package balancer

import "math"

const (
	// assumedSuccesses are added to a server's outcomes: one failure among few requests is chance.
	assumedSuccesses = 5.0
	// gossipedOutcomeDivisor: an outcome that another node saw counts as this part of one ...
	gossipedOutcomeDivisor = 2
	// ... for so many ms after its message.
	gossipedOutcomesFor = 3 * outcomeGossipInterval
	// healthyChancePerFailure is the chance of being healthy that each consecutive failure leaves to a
	// server.
	healthyChancePerFailure = 0.5
)

// fleetEstimate is what this node estimates of the servers as a whole.
type fleetEstimate struct {
	unitTime        Millis  // typical time for each request that a server of capacity 1 holds
	initialUnitTime Millis  // what unitTime was taken to be before any was measured
	pace            float64 // the servers' times now, as a multiple of what their own records say
	parallelism     float64 // requests that a server works on at once; more of them wait
	warmCapacity    float64 // share of the capacity that warming servers may still lack and seem to have
	othersLoad      float64 // requests of other nodes at a server, the mean over the fleet by recent reports
	reportLag       Millis  // how old load reports are when they arrive
	meanWorkHint    Millis  // mean of the work hints
}

// serverEstimate is what is estimated of one server. It is worked out at most once for each time,
// unless something happens at the server: many requests ask for it.
type serverEstimate struct {
	at           Millis  // when it was worked out; estimateOutdated: to be worked out again
	requests     float64 // requests that the server holds, of all nodes
	doubt        float64 // how little of the requests is known, from 0 to 1
	unitTime     Millis  // time for each of them
	failureShare float64 // share of requests that fail there
}

// estimateOutdated marks an estimate that has to be worked out again.
const estimateOutdated Millis = -1

// refreshEstimate works a server's estimate out, if that hasn't been done for this time.
func (b *Balancer) refreshEstimate(s *server) {
	if s.estimate.at == b.now {
		return
	}
	s.estimate.at = b.now
	s.estimate.requests = b.estimateRequests(s)
	s.estimate.unitTime = b.currentUnitTime(s)
	s.estimate.failureShare = b.failureShare(s)
}

// estimatedRequests is how many requests a server is taken to hold.
func (b *Balancer) estimatedRequests(s *server) float64 {
	b.refreshEstimate(s)
	return s.estimate.requests
}

// estimatedUnitTime is the time that a server is taken to need for each request that it holds.
func (b *Balancer) estimatedUnitTime(s *server) Millis {
	b.refreshEstimate(s)
	return s.estimate.unitTime
}

// expectedTime is the time that a request sent now would take.
func (b *Balancer) expectedTime(s *server, r *request) Millis {
	return b.estimatedUnitTime(s) * b.serviceRounds(b.estimatedRequests(s), r.work)
}

// failureShare is the share of requests that fail at a server, by own and gossiped outcomes. Where
// gossip is not allowed it is 0: own failures then count by score and ejection alone.
func (b *Balancer) failureShare(s *server) float64 {
	noOwnFailure := s.outcomes.failedAt < b.now-outcomeBucketCount*outcomeBucketLength
	if !b.settings.GossipAllowed || len(s.gossipReports) == 0 && noOwnFailure {
		return 0
	}
	successes, failures := s.outcomeCounts(b.now)
	failed := float64(failures)
	total := float64(successes+failures) + assumedSuccesses
	for _, report := range s.gossipReports {
		if report.kind == gossipOutcomes && b.now < report.at+gossipedOutcomesFor {
			failed += report.second / gossipedOutcomeDivisor
			total += (report.first + report.second) / gossipedOutcomeDivisor
		}
	}
	// A server that just failed several times is likelier to fail again than its long record says.
	streak := 1 - math.Pow(healthyChancePerFailure, float64(s.outlier.consecutiveFailures))
	streak *= math.Exp(-(b.now - s.timing.outcomeAt) / staleTimeConstant)
	return max(streak, failed/total)
}
