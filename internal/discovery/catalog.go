package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
)

const (
	maxListBytes = 8 << 20 // bytes; a fleet of ten thousand servers has less

	membersPath = "/catalog/members"
)

// News takes what the list tells.
type ListHandler interface{ UpdateEndpoints(balancer.EndpointUpdate) }

// MemberNews takes what the list tells with all that discovery says of each server. Who takes it gets no ListNews but for
// calls that failed.
type MemberHandler interface {
	HandleMembers(list List, form balancer.UpdateKind)
}

// Catalog follows discovery.
type Client struct {
	intervals      intervals
	onDemand       bool // the list is followed only once asked for
	requested      chan struct{}
	dial           Dial
	addressChanged chan struct{} // discovery has another address
	log            *slog.Logger
	count          *counters.Counters

	running atomic.Bool

	silent bool // of the goroutine in Run: the last call got no answer

	// When the last answer came, and whether the module knows that it was too long ago. It is held while the module is told, so
	// that it hears of both in their order.
	staleMu    sync.Mutex
	lastAnswer time.Time
	stale      bool
	staleTimer *time.Timer

	mu        sync.RWMutex
	members   map[balancer.ServerID]Member
	revision  int64
	transport *transport
	handler   ListHandler
}

// Options say how discovery is to be followed.
type Options struct {
	Address         string
	Nodes           int           // that follow the same discovery; 0: not known
	Subscribe       bool          // only after Watch
	MaxPollInterval time.Duration // a node that has not asked for so long is deemed informed; 0: never
	Dial            Dial          // nil: TCP
	DrainGrace      time.Duration // within which nothing new may go to a server that has been told to drain
	Log             *slog.Logger
	Count           *counters.Counters
}

// New makes a catalog that holds the list as it was known before.
func New(o Options, known List) *Client {
	dial := o.Dial
	if dial == nil {
		dial = dialTCP
	}
	c := &Client{intervals: intervalsFor(o), dial: dial, onDemand: o.Subscribe, requested: make(chan struct{}, 1),
		addressChanged: make(chan struct{}, 1), log: o.Log, count: o.Count, members: map[balancer.ServerID]Member{},
		transport: newTransport(o.Address, dial)}
	known.Complete = true
	c.updateMembers(known)
	return c
}

// Address is where a server listens; false for one that has left the list, or is to get nothing new.
func (c *Client) Address(id balancer.ServerID) (string, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	m := c.members[id]
	if state, known := states[m.Phase]; !known || state != balancer.Ready {
		return "", false
	}
	return m.HostPort, true
}

// Size is the number of servers with an address.
func (c *Client) Size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.members)
}

// List is the whole list as held.
func (c *Client) List() List {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := List{Revision: c.revision, Complete: true, Members: make([]Member, 0, len(c.members))}
	for _, m := range c.members {
		out.Members = append(out.Members, m)
	}
	return out
}

// Watch asks for the list to be followed. It does not wait.
func (c *Client) WatchEndpoints() {
	select {
	case c.requested <- struct{}{}:
	default:
	}
}

// Run tells the list as held, then follows discovery until the context ends.
func (c *Client) Run(ctx context.Context, known List, news ListHandler) {
	c.handler = news
	c.running.Store(true)
	c.staleMu.Lock()
	c.lastAnswer = time.Now()
	c.staleTimer = time.AfterFunc(staleAfter, c.reportStale)
	c.staleMu.Unlock()
	defer c.staleTimer.Stop()
	// Told even where nothing is known: it is the module's first event, without which one that has to ask for
	// the list would not begin to.
	c.publish(known, balancer.CachedUpdate)
	pause, at := initialBackoff, int64(-1)
	if c.intervals.firstCallSpread > 0 {
		if len(known.Members) > 0 { // half the calls of a start: what has changed since is all that is needed
			at = known.Revision
		}
		c.sleep(ctx, rand.N(c.intervals.firstCallSpread))
	}
	for asked := !c.onDemand; ctx.Err() == nil; {
		if !asked && !c.waitRequested(ctx) {
			return
		}
		asked = !c.onDemand
		src := c.currentTransport()
		next, err := c.follow(ctx, src, &at, pause)
		pause = next
		if src != c.currentTransport() { // the call was ended by us: go on there at once, and tell of no failure
			c.clearAddressChanged()
			asked, pause, at = true, initialBackoff, -1
			continue
		}
		if !c.onDemand {
			var away rejectedError
			longest := c.intervals.maxSilentBackoff
			if errors.As(err, &away) {
				longest = c.intervals.maxRejectedBackoff
			}
			pause = min(pause, longest)
			c.sleep(ctx, c.intervals.retryDelay(away.retryAfter, pause))
			pause = max(2*pause, c.intervals.fleetRound/4)
		}
	}
}

// follow takes the whole list from a source and then its changes, until a call fails. What is held of another
// source, or from before a failure, is not gone on from: revisions may not compare, and news was missed. Only a call that
// was turned away leaves what is held as it was. It gives why it failed; nil where that was our own doing.
func (c *Client) follow(ctx context.Context, src *transport, at *int64, pause time.Duration) (next time.Duration, failed error) {
	for ctx.Err() == nil {
		var list List
		var err error
		if *at < 0 && c.silent && !c.onDemand {
			list, err = c.hedgedPoll(ctx, src)
		} else if list, err = c.call(src, *at, c.intervals.callTimeout); c.onDemand && *at >= 0 && timedOut(err) {
			// A watch that has fallen silent is opened anew at once: the module's pause is for calls that fail, and news
			// may have been waiting for all of the hold already.
			*at = -1
			if c.sleep(ctx, rand.N(c.intervals.rewatchSpread+1)); src == c.currentTransport() {
				list, err = c.call(src, *at, c.intervals.callTimeout)
			}
		}
		if src != c.currentTransport() || ctx.Err() != nil {
			break
		}
		if away := (rejectedError{}); err != nil && !errors.As(err, &away) {
			*at = -1
		}
		c.silent = timedOut(err)
		if err != nil {
			c.reportFailure(err, pause == initialBackoff)
			return pause, err
		}
		c.handleAnswer(list, *at)
		*at, pause = list.Revision, initialBackoff
	}
	return pause, nil
}

// timedOut tells whether nothing at all came of a call: no answer, or no connection to ask on.
func timedOut(err error) bool {
	var t interface{ Timeout() bool } // the client's own error is no net.Error
	return errors.As(err, &t) && t.Timeout()
}

// turnedAway says that discovery has no room for a call now.
type rejectedError struct{ retryAfter time.Duration }

func (t rejectedError) Error() string { return fmt.Sprintf("turned away for %v", t.retryAfter) }

// away reads how long to stay away: whole seconds or decimals, or a date (RFC 9110, section 10.2.3). A time beyond what news
// may take says no more than that one.
func parseRetryAfter(h *fasthttp.ResponseHeader) rejectedError {
	text := string(h.Peek(fasthttp.HeaderRetryAfter))
	var after time.Duration
	if s, err := strconv.ParseFloat(text, 64); err == nil && s > 0 {
		after = time.Duration(min(s, informDeadline.Seconds()) * float64(time.Second))
	} else if at, err := fasthttp.ParseHTTPDate([]byte(text)); err == nil {
		after = time.Until(at)
	}
	return rejectedError{min(informDeadline, max(0, after))}
}

// waitAsked waits until the module asks. Another address needs no asking: it goes on with what was asked for.
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

// arrived forgets that discovery moved: it is followed there already.
func (c *Client) clearAddressChanged() {
	select {
	case <-c.addressChanged:
	default:
	}
}

// rest waits before the next call; another address ends it.
func (c *Client) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.addressChanged:
	case <-ctx.Done():
	}
}

// tellLate tells the module once that news is missing for longer than it may take: what discovery had to tell counts as told by
// now. It does not wait for the next call to fail, which may be seconds later.
func (c *Client) reportStale() {
	c.staleMu.Lock()
	defer c.staleMu.Unlock()
	if c.stale || time.Since(c.lastAnswer) < informDeadline {
		return // an answer has crossed it
	}
	c.stale = true
	c.count.ServerList.Late.Inc()
	c.log.Warn("no news of the list for longer than it may take", "code", "list_late", "for_ms", time.Since(c.lastAnswer).Milliseconds())
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateOverdue})
}

func (c *Client) reportFailure(err error, first bool) {
	c.count.ServerList.Failed.Inc()
	if first { // the first of a row: an outage must not fill the log
		c.log.Warn("discovery call failed, the last list stands", "code", "list_failed", "error", err)
	}
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
}

// call asks once: for the whole list where no version is held, whose answer is waited for so long, else by a watch.
func (c *Client) call(src *transport, at int64, wait time.Duration) (List, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := "http://" + src.client.Addr + membersPath
	if at >= 0 {
		uri += "?from=" + strconv.FormatInt(at, 10) + "&hold_ms=" + strconv.FormatInt(c.intervals.watchHold.Milliseconds(), 10)
		wait = c.intervals.watchHold + c.intervals.watchOverrun
	}
	req.SetRequestURI(uri)
	if err := src.client.DoTimeout(req, resp, wait); err != nil {
		return List{}, fmt.Errorf("%s: %w", membersPath, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return List{}, fmt.Errorf("%s: status %d: %w", membersPath, resp.StatusCode(), parseRetryAfter(&resp.Header))
	default:
		return List{}, fmt.Errorf("%s: status %d", membersPath, resp.StatusCode())
	}
	list, err := ParseList(resp.Body())
	if err != nil {
		return List{}, fmt.Errorf("%s: %w", membersPath, err)
	}
	if list.Complete && len(list.Members) == 0 && c.Size() > 0 {
		return List{}, fmt.Errorf("%s: a whole list without members", membersPath) // a broken discovery, not an empty fleet
	}
	return list, nil
}

func (c *Client) handleAnswer(list List, at int64) {
	c.updateMembers(list) // before the module can send there
	c.staleMu.Lock()
	defer c.staleMu.Unlock()
	late := c.stale
	c.lastAnswer, c.stale = time.Now(), false
	c.staleTimer.Reset(staleAfter)
	c.count.ServerList.Informed.Set(c.lastAnswer.UnixMilli())
	switch {
	case list.Complete:
		c.count.ServerList.Full.Inc()
		c.publish(list, balancer.FullUpdate)
	case len(list.Members) > 0 || at < 0 || late:
		c.count.ServerList.Delta.Inc()
		c.publish(list, balancer.DeltaUpdate)
	}
}

func (c *Client) publish(list List, form balancer.UpdateKind) {
	if n, ok := c.handler.(MemberHandler); ok {
		n.HandleMembers(list, form)
		return
	}
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: form, Endpoints: list.Entries()})
}

// locate notes the addresses. They may change at a restart; one that is gone is not dialled any more.
func (c *Client) updateMembers(list List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = list.Revision
	if list.Complete {
		clear(c.members)
	}
	for _, m := range list.Members {
		if m.Phase == "DELETED" {
			delete(c.members, balancer.ServerID(m.ID))
			continue
		}
		c.members[balancer.ServerID(m.ID)] = m
	}
}
