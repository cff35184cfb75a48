// Package baseline is a plain balancer to compare with: random choice, or the server with the fewest requests of its
// own outstanding. It speaks the node's protocol and keeps what any careful proxy keeps (nothing unsafe is sent again
// after it may have run, a draining server gets nothing new), and knows neither scores, exclusion, budgets for cold
// servers nor tenants. It lives in the lab: no decision of the product is here.
//
// A baseline can be broken on purpose, one rule at a time, so that the auditor can be tried.
package baseline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/discovery"
)

// Options say what kind of balancer it is.
type Options struct {
	Policy string // random or least
	Break  string // a defect; empty: none
}

const (
	// margin is kept of a request's time for the answer's way back.
	margin = 5 * time.Millisecond

	watchHold   = 5 * time.Second
	connectTime = 150 * time.Millisecond
	drainTime   = 600 * time.Millisecond // from SIGTERM on connections go on coming
)

// server is one server of the list.
type server struct {
	member discovery.Member
	client *fasthttp.HostClient
	open   atomic.Int64
	closed bool // it drains
}

// node is a running baseline.
type node struct {
	o       Options
	classes map[string]balancer.Class
	tries   int
	ending  atomic.Bool

	mu       sync.Mutex
	servers  map[string]*server
	lastBody []byte // of the answer before, for the defect that swaps answers
	seen     int
}

// Run serves until SIGTERM, by the node's own environment and configuration.
func Run(o Options) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	n := &node{o: o, classes: map[string]balancer.Class{}, tries: max(1, c.Settings.Balancer.MaxAttempts), servers: map[string]*server{}}
	for _, class := range c.Settings.Balancer.Classes {
		n.classes[class.Name] = class
	}
	n.take(c.Known)
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.watch(ctx, c.Discovery)
	srv := &fasthttp.Server{Handler: n.handle, NoDefaultServerHeader: true, Logger: quiet{}}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		<-stop
		n.ending.Store(true) // answers close their connections from now on
		time.Sleep(drainTime)
		_ = srv.ShutdownWithContext(ctx)
	}()
	return srv.Serve(l)
}

type quiet struct{}

// Printf drops fasthttp's own log.
func (quiet) Printf(string, ...any) {}

// watch follows discovery's list.
func (n *node) watch(ctx context.Context, address string) {
	client := &http.Client{Timeout: watchHold + 5*time.Second}
	from := int64(-1)
	for ctx.Err() == nil {
		url := "http://" + address + "/catalog/members"
		if from >= 0 {
			url += fmt.Sprintf("?from=%d&hold_ms=%d", from, watchHold.Milliseconds())
		}
		list, err := fetch(client, url)
		if err != nil {
			from = -1
			time.Sleep(200 * time.Millisecond)
			continue
		}
		from = list.Revision
		n.take(list)
	}
}

func fetch(client *http.Client, url string) (discovery.List, error) {
	resp, err := client.Get(url)
	if err != nil {
		return discovery.List{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return discovery.List{}, err
	}
	return discovery.ParseList(raw)
}

// take takes a list over.
func (n *node) take(list discovery.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	named := map[string]bool{}
	for _, m := range list.Members {
		named[m.ID] = true
		s := n.servers[m.ID]
		if m.Phase == "DELETED" {
			n.close(m.ID)
			continue
		}
		if s == nil || s.member.HostPort != m.HostPort {
			s = &server{client: &fasthttp.HostClient{Addr: m.HostPort, MaxConns: 512, MaxIdemponentCallAttempts: 1,
				NoDefaultUserAgentHeader: true, Dial: dial, RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }}}
			n.servers[m.ID] = s
		}
		s.member, s.closed = m, m.Phase != "SERVING"
	}
	for id := range n.servers {
		if list.Complete && !named[id] {
			n.close(id)
		}
	}
}

// close takes a server out. The defect of late drains keeps it.
func (n *node) close(id string) {
	if n.o.Break != "late-drain" {
		delete(n.servers, id)
	}
}

// errUnreached says that no connection came up, so that nothing can have run.
var errUnreached = errors.New("no connection")

func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, connectTime)
	if err != nil {
		return nil, errUnreached
	}
	return c, nil
}

// choose picks a server that the policy prefers, of those not tried.
func (n *node) choose(not map[string]bool) *server {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best []*server
	least := int64(1 << 62)
	for id, s := range n.servers {
		if not[id] || s.closed && n.o.Break != "late-drain" {
			continue
		}
		if n.o.Break == "cold-push" && s.member.UpSince > 0 { // everything to what has just started
			return s
		}
		open := int64(0)
		if n.o.Policy == "least" {
			open = s.open.Load()
		}
		switch {
		case open < least:
			best, least = append(best[:0], s), open
		case open == least:
			best = append(best, s)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[rand.IntN(len(best))]
}

func (n *node) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/_health" {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	if string(ctx.Path()) == "/_counters" {
		ctx.SetBodyString("{}")
		return
	}
	if n.ending.Load() {
		ctx.SetConnectionClose()
	}
	class, ok := n.classes[string(ctx.Request.Header.Peek("X-Class"))]
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Deadline-Ms")))
	if !ok || err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := time.Duration(ms) * time.Millisecond
	if n.broken(ctx, class, wait) {
		return
	}
	n.serve(ctx, class, ctx.Time().Add(wait-min(margin, wait/10)))
	if n.o.Break == "swapped-answer" {
		n.swap(ctx)
	}
}

// serve tries servers until one has answered, the tries are used up or the time is.
func (n *node) serve(ctx *fasthttp.RequestCtx, class balancer.Class, until time.Time) {
	tried := map[string]bool{}
	mayRun := false
	for range n.tries {
		s := n.choose(tried)
		if s == nil || time.Now().After(until) {
			break
		}
		tried[s.member.ID] = true
		status, ran := n.attempt(ctx, s, until)
		if status == fasthttp.StatusOK {
			return
		}
		mayRun = mayRun || ran
		if mayRun && class.Idempotency != balancer.Idempotent {
			break
		}
	}
	ctx.Response.Reset()
	if n.ending.Load() {
		ctx.SetConnectionClose()
	}
	switch {
	case !time.Now().Before(until):
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case mayRun && class.Idempotency != balancer.Idempotent:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// attempt sends the request to one server. It tells whether it may have run.
func (n *node) attempt(ctx *fasthttp.RequestCtx, s *server, until time.Time) (status int, mayRun bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	ctx.Request.CopyTo(req)
	req.SetHost(s.member.HostPort)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, time.Until(until).Milliseconds()), 10))
	s.open.Add(1)
	err := s.client.DoDeadline(req, resp, until)
	s.open.Add(-1)
	switch {
	case errors.Is(err, errUnreached):
		return 0, false
	case err != nil:
		return 0, true
	}
	status = resp.StatusCode()
	if status == fasthttp.StatusOK {
		ctx.SetStatusCode(status)
		ctx.SetBody(resp.Body())
	}
	return status, len(resp.Header.Peek("X-Not-Run")) == 0
}

// broken plays the defects that replace serving; every seventh request has them, so that the rest shows a plain run.
func (n *node) broken(ctx *fasthttp.RequestCtx, class balancer.Class, wait time.Duration) bool {
	n.mu.Lock()
	n.seen++
	hit := n.seen%7 == 0
	n.mu.Unlock()
	if !hit {
		return false
	}
	until := time.Now().Add(wait - margin)
	switch n.o.Break {
	case "double-send": // a second copy of whatever it is goes out beside the first
		if class.Idempotency == balancer.Idempotent {
			return false
		}
		for range 2 {
			if s := n.choose(nil); s != nil {
				_, _ = n.attempt(ctx, s, until)
			}
		}
	case "refuse-run": // it has run, and the client hears that trying again is harmless
		if s := n.choose(nil); s != nil {
			_, _ = n.attempt(ctx, s, until)
		}
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case "lost-answer":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	case "late-answer":
		time.Sleep(wait + 150*time.Millisecond)
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		return false
	}
	return true
}

// swap gives each client the answer of the one before.
func (n *node) swap(ctx *fasthttp.RequestCtx) {
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	own := append([]byte(nil), ctx.Response.Body()...)
	if n.lastBody != nil {
		ctx.SetBody(n.lastBody)
	}
	n.lastBody = own
}
