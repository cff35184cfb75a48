package main

import (
	"net"
	"testing"
)

// Consecutive requests to a server must reuse one connection.
func TestServerConnectionsAreReused(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	for range 20 {
		c.write(request("look", 1000))
		if resp, err := c.read(); err != nil || resp.status != 200 {
			t.Fatalf("response %v, %v, want status 200", resp, err)
		}
	}
	if got := p.counts(); got.Servers["dialed"] != 1 || got.Servers["reused"] != 19 {
		t.Errorf("server connections = %v, want 1 dialed and 19 reused", got.Servers)
	}
}

// A server closes its connection after each response without sending Connection: close. The node must not send the next
// request, which cannot be retried, on the closed connection.
func TestClosedConnectionIsNotReused(t *testing.T) {
	s := startBackend(t, "s1", func(c net.Conn, req receivedRequest) bool {
		respond(200, "done")(c, req)
		return false // closes the connection, which the response did not announce
	})
	p, _ := startWithBackends(t, "", s)
	for i := range 10 {
		if resp := p.mustDo(request("bill", 1000)); resp.status != 200 {
			t.Fatalf("request %d: status %d, want 200", i, resp.status)
		}
		eventually(t, "the server's close to be counted", func() bool { return p.counts().ServerEnds["server_closed"] >= i })
	}
}

// A server restarts, which resets the node's idle connection to it. The next request, which cannot be retried, must
// neither be lost on that connection nor be sent twice.
func TestRequestIsNotLostAfterServerResetsIdleConnection(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	for i := range 10 {
		if resp := p.mustDo(request("bill", 1500)); resp.status != 200 {
			t.Fatalf("request %d: status %d, want 200", i, resp.status)
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
		t.Errorf("the server received %d requests, want 10", n)
	}
}
