package upstream

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func TestReadProbeResponse(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		reason    closeReason
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"connection closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", closeServerAsked},
		{"unsolicited bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1", closeServerAsked},
		{"empty", "", closeReset},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", closeBadResponse},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", closeBadResponse},
		{"oversized", "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000), closeBadResponse},
		{"malformed", "hello\r\n\r\n", closeBadResponse},
		{"malformed without end", "hello there", closeBadResponse},
		{"1xx first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		{"1xx only", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20), closeBadResponse},
		{"until it closes", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nok", closeServerAsked},
		{"no delimiter", "HTTP/1.1 200 OK\r\n\r\nok", closeBadResponse},
	} {
		var resp fasthttp.Response
		reason, err := readProbeResponse(&conn{reader: bufio.NewReader(strings.NewReader(c.raw))}, &resp)
		if reason != c.reason {
			t.Errorf("%s: %q (%v), want %q", c.name, reason, err, c.reason)
		}
	}
}
