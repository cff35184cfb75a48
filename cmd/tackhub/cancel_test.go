package main

import (
	"strings"
	"syscall"
	"testing"
)

// waitCancelled waits until the node has counted the given number of requests as cancelled by their clients, and no request or
// attempt is open any more.
func (p *nodeProcess) waitCancelled(cancelled int) {
	p.t.Helper()
	var got counts
	eventually(p.t, "all attempts to end", func() bool {
		got = p.counts()
		return got.Requests["left"] == cancelled && got.Attempts["open"] == 0 && got.Requests["open"] == 0
	})
	got.checkRequestTotals(p.t)
}

// A client sends a request and further bytes, and closes the connection. The node once did not detect the close because of
// the unread bytes, and the request occupied a server until its deadline.
func TestCancelIsDetectedDespiteUnreadInput(t *testing.T) {
	for name, reset := range disconnectModes {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", neverRespond)
			p, _ := startWithBackends(t, "", s)
			c := p.connect()
			c.write(request("look", 1500) + strings.Repeat(request("look", 1500), 200)) // exceeds the node's read buffer
			eventually(t, "the request at the server", func() bool { return len(s.requests()) == 1 })
			c.disconnect(reset)
			p.waitCancelled(1)
			got := p.counts()
			if n := len(s.requests()); n != 1 || got.Outcomes["cancelled"] != 1 || got.Requests["failed"]+got.Requests["rejected"] > 0 {
				t.Errorf("the server received %d requests, outcomes = %v, requests = %v, want 1 cancelled request only", n, got.Outcomes, got.Requests)
			}
		})
	}
}

// Requests wait in the kernel's receive buffers while the node is suspended, and their clients close the connections. The
// node must not send these requests to a server.
func TestRequestCancelledBeforeItIsReadIsNotSent(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	keepAlive := p.connect()
	keepAlive.write(request("look", 1500))
	if resp, err := keepAlive.read(); err != nil || resp.status != 200 {
		t.Fatalf("response %v, %v, want status 200", resp, err)
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	eventually(t, "the suspension", p.suspended)
	keepAlive.write(request("bill", 60_000))
	keepAlive.disconnect(false) // a reset would discard the unread request
	for range 20 {
		unaccepted := p.connect()
		unaccepted.write(request("bill", 60_000))
		unaccepted.disconnect(false)
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.waitCancelled(21)
	if got := p.counts(); len(s.requests()) != 1 || got.Attempts["sent"] != 1 {
		t.Errorf("the server received %d requests and the node sent %d, want only the first", len(s.requests()), got.Attempts["sent"])
	}
}

// A client closes its connection while its request waits for a connection to a server. The node must not send the request
// when the server's connection is established.
func TestRequestCancelledDuringConnectIsNotSent(t *testing.T) {
	for name, reset := range disconnectModes {
		t.Run(name, func(t *testing.T) {
			s := startBlockedBackend(t, "s1", respond(200, "done"))
			p, _ := startWithBackends(t, strings.Replace(testSettings, `"connect_timeout_ms":150`, `"connect_timeout_ms":5000`, 1), s.backend)
			c := p.connect()
			c.write(request("bill", 1500))
			eventually(t, "an open attempt", func() bool { return p.counts().Attempts["open"] == 1 })
			c.disconnect(reset)
			p.waitCancelled(1)
			s.unblock()
			// The server accepts this request's connection after the cancelled request's, whose SYN the kernel retransmits earlier.
			eventually(t, "a request to be served", func() bool { return p.mustDo(request("look", 1500)).status == 200 })
			for _, req := range s.requests() {
				if strings.HasPrefix(req.line, "POST /bill") {
					t.Error("the server received the request of a client that had closed its connection")
				}
			}
		})
	}
}

// A client closes its connection during the first attempt, which fails later. The node must not start a second attempt.
func TestCancelledRequestIsNotRetried(t *testing.T) {
	for name, reset := range disconnectModes {
		t.Run(name, func(t *testing.T) {
			gate := make(chan struct{})
			s1, s2 := startBackend(t, "s1", respondAfter(gate, resetConn)), startBackend(t, "s2", respondAfter(gate, resetConn))
			p, _ := startWithBackends(t, "", s1, s2)
			c := p.connect()
			c.write(request("look", 1500))
			eventually(t, "the request at the server", func() bool { return len(s1.requests())+len(s2.requests()) == 1 })
			c.disconnect(reset)
			p.waitCancelled(1)
			close(gate)
			p.mustDo(request("store", 1500)) // a second attempt of the first request would start before this one is served
			received := 0
			for _, req := range append(s1.requests(), s2.requests()...) {
				if strings.HasPrefix(req.line, "GET /look") {
					received++
				}
			}
			if received != 1 {
				t.Errorf("the servers received the cancelled request %d times, want 1", received)
			}
		})
	}
}

// A server's connection is established at the same moment as the client closes its connection. The engine passes the
// cancellation on, so the attempt receives the new connection first. The node must check again for a close before it writes the
// request.
func TestRequestCancelledAsConnectionIsEstablishedIsNotSent(t *testing.T) {
	longLimits := strings.NewReplacer(`"connect_timeout_ms":150`, `"connect_timeout_ms":20000`, `"hard_limit_ms":1500`, `"hard_limit_ms":20000`,
		`"aim_ms":400`, `"aim_ms":20000`).Replace(testSettings)
	for name, reset := range disconnectModes {
		t.Run(name, func(t *testing.T) {
			s := startBlockedBackend(t, "s1", respond(200, "done"))
			p, _ := startWithBackends(t, longLimits, s.backend)
			c := p.connect()
			c.write(request("bill", 20_000))
			eventually(t, "an open attempt", func() bool { return p.counts().Attempts["open"] == 1 })
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			eventually(t, "the suspension", p.suspended)
			c.disconnect(reset)
			s.unblock()
			eventually(t, "the server to accept the connection", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.conns) > s.queueFillers
			})
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			p.waitCancelled(1)
			if resp := p.mustDo(request("look", 20_000)); resp.status != 200 {
				t.Errorf("next request: status %d, want 200", resp.status)
			}
			for _, req := range s.requests() {
				if strings.HasPrefix(req.line, "POST /bill") {
					t.Error("the server received the request of a client that had closed its connection")
				}
			}
		})
	}
}

// A client closes its connection while a server processes its request. The node must abort the attempt, count it as cancelled
// and log it.
func TestCancelDuringAttempt(t *testing.T) {
	s := startBackend(t, "s1", neverRespond)
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("bill", 1500))
	eventually(t, "the request at the server", func() bool { return len(s.requests()) == 1 })
	_ = c.Close()
	eventually(t, "all attempts to end", func() bool {
		got := p.counts()
		return got.Requests["left"] == 1 && got.Outcomes["cancelled"] == 1 && got.Attempts["open"] == 0
	})
	eventually(t, "the log line", func() bool { return strings.Contains(p.log.String(), `"code":"client_left"`) })
	p.counts().checkRequestTotals(t)
}
