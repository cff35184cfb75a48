package balancer

import "math"

const (
	// retryAgeFraction is the part of the latency objective that the attempts before a retry are taken
	// to have used at most.
	retryAgeFraction = 0.7
	// Bounds of a request's work, in mean requests, and the weight of a new hint in the mean.
	minWork           = 0.25
	maxWork           = 32
	workHintSmoothing = 0.02
	// maxHintSample bounds a hint's effect on the mean, in means.
	maxHintSample = 4
)

// classState is one class of request and what this node knows of it.
type classState struct {
	Class
	servedShare
	index int // in Settings.Classes
	// protectedObjective, in ms, is the shortest latency objective among the classes with a higher
	// priority weight and a shorter objective; +Inf without any. Requests of this class must not
	// hold servers for longer than a part of it.
	protectedObjective Millis
	// longestTimeout is the longest time that a client gave an attempt. A shorter one is cut by the
	// client's total timeout.
	longestTimeout Millis
}

// setObjective dates the latency objective. For a retry it counts from the client's first attempt,
// as far as that is known: an attempt with a shorter timeout than the longest seen is cut by the
// client's total timeout, so its first attempt began a total timeout before the deadline.
func (b *Balancer) setObjective(r *request, isRetry bool) {
	class := r.class
	timeout := r.deadline - b.now
	class.longestTimeout = max(class.longestTimeout, timeout)
	objective := class.LatencyObjective + class.ObjectivePerWork*r.work*b.estimate.unitTime
	r.objectiveAt = b.now + objective
	cut := timeout < class.longestTimeout-1
	switch {
	case isRetry && cut:
		r.objectiveAt = min(r.objectiveAt, r.deadline-class.TotalTimeout+objective)
	case isRetry: // the first attempt began between just now and the earliest time that would have cut this one
		r.objectiveAt -= min((class.TotalTimeout-class.longestTimeout)/2, retryAgeFraction*objective)
	}
	r.late = r.objectiveAt <= b.now
}

// timeToObjective is the time in which an answer still has its full weight; for a late request, the
// time until its deadline.
func (b *Balancer) timeToObjective(r *request) Millis {
	if r.late {
		return r.deadline - b.now
	}
	return min(r.objectiveAt, r.deadline) - b.now
}

// workFromHint is a request's work by its hint, in mean requests.
func (b *Balancer) workFromHint(hint Millis) float64 {
	if b.estimate.meanWorkHint == 0 {
		b.estimate.meanWorkHint = hint
	}
	mean := b.estimate.meanWorkHint
	// A heavy request must not move the mean much.
	b.estimate.meanWorkHint += workHintSmoothing * (min(hint, maxHintSample*mean) - mean)
	return min(maxWork, max(minWork, hint/mean))
}

// priorityWeight is what a timely answer earns.
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

// shortestMoreUrgentObjective is the shortest latency objective among the classes with a higher
// priority weight and a shorter objective than the given one; +Inf without any.
func shortestMoreUrgentObjective(settings Settings, class Class) Millis {
	shortest := math.Inf(1)
	for _, other := range settings.Classes {
		if other.PriorityWeight > class.PriorityWeight && other.LatencyObjective < class.LatencyObjective {
			shortest = min(shortest, other.LatencyObjective)
		}
	}
	return shortest
}
