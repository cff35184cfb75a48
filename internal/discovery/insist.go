package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// insistMost bounds the calls that are out at once to a discovery that has gone silent.
	insistMost = 8

	// insistFor times the pause between them is how long each is waited for at most: longer than the grace, and with jitter
	// never more than insistMost at once.
	insistFor = insistMost / 2
)

// insist asks for the whole list of a discovery that has gone silent, until it answers. A call that was out when it came
// back is never answered (seen on herd+mass: 288 of 288), and what it got there counts as told at once; so while one call is
// waited for the next one is made, and nobody who comes back waits for the end of a call that is lost. An answer that a
// discovery with little room gives late is still taken, and being turned away ends it.
func (c *Client) insist(ctx context.Context, src *source) (List, error) {
	type result struct {
		list List
		err  error
	}
	results, out := make(chan result, insistMost), 0 // room for all: who is late does not wait
	wait := min(c.pace.answer, insistFor*c.pace.quiet)
	again := time.NewTimer(0)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return List{}, ctx.Err()
		case <-again.C:
			if out < insistMost {
				out++
				go func() {
					list, err := c.call(src, -1, wait)
					results <- result{list, err}
				}()
			}
			again.Reset(c.pace.quiet/2 + rand.N(c.pace.quiet))
		case r := <-results:
			out--
			if away := (turnedAway{}); r.err == nil || src != c.current() || errors.As(r.err, &away) {
				return r.list, r.err
			}
			c.failed(r.err, false)
		}
	}
}
