package main

import (
	"net"
	"strings"
	"testing"
	"time"
)

// A server executes a request that must not be repeated and sends a response that cannot be parsed. The node must neither
// retry the request, nor reject it with a status that permits a retry, nor forward the malformed bytes. It closes the
// connection, and the next request must get its own response.
func TestMalformedResponseCountsAsExecuted(t *testing.T) {
	const ok, body = "HTTP/1.1 200 OK\r\n", "Content-Length: 16\r\n\r\n%s"
	for name, act := range map[string]behavior{
		"noise":                       respondRaw("\x00\x01\x02 no answer at all \xff\xfe"),
		"garbage with an end of head": respondRaw("noise\r\n\r\nnoise"),
		"unknown HTTP version":        respondRaw("HTTP/3.1 200 OK\r\n" + body),
		"status of four digits":       respondRaw("HTTP/1.1 2000 OK\r\n" + body),
		"status not a number":         respondRaw("HTTP/1.1 2x0 OK\r\n" + body),
		"field without a colon":       respondRaw(ok + "X-Load TEXT\r\n" + body),
		"space in a field name":       respondRaw(ok + "X Load: 1\r\n" + body),
		"folded field":                respondRaw(ok + "X-Load: 1\r\n more\r\n" + body),
		"bare line feed":              respondRaw(ok + "X-Load: 1\nX: 2\r\n" + body),
		"truncated head":              respondRaw(ok + "X-Load: 1\r\nContent-"),
		"head too large":              respondRaw(ok + "X-Load: " + strings.Repeat("1", 9000) + "\r\n" + body),
		"two Content-Length fields":   respondRaw(ok + "Content-Length: 3\r\n" + body),
		"length and chunked encoding": respondRaw(ok + "Transfer-Encoding: chunked\r\n" + body),
		"negative length":             respondRaw(ok + "Content-Length: -16\r\n\r\n%s"),
		"signed length":               respondRaw(ok + "Content-Length: +16\r\n\r\n%s"),
		"no length":                   respondRaw(ok + "\r\n%s"),
		"length above the bytes sent": respondRaw(ok + "Content-Length: 17\r\n\r\n%s"),
		"malformed chunk":             respondRaw(ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n%s\r\n0\r\n\r\n"),
		"50 interim responses":        respondRaw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50) + ok + body),
		"3 GB":                        respondEndlessly,
	} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", act)
			p, _ := startWithBackends(t, "", s)
			if resp := p.mustDo(request("bill", 300)); resp.status != 502 && resp.status != 504 {
				t.Errorf("status %d, body %q, want 502 or 504", resp.status, resp.body)
			}
			if n := len(s.requests()); n != 1 {
				t.Errorf("the server received %d requests, want 1", n)
			}
			eventually(t, "the server connection to be closed", func() bool { return p.counts().Servers["open"] == 0 })
			s.setBehavior(respondWithID)
			next := request("bill", 1000)
			if resp := p.mustDo(next); resp.status != 200 || resp.body != requestID(next) {
				t.Errorf("next request: status %d, body %q, want 200 and its own ID", resp.status, resp.body)
			}
		})
	}
}

// A server sends bytes beyond its response. The node must forward the response only, and must not read the excess bytes as
// the response to another request, even when they arrive after the connection was returned to the pool.
func TestExcessResponseBytesAreNotReadAsNextResponse(t *testing.T) {
	const reply = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n%s"
	repeated := make(chan struct{}, 64)
	for name, act := range map[string]behavior{
		"repeated response": respondRaw(reply + reply),
		"trailing garbage":  respondRaw(reply + "\x00noise"),
		"malformed report":  respondRaw(strings.Replace(reply, "\r\n", "\r\nX-Load: \xff=,=7;;\r\n", 1)),
		"interim responses": respondRaw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + reply),
		"delayed repeat": func(c net.Conn, g receivedRequest) bool {
			if !respondRaw(reply)(c, g) {
				return false
			}
			time.AfterFunc(20*time.Millisecond, func() {
				respondRaw(reply)(c, g)
				repeated <- struct{}{}
			})
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", act)
			p, _ := startWithBackends(t, settingsWithLoadReports(), s)
			for i := range 4 {
				req := request("bill", 1000)
				if resp := p.mustDo(req); resp.status != 200 || resp.body != requestID(req) {
					t.Errorf("request %d: status %d, body %q, want 200, %q", i, resp.status, resp.body, requestID(req))
				}
				if name == "delayed repeat" {
					<-repeated
				}
			}
			if n := len(s.requests()); n != 4 {
				t.Errorf("the server received %d requests, want 4", n)
			}
		})
	}
}
