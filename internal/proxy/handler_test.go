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

// fakeClient is a connection under a test's control.
type fakeClient struct {
	left         chan struct{}
	closeReason  string
	lastRead     time.Time
	disconnected bool
}

func newFakeClient() *fakeClient {
	return &fakeClient{left: make(chan struct{}), lastRead: time.Now()}
}

func (c *fakeClient) LastRead() time.Time                        { return c.lastRead }
func (c *fakeClient) WatchDisconnect() (<-chan struct{}, func()) { return c.left, func() {} }
func (c *fakeClient) SetCloseReason(reason string)               { c.closeReason = reason }
func (c *fakeClient) Disconnected() bool                         { return c.disconnected }

// panickingRouter fails whoever calls it.
type panickingRouter struct{}

func (panickingRouter) Submit(engine.Request) engine.Ticket { panic("as the test wants") }

// idleModule never decides anything.
type idleModule struct{}

func (idleModule) Step(balancer.Millis, balancer.Event) []balancer.Action { return nil }

// silentEngine is an engine whose module never answers.
func silentEngine(t *testing.T, count *counters.Counters) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Options{Balancer: idleModule{}, Clock: clock.New(), Counters: count, MaxAttempts: 1,
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

// lookRequest is a well-formed request with a deadline in milliseconds.
func lookRequest(deadline int) *fasthttp.RequestCtx {
	var req fasthttp.Request
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI("/look")
	req.Header.Set(HeaderID, "1")
	req.Header.Set(HeaderClass, "look")
	req.Header.Set(HeaderDeadline, strconv.Itoa(deadline))
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&req, nil, nil)
	return ctx
}

func TestPanicEndsOneRequest(t *testing.T) {
	count := &counters.Counters{}
	c := newFakeClient()
	ctx := lookRequest(1000)
	testHandler(panickingRouter{}, count).Serve(ctx, c)
	if ctx.Response.StatusCode() != 502 || c.closeReason != ReasonPanic || !ctx.Response.ConnectionClose() {
		t.Errorf("status %d, connection closes for %q", ctx.Response.StatusCode(), c.closeReason)
	}
	if r := &count.Requests; r.Taken.Get() != 1 || r.Failed.Get() != 1 || r.Open.Get() != 0 {
		t.Errorf("counted %s", count.JSON())
	}
}

// TestDisconnectedBeforeRouting: a client gave its request up while that waited to be read. The router panics on any call,
// so the request cannot have been routed.
func TestDisconnectedBeforeRouting(t *testing.T) {
	count := &counters.Counters{}
	c := newFakeClient()
	c.disconnected = true
	ctx := lookRequest(60_000)
	testHandler(panickingRouter{}, count).Serve(ctx, c)
	if ctx.Response.StatusCode() != statusClientLeft || c.closeReason != ReasonClientLeft || count.Requests.Left.Get() != 1 {
		t.Errorf("status %d, closed for %q, counted %s", ctx.Response.StatusCode(), c.closeReason, count.JSON())
	}
}
