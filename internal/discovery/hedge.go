package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// maxHedgedCalls bounds the calls in flight to a discovery that has gone silent.
	maxHedgedCalls = 8

	// hedgeTimeoutFactor times the interval between hedged calls is the longest timeout of each: longer than the drain grace,
	// and with jitter never more than maxHedgedCalls in flight.
	hedgeTimeoutFactor = maxHedgedCalls / 2
)

// hedgedPoll asks a discovery that has gone silent for the complete list, until it answers.
//
// A call that is in flight when discovery comes back is lost, and whatever discovery then has counts as known to this node at
// once. Were calls made one after the other, a node would go on with the old list until the lost one's timeout, and send
// requests to servers that drain. So while a call is in flight the next one is made after intervals.maxSilentBackoff. A
// slow answer is still taken, and a rejection ends the poll.
func (c *Client) hedgedPoll(ctx context.Context, t *transport) (List, error) {
	type result struct {
		list List
		err  error
	}
	results := make(chan result, maxHedgedCalls) // room for all: calls that end after the poll do not block
	interval := c.intervals.maxSilentBackoff
	timeout := min(c.intervals.callTimeout, hedgeTimeoutFactor*interval)
	inFlight := 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return List{}, ctx.Err()
		case <-next.C:
			if inFlight < maxHedgedCalls {
				inFlight++
				go func() {
					list, err := c.call(t, noRevision, timeout)
					results <- result{list, err}
				}()
			}
			next.Reset(interval/2 + rand.N(interval))
		case r := <-results:
			inFlight--
			final := r.err == nil || errors.As(r.err, new(rejectedError)) || t != c.currentTransport()
			if final {
				return r.list, r.err
			}
			c.reportFailure(r.err, false)
		}
	}
}
