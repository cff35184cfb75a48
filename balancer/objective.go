package balancer

import "math"

const (
	// retryAgeFraction is the largest fraction of the latency objective that the attempts before a retry
	// are assumed to have used.
	retryAgeFraction = 0.7
	// minWork and maxWork limit a request's work. The work of the mean request is 1.
	minWork = 0.25
	maxWork = 32
	// workHintSmoothing is the weight of a new work hint in the mean of the hints.
	workHintSmoothing = 0.02
	// maxHintSample limits the hint that enters the mean, as a multiple of the mean.
	maxHintSample = 4
)

// classState is one class of request with this node's measurements.
type classState struct {
	Class
	servedFraction
	index int // in Settings.Classes
	// protectedObjective, in ms, is the shortest latency objective among the classes with a higher
	// priority weight and a shorter objective; +Inf if there is none. Requests of this class may occupy a
	// server only for a fraction of that time.
	protectedObjective Millis
	// longestTimeout, in ms, is the longest timeout of an attempt that any client has used. If the timeout
	// of an attempt is shorter, the client's total timeout ends that attempt.
	longestTimeout Millis
}

// setObjective sets the time by which the request should be answered. The latency objective of a retry
// counts from the client's first attempt. The start of that attempt can be derived only if the retry's
// timeout is shorter than longestTimeout: then the client's total timeout ends the retry, so the first
// attempt began TotalTimeout before the deadline.
func (b *Balancer) setObjective(r *request, isRetry bool) {
	class := r.class
	timeout := r.deadline - b.now
	class.longestTimeout = max(class.longestTimeout, timeout)
	objective := class.LatencyObjective + class.ObjectivePerWork*r.work*b.estimate.unitTime
	r.objectiveAt = b.now + objective
	endedByTotalTimeout := timeout < class.longestTimeout-1
	switch {
	case isRetry && endedByTotalTimeout:
		r.objectiveAt = min(r.objectiveAt, r.deadline-class.TotalTimeout+objective)
	case isRetry: // the first attempt began at most TotalTimeout-longestTimeout ago: assume half
		r.objectiveAt -= min((class.TotalTimeout-class.longestTimeout)/2, retryAgeFraction*objective)
	}
	r.late = r.objectiveAt <= b.now
}

// timeToObjective returns the remaining time in which an answer has its full priority weight; for a late
// request, the time until its deadline.
func (b *Balancer) timeToObjective(r *request) Millis {
	if r.late {
		return r.deadline - b.now
	}
	return min(r.objectiveAt, r.deadline) - b.now
}

// workFromHint returns a request's work, as a multiple of the mean request's, and adds the hint to the mean.
func (b *Balancer) workFromHint(hint Millis) float64 {
	if b.estimate.meanWorkHint == 0 {
		b.estimate.meanWorkHint = hint
	}
	mean := b.estimate.meanWorkHint
	// The sample is limited so that one heavy request changes the mean little.
	b.estimate.meanWorkHint += workHintSmoothing * (min(hint, maxHintSample*mean) - mean)
	return min(maxWork, max(minWork, hint/mean))
}

// priorityWeight returns the weight of a request that is answered in time.
func (b *Balancer) priorityWeight(r *request) float64 {
	weight := r.class.PriorityWeight
	if b.settings.WeightByWork {
		weight *= r.work
	}
	if r.overQuota {
		weight *= b.settings.OverQuotaFraction
	}
	return weight
}

// shortestMoreUrgentObjective returns the shortest latency objective among the classes with a higher
// priority weight and a shorter objective than the given class, or +Inf if there is none.
func shortestMoreUrgentObjective(settings Settings, class Class) Millis {
	shortest := math.Inf(1)
	for _, other := range settings.Classes {
		if other.PriorityWeight > class.PriorityWeight && other.LatencyObjective < class.LatencyObjective {
			shortest = min(shortest, other.LatencyObjective)
		}
	}
	return shortest
}
