package proxy

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

func TestFirstPart(t *testing.T) {
	for uri, want := range map[string]string{"/checkout": "checkout", "/checkout/": "checkout", "/checkout?x=1": "checkout",
		"/checkout/a/b": "checkout", "/checkout#f": "checkout", "//checkout": "", "/": "", "": "", "checkout": "",
		"/check%6fut": "check%6fut", "http://h/checkout": ""} {
		if got := firstPart([]byte(uri)); got != want {
			t.Errorf("%q: %q, want %q", uri, got, want)
		}
	}
}

func TestParseDeadline(t *testing.T) {
	for s, want := range map[string]float64{"480": 480, "0": 0, "99999999": maxDeadline, "": -1, "-1": -1, "4.5": -1,
		"1e3": -1, " 5": -1, "99999999999999999999": -1} {
		got, ok := parseDeadline(s)
		if ok != (want >= 0) || ok && got != want {
			t.Errorf("%q: %v %v, want %v", s, got, ok, want)
		}
	}
}

func TestParseHint(t *testing.T) {
	for s, want := range map[string]float64{"1500": 1.5, "0": 0, "": 0, "-3": 0, "NaN": 0, "Inf": 0, "x": 0} {
		if got := parseHint(s); got != want {
			t.Errorf("%q: %v, want %v", s, got, want)
		}
	}
}

func TestMethods(t *testing.T) {
	for effect, want := range map[balancer.Idempotency]string{balancer.Idempotent: "GET", balancer.IdempotentWithKey: "POST", balancer.NonIdempotent: "POST"} {
		if got := methodOf(balancer.Class{Idempotency: effect}); got != want {
			t.Errorf("effect %v by %s, want %s", effect, got, want)
		}
	}
}

func TestOutgoingDropsWhatHoldsForOneConnection(t *testing.T) {
	var h fasthttp.RequestHeader
	h.SetMethod("POST")
	for _, f := range [][2]string{{"Host", "app.svc"}, {"X-Request-Id", "1"}, {"Connection", "close"},
		{"Transfer-Encoding", "chunked"}, {"X-Deadline-Ms", "480"}, {"Expect", "100-continue"}, {"Te", "trailers"}} {
		h.Add(f[0], f[1])
	}
	tk := taken{method: "POST", uri: []byte("/bill?a=%20"), header: &h, body: []byte("body")}
	o := newOutgoing(&tk, 1000)
	tk.body[0] = 'X' // the copy must not follow the connection's buffer
	got := string(o.bytes(123.9))
	if !strings.HasPrefix(got, "POST /bill?a=%20 HTTP/1.1\r\n") || !strings.HasSuffix(got, "X-Deadline-Ms: 123\r\n\r\nbody") {
		t.Errorf("%q", got)
	}
	for _, part := range []string{"Host: app.svc\r\n", "X-Request-Id: 1\r\n", "Content-Length: 4\r\n"} {
		if strings.Count(got, part) != 1 {
			t.Errorf("%q does not come once in %q", part, got)
		}
	}
	for _, part := range []string{"Connection", "chunked", "480", "Expect", "Te:"} {
		if strings.Contains(got, part) {
			t.Errorf("%q went on in %q", part, got)
		}
	}
	if last := string(o.bytes(0.2)); !strings.Contains(last, "X-Deadline-Ms: 1\r\n") {
		t.Errorf("a last moment is told as %q", last)
	}
}

func TestStatuses(t *testing.T) {
	for kind, want := range map[engine.ResponseKind]int{engine.Served: 200, engine.Rejected: 503, engine.Failed: 502,
		engine.TimedOut: 504} {
		var ctx fasthttp.RequestCtx
		endingOf(engine.Response{Kind: kind, RetryAfter: 250}).write(&ctx)
		if got := ctx.Response.StatusCode(); got != want {
			t.Errorf("kind %v: %d, want %d", kind, got, want)
		}
		if got := string(ctx.Response.Header.Peek("Retry-After")); got != "0.250" {
			t.Errorf("Retry-After %q", got)
		}
	}
}

func TestOriginForm(t *testing.T) {
	for target, want := range map[string]string{"/look?x=1": "/look?x=1", "http://h/look?x=1": "/look?x=1", "HTTPS://h:1/look": "/look",
		"http:///look": "http:///look", "http://h": "http://h", "http://h?/look": "http://h?/look", "*": "*", "": ""} {
		if got := originForm([]byte(target)); string(got) != want {
			t.Errorf("%q becomes %q", target, got)
		}
	}
}
