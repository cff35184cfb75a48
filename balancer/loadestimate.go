package balancer

import (
	"math"
	"slices"
)

const (
	// parallelismSmoothing is the weight of a new report of a queue in the estimate of parallelism.
	parallelismSmoothing = 0.05
	// othersLoadSmoothing is the weight of a new report in the fleet's mean load by other nodes.
	othersLoadSmoothing = 0.05
	// serverLoadSmoothing is the weight of a new report in one server's mean load by other nodes.
	serverLoadSmoothing = 0.2
	// othersLoadMemory is the time constant, in unit times, with which a server's own mean returns
	// to the fleet's.
	othersLoadMemory = 4.0
	// reportLagSmoothing is the weight of a new sample of the lag of reports, and of the interval
	// of gossip.
	reportLagSmoothing = 0.05
	// reportFreshFor, in ms: within it a report needs no load probe, and does not contradict an
	// attempt sent before it.
	reportFreshFor = 8.0
	// missingAfterFactor: an attempt that is out for this multiple of its expected time and not in
	// the server's report is missing.
	missingAfterFactor = 3.0
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
	own := float64(s.attempts.inFlight - s.attempts.missing - s.attempts.awaitingBody)
	s.load.others = max(0, report.InFlight-own)
	typical := b.typicalOthersLoad(s)
	s.load.othersAverage = typical + serverLoadSmoothing*(s.load.others-typical)
	s.load.reportedAt = b.now
	b.estimate.othersLoad += othersLoadSmoothing * (s.load.others/b.estimatedCapacity(s) - b.estimate.othersLoad)
}

// markMissingAttempts marks the attempts at a server that its report doesn't hold, oldest first, of
// those that an answer to a later attempt has overtaken or that take far longer than expected. They
// are no load, and their silence says nothing about the server's speed. One that may be repeated is
// cancelled, so that it is retried elsewhere while it is in time; the retry costs no budget, since
// no server works on the request.
func (b *Balancer) markMissingAttempts(s *server, report LoadReport) {
	missing := b.unreportedAttempts(s, report)
	s.attempts.missing = 0
	for _, r := range slices.Clone(s.attempts.requests) {
		a := r.openAttemptAt(s)
		if a.sentAt > b.now { // its body is still coming: no server has the request yet
			continue
		}
		elapsed := b.now - a.sentAt
		known := a.missing
		if missing >= 1 && a.missingAfter == 0 {
			a.missingAfter = elapsed
		}
		overtaken := a.sentAt < s.attempts.latestAnswered
		overdue := elapsed > missingAfterFactor*a.expected
		a.missing = missing >= 1 && elapsed > reportFreshFor+2*b.estimate.reportLag && (overtaken || overdue)
		if !a.missing {
			continue
		}
		missing--
		s.attempts.missing++
		repeatable := r.class.Idempotency != NonIdempotent && b.now < r.objectiveAt
		if !known && b.settings.CancelAllowed && !r.done && repeatable {
			b.emit(CancelAttempt{r.id, r.attemptIndex(a)})
		}
	}
}

// unreportedAttempts is how many of this node's attempts, of those out for longer than a report is
// fresh, a report can't hold.
func (b *Balancer) unreportedAttempts(s *server, report LoadReport) float64 {
	count := -report.InFlight
	for _, r := range s.attempts.requests {
		if b.now-r.openAttemptAt(s).sentAt > reportFreshFor {
			count++
		}
	}
	return count
}

// estimateRequests estimates how many requests a server holds, and how much of that is doubtful. A
// report ages toward the mean.
func (b *Balancer) estimateRequests(s *server) float64 {
	own := float64(s.attempts.inFlight - s.attempts.missing - s.attempts.awaitingBody)
	s.estimate.doubt = 0
	if !b.settings.LoadReports {
		return own
	}
	s.estimate.doubt = 1
	typical := b.typicalOthersLoad(s)
	// One standard deviation over the mean, where the load of other servers is known.
	typical += b.probeCoverage() * math.Sqrt(typical)
	if b.gossipAlive() {
		// A message is half an interval old in the mean.
		trust := math.Exp(-b.gossip.interval / (4 * max(1, b.estimate.unitTime)))
		typical += trust * (s.gossipedLoad() - typical)
		s.estimate.doubt -= trust
	}
	if s.load.reportedAt == 0 {
		return own + typical
	}
	age := b.now - s.load.reportedAt + b.estimate.reportLag
	known := math.Exp(-age / (2 * max(1, b.estimate.unitTime)))
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
	return typical + (s.load.othersAverage-typical)*math.Exp(-age/(othersLoadMemory*b.estimate.unitTime))
}

// serviceRounds is how many unit times pass until a server that holds so many requests has finished
// one more. It works on several at once; only what is beyond them waits.
func (b *Balancer) serviceRounds(requests, work float64) float64 {
	parallelism := math.Round(b.estimate.parallelism)
	return work + max(0, requests+1-parallelism)/parallelism
}
