package balancer

import "math"

const (
	// parallelismSmoothing is the weight of a new report of a queue in the estimate of parallelism.
	parallelismSmoothing = 0.05
	// othersLoadSmoothing is the weight of a new report in the fleet's mean load by other nodes.
	othersLoadSmoothing = 0.05
	// serverLoadSmoothing is the weight of a new report in one server's mean load by other nodes.
	serverLoadSmoothing = 0.2
	// othersLoadTimeConstant is the time constant, in unit times, with which a server's own mean
	// returns to the fleet's.
	othersLoadTimeConstant = 4.0
	// gossipTrustUnits and reportTrustUnits are the time constants, in unit times, with which
	// gossip and a report lose their value.
	gossipTrustUnits = 4
	reportTrustUnits = 2
	// reportLagSmoothing is the weight of a new sample of the lag of reports, and of the interval
	// of gossip.
	reportLagSmoothing = 0.05
	// reportFreshFor, in ms: within it a report needs no load probe, and does not contradict an
	// attempt sent before it.
	reportFreshFor = 8.0
)

// serverLoad is what is known of a server's load by other nodes.
type serverLoad struct {
	others        float64 // requests of other nodes, by the latest report
	othersAverage float64
	reportedAt    Millis // 0: no report yet
	probePending  bool
}

// recordLoadReport takes in a server's report of its load.
func (b *Balancer) recordLoadReport(s *server, report LoadReport) {
	if !report.Valid {
		return
	}
	b.markMissingAttempts(s, report)
	s.estimate.at = estimateOutdated
	if report.QueueKnown && report.Queued >= 1 { // a queue shows how many requests the server works on at once
		working := max(1, report.InFlight-report.Queued)
		b.estimate.parallelism += parallelismSmoothing * (working - b.estimate.parallelism)
	}
	s.load.others = max(0, report.InFlight-s.attempts.held())
	typical := b.typicalOthersLoad(s)
	s.load.othersAverage = typical + serverLoadSmoothing*(s.load.others-typical)
	s.load.reportedAt = b.now
	b.estimate.othersLoad += othersLoadSmoothing * (s.load.others/b.estimatedCapacity(s) - b.estimate.othersLoad)
}

// estimateRequests estimates how many requests a server holds, and how much of that is doubtful. A
// report ages toward the mean.
func (b *Balancer) estimateRequests(s *server) float64 {
	own := s.attempts.held()
	s.estimate.doubt = 0
	if !b.settings.LoadReports {
		return own
	}
	s.estimate.doubt = 1
	typical := b.typicalOthersLoad(s)
	// One standard deviation above the mean, if it is a Poisson process, as far as probes could find a
	// server with less load.
	typical += b.probeCoverage() * math.Sqrt(typical)
	if b.gossipAlive() {
		// A message is half an interval old in the mean.
		trust := math.Exp(-b.gossip.interval / (gossipTrustUnits * max(1, b.estimate.unitTime)))
		typical += trust * (s.gossipedLoad() - typical)
		s.estimate.doubt -= trust
	}
	if s.load.reportedAt == 0 {
		return own + typical
	}
	age := b.now - s.load.reportedAt + b.estimate.reportLag
	known := math.Exp(-age / (reportTrustUnits * max(1, b.estimate.unitTime)))
	s.estimate.doubt *= 1 - known
	return own + typical + (s.load.others-typical)*known
}

// typicalOthersLoad is how many requests other nodes usually have at a server: its own mean, or the
// fleet's where its last report is old. A node that hears of a server once a minute must not take
// silence for an idle server.
func (b *Balancer) typicalOthersLoad(s *server) float64 {
	typical := b.estimate.othersLoad * b.estimatedCapacity(s) // all nodes send a warming server less
	if s.load.reportedAt == 0 {
		return typical
	}
	age := b.now - s.load.reportedAt
	return typical + (s.load.othersAverage-typical)*math.Exp(-age/(othersLoadTimeConstant*b.estimate.unitTime))
}

// serviceRounds is how many unit times pass until a server that holds so many requests has finished
// one more. It works on several at once; only what is beyond them waits.
func (b *Balancer) serviceRounds(requests, work float64) float64 {
	parallelism := math.Round(b.estimate.parallelism)
	return work + max(0, requests+1-parallelism)/parallelism
}
