package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/balancer"
)

// noRevision in place of a list's revision asks for the complete list.
const noRevision = -1

// poller is the state of the poll loop. Only the goroutine in Run uses it.
type poller struct {
	client   *Client
	revision int64         // from which the next call continues; negative: it asks for the complete list
	backoff  time.Duration // before the next call, should this one fail; without jitter
	silent   bool          // the last call got no answer at all
}

// Run publishes the list known from before, then follows discovery until the context ends. It is called once.
func (c *Client) Run(ctx context.Context, known List, handler ListHandler) {
	c.handler = handler
	c.running.Store(true)
	defer c.startStaleTimer().Stop()
	// Published even if empty: it is the balancer's first event, without which one that has to request the list would not
	// begin to.
	c.publish(known, balancer.CachedUpdate)
	p := &poller{client: c, revision: noRevision, backoff: initialBackoff}
	if spread := c.intervals.firstCallSpread; spread > 0 {
		if len(known.Members) > 0 { // a restart needs only what has changed since, and costs discovery less
			p.revision = known.Revision
		}
		c.sleep(ctx, rand.N(spread))
	}
	p.run(ctx)
}

// run polls until the context ends. Where polls are on demand each call to WatchEndpoints starts one, which goes on until it fails.
func (p *poller) run(ctx context.Context) {
	c := p.client
	requested := !c.watchOnRequest
	for ctx.Err() == nil {
		if !requested && !c.waitRequested(ctx) {
			return
		}
		requested = !c.watchOnRequest
		t := c.currentTransport()
		err := p.follow(ctx, t)
		if t != c.currentTransport() { // aborted by SetAddress: start over there at once, and report no failure
			c.clearAddressChanged()
			requested = true
			p.revision = noRevision
			p.backoff = initialBackoff
			continue
		}
		if !c.watchOnRequest { // where it is, the backoff is the balancer's
			p.backOff(ctx, err)
		}
	}
}

// follow gets the complete list and then its changes, until a call fails; it returns that call's error. The error is nil
// where the call was aborted by SetAddress or by the context.
func (p *poller) follow(ctx context.Context, t *transport) error {
	c := p.client
	for ctx.Err() == nil {
		list, err := p.poll(ctx, t)
		if t != c.currentTransport() || ctx.Err() != nil {
			return nil
		}
		p.silent = timedOut(err)
		if err != nil {
			p.forget(err)
			c.reportFailure(err, p.backoff == initialBackoff)
			return err
		}
		c.handleAnswer(list, p.revision)
		p.revision = list.Revision
		p.backoff = initialBackoff
	}
	return nil
}

// forget gives up the revision after a failed call: changes may have been missed, and a discovery that restarted may count
// revisions anew. A call that was rejected for lack of capacity missed nothing.
func (p *poller) forget(err error) {
	if !errors.As(err, new(rejectedError)) {
		p.revision = noRevision
	}
}

// poll makes one call, or several hedged ones to a discovery that has gone silent.
func (p *poller) poll(ctx context.Context, t *transport) (List, error) {
	c := p.client
	if p.revision < 0 && p.silent && !c.watchOnRequest {
		return c.hedgedPoll(ctx, t)
	}
	list, err := c.call(t, p.revision, c.intervals.callTimeout)
	watchLost := p.revision >= 0 && timedOut(err)
	if !c.watchOnRequest || !watchLost {
		return list, err
	}
	// A watch that got no answer is followed by a call for the complete list at once: the balancer's backoff is for calls
	// that fail, and a change may have been waiting for the whole time of the watch.
	p.revision = noRevision
	c.sleep(ctx, rand.N(c.intervals.rewatchSpread+1))
	if t != c.currentTransport() {
		return list, err
	}
	return c.call(t, p.revision, c.intervals.callTimeout)
}

// backOff waits before the next call, and has the wait after the next failure be longer.
func (p *poller) backOff(ctx context.Context, err error) {
	c := p.client
	longest := c.intervals.maxSilentBackoff
	var rejected rejectedError
	if errors.As(err, &rejected) {
		longest = c.intervals.maxRejectedBackoff
	}
	p.backoff = min(p.backoff, longest)
	c.sleep(ctx, c.intervals.retryDelay(rejected.retryAfter, p.backoff))
	p.backoff = max(2*p.backoff, c.intervals.fleetRound/4)
}

// reportFailure tells the handler of a call that failed. Only the first failure in a row is logged, so that an outage does
// not fill the log.
func (c *Client) reportFailure(err error, first bool) {
	c.count.ServerList.Failed.Inc()
	if first {
		c.log.Warn("discovery call failed; keeping the last list", "code", "list_failed", "error", err)
	}
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
}

// waitRequested waits for WatchEndpoints; false if the context ended first. SetAddress counts as well: what was requested of the old
// address goes on at the new one.
func (c *Client) waitRequested(ctx context.Context) bool {
	select {
	case <-c.requested:
		return true
	case <-c.addressChanged:
		return true
	case <-ctx.Done():
		return false
	}
}

// clearAddressChanged takes back the signal of a change of address that has been noticed.
func (c *Client) clearAddressChanged() {
	select {
	case <-c.addressChanged:
	default:
	}
}

// sleep waits until d has passed, the address has changed or the context has ended.
func (c *Client) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.addressChanged:
	case <-ctx.Done():
	}
}
