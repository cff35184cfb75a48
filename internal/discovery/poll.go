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
	transport        *transport    // to the discovery service to which revision belongs
	revision         int64         // from which the next call continues; negative: it requests the complete list
	starting         bool          // the next call only asks what has changed since the cached list
	backoff          time.Duration // delay after the next failed call, without jitter
	lastCallTimedOut bool          // the last call got no response or no connection in time
}

// Run publishes the cached list, then follows discovery until the context ends. It must be called only once.
func (c *Client) Run(ctx context.Context, cached List, handler ListHandler) {
	c.handler = handler
	c.running.Store(true)
	defer c.startStaleTimer().Stop()
	p := &poller{client: c, transport: c.currentTransport(), revision: noRevision, backoff: initialBackoff}
	// The list is published even if it is empty, because the balancer needs it as its first event. With Options.WatchOnRequest
	// the balancer calls WatchEndpoints only after this event.
	c.publish(cached, balancer.CachedUpdate)
	if c.intervals.largeFleet && len(cached.Members) > 0 { // the changes since the cached list cost discovery less than the complete list
		p.revision = cached.Revision
		p.starting = true
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
		p.useTransport(c.currentTransport())
		err := p.follow(ctx)
		if p.transport != c.currentTransport() { // aborted by SetAddress: start over at the new address at once, without reporting a failure
			c.clearAddressChanged()
			requested = true
			continue
		}
		if !c.watchOnRequest { // with WatchOnRequest the balancer controls the backoff
			p.waitBeforeRetry(ctx, err)
		}
	}
}

// useTransport switches to another transport. Revisions of different discovery services cannot be compared, so the next call
// requests the complete list.
func (p *poller) useTransport(t *transport) {
	if t == p.transport {
		return
	}
	p.transport = t
	p.revision = noRevision
	p.backoff = initialBackoff
}

// follow fetches the list and then its changes until a call fails, and returns the error of that call. It returns nil if SetAddress
// or the end of the context aborted the call. A list that arrives in that moment is applied all the same.
func (p *poller) follow(ctx context.Context) error {
	c := p.client
	for ctx.Err() == nil {
		began := time.Now()
		received, call, err := p.poll(ctx)
		if err == nil {
			err = c.receive(p.transport, received, call)
		}
		if p.transport != c.currentTransport() || ctx.Err() != nil {
			return nil
		}
		p.lastCallTimedOut = timedOut(err)
		if err != nil {
			p.resetRevision(err)
			c.reportFailure(err)
			return err
		}
		if received.list.Revision == p.revision { // no news: discovery may answer watches without holding them
			c.sleep(ctx, minWatchInterval-time.Since(began))
		}
		p.revision = received.list.Revision
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

// poll makes one call, or hedged calls if the last call timed out. It also returns how the list was requested.
func (p *poller) poll(ctx context.Context) (response, request, error) {
	c, t := p.client, p.transport
	if p.revision < 0 && p.lastCallTimedOut && !c.watchOnRequest {
		received, err := c.hedgedPoll(ctx, t)
		return received, request{callHedgedPoll, noRevision}, err
	}
	call := requestSince(p.revision)
	received, err := p.call()
	watchLost := call.kind == callWatch && timedOut(err)
	if !c.watchOnRequest || !watchLost {
		return received, call, err
	}
	// After a watch has timed out, a change may have been pending since the watch began. The complete list is therefore requested
	// without the balancer's backoff for failed calls, only spread over rewatchSpread.
	p.revision = noRevision
	c.sleep(ctx, rand.N(c.intervals.rewatchSpread+1))
	if t != c.currentTransport() {
		return received, call, err
	}
	received, err = c.poll(t, c.intervals.callTimeout)
	return received, requestSince(noRevision), err
}

// call makes the next call if it is not hedged.
func (p *poller) call() (response, error) {
	c, t := p.client, p.transport
	starting := p.starting
	p.starting = false
	switch {
	case p.revision < 0:
		return c.poll(t, c.intervals.callTimeout)
	case starting:
		return c.changesSince(t, p.revision)
	}
	return c.watch(t, p.revision)
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
