package main

import (
	"net"
	"testing"
)

// Requests to a server share one connection.
func TestServerConnectionsAreReused(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	for range 20 {
		c.write(request("look", 1000))
		if a, err := c.read(); err != nil || a.status != 200 {
			t.Fatalf("%v %v", a, err)
		}
	}
	if got := p.counts(); got.Servers["dialed"] != 1 || got.Servers["reused"] != 19 {
		t.Errorf("connections %v, want one for all", got.Servers)
	}
}

// A server closes its connection after each response without announcing it. The next unsafe request must not be lost on
// it.
func TestClosedConnectionIsNotReused(t *testing.T) {
	s := startBackend(t, "s1", func(c net.Conn, g receivedRequest) bool {
		respond(200, "done")(c, g)
		return false // closes without having said so
	})
	p, _ := startWithBackends(t, "", s)
	for i := range 10 {
		if a := p.mustDo(request("bill", 1000)); a.status != 200 {
			t.Fatalf("request %d: status %d", i, a.status)
		}
		eventually(t, "the server's end", func() bool { return p.counts().ServerEnds["server_closed"] >= i })
	}
}

// A server restarts and resets the idle connection to it. The next unsafe request must not be lost on that connection,
// nor sent twice.
func TestRestartedServerResetsIdleConnection(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	for i := range 10 {
		if a := p.mustDo(request("bill", 1500)); a.status != 200 {
			t.Fatalf("request %d: %d", i, a.status)
		}
		s.mu.Lock()
		for c := range s.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			delete(s.conns, c)
		}
		s.mu.Unlock()
	}
	if n := len(s.requests()); n != 10 {
		t.Errorf("%d copies of 10 requests", n)
	}
}
