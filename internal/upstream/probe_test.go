package upstream

import (
	"bufio"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// lateTimerContext is a context whose deadline has passed but whose timer has not fired yet.
type lateTimerContext struct{ context.Context }

func (lateTimerContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// A probe's deadline passes before the probe is written, either while its connection is dialed (the socket's timer fires before
// the context's timer) or on an idle connection. The outcome must be TimedOut, because Unreachable would wrongly count against
// the server. The connection must be counted as closeAborted, not as closeConnectTimeout.
func TestProbeTimesOutBeforeRequestIsSent(t *testing.T) {
	for _, idle := range []bool{false, true} {
		addr, _ := acceptingListener(t)
		p, count := testPool(fixedResolver{"s1": addr}, 1, 1)
		if idle {
			p.putUnused(mustAcquire(t, p, "s1"))
		}
		if got := p.probe(lateTimerContext{context.Background()}, "s1").Outcome; got != balancer.TimedOut {
			t.Errorf("idle connection %v: outcome = %s, want timed_out", idle, engine.OutcomeName(got))
		}
		if n := count.ServerEnds.Get(string(closeAborted)); n != 1 {
			t.Errorf("idle connection %v: %d connections counted as %s, want 1", idle, n, closeAborted)
		}
	}
}

func TestReadProbeResponse(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		reason    closeReason
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"connection closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", closeRequestedByServer},
		{"unsolicited bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1", closeRequestedByServer},
		{"empty", "", closeReset},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", closeBadResponse},
		{"incomplete head", "HTTP/1.1 200 OK\r\nContent-", closeBadResponse},
		{"oversized", "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), closeBadResponse},
		{"malformed", "hello\r\n\r\n", closeBadResponse},
		{"malformed without end of head", "hello there", closeBadResponse},
		{"1xx first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		{"1xx only", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), closeBadResponse},
		{"delimited by close", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nok", closeRequestedByServer},
		{"no delimiter", "HTTP/1.1 200 OK\r\n\r\nok", closeBadResponse},
	} {
		var resp fasthttp.Response
		reason, err := readProbeResponse(&conn{reader: bufio.NewReader(strings.NewReader(c.raw))}, &resp)
		if reason != c.reason {
			t.Errorf("%s: reason = %q (error %v), want %q", c.name, reason, err, c.reason)
		}
	}
}
