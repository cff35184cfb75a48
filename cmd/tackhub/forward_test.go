package main

import (
	"strconv"
	"strings"
	"testing"
)

// A request line, its fields and its body hold bytes that a parser might normalize. They reach the server unchanged;
// only the deadline is what is left of it.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("\x00\xff%41\r\n", 9362) + "ab" // 64 KiB, nothing that is text
	s := startBackend(t, "s1", respond(200, "answer\x00\r\n\xfe"))
	p, _ := startWithBackends(t, "", s)
	uri := "/store/a%2Fb/../c//d?x=1&&y=%20+%zz#f"
	a := p.mustDo("POST " + uri + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: id-%20\"1\"\r\nX-Class: store\r\n" +
		"Idempotency-Key: k=\"1\"; %\r\nX-Deadline-Ms: 1000\r\nX-Extras: a=1,b=2\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	if a.status != 200 || a.body != "answer\x00\r\n\xfe" {
		t.Fatalf("answer %d %q", a.status, a.body)
	}
	g := s.requests()[0]
	if g.line != "POST "+uri+" HTTP/1.1" {
		t.Errorf("first line %q", g.line)
	}
	if string(g.body) != body {
		t.Errorf("a body of %d bytes came as another of %d", len(body), len(g.body))
	}
	for name, want := range map[string]string{"X-Request-Id": `id-%20"1"`, "Idempotency-Key": `k="1"; %`,
		"X-Extras": "a=1,b=2", "X-Class": "store"} {
		if v := g.header.Get(name); v != want {
			t.Errorf("%s is %q, want %q", name, v, want)
		}
	}
	if left, err := strconv.Atoi(g.header.Get("X-Deadline-Ms")); err != nil || left < 1 || left > 1000 {
		t.Errorf("the server got a deadline of %q of 1000 ms", g.header.Get("X-Deadline-Ms"))
	}
}
