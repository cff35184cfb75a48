package catalog

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

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/logic"
)

const (
	// holdFew is how long discovery may hold a watch that has nothing to tell, where nodes are few. A connection that has
	// gone silent is noticed only after it, so it is well under the minute that discovery allows.
	holdFew = 5 * time.Second

	// holdMany bounds it where they are many, and few is how many they are where it begins to grow with their number: the
	// calls of all together are then as many as those of so few.
	holdMany, few = 20 * time.Second, 8

	// answerWait is how long past the hold an answer may take: the agent is on this machine, and what it
	// has to tell counts as told 2 s after the hold.
	answerWait = 1500 * time.Millisecond

	// answerMany is the same where nodes are many and discovery lets their calls wait: seen, 2 s. Who leaves sooner has
	// waited for nothing, and costs as much.
	answerMany = 2500 * time.Millisecond

	// retryFirst and retryLongest bound the jittered pause after a failed call: discovery must not be
	// rushed, nor what it tells come late once it is back.
	retryFirst   = 50 * time.Millisecond
	retryLongest = 800 * time.Millisecond

	// callEach for each node is the time over which nodes spread their first calls where they are many, and four times it
	// the longest pause, both within the bounds below: after failures a few calls a second come from all of them together.
	// Seen with 36 nodes: discovery had room for four to five whole lists a second. While more were asked for nearly all
	// waited until they were turned away, and that went on for as long as calls came so fast.
	callEach = 100 * time.Millisecond

	// firstShare of the drain grace is the longest time over which first calls are spread: what has changed since the list
	// that the node was given counts as told from its start, as if it had asked, and the answer needs the rest.
	firstShare = 0.5

	// toldLatest is when what discovery has to tell counts as told at the latest after a call, whether or not the answer
	// came: the protocol's figure. pauseShare of it, half as much again with jitter, is the longest pause after a call that
	// failed: two more calls fit in before nothing new may go to a server that the first one would have told of.
	toldLatest = 6 * time.Second
	pauseShare = 1.0 / 3

	// graceShare of the drain grace is the longest pause, half as much again with jitter, after a call that got no answer at
	// all, and quietLeast the shortest such. What a discovery that was silent gets at its return counts as told at once,
	// whether or not anyone asks just then: the pause and an answer have to fit into the grace, whatever it is. Seen with a
	// grace of 0.3 s and pauses of up to 3 s: 1,256 requests to servers that had been told to drain, on one day.
	graceShare = 1.0 / 3
	quietLeast = 20 * time.Millisecond

	// toldAfterHold is when what a call that may wait misses counts as told, after the wait: the protocol's figure.
	// silentShare of the grace more is the longest that its answer is waited for; the rest is for asking anew.
	toldAfterHold = 2 * time.Second
	silentShare   = 0.25

	// toldMost is the longest waiting time that is believed: a list older than that does more harm than a call.
	toldMost = 15 * time.Second

	maxList = 8 << 20 // bytes; a fleet of ten thousand servers has less

	path = "/catalog/members"
)

// News takes what the list tells.
type News interface{ ListNews(logic.ServerList) }

// MemberNews takes what the list tells with all that discovery says of each server. Who takes it gets no ListNews but for
// calls that failed.
type MemberNews interface {
	MemberNews(list List, form logic.ListForm)
}

// Catalog follows discovery.
type Catalog struct {
	hold  time.Duration
	pause time.Duration // between calls that are turned away, at the longest
	quiet time.Duration // between calls that get no answer, likewise
	// answer is how long past the hold an answer may take, spread the time over which first calls are spread; 0: at once.
	answer, spread time.Duration
	crowd          time.Duration // in which all nodes together may call once more without rushing discovery; 0: nodes are few
	ask            bool          // the list is followed only once asked for
	asked          chan struct{}
	dial           Dial
	moved          chan struct{} // discovery has another address
	log            *slog.Logger
	count          *counters.Counters

	running atomic.Bool

	// Of the goroutine in Run: when the last answer came, and whether the module knows that it was too long ago.
	informed time.Time
	late     bool
	silent   bool // the last call got no answer

	mu       sync.RWMutex
	members  map[logic.ServerID]Member
	revision int64
	source   *source
	news     News
}

// Options say how discovery is to be followed.
type Options struct {
	Address   string
	Nodes     int           // that follow the same discovery; 0: not known
	Subscribe bool          // only after Watch
	MustAsk   time.Duration // a node that has not asked for so long is deemed informed; 0: never
	Dial      Dial          // nil: TCP
	Grace     time.Duration // within which nothing new may go to a server that has been told to drain
	Log       *slog.Logger
	Count     *counters.Counters
}

// New makes a catalog that holds the list as it was known before.
func New(o Options, known List) *Catalog {
	hold, pause, answer, spread, crowd := holdFew, retryLongest, answerWait, time.Duration(0), time.Duration(0)
	if o.Nodes > few {
		hold = min(holdMany, hold*time.Duration(o.Nodes)/few)
		crowd, answer = time.Duration(o.Nodes)*callEach, answerMany
		pause = min(4*crowd, time.Duration(float64(toldLatest)*pauseShare))
		spread = min(crowd, time.Duration(float64(o.Grace)*firstShare))
	}
	answer = min(answer, toldAfterHold+time.Duration(float64(o.Grace)*silentShare))
	quiet := min(pause, max(quietLeast, time.Duration(float64(o.Grace)*graceShare)))
	if o.MustAsk > 0 {
		hold = min(hold, o.MustAsk/2)
	}
	dial := o.Dial
	if dial == nil {
		dial = dialTCP
	}
	c := &Catalog{dial: dial, hold: hold, pause: pause, quiet: quiet, answer: answer, spread: spread, crowd: crowd, ask: o.Subscribe, asked: make(chan struct{}, 1),
		moved: make(chan struct{}, 1), log: o.Log, count: o.Count, members: map[logic.ServerID]Member{},
		source: newSource(o.Address, dial)}
	known.Complete = true
	c.locate(known)
	return c
}

// Address is where a server listens; false for one that has left the list, or is to get nothing new.
func (c *Catalog) Address(id logic.ServerID) (string, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	m := c.members[id]
	if state, known := states[m.Phase]; !known || state != logic.Ready {
		return "", false
	}
	return m.HostPort, true
}

// Size is the number of servers with an address.
func (c *Catalog) Size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.members)
}

// List is the whole list as held.
func (c *Catalog) List() List {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := List{Revision: c.revision, Complete: true, Members: make([]Member, 0, len(c.members))}
	for _, m := range c.members {
		out.Members = append(out.Members, m)
	}
	return out
}

// Watch asks for the list to be followed. It does not wait.
func (c *Catalog) Watch() {
	select {
	case c.asked <- struct{}{}:
	default:
	}
}

// Run tells the list as held, then follows discovery until the context ends.
func (c *Catalog) Run(ctx context.Context, known List, news News) {
	c.news = news
	c.running.Store(true)
	c.informed = time.Now()
	// Told even where nothing is known: it is the module's first event, without which one that has to ask for
	// the list would not begin to.
	c.tell(known, logic.ListCached)
	pause, at := retryFirst, int64(-1)
	if c.spread > 0 {
		if len(known.Members) > 0 { // half the calls of a start: what has changed since is all that is needed
			at = known.Revision
		}
		c.rest(ctx, rand.N(c.spread))
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
			longest := c.quiet
			if errors.As(err, &away) {
				longest = c.pause
			}
			pause = min(pause, longest)
			c.rest(ctx, away.after+pause/2+rand.N(pause)) // beyond what was told, so that those turned away together do not come back so
			pause = max(2*pause, c.crowd/4)
		}
	}
}

// follow takes the whole list from a source and then its changes, until a call fails. What is held of another
// source, or from before a failure, is not gone on from: revisions may not compare, and news was missed. Only a call that
// was turned away leaves what is held as it was. It gives why it failed; nil where that was our own doing.
func (c *Catalog) follow(ctx context.Context, src *source, at *int64, pause time.Duration) (next time.Duration, failed error) {
	for ctx.Err() == nil {
		var list List
		var err error
		if *at < 0 && c.silent && !c.ask {
			list, err = c.insist(ctx, src)
		} else {
			list, err = c.call(src, *at, c.answer)
		}
		if src != c.current() || ctx.Err() != nil {
			break
		}
		if away := (turnedAway{}); err != nil && !errors.As(err, &away) {
			*at = -1
		}
		c.silent = errors.Is(err, fasthttp.ErrTimeout)
		if err != nil {
			c.failed(err, pause == retryFirst)
			return pause, err
		}
		c.take(list, *at)
		*at, pause = list.Revision, retryFirst
	}
	return pause, nil
}

// turnedAway says that discovery has no room for a call now.
type turnedAway struct{ after time.Duration }

func (t turnedAway) Error() string { return fmt.Sprintf("turned away for %v", t.after) }

// away reads how long to stay away: whole seconds or decimals, or a date (RFC 9110, section 10.2.3).
func away(h *fasthttp.ResponseHeader) turnedAway {
	text := string(h.Peek(fasthttp.HeaderRetryAfter))
	var after time.Duration
	if s, err := strconv.ParseFloat(text, 64); err == nil && s > 0 {
		after = time.Duration(min(s, toldMost.Seconds()) * float64(time.Second))
	} else if at, err := fasthttp.ParseHTTPDate([]byte(text)); err == nil {
		after = time.Until(at)
	}
	return turnedAway{min(toldMost, max(0, after))}
}

// waitAsked waits until the module asks. Another address needs no asking: it goes on with what was asked for.
func (c *Catalog) waitAsked(ctx context.Context) bool {
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
func (c *Catalog) arrived() {
	select {
	case <-c.moved:
	default:
	}
}

// rest waits before the next call; another address ends it.
func (c *Catalog) rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.moved:
	case <-ctx.Done():
	}
}

func (c *Catalog) failed(err error, first bool) {
	c.count.List.Failed.Inc()
	if !c.late && time.Since(c.informed) > toldLatest { // what it had to tell then counts as told by now
		c.late = true
		c.count.List.Late.Inc()
		c.log.Warn("no news of the list for longer than it may take", "code", "list_late", "for_ms", time.Since(c.informed).Milliseconds())
		c.news.ListNews(logic.ServerList{Form: logic.ListLate})
	}
	if first { // the first of a row: an outage must not fill the log
		c.log.Warn("discovery call failed, the last list stands", "code", "list_failed", "error", err)
	}
	c.news.ListNews(logic.ServerList{Form: logic.ListFailed})
}

// call asks once, for the whole list where no version is held; beyond a watch's hold the answer is waited for so long.
func (c *Catalog) call(src *source, at int64, wait time.Duration) (List, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	uri := "http://" + src.client.Addr + path
	if at >= 0 {
		uri += "?from=" + strconv.FormatInt(at, 10) + "&hold_ms=" + strconv.FormatInt(c.hold.Milliseconds(), 10)
		wait += c.hold
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

func (c *Catalog) take(list List, at int64) {
	c.locate(list) // before the module can send there
	late := c.late
	c.informed, c.late = time.Now(), false
	c.count.List.Informed.Set(c.informed.UnixMilli())
	switch {
	case list.Complete:
		c.count.List.Full.Inc()
		c.tell(list, logic.ListFull)
	case len(list.Members) > 0 || at < 0 || late:
		c.count.List.Delta.Inc()
		c.tell(list, logic.ListDelta)
	}
}

func (c *Catalog) tell(list List, form logic.ListForm) {
	if n, ok := c.news.(MemberNews); ok {
		n.MemberNews(list, form)
		return
	}
	c.news.ListNews(logic.ServerList{Form: form, Entries: list.Entries()})
}

// locate notes the addresses. They may change at a restart; one that is gone is not dialled any more.
func (c *Catalog) locate(list List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = list.Revision
	if list.Complete {
		clear(c.members)
	}
	for _, m := range list.Members {
		if m.Phase == "DELETED" {
			delete(c.members, logic.ServerID(m.ID))
			continue
		}
		c.members[logic.ServerID(m.ID)] = m
	}
}
