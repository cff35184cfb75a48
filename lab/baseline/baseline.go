// Package baseline is a plain balancer to compare with: random choice, or the server with the fewest of its own
// requests in flight. It speaks the node's protocol and keeps what any careful proxy keeps (nothing unsafe is retried
// after it may have been executed, a draining server gets nothing new). It knows neither scores, ejection, budgets for
// cold servers nor tenants, and no decision of the product is here.
//
// A baseline can be given a defect on purpose, one rule at a time, so that the auditor can be tried.
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
	Defect string // one of scenario.Defects; empty: none
}

const (
	// responseMargin is the part of a request's time that is left for the response to reach the client.
	responseMargin = 5 * time.Millisecond

	watchHold      = 5 * time.Second
	connectTimeout = 150 * time.Millisecond
	drainDelay     = 600 * time.Millisecond // from SIGTERM on connections go on coming
)

// server is one server of the list.
type server struct {
	member   discovery.Member
	client   *fasthttp.HostClient
	inFlight atomic.Int64
	draining bool
}

// node is a running baseline.
type node struct {
	options     Options
	classes     map[string]balancer.Class
	maxAttempts int
	draining    atomic.Bool

	mu           sync.Mutex
	servers      map[string]*server
	previousBody []byte // of the response before, for the defect that swaps responses
	requestCount int
}

// Run serves until SIGTERM, by the node's own environment and configuration.
func Run(o Options) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	n := &node{
		options:     o,
		classes:     map[string]balancer.Class{},
		maxAttempts: max(1, c.Settings.Balancer.MaxAttempts),
		servers:     map[string]*server{},
	}
	for _, class := range c.Settings.Balancer.Classes {
		n.classes[class.Name] = class
	}
	n.update(c.Known)
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.watch(ctx, c.Discovery)
	srv := &fasthttp.Server{Handler: n.handle, NoDefaultServerHeader: true, Logger: discardLogger{}}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	go func() {
		<-stop
		n.draining.Store(true) // responses close their connections from now on
		time.Sleep(drainDelay)
		_ = srv.ShutdownWithContext(ctx)
	}()
	return srv.Serve(l)
}

// discardLogger drops fasthttp's own log.
type discardLogger struct{}

// Printf drops fasthttp's own log.
func (discardLogger) Printf(string, ...any) {}

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
		n.update(list)
	}
}

// fetch makes one call for the list.
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

// update takes over a list.
func (n *node) update(list discovery.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	named := map[string]bool{}
	for _, m := range list.Members {
		named[m.ID] = true
		s := n.servers[m.ID]
		if m.Phase == "DELETED" {
			n.remove(m.ID)
			continue
		}
		if s == nil || s.member.HostPort != m.HostPort {
			s = &server{client: newClient(m.HostPort)}
			n.servers[m.ID] = s
		}
		s.member, s.draining = m, m.Phase != "SERVING"
	}
	for id := range n.servers {
		if list.Complete && !named[id] {
			n.remove(id)
		}
	}
}

// newClient makes a client for one server that never retries by itself.
func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  512,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		Dial:                      dial,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
	}
}

// remove removes a server. The defect of late drains keeps it.
func (n *node) remove(id string) {
	if n.options.Defect != "late-drain" {
		delete(n.servers, id)
	}
}

// errNotConnected says that no connection was established, so that nothing can have been executed.
var errNotConnected = errors.New("no connection")

// dial connects to a server. The error is errNotConnected.
func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return nil, errNotConnected
	}
	return c, nil
}

// pick picks a server that the policy prefers, of those not tried.
func (n *node) pick(not map[string]bool) *server {
	n.mu.Lock()
	defer n.mu.Unlock()
	var best []*server
	least := int64(1 << 62)
	for id, s := range n.servers {
		if not[id] || s.draining && n.options.Defect != "late-drain" {
			continue
		}
		if n.options.Defect == "cold-push" && s.member.UpSince > 0 { // every request goes to the server that has just started
			return s
		}
		open := int64(0)
		if n.options.Policy == "least" {
			open = s.inFlight.Load()
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

// handle handles one request.
func (n *node) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/_health" {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	if string(ctx.Path()) == "/_counters" {
		ctx.SetBodyString("{}")
		return
	}
	if n.draining.Load() {
		ctx.SetConnectionClose()
	}
	class, ok := n.classes[string(ctx.Request.Header.Peek("X-Class"))]
	ms, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Deadline-Ms")))
	if !ok || err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	wait := time.Duration(ms) * time.Millisecond
	if n.injectDefect(ctx, class, wait) {
		return
	}
	n.forward(ctx, class, ctx.Time().Add(wait-min(responseMargin, wait/10)))
	if n.options.Defect == "swapped-answer" {
		n.swapResponse(ctx)
	}
}

// forward tries servers until one has served, or the attempts or the time are used up.
func (n *node) forward(ctx *fasthttp.RequestCtx, class balancer.Class, until time.Time) {
	tried := map[string]bool{}
	mayRun := false
	for range n.maxAttempts {
		s := n.pick(tried)
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
	if n.draining.Load() {
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

// attempt sends the request to one server. It tells whether the request may have been executed.
func (n *node) attempt(ctx *fasthttp.RequestCtx, s *server, until time.Time) (status int, mayRun bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	ctx.Request.CopyTo(req)
	req.SetHost(s.member.HostPort)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, time.Until(until).Milliseconds()), 10))
	s.inFlight.Add(1)
	err := s.client.DoDeadline(req, resp, until)
	s.inFlight.Add(-1)
	switch {
	case errors.Is(err, errNotConnected):
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

// injectDefect plays the defects that replace forwarding. Every seventh request has one, so that the rest shows a
// normal run.
func (n *node) injectDefect(ctx *fasthttp.RequestCtx, class balancer.Class, wait time.Duration) bool {
	n.mu.Lock()
	n.requestCount++
	hit := n.requestCount%7 == 0
	n.mu.Unlock()
	if !hit {
		return false
	}
	until := time.Now().Add(wait - responseMargin)
	switch n.options.Defect {
	case "double-send": // a second copy of an unsafe request is sent beside the first
		if class.Idempotency == balancer.Idempotent {
			return false
		}
		for range 2 {
			if s := n.pick(nil); s != nil {
				_, _ = n.attempt(ctx, s, until)
			}
		}
	case "refuse-run": // the request was executed, and its rejection says that a retry is harmless
		if s := n.pick(nil); s != nil {
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

// swapResponse gives each client the response of the request before.
func (n *node) swapResponse(ctx *fasthttp.RequestCtx) {
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	own := append([]byte(nil), ctx.Response.Body()...)
	if n.previousBody != nil {
		ctx.SetBody(n.previousBody)
	}
	n.previousBody = own
}
