package balancer

import "math"

const (
	// probesPerRequest is the maximum number of servers that are probed for their load before a request
	// is sent. Even in a busy fleet, one of that many is likely to be idle.
	probesPerRequest = 6
	// minProbeWait, in ms, is the lower bound of probeWait, the maximum time that a request waits for the
	// results of its probes.
	minProbeWait = 4.0
	// probeBudgetFraction is the maximum cost of probes, as a fraction of all priority weight.
	probeBudgetFraction = 0.012
	// probeAgainAfter, in unit times, is the time after which a queued request sends probes again. By
	// then some busy servers have finished a request.
	probeAgainAfter = 0.25
	// probeRejectionStep is the fraction by which a rejected or timed-out probe lowers the acceptance
	// rate. Every completed probe, whatever its outcome, raises the rate by a tenth of this value.
	probeRejectionStep = 0.05
	// probeRoundTripSmoothing is the weight of a new sample in the average round-trip time of probes.
	probeRoundTripSmoothing = 0.05
	// maxSavedProbeRounds limits the saved probe budget, in multiples of probesPerRequest.
	maxSavedProbeRounds = 3
)

// loadProbing holds the budget and the statistics of load probes.
type loadProbing struct {
	tokens     tokenBucket // probes that may be sent
	acceptance float64     // smoothed fraction of probes that servers accept, from 0 to 1
	roundTrip  Millis      // smoothed round-trip time
}

// sendLoadProbes probes a few servers whose load is unknown: the affinity servers of the request, and
// servers drawn by score. The results are used to choose the request's server.
func (b *Balancer) sendLoadProbes(r *request) {
	if !b.settings.ProbesAllowed || !b.settings.LoadReports || len(b.servers.ready) < 2 {
		return
	}
	sent := 0
	candidates := b.candidates(r)
	primary, secondary := b.affinityServers(r)
	for i := range probesPerRequest {
		s := b.drawByScore(candidates)
		if i < 2 && primary != nil {
			s = []*server{primary, secondary}[i]
		}
		if s == nil || !b.shouldProbe(s) || !b.probing.tokens.take() {
			continue
		}
		s.load.probePending = true
		s.idleConnections = max(0, s.idleConnections-1)
		b.emit(ProbeLoad{s.ID})
		sent++
	}
	if sent > 0 && b.probing.roundTrip <= b.probeWait() { // otherwise the results arrive too late
		r.probesUntil = b.now + b.probeWait()
		b.emit(SetTimer{timerProbes, r.probesUntil})
	}
}

// shouldProbe reports whether a server's load is unknown and a probe does not require an expensive new
// connection.
func (b *Balancer) shouldProbe(s *server) bool {
	needsConnection := s.idleConnections < 1
	prices := b.settings.Prices
	if needsConnection && prices.Handshake > prices.Probe/2 {
		return false
	}
	return !s.load.probePending && b.now-s.load.reportedAt >= reportFreshFor
}

// probeWait returns the maximum time that a request waits for the results of its probes. It covers
// two ticks, because a node processes results only once per tick.
func (b *Balancer) probeWait() Millis { return max(minProbeWait, 2*b.settings.Tick) }

// probeCoverage returns the probability that probes find an idle server for a queued request. It is
// estimated as the number of probes that the budget allows for each request, at most 1. If probes are
// expensive and there are many nodes, the load of nearly all servers remains unknown, so queuing a
// request gains no information.
func (b *Balancer) probeCoverage() float64 {
	if !b.settings.ProbesAllowed {
		return 0
	}
	return b.probing.acceptance * min(1, probeBudgetFraction/max(minPrice, b.settings.Prices.Probe))
}

// creditProbeBudget increases the probe budget for one new request. The increase is smaller if servers
// are mostly idle, because probing idle servers gains little.
func (b *Balancer) creditProbeBudget() {
	meanLoad := b.estimate.othersLoad + float64(b.openAttempts)/max(1, float64(len(b.servers.ready)))
	spend := b.probing.acceptance * probeBudgetFraction * min(1, meanLoad/math.Round(b.estimate.parallelism))
	b.probing.tokens.credit(spend/max(minPrice, b.settings.Prices.Probe), maxSavedProbeRounds*probesPerRequest)
}

// handleLoadProbeCompleted records the result of a load probe.
func (b *Balancer) handleLoadProbeCompleted(e LoadProbeCompleted) {
	s := b.servers.byID[e.Server]
	if s == nil {
		return
	}
	s.load.probePending = false
	s.recordConnection(e.Outcome)
	b.probing.acceptance = min(1, b.probing.acceptance+probeRejectionStep/10)
	switch e.Outcome {
	case OK:
		b.recordProbeRoundTrip(e.Elapsed)
		b.recordLoadReport(s, e.Report)
	case Overloaded:
		b.probing.acceptance *= 1 - probeRejectionStep
	case TimedOut:
		b.probing.acceptance *= 1 - probeRejectionStep
		b.recordProbeRoundTrip(e.Elapsed)
		likelyQueued := b.settings.ReportsFromProbesOnly && e.Elapsed <= missingAfterFactor*b.probing.roundTrip
		if !likelyQueued { // if probes are queued like requests, a slow probe indicates a queue, not a fault
			b.recordFailedProbe(s, e)
		}
	case Errored, Unreachable, ConnectionLost:
		b.recordFailedProbe(s, e)
	}
	b.dispatchQueue()
}

func (b *Balancer) recordProbeRoundTrip(elapsed Millis) {
	b.probing.roundTrip += probeRoundTripSmoothing * (elapsed - b.probing.roundTrip)
}

// recordFailedProbe counts a failed probe as a failure of the server, because a server that does not
// answer probes does not serve requests either.
func (b *Balancer) recordFailedProbe(s *server, e LoadProbeCompleted) {
	s.outcomes.record(b.now, false)
	b.updateEjection(s, e.Outcome, b.now-e.Elapsed)
}
