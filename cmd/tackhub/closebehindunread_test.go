package main

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// maxStartAfterClose is how long after the close of a client's connection an attempt for its request may begin.
const maxStartAfterClose = 100 * time.Millisecond

// A client sends a request and much more than the kernel takes, and closes the connection. The end of the connection lies behind the bytes
// that the kernel did not take, so the node does not see it. The node once began further attempts for the request.
func TestNoAttemptBeginsAfterCloseBehindUnreadBytes(t *testing.T) {
	var closedAt atomic.Int64 // Unix nanoseconds; 0: still open
	var late atomic.Int64
	failSlowly := func(c net.Conn, _ receivedRequest) bool {
		if closed := closedAt.Load(); closed > 0 && time.Since(time.Unix(0, closed)) > maxStartAfterClose {
			late.Add(1)
		}
		time.Sleep(250 * time.Millisecond)
		return respond(503, "full", "X-Not-Run: 1")(c, receivedRequest{})
	}
	s1, s2 := startBackend(t, "s1", failSlowly), startBackend(t, "s2", failSlowly)
	p, _ := startWithBackends(t, "", s1, s2)
	for _, reset := range []bool{false, true} {
		for range 5 {
			closedAt.Store(0)
			received := len(s1.requests()) + len(s2.requests())
			c := p.connect()
			go func() { _, _ = c.Write([]byte(request("look", 1400) + strings.Repeat("x", 8<<20))) }()
			eventually(t, "the request at a server", func() bool { return len(s1.requests())+len(s2.requests()) > received })
			time.Sleep(50 * time.Millisecond)
			closedAt.Store(time.Now().UnixNano())
			c.disconnect(reset)
			time.Sleep(900 * time.Millisecond)
		}
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d attempts began more than %v after the close, want 0", n, maxStartAfterClose)
	}
}

// A client sends many requests at once, does not read the answers, and closes the connection while the node handles the first of them. The
// node must not go on with the next requests for as long as there are unread bytes before the close.
func TestPipelinedRequestsDoNotBeginAfterCloseBehindUnreadBytes(t *testing.T) {
	var closedAt atomic.Int64 // Unix nanoseconds; 0: still open
	var late atomic.Int64
	s := startBackend(t, "s1", func(c net.Conn, req receivedRequest) bool {
		if closed := closedAt.Load(); closed > 0 && time.Since(time.Unix(0, closed)) > maxStartAfterClose {
			late.Add(1)
		}
		time.Sleep(30 * time.Millisecond)
		return respond(200, "done")(c, req)
	})
	p, _ := startWithBackends(t, "", s)
	for range 3 {
		closedAt.Store(0)
		received := len(s.requests())
		var all strings.Builder
		for range 4000 { // 800 kB
			all.WriteString(request("bill", 60_000))
		}
		c := p.connect()
		go func() { _, _ = c.Write([]byte(all.String())) }()
		eventually(t, "the first request at the server", func() bool { return len(s.requests()) > received })
		closedAt.Store(time.Now().UnixNano())
		c.disconnect(false)
		time.Sleep(time.Second)
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d attempts began more than %v after the close, want 0", n, maxStartAfterClose)
	}
}
