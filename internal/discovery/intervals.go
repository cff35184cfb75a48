package discovery

import (
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
)

// notifyDeadline is how long this node may take to receive a change, counted from when discovery has the change and can be reached,
// whatever happened to earlier calls. The protocol considers the node notified after this time, and the drain grace of a server
// starts then. No sequence of waits between a change and the response that contains it may take longer; see
// intervals.worstCaseDelay.
const notifyDeadline = 6 * time.Second

// Timeouts that count towards notifyDeadline.
const (
	// responseReserve is reserved for the response to the call that succeeds, and for the balancer to process it.
	responseReserve = 500 * time.Millisecond

	// watchTimeoutMargin is how long the response to a watch may take beyond the time for which discovery holds the watch.
	watchTimeoutMargin = time.Second

	// callTimeoutFewNodes is the timeout of a call other than a watch in a small fleet.
	callTimeoutFewNodes = 1500 * time.Millisecond

	// callTimeoutManyNodes is the timeout of a call other than a watch in a large fleet, where discovery queues calls for up to
	// 2 s. A call that times out earlier yields no list, but costs discovery as much work as one that succeeds.
	callTimeoutManyNodes = 2500 * time.Millisecond
)

// firstResponseTimeout is how long a new process waits for discovery's first response before it serves. Discovery, an agent on the
// node's machine, has been notified of changes while the process before this one ran, and the drain grace of a server does not start
// again with the new process. An agent that is silent delays the start by this time.
const firstResponseTimeout = 250 * time.Millisecond

// minWatchInterval is the shortest time between two watches of which the first brought no news, so that a discovery service which
// does not hold watches is not called without a pause. The protocol takes a watch for ended 200 ms after its response.
const minWatchInterval = 50 * time.Millisecond

// Backoff after a failed call, before jitter unless stated otherwise.
const (
	// initialBackoff is the backoff after the first failure. It at least doubles with each further consecutive failure.
	initialBackoff = 50 * time.Millisecond

	// maxBackoffFewNodes is the longest backoff in a small fleet.
	maxBackoffFewNodes = 800 * time.Millisecond

	// maxJitterFactor is the largest factor by which jitter lengthens a backoff.
	maxJitterFactor = 1.5

	// failureBackoffGraceFraction is the longest backoff after a failure other than a rejection, as a fraction of the drain grace.
	// When an unresponsive discovery recovers, the protocol considers this node notified of all pending changes at once. The
	// backoff with its jitter and the response must therefore fit into the grace; with a longer backoff, this node would send
	// requests to servers that are draining.
	failureBackoffGraceFraction = 1.0 / 3

	// minFailureBackoff is the lower limit of intervals.maxFailureBackoff, even if the drain grace is very short.
	minFailureBackoff = 20 * time.Millisecond
)

// Spreading of the calls of a large fleet.
const (
	// fewNodes is the largest number of nodes that do not need to spread their calls.
	fewNodes = 8

	// fleetCallPeriodPerNode is the time per node of the period in which every node can call once without overloading discovery.
	// If calls arrive faster than discovery can answer, its queue grows until nearly all calls are rejected, and this lasts until
	// the rate of calls drops.
	fleetCallPeriodPerNode = 100 * time.Millisecond

	// rewatchSpreadPerNode is the time per other node over which nodes that watch on request spread the call that follows a lost
	// watch. The watches of all nodes are lost together, so their next calls would otherwise arrive together.
	rewatchSpreadPerNode = 25 * time.Millisecond

	// maxRewatchSpread is the longest time over which calls after a lost watch are spread.
	maxRewatchSpread = 1500 * time.Millisecond
)

// intervals holds the timeouts and delays that determine how soon this node receives a change.
type intervals struct {
	largeFleet         bool
	watchHold          time.Duration // how long discovery may hold a watch while nothing changes
	watchTimeoutMargin time.Duration // added to watchHold for the timeout of a watch
	callTimeout        time.Duration // timeout of any other call
	fleetCallPeriod    time.Duration // period in which all nodes can call once without overloading discovery; 0: small fleet
	rewatchSpread      time.Duration // time over which nodes that watch on request spread the calls after a lost watch
	maxRejectedBackoff time.Duration // longest backoff after a rejected call, without jitter
	maxFailureBackoff  time.Duration // longest backoff after any other failed call, without jitter
	maxRetryDelay      time.Duration // longest delay after a failed call, with Retry-After and jitter
}

// intervalsFor divides notifyDeadline among the timeouts and delays; no other code does so. With Options.WatchOnRequest the balancer
// controls the backoff, which is at most balancer.MaxPollBackoff.
func intervalsFor(o Options) intervals {
	largeFleet := o.Nodes > fewNodes
	iv := intervals{
		largeFleet:         largeFleet,
		watchTimeoutMargin: watchTimeoutMargin,
		callTimeout:        callTimeoutFewNodes,
		maxRejectedBackoff: maxBackoffFewNodes,
	}
	if largeFleet {
		iv.callTimeout = callTimeoutManyNodes
		iv.fleetCallPeriod = time.Duration(o.Nodes) * fleetCallPeriodPerNode
	}
	iv.maxRetryDelay = notifyDeadline - responseReserve - iv.callTimeout
	if largeFleet {
		iv.maxRejectedBackoff = min(4*iv.fleetCallPeriod, time.Duration(float64(iv.maxRetryDelay)/maxJitterFactor))
	}
	failureBackoff := max(minFailureBackoff, fractionOf(o.DrainGrace, failureBackoffGraceFraction))
	iv.maxFailureBackoff = min(iv.maxRejectedBackoff, failureBackoff)
	delayAfterWatch := maxWithJitter(initialBackoff)
	if o.WatchOnRequest {
		otherNodes := max(0, o.Nodes-1)
		iv.rewatchSpread = min(time.Duration(otherNodes)*rewatchSpreadPerNode, maxRewatchSpread)
		delayAfterWatch = iv.rewatchSpread
	}
	iv.watchHold = notifyDeadline - responseReserve - iv.watchTimeoutMargin - delayAfterWatch
	if o.MaxPollInterval > 0 {
		iv.watchHold = min(iv.watchHold, o.MaxPollInterval/2)
	}
	return iv
}

// worstCaseDelay returns the longest time from when discovery has a change and can be reached until this node receives the change. In
// the worst case the call in flight at that moment is lost, and the next call is made after its timeout and the following delay.
func (iv intervals) worstCaseDelay(watchOnRequest bool) time.Duration {
	delayAfterWatch := maxWithJitter(initialBackoff)
	delayAfterCall := max(iv.maxRetryDelay, maxWithJitter(max(iv.maxRejectedBackoff, iv.maxFailureBackoff)))
	if watchOnRequest {
		delayAfterWatch = iv.rewatchSpread
		delayAfterCall = clock.Duration(balancer.MaxPollBackoff)
	}
	lostWatchDelay := iv.watchHold + iv.watchTimeoutMargin + delayAfterWatch
	lostCallDelay := iv.callTimeout + delayAfterCall
	return responseReserve + max(lostWatchDelay, lostCallDelay)
}

// retryDelay returns the delay after a failed call: Retry-After plus the backoff with jitter, so that nodes that were rejected
// together do not call again together. A delay longer than maxRetryDelay is replaced by a random one between half of
// maxRetryDelay and maxRetryDelay.
func (iv intervals) retryDelay(retryAfter, backoff time.Duration) time.Duration {
	delay := retryAfter + backoff/2 + rand.N(backoff)
	if delay <= iv.maxRetryDelay {
		return delay
	}
	return iv.maxRetryDelay/2 + rand.N(iv.maxRetryDelay/2)
}

// maxWithJitter returns a backoff with the largest possible jitter.
func maxWithJitter(backoff time.Duration) time.Duration {
	return time.Duration(maxJitterFactor * float64(backoff))
}

// fractionOf returns a fraction of a duration.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
