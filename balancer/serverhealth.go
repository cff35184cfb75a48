package balancer

import (
	"cmp"
	"slices"
)

// EjectionStatus says why a server is ejected or is not.
type EjectionStatus string

// The statuses, in the order in which they are asked.
const (
	// Ejected: it waits for its trial, or for the trial's answer.
	Ejected EjectionStatus = "ejected"
	// NoFailures: none in the window. Where SinceOutcome is long too, it gets no requests that could
	// fail: the picker sends them to servers that it expects to be faster.
	NoFailures EjectionStatus = "no failures"
	// TooFewFailures: fewer than eject a server, neither in a row nor as a share of the window.
	TooFewFailures EjectionStatus = "too few failures"
	// UsualFailures: enough in a row, but the server fails so often anyway that this is chance.
	UsualFailures EjectionStatus = "no more failures than usual"
	// OthersUnhealthy: enough failures, but too few other servers fail clearly less.
	OthersUnhealthy EjectionStatus = "too few others are healthy"
	// NextFailureEjects: enough failures, and others are healthy by now.
	NextFailureEjects EjectionStatus = "ejected at its next failure"
)

// ServerHealth is what the balancer knows of one server's failures, for an operator who asks why it
// is or is not ejected.
type ServerHealth struct {
	Server              ServerID
	Status              EjectionStatus
	ConsecutiveFailures int
	Failures            int     // in the error window of ten seconds
	Outcomes            int     // in the error window, successes and failures
	InFlight            int     // attempts of this node
	Score               float64 // from 0 to 1
	UnitTime            Millis  // expected for each request that it holds
	SinceOutcome        Millis  // since its last outcome; since the clock's zero where it had none
}

// ServerHealth returns the health of the ready servers as of a time, at most limit of them: the ejected
// first, then those with the most failures in the window, then those without an outcome for longest.
func (b *Balancer) ServerHealth(now Millis, limit int) []ServerHealth {
	all := make([]ServerHealth, 0, len(b.servers.ready))
	for _, s := range b.servers.ready {
		successes, failures := s.outcomeCounts(now)
		all = append(all, ServerHealth{
			Server:              s.ID,
			Status:              b.ejectionStatus(s, now),
			ConsecutiveFailures: s.outlier.consecutiveFailures,
			Failures:            failures,
			Outcomes:            successes + failures,
			InFlight:            s.attempts.inFlight,
			Score:               s.score,
			UnitTime:            s.estimate.unitTime,
			SinceOutcome:        now - s.timing.outcomeAt,
		})
	}
	slices.SortStableFunc(all, compareHealth)
	return all[:min(limit, len(all))]
}

// ejectionStatus asks what updateEjection asks, in its order.
func (b *Balancer) ejectionStatus(s *server, now Millis) EjectionStatus {
	_, failures := s.outcomeCounts(now)
	switch {
	case s.outlier.ejected:
		return Ejected
	case failures == 0:
		return NoFailures
	case !s.isOutlier(now) && s.outlier.consecutiveFailures < ejectionConsecutiveFailures:
		return TooFewFailures
	case !s.isOutlier(now):
		return UsualFailures
	case !b.othersHealthy(s):
		return OthersUnhealthy
	}
	return NextFailureEjects
}

// compareHealth orders servers by how much an operator has to see them.
func compareHealth(a, b ServerHealth) int {
	switch {
	case (a.Status == Ejected) != (b.Status == Ejected):
		if a.Status == Ejected {
			return -1
		}
		return 1
	case a.Failures != b.Failures:
		return cmp.Compare(b.Failures, a.Failures)
	}
	return cmp.Compare(b.SinceOutcome, a.SinceOutcome)
}
