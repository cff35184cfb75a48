package discovery

import (
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
)

// informDeadline is the time after which a change counts as known to this node, from when discovery had it and could be
// reached, whatever the earlier calls met. The drain grace of a server runs from then on. No sequence of waits between a
// change and its answer may take longer; see intervals.worstCase.
const informDeadline = 6 * time.Second

// The shares of informDeadline.
const (
	// answerReserve is left for the answer to the call that gets through, and for the balancer to handle it.
	answerReserve = 500 * time.Millisecond

	// watchOverrun is how long the answer to a watch may take beyond the time for which discovery holds it.
	watchOverrun = time.Second

	// callTimeoutFewNodes is the timeout of a call that is no watch.
	callTimeoutFewNodes = 1500 * time.Millisecond

	// callTimeoutManyNodes is the timeout of a call that is no watch where nodes are many, since discovery then lets calls wait for up to 2 s. A call that
	// is given up sooner has waited for nothing, and costs discovery as much.
	callTimeoutManyNodes = 2500 * time.Millisecond
)

// Backoff after a failed call.
const (
	// initialBackoff is the first pause. It doubles with each further failure.
	initialBackoff = 50 * time.Millisecond

	// maxBackoffFewNodes is the longest pause where nodes are few.
	maxBackoffFewNodes = 800 * time.Millisecond

	// maxJitter times a pause is the longest that jitter makes of it.
	maxJitter = 1.5

	// silentBackoffGraceShare of the drain grace is the longest pause after a call that got no answer. Whatever a silent
	// discovery has when it comes back counts as known at once, so that the pause with its jitter and an answer must fit into
	// the grace. A longer pause has this node send requests to servers that drain.
	silentBackoffGraceShare = 1.0 / 3

	// minSilentBackoff is the least pause after a call that got no answer, however short the grace.
	minSilentBackoff = 20 * time.Millisecond
)

// Spreading the calls of many nodes.
const (
	// fewNodes is up to how many nodes need not spread their calls.
	fewNodes = 8

	// fleetRoundPerNode for each node is the time in which all of them may call once without overloading discovery. Calls
	// that come faster than it can answer wait until they are rejected, nearly all of them, for as long as that goes on.
	fleetRoundPerNode = 100 * time.Millisecond

	// firstCallGraceShare of the drain grace is the longest time over which first calls are spread. Changes since the list
	// that the node was started with count as known from its start; the rest of the grace is for the answer.
	firstCallGraceShare = 0.5

	// rewatchSpreadPerNode for each other node is the time over which on-demand nodes spread the call that follows a lost
	// watch, and maxRewatchSpread the longest such: their watches are lost together.
	rewatchSpreadPerNode = 25 * time.Millisecond
	maxRewatchSpread     = 1500 * time.Millisecond
)

// intervals are the waits between a change and this node's knowing it.
type intervals struct {
	watchHold          time.Duration // for which discovery may hold a watch without changes
	watchOverrun       time.Duration // beyond watchHold until a watch is given up
	callTimeout        time.Duration // until any other call is given up
	firstCallSpread    time.Duration // over which nodes spread their first calls; 0: not at all
	fleetRound         time.Duration // in which all nodes may call once without overloading discovery; 0: nodes are few
	rewatchSpread      time.Duration // over which on-demand nodes spread the calls after a lost watch
	maxRejectedBackoff time.Duration // between calls that are rejected, without jitter
	maxSilentBackoff   time.Duration // between calls that get no answer, without jitter
	maxRetryDelay      time.Duration // between calls that are rejected, with Retry-After and jitter
}

// intervalsFor shares informDeadline out among the waits, the only place where that is done. On demand the backoff is the
// balancer's instead, balancer.MaxPollBackoff at the most.
func intervalsFor(o Options) intervals {
	manyNodes := o.Nodes > fewNodes
	iv := intervals{
		watchOverrun:       watchOverrun,
		callTimeout:        callTimeoutFewNodes,
		maxRejectedBackoff: maxBackoffFewNodes,
	}
	if manyNodes {
		iv.callTimeout = callTimeoutManyNodes
		iv.fleetRound = time.Duration(o.Nodes) * fleetRoundPerNode
		iv.firstCallSpread = min(iv.fleetRound, share(o.DrainGrace, firstCallGraceShare))
	}
	iv.maxRetryDelay = informDeadline - answerReserve - iv.callTimeout
	if manyNodes {
		iv.maxRejectedBackoff = min(4*iv.fleetRound, time.Duration(float64(iv.maxRetryDelay)/maxJitter))
	}
	silentBackoff := max(minSilentBackoff, share(o.DrainGrace, silentBackoffGraceShare))
	iv.maxSilentBackoff = min(iv.maxRejectedBackoff, silentBackoff)
	afterWatch := withJitter(initialBackoff)
	if o.WatchOnRequest {
		otherNodes := max(0, o.Nodes-1)
		iv.rewatchSpread = min(time.Duration(otherNodes)*rewatchSpreadPerNode, maxRewatchSpread)
		afterWatch = iv.rewatchSpread
	}
	iv.watchHold = informDeadline - answerReserve - iv.watchOverrun - afterWatch
	if o.MaxPollInterval > 0 {
		iv.watchHold = min(iv.watchHold, o.MaxPollInterval/2)
	}
	return iv
}

// worstCase is the longest time from when discovery has a change and can be reached to this node's knowing it: the call in
// flight then is lost, and the next one has to wait for its timeout and for the pause after it.
func (iv intervals) worstCase(onDemand bool) time.Duration {
	afterWatch := withJitter(initialBackoff)
	afterCall := max(iv.maxRetryDelay, withJitter(max(iv.maxRejectedBackoff, iv.maxSilentBackoff)))
	if onDemand {
		afterWatch = iv.rewatchSpread
		afterCall = clock.Span(balancer.MaxPollBackoff)
	}
	lostWatch := iv.watchHold + iv.watchOverrun + afterWatch
	lostCall := iv.callTimeout + afterCall
	return answerReserve + max(lostWatch, lostCall)
}

// retryDelay is how long to wait after a failed call: the backoff with its jitter, on top of Retry-After so that nodes that
// were rejected together do not return together. A delay beyond maxRetryDelay is not kept; such calls are spread over the
// latter half of that time.
func (iv intervals) retryDelay(retryAfter, backoff time.Duration) time.Duration {
	delay := retryAfter + backoff/2 + rand.N(backoff)
	if delay <= iv.maxRetryDelay {
		return delay
	}
	return iv.maxRetryDelay/2 + rand.N(iv.maxRetryDelay/2)
}

// withJitter is the longest that jitter makes of a pause.
func withJitter(pause time.Duration) time.Duration { return time.Duration(maxJitter * float64(pause)) }

// share is a part of a time.
func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }
