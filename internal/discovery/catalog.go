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
	maxList = 8 << 20 // bytes; a fleet of ten thousand servers has less

	path = "/catalog/members"
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
	pace  pace
	ask   bool // the list is followed only once asked for
	asked chan struct{}
	dial  Dial
	moved chan struct{} // discovery has another address
	log   *slog.Logger
	count *counters.Counters

	running atomic.Bool

	silent bool // of the goroutine in Run: the last call got no answer

	// When the last answer came, and whether the module knows that it was too long ago. It is held while the module is told, so
	// that it hears of both in their order.
	newsMu   sync.Mutex
	informed time.Time
	late     bool
	lateness *time.Timer

	mu       sync.RWMutex
	members  map[balancer.ServerID]Member
	revision int64
	source   *source
	news     ListHandler
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
	c := &Client{pace: paceFor(o), dial: dial, ask: o.Subscribe, asked: make(chan struct{}, 1),
		moved: make(chan struct{}, 1), log: o.Log, count: o.Count, members: map[balancer.ServerID]Member{},
		source: newSource(o.Address, dial)}
	known.Complete = true
	c.locate(known)
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
	case c.asked <- struct{}{}:
	default:
	}
}

// Run tells the list as held, then follows discovery until the context ends.
func (c *Client) Run(ctx context.Context, known List, news ListHandler) {
	c.news = news
	c.running.Store(true)
	c.newsMu.Lock()
	c.informed = time.Now()
	c.lateness = time.AfterFunc(lateAfter, c.tellLate)
	c.newsMu.Unlock()
	defer c.lateness.Stop()
	// Told even where nothing is known: it is the module's first event, without which one that has to ask for
	// the list would not begin to.
	c.tell(known, balancer.CachedUpdate)
	pause, at := retryFirst, int64(-1)
	if c.pace.spread > 0 {
		if len(known.Members) > 0 { // half the calls of a start: what has changed since is all that is needed
			at = known.Revision
		}
		c.rest(ctx, rand.N(c.pace.spread))
	}
	for asked := !c.ask; ctx.Err() == nil; {
		if !asked && !c.waitAsked(ctx) {
			return
		}
		asked = !c.ask
		src := c.current()
		next, err := c.follow(ctx, src, &at, pause)
		pause = next
		if src != c.current() { // the call was ended by us: go on there at once, and tell of no failure
			c.arrived()
			asked, pause, at = true, retryFirst, -1
			continue
		}
		if !c.ask {
			var away turnedAway
			longest := c.pace.quiet
			if errors.As(err, &away) {
				longest = c.pace.pause
			}
			pause = min(pause, longest)
			c.rest(ctx, c.pace.rest(away.after, pause))
			pause = max(2*pause, c.pace.crowd/4)
		}
	}
}

// follow takes the whole list from a source and then its changes, until a call fails. What is held of another
// source, or from before a failure, is not gone on from: revisions may not compare, and news was missed. Only a call that
// was turned away leaves what is held as it was. It gives why it failed; nil where that was our own doing.
func (c *Client) follow(ctx context.Context, src *source, at *int64, pause time.Duration) (next time.Duration, failed error) {
	for ctx.Err() == nil {
		var list List
		var err error
		if *at < 0 && c.silent && !c.ask {
			list, err = c.insist(ctx, src)
		} else if list, err = c.call(src, *at, c.pace.answer); c.ask && *at >= 0 && timedOut(err) {
			// A watch that has fallen silent is opened anew at once: the module's pause is for calls that fail, and news
			// may have been waiting for all of the hold already.
			*at = -1
			if c.rest(ctx, rand.N(c.pace.anew+1)); src == c.current() {
				list, err = c.call(src, *at, c.pace.answer)
			}
		}
		if src != c.current() || ctx.Err() != nil {
			break
		}
		if away := (turnedAway{}); err != nil && !errors.As(err, &away) {
			*at = -1
		}
		c.silent = timedOut(err)
		if err != nil {
			c.failed(err, pause == retryFirst)
			return pause, err
		}
		c.take(list, *at)
		*at, pause = list.Revision, retryFirst
	}
	return pause, nil
}

// timedOut tells whether nothing at all came of a call: no answer, or no connection to ask on.
func timedOut(err error) bool {
	var t interface{ Timeout() bool } // the client's own error is no net.Error
	return errors.As(err, &t) && t.Timeout()
}

// turnedAway says that discovery has no room for a call now.
type turnedAway struct{ after time.Duration }

func (t turnedAway) Error() string { return fmt.Sprintf("turned away for %v", t.after) }

// away reads how long to stay away: whole seconds or decimals, or a date (RFC 9110, section 10.2.3). A time beyond what news
// may take says no more than that one.
func away(h *fasthttp.ResponseHeader) turnedAway {
	text := string(h.Peek(fasthttp.HeaderRetryAfter))
	var after time.Duration
	if s, err := strconv.ParseFloat(text, 64); err == nil && s > 0 {
		after = time.Duration(min(s, toldLatest.Seconds()) * float64(time.Second))
	} else if at, err := fasthttp.ParseHTTPDate([]byte(text)); err == nil {
		after = time.Until(at)
	}
	return turnedAway{min(toldLatest, max(0, after))}
}

// waitAsked waits until the module asks. Another address needs no asking: it goes on with what was asked for.
func (c *Client) waitAsked(ctx context.Context) bool {
	select {
	case <-c.asked:
		return true
	case <-c.moved:
		return true
	case <-ctx.Done():
		return false
	}
}

// arrived forgets that discovery moved: it is followed there already.
func (c *Client) arrived() {
	select {
	case <-c.moved:
	default:
	}
}

// rest waits before the next call; another address ends it.
func (c *Client) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.moved:
	case <-ctx.Done():
	}
}

// tellLate tells the module once that news is missing for longer than it may take: what discovery had to tell counts as told by
// now. It does not wait for the next call to fail, which may be seconds later.
func (c *Client) tellLate() {
	c.newsMu.Lock()
	defer c.newsMu.Unlock()
	if c.late || time.Since(c.informed) < toldLatest {
		return // an answer has crossed it
	}
	c.late = true
	c.count.ServerList.Late.Inc()
	c.log.Warn("no news of the list for longer than it may take", "code", "list_late", "for_ms", time.Since(c.informed).Milliseconds())
	c.news.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateOverdue})
}

func (c *Client) failed(err error, first bool) {
	c.count.ServerList.Failed.Inc()
	if first { // the first of a row: an outage must not fill the log
		c.log.Warn("discovery call failed, the last list stands", "code", "list_failed", "error", err)
	}
	c.news.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
}

// call asks once: for the whole list where no version is held, whose answer is waited for so long, else by a watch.
func (c *Client) call(src *source, at int64, wait time.Duration) (List, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := "http://" + src.client.Addr + path
	if at >= 0 {
		uri += "?from=" + strconv.FormatInt(at, 10) + "&hold_ms=" + strconv.FormatInt(c.pace.hold.Milliseconds(), 10)
		wait = c.pace.hold + c.pace.watch
	}
	req.SetRequestURI(uri)
	if err := src.client.DoTimeout(req, resp, wait); err != nil {
		return List{}, fmt.Errorf("%s: %w", path, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return List{}, fmt.Errorf("%s: status %d: %w", path, resp.StatusCode(), away(&resp.Header))
	default:
		return List{}, fmt.Errorf("%s: status %d", path, resp.StatusCode())
	}
	list, err := ParseList(resp.Body())
	if err != nil {
		return List{}, fmt.Errorf("%s: %w", path, err)
	}
	if list.Complete && len(list.Members) == 0 && c.Size() > 0 {
		return List{}, fmt.Errorf("%s: a whole list without members", path) // a broken discovery, not an empty fleet
	}
	return list, nil
}

func (c *Client) take(list List, at int64) {
	c.locate(list) // before the module can send there
	c.newsMu.Lock()
	defer c.newsMu.Unlock()
	late := c.late
	c.informed, c.late = time.Now(), false
	c.lateness.Reset(lateAfter)
	c.count.ServerList.Informed.Set(c.informed.UnixMilli())
	switch {
	case list.Complete:
		c.count.ServerList.Full.Inc()
		c.tell(list, balancer.FullUpdate)
	case len(list.Members) > 0 || at < 0 || late:
		c.count.ServerList.Delta.Inc()
		c.tell(list, balancer.DeltaUpdate)
	}
}

func (c *Client) tell(list List, form balancer.UpdateKind) {
	if n, ok := c.news.(MemberHandler); ok {
		n.HandleMembers(list, form)
		return
	}
	c.news.UpdateEndpoints(balancer.EndpointUpdate{Kind: form, Endpoints: list.Entries()})
}

// locate notes the addresses. They may change at a restart; one that is gone is not dialled any more.
func (c *Client) locate(list List) {
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
