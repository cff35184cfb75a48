package main

import (
	"net"
	"strings"
	"testing"
	"time"
)

// A server executes an unsafe request and sends a response that cannot be parsed. The request must not be executed
// twice, must not be rejected as harmless to retry, and the malformed bytes must not reach the client. The connection
// ends, and the next request gets its own response.
func TestMalformedResponseCountsAsExecuted(t *testing.T) {
	const ok, body = "HTTP/1.1 200 OK\r\n", "Content-Length: 16\r\n\r\n%s"
	for name, act := range map[string]behavior{
		"noise":                    respondRaw("\x00\x01\x02 no answer at all \xff\xfe"),
		"noise with an end":        respondRaw("noise\r\n\r\nnoise"),
		"no such version":          respondRaw("HTTP/3.1 200 OK\r\n" + body),
		"status of four digits":    respondRaw("HTTP/1.1 2000 OK\r\n" + body),
		"status that is no figure": respondRaw("HTTP/1.1 2x0 OK\r\n" + body),
		"a field without colon":    respondRaw(ok + "X-Load TEXT\r\n" + body),
		"a space in a name":        respondRaw(ok + "X Load: 1\r\n" + body),
		"a folded field":           respondRaw(ok + "X-Load: 1\r\n more\r\n" + body),
		"a bare line feed":         respondRaw(ok + "X-Load: 1\nX: 2\r\n" + body),
		"a head without end":       respondRaw(ok + "X-Load: 1\r\nContent-"),
		"a head beyond reason":     respondRaw(ok + "X-Load: " + strings.Repeat("1", 9000) + "\r\n" + body),
		"two lengths":              respondRaw(ok + "Content-Length: 3\r\n" + body),
		"length and encoding":      respondRaw(ok + "Transfer-Encoding: chunked\r\n" + body),
		"negative length":          respondRaw(ok + "Content-Length: -16\r\n\r\n%s"),
		"signed length":            respondRaw(ok + "Content-Length: +16\r\n\r\n%s"),
		"no length":                respondRaw(ok + "\r\n%s"),
		"more than comes":          respondRaw(ok + "Content-Length: 17\r\n\r\n%s"),
		"broken chunk":             respondRaw(ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n%s\r\n0\r\n\r\n"),
		"1xx without end":          respondRaw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50) + ok + body),
		"3 GB":                     respondEndlessly,
	} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", act)
			p, _ := startWithBackends(t, "", s)
			if a := p.mustDo(request("bill", 300)); a.status != 502 && a.status != 504 {
				t.Errorf("status %d %q", a.status, a.body)
			}
			if n := len(s.requests()); n != 1 {
				t.Errorf("%d attempts", n)
			}
			eventually(t, "the end of the connection", func() bool { return p.counts().Servers["open"] == 0 })
			s.setBehavior(respondWithID)
			next := request("bill", 1000)
			if a := p.mustDo(next); a.status != 200 || a.body != requestID(next) {
				t.Errorf("next: %d %q", a.status, a.body)
			}
		})
	}
}

// A server sends more than one response to a request. The first is forwarded. The excess bytes must reach no other
// request, even when they arrive after the connection was returned to the pool.
func TestExcessBytesReachNoOtherRequest(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n%s"
	late := make(chan struct{}, 64)
	for name, act := range map[string]behavior{
		"a second copy":     respondRaw(answer + answer),
		"noise behind":      respondRaw(answer + "\x00noise"),
		"unreadable report": respondRaw(strings.Replace(answer, "\r\n", "\r\nX-Load: \xff=,=7;;\r\n", 1)),
		"1xx ahead":         respondRaw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer),
		"a late copy": func(c net.Conn, g receivedRequest) bool {
			if !respondRaw(answer)(c, g) {
				return false
			}
			time.AfterFunc(20*time.Millisecond, func() {
				respondRaw(answer)(c, g)
				late <- struct{}{}
			})
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", act)
			p, _ := startWithBackends(t, withReports(), s)
			for i := range 4 {
				req := request("bill", 1000)
				if a := p.mustDo(req); a.status != 200 || a.body != requestID(req) {
					t.Errorf("request %d: %d %q, want %q", i, a.status, a.body, requestID(req))
				}
				if name == "a late copy" {
					<-late
				}
			}
			if n := len(s.requests()); n != 4 {
				t.Errorf("%d attempts, want 4", n)
			}
		})
	}
}
