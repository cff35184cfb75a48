// Package baseline implements simple load balancers with which the node is compared. A baseline chooses a random server, or
// the server with the fewest requests in flight from this baseline. It uses the same protocol as the node and follows the
// usual rules of a proxy: it does not retry an unsafe request that may have been executed, and sends no new request to a
// draining server. It has no scores, ejection, slow start or tenants, and shares no decision code with the node.
//
// A baseline can be given an intentional defect that breaks one rule, to test the auditor.
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

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/discovery"
)

// Options selects the policy and the defect of a baseline.
type Options struct {
	Policy string // random or least
	Defect string // one of scenario.Defects; empty: none
}

const (
	// responseMargin is the part of a request's total timeout that is reserved for sending the response to the client.
	responseMargin = 5 * time.Millisecond

	watchTimeout   = 5 * time.Second
	connectTimeout = 150 * time.Millisecond
	drainDelay     = 600 * time.Millisecond // after SIGTERM, new connections are still accepted for this time

	// defectInterval is the number of requests of which a defect affects one.
	defectInterval = 7
)

// server is a server of the endpoint list.
type server struct {
	member   discovery.Member
	client   *fasthttp.HostClient
	inFlight atomic.Int64
	draining bool
}

// node is the state of a running baseline.
type node struct {
	options     Options
	classes     map[string]balancer.Class
	maxAttempts int
	draining    atomic.Bool

	mu           sync.Mutex
	servers      map[string]*server
	previousBody []byte // body of the previous response, for the defect swapped-answer
	requestCount int
}

// Run serves until SIGTERM. It reads the same environment variables and configuration as the node.
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
	n.applyList(c.Known)
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
		n.draining.Store(true) // from now on, responses close their connections
		time.Sleep(drainDelay)
		_ = srv.ShutdownWithContext(ctx)
	}()
	return srv.Serve(l)
}

// discardLogger discards the log messages of fasthttp.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}

// watch long-polls discovery and applies each list, until ctx is done.
func (n *node) watch(ctx context.Context, address string) {
	client := &http.Client{Timeout: watchTimeout + 5*time.Second}
	revision := int64(-1)
	for ctx.Err() == nil {
		url := "http://" + address + "/catalog/members"
		if revision >= 0 {
			url += fmt.Sprintf("?from=%d&hold_ms=%d", revision, watchTimeout.Milliseconds())
		}
		list, err := fetch(client, url)
		if err != nil {
			revision = -1
			time.Sleep(200 * time.Millisecond)
			continue
		}
		revision = list.Revision
		n.applyList(list)
	}
}

// fetch gets the list of members with one request.
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

// applyList updates the servers from a list.
func (n *node) applyList(list discovery.List) {
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := map[string]bool{}
	for _, m := range list.Members {
		listed[m.ID] = true
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
		if list.Complete && !listed[id] {
			n.remove(id)
		}
	}
}

// newClient returns a client for one server that never retries a request.
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

// remove removes a server, unless the baseline has the defect late-drain.
func (n *node) remove(id string) {
	if n.options.Defect != "late-drain" {
		delete(n.servers, id)
	}
}

// errNotConnected means that no connection was established, so the request was certainly not executed.
var errNotConnected = errors.New("cannot connect to the server")

// dial connects to a server. It returns errNotConnected for every failure.
func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return nil, errNotConnected
	}
	return c, nil
}

// pick returns one of the servers that the policy prefers, or nil if all are draining or excluded.
func (n *node) pick(exclude map[string]bool) *server {
	n.mu.Lock()
	defer n.mu.Unlock()
	var candidates []*server
	minLoad := int64(1 << 62)
	for id, s := range n.servers {
		if exclude[id] || s.draining && n.options.Defect != "late-drain" {
			continue
		}
		if n.options.Defect == "cold-push" && s.member.UpSince > 0 { // sends every request to a server that has just started
			return s
		}
		load := int64(0)
		if n.options.Policy == "least" {
			load = s.inFlight.Load()
		}
		switch {
		case load < minLoad:
			candidates, minLoad = append(candidates[:0], s), load
		case load == minLoad:
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rand.IntN(len(candidates))]
}

// handle answers the health and counters endpoints and forwards all other requests.
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
	timeout := time.Duration(ms) * time.Millisecond
	if n.injectDefect(ctx, class, timeout) {
		return
	}
	n.forward(ctx, class, ctx.Time().Add(timeout-min(responseMargin, timeout/10)))
	if n.options.Defect == "swapped-answer" {
		n.swapResponse(ctx)
	}
}

// forward tries servers until one serves the request, no attempt is left, or the deadline has passed. A request that is not
// idempotent is not retried after it may have been executed.
func (n *node) forward(ctx *fasthttp.RequestCtx, class balancer.Class, deadline time.Time) {
	tried := map[string]bool{}
	mayHaveExecuted := false
	for range n.maxAttempts {
		s := n.pick(tried)
		if s == nil || time.Now().After(deadline) {
			break
		}
		tried[s.member.ID] = true
		status, maybeExecuted := n.attempt(ctx, s, deadline)
		if status == fasthttp.StatusOK {
			return
		}
		mayHaveExecuted = mayHaveExecuted || maybeExecuted
		if mayHaveExecuted && class.Idempotency != balancer.Idempotent {
			break
		}
	}
	ctx.Response.Reset()
	if n.draining.Load() {
		ctx.SetConnectionClose()
	}
	switch {
	case !time.Now().Before(deadline):
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case mayHaveExecuted && class.Idempotency != balancer.Idempotent:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// attempt sends the request to one server. It returns the status, or 0 if there is no response, and whether the request may have
// been executed.
func (n *node) attempt(ctx *fasthttp.RequestCtx, s *server, deadline time.Time) (status int, mayHaveExecuted bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	ctx.Request.CopyTo(req)
	req.SetHost(s.member.HostPort)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	s.inFlight.Add(1)
	err := s.client.DoDeadline(req, resp, deadline)
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

// injectDefect applies the defects that replace forwarding and reports whether it did. Only every seventh request is
// affected, so that most of the run is normal. The defect refuse-run breaks its rule with unsafe requests alone, so every seventh of
// these is affected.
func (n *node) injectDefect(ctx *fasthttp.RequestCtx, class balancer.Class, timeout time.Duration) bool {
	if n.options.Defect == "refuse-run" && class.Idempotency != balancer.NonIdempotent {
		return false
	}
	if !n.isAffected(ctx) {
		return false
	}
	deadline := time.Now().Add(timeout - responseMargin)
	switch n.options.Defect {
	case "double-send": // executes a non-repeatable request twice
		if class.Idempotency == balancer.Idempotent {
			return false
		}
		for range 2 {
			if s := n.pick(nil); s != nil {
				_, _ = n.attempt(ctx, s, deadline)
			}
		}
	case "refuse-run": // executes the request, but rejects it as not executed, so that the client may retry it
		if s := n.pick(nil); s != nil {
			_, _ = n.attempt(ctx, s, deadline)
		}
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case "lost-answer":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	case "late-answer":
		time.Sleep(timeout + 150*time.Millisecond)
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	default:
		return false
	}
	return true
}

// isAffected reports whether the defect affects a request: every seventh. The defect lost-answer chooses by the request's id, since
// clients send a request again if a connection that they reuse ends without a response.
func (n *node) isAffected(ctx *fasthttp.RequestCtx) bool {
	if n.options.Defect == "lost-answer" {
		return xxhash.Sum64(ctx.Request.Header.Peek("X-Request-Id"))%defectInterval == 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requestCount++
	return n.requestCount%defectInterval == 0
}

// swapResponse replaces the response body with that of the previous request.
func (n *node) swapResponse(ctx *fasthttp.RequestCtx) {
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	body := append([]byte(nil), ctx.Response.Body()...)
	if n.previousBody != nil {
		ctx.SetBody(n.previousBody)
	}
	n.previousBody = body
}
