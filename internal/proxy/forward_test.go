package proxy

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestOutgoingDropsHopByHopFields(t *testing.T) {
	var header fasthttp.RequestHeader
	header.SetMethod("POST")
	for _, f := range [][2]string{{"Host", "app.svc"}, {"X-Request-Id", "1"}, {"Connection", "close"},
		{"Transfer-Encoding", "chunked"}, {"X-Deadline-Ms", "480"}, {"Expect", "100-continue"}, {"Te", "trailers"}} {
		header.Add(f[0], f[1])
	}
	in := received{method: "POST", uri: []byte("/bill?a=%20"), header: &header, body: []byte("body")}
	o := newOutgoing(&in, 1000)
	in.body[0] = 'X' // the forwarded body must not share the connection's buffer
	got := string(o.bytes(123.9))
	if !strings.HasPrefix(got, "POST /bill?a=%20 HTTP/1.1\r\n") || !strings.HasSuffix(got, "X-Deadline-Ms: 123\r\n\r\nbody") {
		t.Errorf("forwarded request = %q", got)
	}
	for _, part := range []string{"Host: app.svc\r\n", "X-Request-Id: 1\r\n", "Content-Length: 4\r\n"} {
		if strings.Count(got, part) != 1 {
			t.Errorf("field %q not exactly once in %q", part, got)
		}
	}
	for _, part := range []string{"Connection", "chunked", "480", "Expect", "Te:"} {
		if strings.Contains(got, part) {
			t.Errorf("%q was forwarded in %q, want it dropped", part, got)
		}
	}
	if last := string(o.bytes(0.2)); !strings.Contains(last, "X-Deadline-Ms: 1\r\n") {
		t.Errorf("timeout of 0.2 ms sent as %q, want 1 ms", last)
	}
}
