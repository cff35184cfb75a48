package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"tackhub.example/tackhub/balancer"
)

// noRevision is used in place of a revision to request the complete list.
const noRevision = -1

// poller holds the state of the poll loop. Only the goroutine that calls Run uses it.
type poller struct {
	client           *Client
	revision         int64         // from which the next call continues; negative: it requests the complete list
	backoff          time.Duration // delay after the next failed call, without jitter
	lastCallTimedOut bool          // the last call got no response or no connection in time
}

// Run publishes the cached list, then follows discovery until the context ends. It must be called only once.
func (c *Client) Run(ctx context.Context, cached List, handler ListHandler) {
	c.handler = handler
	c.running.Store(true)
	defer c.startStaleTimer().Stop()
	// The list is published even if it is empty, because the balancer needs it as its first event. With Options.WatchOnRequest
	// the balancer calls WatchEndpoints only after this event.
	c.publish(cached, balancer.CachedUpdate)
	p := &poller{client: c, revision: noRevision, backoff: initialBackoff}
	if spread := c.intervals.firstCallSpread; spread > 0 {
		if len(cached.Members) > 0 { // a restarted node needs only the changes since its cached list, which costs discovery less
			p.revision = cached.Revision
		}
		c.sleep(ctx, rand.N(spread))
	}
	p.run(ctx)
}

// run polls until the context ends. With Options.WatchOnRequest each call of WatchEndpoints starts a poll, which continues until it
// fails.
func (p *poller) run(ctx context.Context) {
	c := p.client
	requested := !c.watchOnRequest
	for ctx.Err() == nil {
		if !requested && !c.waitForWatchRequest(ctx) {
			return
		}
		requested = !c.watchOnRequest
		t := c.currentTransport()
		err := p.follow(ctx, t)
		if t != c.currentTransport() { // aborted by SetAddress: start over at the new address at once, without reporting a failure
			c.clearAddressChanged()
			requested = true
			p.revision = noRevision
			p.backoff = initialBackoff
			continue
		}
		if !c.watchOnRequest { // with WatchOnRequest the balancer controls the backoff
			p.waitBeforeRetry(ctx, err)
		}
	}
}

// follow fetches the list and then its changes until a call fails, and returns the error of that call. It returns nil if SetAddress
// or the end of the context aborted the call.
func (p *poller) follow(ctx context.Context, t *transport) error {
	c := p.client
	for ctx.Err() == nil {
		list, call, err := p.poll(ctx, t)
		if t != c.currentTransport() || ctx.Err() != nil {
			return nil
		}
		p.lastCallTimedOut = timedOut(err)
		if err != nil {
			p.resetRevision(err)
			c.reportFailure(err)
			return err
		}
		c.apply(list, call)
		p.revision = list.Revision
		p.backoff = initialBackoff
	}
	return nil
}

// resetRevision discards the revision after a failed call, because changes may have been missed, and discovery may have restarted
// and begun to count revisions from the start. After a rejection for lack of capacity no change was missed, so the revision is kept.
func (p *poller) resetRevision(err error) {
	if !errors.As(err, new(rejectedError)) {
		p.revision = noRevision
	}
}

// poll makes one call, or hedged calls if the last call timed out. It returns how the list was requested.
func (p *poller) poll(ctx context.Context, t *transport) (List, callKind, error) {
	c := p.client
	if p.revision < 0 && p.lastCallTimedOut && !c.watchOnRequest {
		list, err := c.hedgedPoll(ctx, t)
		return list, callHedgedPoll, err
	}
	kind := callPoll
	if p.revision >= 0 {
		kind = callWatch
	}
	list, err := c.call(t, p.revision, c.intervals.callTimeout)
	watchLost := kind == callWatch && timedOut(err)
	if !c.watchOnRequest || !watchLost {
		return list, kind, err
	}
	// After a watch has timed out, a change may have been pending since the watch began. The complete list is therefore requested
	// without the balancer's backoff for failed calls, only spread over rewatchSpread.
	p.revision = noRevision
	c.sleep(ctx, rand.N(c.intervals.rewatchSpread+1))
	if t != c.currentTransport() {
		return list, kind, err
	}
	list, err = c.call(t, p.revision, c.intervals.callTimeout)
	return list, callPoll, err
}

// waitBeforeRetry waits for the retry delay after a failed call, and increases the backoff for the next failure.
func (p *poller) waitBeforeRetry(ctx context.Context, err error) {
	c := p.client
	maxBackoff := c.intervals.maxFailureBackoff
	var rejected rejectedError
	if errors.As(err, &rejected) {
		maxBackoff = c.intervals.maxRejectedBackoff
	}
	p.backoff = min(p.backoff, maxBackoff)
	c.sleep(ctx, c.intervals.retryDelay(rejected.retryAfter, p.backoff))
	p.backoff = max(2*p.backoff, c.intervals.fleetCallPeriod/4)
}

// waitForWatchRequest waits for WatchEndpoints. It returns false if the context ended first. It also returns true after SetAddress,
// since a watch that was requested at the old address continues at the new one.
func (c *Client) waitForWatchRequest(ctx context.Context) bool {
	select {
	case <-c.watchRequested:
		return true
	case <-c.addressChanged:
		return true
	case <-ctx.Done():
		return false
	}
}

// clearAddressChanged clears the signal of an address change that has been handled.
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
