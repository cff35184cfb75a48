package balancer

import "math"

const (
	// probesPerRequest servers are probed for their load before a request is sent: one of them in a
	// busy fleet is likely idle.
	probesPerRequest = 6
	// minProbeWait, in ms, is how long a request waits for its probes at least.
	minProbeWait = 4.0
	// probeBudgetFraction is the share of all priority weight that probes may cost.
	probeBudgetFraction = 0.012
	// probeAgainAfter, in unit times, is when a queued request probes again: by then some busy
	// servers have finished a request.
	probeAgainAfter = 0.25
	// probeRejectionStep: each probe that a server rejects lowers the acceptance by this share; one
	// that is answered raises it by a tenth of it.
	probeRejectionStep = 0.05
	// probeRoundTripSmoothing is the weight of a new sample of the probes' round trip.
	probeRoundTripSmoothing = 0.05
	// savedProbeRounds bounds the saved probes, in requests' worth of probes.
	savedProbeRounds = 3
)

// loadProbing is the budget of load probes.
type loadProbing struct {
	tokens     tokenBucket // probes that may be sent
	acceptance float64     // share of the probes that the servers accept, from 0 to 1
	roundTrip  Millis      // usual time of a probe
}

// sendLoadProbes probes a few servers, drawn by score, whose load isn't known. Their answers decide
// where the request goes.
func (b *Balancer) sendLoadProbes(r *request) {
	if !b.settings.ProbesAllowed || !b.settings.LoadReports || len(b.servers.ready) < 2 {
		return
	}
	sent := 0
	candidates := b.candidates(r)
	first, second := b.affinityServers(r)
	for i := range probesPerRequest {
		s := b.drawByScore(candidates)
		if i < 2 && first != nil {
			s = []*server{first, second}[i]
		}
		if s == nil || !b.worthProbing(s) || !b.probing.tokens.take() {
			continue
		}
		s.load.probePending = true
		s.idleConnections = max(0, s.idleConnections-1)
		b.emit(ProbeLoad{s.ID})
		sent++
	}
	if sent > 0 && b.probing.roundTrip <= b.probeWait() { // otherwise the answers come too late for this request
		r.probesUntil = b.now + b.probeWait()
		b.emit(SetTimer{timerProbes, r.probesUntil})
	}
}

// worthProbing reports whether a server's load is unknown and a probe of it costs no expensive
// connection as well.
func (b *Balancer) worthProbing(s *server) bool {
	needsConnection := s.idleConnections < 1
	prices := b.settings.Prices
	if needsConnection && prices.Handshake > prices.Probe/2 {
		return false
	}
	return !s.load.probePending && b.now-s.load.reportedAt >= reportFreshFor
}

// probeWait is how long a request waits for its probes, in ms: long enough for a node that looks at
// answers once a tick.
func (b *Balancer) probeWait() Millis { return max(minProbeWait, 2*b.settings.Tick) }

// probeCoverage is the chance that a queued request hears of an idle server: the probes that may be
// spent on each request, at most 1. Where probes are expensive and nodes are many, nothing is known of
// nearly all servers and waiting tells nothing.
func (b *Balancer) probeCoverage() float64 {
	if !b.settings.ProbesAllowed {
		return 0
	}
	return b.probing.acceptance * min(1, probeBudgetFraction/max(minPrice, b.settings.Prices.Probe))
}

// earnProbes adds what one new request allows to spend on probes. Little is gained by probing idle
// servers.
func (b *Balancer) earnProbes() {
	perServer := b.estimate.othersLoad + float64(b.openAttempts)/max(1, float64(len(b.servers.ready)))
	spend := b.probing.acceptance * probeBudgetFraction * min(1, perServer/math.Round(b.estimate.parallelism))
	b.probing.tokens.earn(spend/max(minPrice, b.settings.Prices.Probe), savedProbeRounds*probesPerRequest)
}

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
		queuedThere := b.settings.ReportsFromProbesOnly && e.Elapsed <= missingAfterFactor*b.probing.roundTrip
		if !queuedThere { // where probes wait like requests, a slow one shows a queue and no fault
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

// recordFailedProbe counts a failed probe against the server: one that doesn't answer a probe
// serves nothing.
func (b *Balancer) recordFailedProbe(s *server, e LoadProbeCompleted) {
	s.outcomes.record(b.now, false)
	b.updateEjection(s, e.Outcome, b.now-e.Elapsed)
}
