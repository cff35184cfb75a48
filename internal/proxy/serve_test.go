package proxy

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

// client is a connection under a test's control.
type client struct {
	left  chan struct{}
	ended string
	at    time.Time
	gone  bool
}

func newClient() *client { return &client{left: make(chan struct{}), at: time.Now()} }

func (c *client) LastRead() time.Time                        { return c.at }
func (c *client) WatchDisconnect() (<-chan struct{}, func()) { return c.left, func() {} }
func (c *client) SetCloseReason(reason string)               { c.ended = reason }
func (c *client) Disconnected() bool                         { return c.gone }

// broken is a router that fails.
type broken struct{}

func (broken) Submit(engine.Request) engine.Ticket { panic("as the test wants") }

// module never decides anything.
type module struct{}

func (module) Step(balancer.Millis, balancer.Event) []balancer.Action { return nil }

func desk(r Router, count *counters.Counters) *Handler {
	return NewHandler(Options{Router: r, Clock: clock.New(), DeadlineSlack: 5, Count: count,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Classes: []balancer.Class{{Name: "look"}}})
}

func lookRequest(deadline int) *fasthttp.RequestCtx {
	var req fasthttp.Request
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI("/look")
	req.Header.Set(headID, "1")
	req.Header.Set(headClass, "look")
	req.Header.Set(headDeadline, strconv.Itoa(deadline))
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&req, nil, nil)
	return ctx
}

func TestPanicEndsOneRequest(t *testing.T) {
	count, c := &counters.Counters{}, newClient()
	ctx := lookRequest(1000)
	desk(broken{}, count).Serve(ctx, c)
	if ctx.Response.StatusCode() != 502 || c.ended != ReasonPanic || !ctx.Response.ConnectionClose() {
		t.Errorf("status %d, connection ends by %q", ctx.Response.StatusCode(), c.ended)
	}
	if r := &count.Requests; r.Taken.Get() != 1 || r.Failed.Get() != 1 || r.Open.Get() != 0 {
		t.Errorf("counted %s", count.JSON())
	}
}

// silentEngine is an engine whose module never answers.
func silentEngine(t *testing.T, count *counters.Counters) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Options{Module: module{}, Clock: clock.New(), Counters: count, MaxAttempts: 1,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	return e
}

func TestGuardAnswersInTime(t *testing.T) {
	count := &counters.Counters{}
	ctx, began := lookRequest(50), time.Now()
	desk(silentEngine(t, count), count).Serve(ctx, newClient())
	if took := time.Since(began); took < 70*time.Millisecond || took > 5*time.Second {
		t.Errorf("answered after %v", took)
	}
	if ctx.Response.StatusCode() != 504 || count.Requests.Overdue.Get() != 1 || count.Requests.Failed.Get() != 1 {
		t.Errorf("status %d, counted %s", ctx.Response.StatusCode(), count.JSON())
	}
}

func TestLeavingEndsTheWait(t *testing.T) {
	count, c := &counters.Counters{}, newClient()
	close(c.left)
	ctx := lookRequest(60_000)
	desk(silentEngine(t, count), count).Serve(ctx, c)
	if ctx.Response.StatusCode() != statusLeft || c.ended != ReasonClientLeft || count.Requests.Left.Get() != 1 {
		t.Errorf("status %d, ended %q, counted %s", ctx.Response.StatusCode(), c.ended, count.JSON())
	}
}

// TestLeftBeforeItWasDecidedOn: broken fails whoever asks it, so the request cannot have come so far.
func TestLeftBeforeItWasDecidedOn(t *testing.T) {
	count, c := &counters.Counters{}, newClient()
	c.gone = true
	ctx := lookRequest(60_000)
	desk(broken{}, count).Serve(ctx, c)
	if ctx.Response.StatusCode() != statusLeft || c.ended != ReasonClientLeft || count.Requests.Left.Get() != 1 {
		t.Errorf("status %d, ended %q, counted %s", ctx.Response.StatusCode(), c.ended, count.JSON())
	}
}

// FuzzAdmit checks what is let through: only what is in the protocol's form, whatever came.
func FuzzAdmit(f *testing.F) {
	f.Add("GET", "/look?x=1", "1", "look", "480", "12", "")
	f.Add("POST", "/store", "1", "store", "480", "-1", "key")
	f.Add("PUT", "//look", "", "look", "-1", "NaN", "")
	classes := []balancer.Class{{Name: "look"}, {Name: "store", Idempotency: balancer.IdempotentWithKey}, {Name: "bill", Idempotency: balancer.NonIdempotent}}
	d := NewHandler(Options{Clock: clock.New(), Classes: classes})
	f.Fuzz(func(t *testing.T, method, uri, id, class, deadline, hint, key string) {
		var h fasthttp.RequestHeader
		r := &request{desk: d, taken: taken{at: d.o.Clock.Now(), method: method, uri: []byte(uri), id: id, class: class,
			deadline: deadline, hint: hint, key: key, hasKey: key != "", header: &h}}
		if bad := r.admit(); bad != nil {
			if bad.code == "" || bad.status != 504 && (bad.status < 400 || bad.status > 499) {
				t.Errorf("rejected as %+v", bad)
			}
			return
		}
		a := r.Arrival()
		switch {
		case firstPart([]byte(uri)) != class || id == "":
			t.Errorf("%q of class %q with id %q was admitted", uri, class, id)
		case r.class.Idempotency == balancer.IdempotentWithKey && key == "":
			t.Error("a keyed request without a key was admitted")
		case !(a.Deadline > r.taken.at) || a.Deadline > r.taken.at+maxDeadline:
			t.Errorf("expires %v after %v", a.Deadline, r.taken.at)
		case !(a.WorkHint >= 0 && a.WorkHint < 1e12):
			t.Errorf("hint %v from %q", a.WorkHint, hint)
		}
	})
}

// uploading is a client whose large body has its last byte still to come.
type uploading struct {
	*client
	file *body.File
	last func() // before the last byte can go on
	then func() // after that
}

func (u *uploading) LargeBody() *body.File { return u.file }

func (u *uploading) ReadBody(_ *fasthttp.RequestCtx, ended func()) (int, string) {
	u.last()
	_, err := u.file.Fill(strings.NewReader("x"), nil, ended)
	u.then()
	if err != nil {
		return 400, "unreadable"
	}
	return 0, ""
}

// asked is a router that counts arrivals.
type asked struct {
	to    Router
	times atomic.Int64
	last  atomic.Pointer[request]
}

func (a *asked) Submit(x engine.Request) engine.Ticket {
	a.times.Add(1)
	a.last.Store(x.(*request))
	return a.to.Submit(x)
}

// TestAnswersAheadOfARequestsEnd: one that comes before the last byte can have gone on is to nothing that has run, and the
// request is asked for again; one that comes after may be to what has run, and must not be.
func TestAnswersAheadOfARequestsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		late   bool
		asked  int64
		status int
	}{"before its end": {false, 2, 504}, "after its end": {true, 1, 502}} {
		t.Run(name, func(t *testing.T) {
			count := &counters.Counters{}
			r := &asked{to: silentEngine(t, count)}
			d := desk(r, count)
			d.classes["look"] = balancer.Class{Name: "look", Idempotency: balancer.NonIdempotent}
			f, err := body.New(t.TempDir(), 1, 4, &count.Bodies).Create(1)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Release()
			answer := func() {
				for end := time.Now().Add(10 * time.Second); count.Engine.Events.Get() == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond) // until the engine has taken the arrival: it answers no sooner
				}
				r.last.Load().Respond(engine.Response{Kind: engine.Failed})
			}
			nothing := func() {}
			u := &uploading{newClient(), f, answer, nothing}
			if c.late {
				u.last, u.then = nothing, answer
			}
			ctx := lookRequest(50)
			ctx.Request.Header.SetMethod("POST")
			d.Serve(ctx, u)
			if n := r.times.Load(); n != c.asked || ctx.Response.StatusCode() != c.status {
				t.Errorf("decided on %d times, status %d", n, ctx.Response.StatusCode())
			}
		})
	}
}
