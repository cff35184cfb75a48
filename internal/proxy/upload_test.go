package proxy

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

// uploadingClient is a client that has uploaded its large body except for the last byte.
type uploadingClient struct {
	*fakeClient
	file           *body.File
	beforeLastByte func() // called before the last byte can be forwarded
	afterLastByte  func() // called after the last byte can be forwarded
}

func (u *uploadingClient) LargeBody() *body.File { return u.file }

func (u *uploadingClient) ReadBody(_ *fasthttp.RequestCtx, onEnd func()) *Rejection {
	u.beforeLastByte()
	_, err := u.file.Fill(strings.NewReader("x"), nil, onEnd)
	u.afterLastByte()
	if err != nil {
		return &Rejection{Status: 400, Code: "unreadable"}
	}
	return nil
}

// countingRouter counts the submitted requests and stores the last one.
type countingRouter struct {
	next        Router
	arrivals    atomic.Int64
	lastRequest atomic.Pointer[request]
}

func (c *countingRouter) Submit(r engine.Request) engine.Ticket {
	c.arrivals.Add(1)
	c.lastRequest.Store(r.(*request))
	return c.next.Submit(r)
}

// If a response arrives before the last byte of the upload can be forwarded, no server has run the request, and the request
// must be routed again. If it arrives later, the request may have run, and must not be routed again.
func TestRequestIsRoutedAgainOnlyAfterEarlyResponse(t *testing.T) {
	for name, c := range map[string]struct {
		late     bool
		arrivals int64
		status   int
	}{"response before the last byte": {false, 2, 504}, "response after the last byte": {true, 1, 502}} {
		t.Run(name, func(t *testing.T) {
			count := &counters.Counters{}
			r := &countingRouter{next: silentEngine(t, count)}
			h := testHandler(r, count)
			h.classes["look"] = balancer.Class{Name: "look", Idempotency: balancer.NonIdempotent}
			f, err := body.New(t.TempDir(), 1, 4, nil, &count.Bodies).Create(1, time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Release()
			respond := func() {
				for end := time.Now().Add(10 * time.Second); count.Engine.Events.Get() == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond) // the engine answers a request only after it has handled its arrival
				}
				r.lastRequest.Load().Respond(engine.Response{Kind: engine.Failed})
			}
			nothing := func() {}
			u := &uploadingClient{fakeClient: newFakeClient(), file: f, beforeLastByte: respond, afterLastByte: nothing}
			if c.late {
				u.beforeLastByte = nothing
				u.afterLastByte = respond
			}
			ctx := lookRequest(50)
			ctx.Request.Header.SetMethod("POST")
			h.Serve(ctx, u)
			if n := r.arrivals.Load(); n != c.arrivals || ctx.Response.StatusCode() != c.status {
				t.Errorf("routed %d times with status %d, want %d times with %d", n, ctx.Response.StatusCode(), c.arrivals, c.status)
			}
		})
	}
}
