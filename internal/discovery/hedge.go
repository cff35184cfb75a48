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
// with jitter, while earlier calls are in flight. A slow response is still accepted, and a rejection ends the poll.
func (c *Client) hedgedPoll(ctx context.Context, t *transport) (List, error) {
	type result struct {
		list List
		err  error
	}
	results := make(chan result, maxHedgedCalls) // buffered for all calls, so that those that end after the poll do not block
	interval := c.intervals.maxFailureBackoff
	timeout := min(c.intervals.callTimeout, hedgeTimeoutFactor*interval)
	inFlight := 0
	nextCall := time.NewTimer(0)
	defer nextCall.Stop()
	for {
		select {
		case <-ctx.Done():
			return List{}, ctx.Err()
		case <-nextCall.C:
			if inFlight < maxHedgedCalls {
				inFlight++
				go func() {
					list, err := c.call(t, noRevision, timeout)
					results <- result{list, err}
				}()
			}
			nextCall.Reset(interval/2 + rand.N(interval))
		case r := <-results:
			inFlight--
			final := r.err == nil || errors.As(r.err, new(rejectedError)) || t != c.currentTransport()
			if final {
				return r.list, r.err
			}
			c.reportFailure(r.err)
		}
	}
}
