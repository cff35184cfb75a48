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

// uploadingClient is a client whose large body lacks its last byte.
type uploadingClient struct {
	*fakeClient
	file       *body.File
	beforeLast func() // called before the last byte can be forwarded
	afterLast  func()
}

func (u *uploadingClient) LargeBody() *body.File { return u.file }

func (u *uploadingClient) ReadBody(_ *fasthttp.RequestCtx, ended func()) *Rejection {
	u.beforeLast()
	_, err := u.file.Fill(strings.NewReader("x"), nil, ended)
	u.afterLast()
	if err != nil {
		return &Rejection{Status: 400, Code: "unreadable"}
	}
	return nil
}

// countingRouter counts arrivals and remembers the last one.
type countingRouter struct {
	next     Router
	arrivals atomic.Int64
	last     atomic.Pointer[request]
}

func (c *countingRouter) Submit(x engine.Request) engine.Ticket {
	c.arrivals.Add(1)
	c.last.Store(x.(*request))
	return c.next.Submit(x)
}

// TestResponseBeforeTheUploadsEnd: a response that comes before the last byte can have been forwarded is to a request that has
// not run, and the request is routed again. One that comes after may be to a request that has run, and it must not be.
func TestResponseBeforeTheUploadsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		late     bool
		arrivals int64
		status   int
	}{"before its end": {false, 2, 504}, "after its end": {true, 1, 502}} {
		t.Run(name, func(t *testing.T) {
			count := &counters.Counters{}
			r := &countingRouter{next: silentEngine(t, count)}
			h := testHandler(r, count)
			h.classes["look"] = balancer.Class{Name: "look", Idempotency: balancer.NonIdempotent}
			f, err := body.New(t.TempDir(), 1, 4, &count.Bodies).Create(1)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Release()
			respond := func() {
				for end := time.Now().Add(10 * time.Second); count.Engine.Events.Get() == 0 && time.Now().Before(end); {
					time.Sleep(time.Millisecond) // until the engine has taken the arrival: it answers no sooner
				}
				r.last.Load().Respond(engine.Response{Kind: engine.Failed})
			}
			nothing := func() {}
			u := &uploadingClient{fakeClient: newFakeClient(), file: f, beforeLast: respond, afterLast: nothing}
			if c.late {
				u.beforeLast = nothing
				u.afterLast = respond
			}
			ctx := lookRequest(50)
			ctx.Request.Header.SetMethod("POST")
			h.Serve(ctx, u)
			if n := r.arrivals.Load(); n != c.arrivals || ctx.Response.StatusCode() != c.status {
				t.Errorf("routed %d times, status %d", n, ctx.Response.StatusCode())
			}
		})
	}
}
