package proxy

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

// fakeClient is a client connection whose state a test sets.
type fakeClient struct {
	disconnect   chan struct{}
	closeReason  string
	lastRead     time.Time
	disconnected bool
}

func newFakeClient() *fakeClient {
	return &fakeClient{disconnect: make(chan struct{}), lastRead: time.Now()}
}

func (c *fakeClient) LastRead() time.Time                        { return c.lastRead }
func (c *fakeClient) WatchDisconnect() (<-chan struct{}, func()) { return c.disconnect, func() {} }
func (c *fakeClient) SetCloseReason(reason string)               { c.closeReason = reason }
func (c *fakeClient) Disconnected() bool                         { return c.disconnected }
func (c *fakeClient) MayHaveDisconnected() bool                  { return c.disconnected }

// panickingRouter panics on every call.
type panickingRouter struct{}

func (panickingRouter) Submit(engine.Request) engine.Ticket { panic("injected by the test") }

// idleBalancer returns no actions.
type idleBalancer struct{}

func (idleBalancer) Step(balancer.Millis, balancer.Event) []balancer.Action { return nil }

// silentEngine starts an engine whose balancer never answers a request.
func silentEngine(t *testing.T, count *counters.Counters) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Options{Balancer: idleBalancer{}, Clock: clock.New(), Counters: count, MaxAttempts: 1,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	return e
}

func testHandler(r Router, count *counters.Counters) *Handler {
	return NewHandler(Options{Router: r, Clock: clock.New(), DeadlineSlack: 5, Counters: count,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Classes: []balancer.Class{{Name: "look"}}})
}

// lookRequest returns a well-formed request of the class look. The timeout is in milliseconds.
func lookRequest(timeout int) *fasthttp.RequestCtx {
	var req fasthttp.Request
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI("/look")
	req.Header.Set(HeaderID, "1")
	req.Header.Set(HeaderClass, "look")
	req.Header.Set(HeaderDeadline, strconv.Itoa(timeout))
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&req, nil, nil)
	return ctx
}

// A panic must end only its own request: with a 502 response, a closed connection and the outcome counted as failed.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	count := &counters.Counters{}
	c := newFakeClient()
	ctx := lookRequest(1000)
	testHandler(panickingRouter{}, count).Serve(ctx, c)
	if ctx.Response.StatusCode() != 502 || c.closeReason != ReasonPanic || !ctx.Response.ConnectionClose() {
		t.Errorf("status = %d, close reason = %q, want 502 and a panic", ctx.Response.StatusCode(), c.closeReason)
	}
	if r := &count.Requests; r.Taken.Get() != 1 || r.Failed.Get() != 1 || r.Open.Get() != 0 {
		t.Errorf("counters = %s, want one request taken and failed", count.JSON())
	}
}

// A request whose client disconnected before it was read must not be routed. The router panics on every call, so the request
// was not routed if the status is not 502.
func TestRequestOfDisconnectedClientIsNotRouted(t *testing.T) {
	count := &counters.Counters{}
	c := newFakeClient()
	c.disconnected = true
	ctx := lookRequest(60_000)
	testHandler(panickingRouter{}, count).Serve(ctx, c)
	if ctx.Response.StatusCode() != statusClientClosedRequest || c.closeReason != ReasonClientDisconnected || count.Requests.ClientDisconnected.Get() != 1 {
		t.Errorf("status = %d, close reason = %q, counters = %s, want 499 for a disconnected client", ctx.Response.StatusCode(),
			c.closeReason, count.JSON())
	}
}
