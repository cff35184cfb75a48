package balancer

import (
	"cmp"
	"slices"
)

// EjectionStatus is the reason why a server is or is not ejected.
type EjectionStatus string

// The ejection statuses, in the order in which they are checked.
const (
	// Ejected means that the server waits for its trial or for the trial's outcome.
	Ejected EjectionStatus = "ejected"
	// NoFailures means that the error window has no failure. If SinceOutcome is also long, the server
	// gets no requests that could fail, because the picker expects other servers to be faster.
	NoFailures EjectionStatus = "no failures"
	// TooFewFailures means that the server has too few failures for an ejection, both consecutive ones
	// and as a fraction of the error window.
	TooFewFailures EjectionStatus = "too few failures"
	// UsualFailures means that the server has enough consecutive failures, but fails so often that such
	// a streak is likely by chance.
	UsualFailures EjectionStatus = "no more failures than usual"
	// OthersUnhealthy means that the server has enough failures, but too few other servers fail clearly
	// less often.
	OthersUnhealthy EjectionStatus = "too few others are healthy"
	// NextFailureEjects means that the server has enough failures and enough other servers have become
	// healthy since.
	NextFailureEjects EjectionStatus = "ejected at its next failure"
)

// ServerHealth describes the failures of one server, for an operator who needs to find out why it is
// or is not ejected.
type ServerHealth struct {
	Server              ServerID
	Status              EjectionStatus
	ConsecutiveFailures int
	Failures            int     // in the error window of ten seconds
	Outcomes            int     // in the error window, successes and failures
	InFlight            int     // open attempts of this node
	Score               float64 // from 0 to 1
	UnitTime            Millis  // expected service time of a request of mean work
	SinceOutcome        Millis  // since the last outcome; since time 0 of the node's clock if there is none
}

// ServerHealth returns the health of at most limit ready servers at the time now. Ejected servers come
// first, then those with the most failures in the error window, then those with the oldest outcome.
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

// ejectionStatus returns the ejection status of a server. It checks the same conditions as
// updateEjection, in the same order.
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

// compareHealth orders servers by their relevance to an operator, most relevant first.
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
