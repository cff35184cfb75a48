package main

import (
	"strconv"
	"strings"
	"testing"
)

// The request line, the fields and the body contain bytes that a parser might normalize. The node must forward them unchanged,
// except the deadline field, which it replaces with the remaining time.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("\x00\xff%41\r\n", 9362) + "ab" // 64 KiB of binary data
	s := startBackend(t, "s1", respond(200, "answer\x00\r\n\xfe"))
	p, _ := startWithBackends(t, "", s)
	uri := "/store/a%2Fb/../c//d?x=1&&y=%20+%zz#f"
	resp := p.mustDo("POST " + uri + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: id-%20\"1\"\r\nX-Class: store\r\n" +
		"Idempotency-Key: k=\"1\"; %\r\nX-Deadline-Ms: 1000\r\nX-Extras: a=1,b=2\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	if resp.status != 200 || resp.body != "answer\x00\r\n\xfe" {
		t.Fatalf("response: status %d, body %q, want 200 and the server's body", resp.status, resp.body)
	}
	req := s.requests()[0]
	if req.line != "POST "+uri+" HTTP/1.1" {
		t.Errorf("request line = %q, want the one that was sent", req.line)
	}
	if string(req.body) != body {
		t.Errorf("the body of %d bytes was changed; the server received %d bytes", len(body), len(req.body))
	}
	for name, want := range map[string]string{"X-Request-Id": `id-%20"1"`, "Idempotency-Key": `k="1"; %`,
		"X-Extras": "a=1,b=2", "X-Class": "store"} {
		if v := req.header.Get(name); v != want {
			t.Errorf("%s = %q, want %q", name, v, want)
		}
	}
	if remaining, err := strconv.Atoi(req.header.Get("X-Deadline-Ms")); err != nil || remaining < 1 || remaining > 1000 {
		t.Errorf("deadline at the server = %q ms, want 1 to 1000", req.header.Get("X-Deadline-Ms"))
	}
}
