package balancer

import "math"

const (
	// parallelismSmoothing is the weight of a new report of a queue in the estimated parallelism.
	parallelismSmoothing = 0.05
	// othersLoadSmoothing is the weight of a new report in the fleet-wide mean number of requests that
	// other nodes have at a server.
	othersLoadSmoothing = 0.05
	// serverLoadSmoothing is the weight of a new report in the mean number of requests that other nodes
	// have at the reporting server.
	serverLoadSmoothing = 0.2
	// othersTimeConstantUnits is the time constant, in unit times, with which the mean of one server
	// decays toward the fleet-wide mean.
	othersTimeConstantUnits = 4.0
	// gossipTimeConstantUnits and reportTimeConstantUnits are the time constants, in unit times, with
	// which the weights of gossip and of a load report decay.
	gossipTimeConstantUnits = 4
	reportTimeConstantUnits = 2
	// reportLagSmoothing is the weight of a new sample in the averages of the report lag and of the
	// gossip interval.
	reportLagSmoothing = 0.05
	// reportFreshFor, in ms, is the time after a load report during which the server is not probed. It is
	// also the minimum age of an open attempt for it to count as missing from a report.
	reportFreshFor = 8.0
)

// serverLoad is the load that other nodes put on a server, according to its load reports.
type serverLoad struct {
	others        float64 // requests of other nodes at the server, according to the latest report
	othersAverage float64 // smoothed
	reportedAt    Millis  // 0: no report yet
	probePending  bool
}

// recordLoadReport updates the load estimates with a load report of a server.
func (b *Balancer) recordLoadReport(s *server, report LoadReport) {
	if !report.Valid {
		return
	}
	b.markMissingAttempts(s, report)
	s.estimate.computedAt = estimateOutdated
	if report.QueueKnown && report.Queued >= 1 { // with a queue, all of the server's parallelism is in use
		inService := max(1, report.InFlight-report.Queued)
		b.estimate.parallelism += parallelismSmoothing * (inService - b.estimate.parallelism)
	}
	s.load.others = max(0, report.InFlight-s.attempts.atServer())
	typical := b.typicalOthersLoad(s)
	s.load.othersAverage = typical + serverLoadSmoothing*(s.load.others-typical)
	s.load.reportedAt = b.now
	b.estimate.othersLoad += othersLoadSmoothing * (s.load.others/b.estimatedCapacity(s) - b.estimate.othersLoad)
}

// estimateRequests estimates how many requests a server has, and sets the uncertainty of the estimate.
// The estimate decays from the latest report toward the typical load as the report ages.
func (b *Balancer) estimateRequests(s *server) float64 {
	ownRequests := s.attempts.atServer()
	s.estimate.uncertainty = 0
	if !b.settings.LoadReports {
		return ownRequests
	}
	s.estimate.uncertainty = 1
	typical := b.typicalOthersLoad(s)
	// If probes can find a server with less load, the assumed load is above the mean, by up to one
	// standard deviation. If arrivals are a Poisson process, this is the square root of the mean.
	typical += b.probeCoverage() * math.Sqrt(typical)
	if b.gossipAlive() {
		// On average, a gossip message is half an interval old. The time constant of gossip is twice that of
		// a load report, so the whole interval is used here.
		gossipWeight := exponential(-b.gossip.interval / (gossipTimeConstantUnits * max(1, b.estimate.unitTime)))
		typical += gossipWeight * (s.gossipedLoad() - typical)
		s.estimate.uncertainty -= gossipWeight
	}
	if s.load.reportedAt == 0 {
		return ownRequests + typical
	}
	age := b.now - s.load.reportedAt + b.estimate.reportLag
	reportWeight := exponential(-age / (reportTimeConstantUnits * max(1, b.estimate.unitTime)))
	s.estimate.uncertainty *= 1 - reportWeight
	return ownRequests + typical + (s.load.others-typical)*reportWeight
}

// typicalOthersLoad returns how many requests other nodes usually have at a server: the mean of this
// server, decayed toward the fleet-wide mean according to the age of its latest report. A node that
// gets a report of a server only once a minute must not treat it as idle between the reports.
func (b *Balancer) typicalOthersLoad(s *server) float64 {
	typical := b.estimate.othersLoad * b.estimatedCapacity(s) // all nodes send less to a server in slow start
	if s.load.reportedAt == 0 {
		return typical
	}
	age := b.now - s.load.reportedAt
	fading := exponential(-age / (othersTimeConstantUnits * b.estimate.unitTime))
	return typical + (s.load.othersAverage-typical)*fading
}

// serviceRounds returns how many unit times a server that has the given number of requests needs to
// finish another one of the given work. The server works on several requests in parallel; only the
// requests beyond its parallelism add waiting time.
func (b *Balancer) serviceRounds(requests, work float64) float64 {
	parallelism := math.Round(b.estimate.parallelism)
	return work + max(0, requests+1-parallelism)/parallelism
}
