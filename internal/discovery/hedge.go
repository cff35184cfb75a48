package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// maxHedgedCalls bounds the calls in flight to an unresponsive discovery.
	maxHedgedCalls = 8

	// hedgeTimeoutFactor is the longest timeout of a hedged call, as a multiple of the interval between hedged calls. With this
	// factor the limit is longer than the drain grace, and at most maxHedgedCalls are in flight even if jitter halves the
	// intervals.
	hedgeTimeoutFactor = maxHedgedCalls / 2
)

// hedgedPoll requests the complete list from an unresponsive discovery until discovery responds.
//
// A call that is in flight when discovery recovers is lost, but the protocol considers this node notified of all pending changes
// as soon as discovery recovers. If calls were made one after the other, a node would keep the old list until the lost call timed
// out, and would send requests to servers that are draining. Therefore the next call is made after intervals.maxFailureBackoff,
// with jitter, while earlier calls are in flight. A slow response is still accepted, and a rejection ends the poll. A response that
// arrives after the end of the poll is applied too if it is newer.
func (c *Client) hedgedPoll(ctx context.Context, t *transport) (response, error) {
	results := make(chan hedgedResult, maxHedgedCalls) // buffered for all calls, so that none blocks if the context has ended
	interval := c.intervals.maxFailureBackoff
	timeout := min(c.intervals.callTimeout, hedgeTimeoutFactor*interval)
	inFlight := 0
	nextCall := time.NewTimer(0)
	defer nextCall.Stop()
	for {
		select {
		case <-ctx.Done():
			return response{}, ctx.Err()
		case <-nextCall.C:
			if inFlight < maxHedgedCalls {
				inFlight++
				go func() {
					received, err := c.poll(t, timeout)
					results <- hedgedResult{received, err}
				}()
			}
			nextCall.Reset(interval/2 + rand.N(interval))
		case r := <-results:
			inFlight--
			final := r.err == nil || errors.As(r.err, new(rejectedError)) || t != c.currentTransport()
			if final {
				go c.receiveLate(t, results, inFlight)
				return r.response, r.err
			}
			c.reportFailure(r.err)
		}
	}
}

// hedgedResult is the result of one hedged call.
type hedgedResult struct {
	response response
	err      error
}

// receiveLate receives the results of the calls that are in flight when a hedged poll ends.
func (c *Client) receiveLate(t *transport, results <-chan hedgedResult, inFlight int) {
	for range inFlight {
		if r := <-results; r.err == nil {
			c.receiveIfNewer(t, r.response)
		}
	}
}
