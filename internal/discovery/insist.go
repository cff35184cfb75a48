package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// insistMost bounds the calls that are out at once to a discovery that has gone silent.
	maxHedgedCalls = 8

	// insistFor times the pause between them is how long each is waited for at most: longer than the grace, and with jitter
	// never more than insistMost at once.
	hedgeTimeoutFactor = maxHedgedCalls / 2
)

// insist asks for the whole list of a discovery that has gone silent, until it answers. A call that was out when it came
// back is never answered (seen on herd+mass: 288 of 288), and what it got there counts as told at once; so while one call is
// waited for the next one is made, and nobody who comes back waits for the end of a call that is lost. An answer that a
// discovery with little room gives late is still taken, and being turned away ends it.
func (c *Client) hedgedPoll(ctx context.Context, src *transport) (List, error) {
	type result struct {
		list List
		err  error
	}
	results, out := make(chan result, maxHedgedCalls), 0 // room for all: who is late does not wait
	wait := min(c.intervals.callTimeout, hedgeTimeoutFactor*c.intervals.maxSilentBackoff)
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return List{}, ctx.Err()
		case <-again.C:
			if out < maxHedgedCalls {
				out++
				go func() {
					list, err := c.call(src, -1, wait)
					results <- result{list, err}
				}()
			}
			again.Reset(c.intervals.maxSilentBackoff/2 + rand.N(c.intervals.maxSilentBackoff))
		case r := <-results:
			out--
			if away := (rejectedError{}); r.err == nil || src != c.currentTransport() || errors.As(r.err, &away) {
				return r.list, r.err
			}
			c.reportFailure(r.err, false)
		}
	}
}
