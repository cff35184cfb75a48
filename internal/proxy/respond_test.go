package proxy

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

func TestResponseKindDeterminesStatus(t *testing.T) {
	for kind, want := range map[engine.ResponseKind]int{engine.Served: 200, engine.Rejected: 503, engine.Failed: 502,
		engine.TimedOut: 504} {
		var ctx fasthttp.RequestCtx
		outcomeOf(engine.Response{Kind: kind, RetryAfter: 250}).write(&ctx)
		if got := ctx.Response.StatusCode(); got != want {
			t.Errorf("kind %v: status = %d, want %d", kind, got, want)
		}
		if got := string(ctx.Response.Header.Peek("Retry-After")); got != "0.250" {
			t.Errorf("Retry-After = %q, want 0.250", got)
		}
	}
}

// If the balancer never answers, the watchdog must answer with 504, neither before the deadline nor long after it.
func TestWatchdogAnswersAfterDeadline(t *testing.T) {
	count := &counters.Counters{}
	ctx := lookRequest(50)
	began := time.Now()
	testHandler(silentEngine(t, count), count).Serve(ctx, newFakeClient())
	if took := time.Since(began); took < 70*time.Millisecond || took > 5*time.Second {
		t.Errorf("answered after %v, want 70 ms to 5 s", took)
	}
	if ctx.Response.StatusCode() != 504 || count.Requests.Overdue.Get() != 1 || count.Requests.Failed.Get() != 1 {
		t.Errorf("status = %d, counters = %s, want 504 counted as overdue and failed", ctx.Response.StatusCode(), count.JSON())
	}
}

func TestClientDisconnectEndsWaitForResponse(t *testing.T) {
	count := &counters.Counters{}
	c := newFakeClient()
	close(c.disconnect)
	ctx := lookRequest(60_000)
	testHandler(silentEngine(t, count), count).Serve(ctx, c)
	if ctx.Response.StatusCode() != statusClientClosedRequest || c.closeReason != ReasonClientDisconnected || count.Requests.ClientDisconnected.Get() != 1 {
		t.Errorf("status = %d, close reason = %q, counters = %s, want 499, client_left and 1 disconnected client", ctx.Response.StatusCode(),
			c.closeReason, count.JSON())
	}
}
