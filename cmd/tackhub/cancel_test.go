package main

import (
	"strings"
	"syscall"
	"testing"
)

// waitCancelled waits until all attempts of so many cancelled requests have been withdrawn.
func (p *nodeProcess) waitCancelled(left int) {
	p.t.Helper()
	var got counts
	eventually(p.t, "withdrawal", func() bool {
		got = p.counts()
		return got.Requests["left"] == left && got.Attempts["open"] == 0 && got.Requests["open"] == 0
	})
	got.addUp(p.t)
}

// A client sends more than its request and leaves. The node once did not see that behind the unread bytes, and the
// request stayed with a server until its deadline.
func TestCancelIsSeenBehindUnreadInput(t *testing.T) {
	for name, hard := range cancelWays {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", neverRespond)
			p, _ := startWithBackends(t, "", s)
			c := p.connect()
			c.write(request("look", 1500) + strings.Repeat(request("look", 1500), 200)) // more than the node's buffer holds
			eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
			c.cancel(hard)
			p.waitCancelled(1)
			got := p.counts()
			if n := len(s.requests()); n != 1 || got.Outcomes["cancelled"] != 1 || got.Requests["failed"]+got.Requests["rejected"] > 0 {
				t.Errorf("%d requests of a client that left with the first one; %v, %v", n, got.Outcomes, got.Requests)
			}
		})
	}
}

// Requests wait in the kernel while the node is suspended, and their clients leave. They must reach no server.
func TestCancelBeforeRequestIsRead(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	kept := p.connect()
	kept.write(request("look", 1500))
	if a, err := kept.read(); err != nil || a.status != 200 {
		t.Fatalf("%v %v", a, err)
	}
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	eventually(t, "the suspension", p.suspended)
	kept.write(request("bill", 60_000))
	kept.cancel(false) // a reset takes what was not read with it
	for range 20 {
		late := p.connect()
		late.write(request("bill", 60_000))
		late.cancel(false)
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.waitCancelled(21)
	if got := p.counts(); len(s.requests()) != 1 || got.Attempts["sent"] != 1 {
		t.Errorf("%d requests reached the server, %d were sent, want the first alone", len(s.requests()), got.Attempts["sent"])
	}
}

// A client leaves while its request waits for a connection to a server. The request must not be sent once the
// connection is established.
func TestCancelDuringConnect(t *testing.T) {
	for name, hard := range cancelWays {
		t.Run(name, func(t *testing.T) {
			s := startBlockedBackend(t, "s1", respond(200, "done"))
			p, _ := startWithBackends(t, strings.Replace(testSettings, `"connect_timeout_ms":150`, `"connect_timeout_ms":5000`, 1), s.backend)
			c := p.connect()
			c.write(request("bill", 1500))
			eventually(t, "attempt", func() bool { return p.counts().Attempts["open"] == 1 })
			c.cancel(hard)
			p.waitCancelled(1)
			s.unblock()
			// The next one's SYN is answered no sooner than the first one's would be.
			eventually(t, "the server's coming up", func() bool { return p.mustDo(request("look", 1500)).status == 200 })
			for _, g := range s.requests() {
				if strings.HasPrefix(g.line, "POST /bill") {
					t.Error("the request was forwarded after its client had left")
				}
			}
		})
	}
}

// A client leaves during the first attempt. The attempt's failure must not bring a second one.
func TestCancelBetweenAttempts(t *testing.T) {
	for name, hard := range cancelWays {
		t.Run(name, func(t *testing.T) {
			gate := make(chan struct{})
			s1, s2 := startBackend(t, "s1", respondAfter(gate, resetConn)), startBackend(t, "s2", respondAfter(gate, resetConn))
			p, _ := startWithBackends(t, "", s1, s2)
			c := p.connect()
			c.write(request("look", 1500))
			eventually(t, "attempt", func() bool { return len(s1.requests())+len(s2.requests()) == 1 })
			c.cancel(hard)
			p.waitCancelled(1)
			close(gate)
			p.mustDo(request("store", 1500)) // whatever the first one's end brought about lies before it
			looks := 0
			for _, g := range append(s1.requests(), s2.requests()...) {
				if strings.HasPrefix(g.line, "GET /look") {
					looks++
				}
			}
			if looks != 1 {
				t.Errorf("%d copies of a request whose client left with the first", looks)
			}
		})
	}
}

// The connection for a request is established in the moment in which the node hears that its client has left. Sending
// takes fewer steps than that news, which passes the engine, so the node must check again before it writes.
func TestCancelAsConnectionIsEstablished(t *testing.T) {
	patient := strings.NewReplacer(`"connect_timeout_ms":150`, `"connect_timeout_ms":20000`, `"hard_limit_ms":1500`, `"hard_limit_ms":20000`,
		`"aim_ms":400`, `"aim_ms":20000`).Replace(testSettings)
	for name, hard := range cancelWays {
		t.Run(name, func(t *testing.T) {
			s := startBlockedBackend(t, "s1", respond(200, "done"))
			p, _ := startWithBackends(t, patient, s.backend)
			c := p.connect()
			c.write(request("bill", 20_000))
			eventually(t, "attempt", func() bool { return p.counts().Attempts["open"] == 1 })
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			eventually(t, "the suspension", p.suspended)
			c.cancel(hard)
			s.unblock()
			eventually(t, "the connection", func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.conns) > s.queueFillers
			})
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			p.waitCancelled(1)
			if a := p.mustDo(request("look", 20_000)); a.status != 200 {
				t.Errorf("the next one: %d", a.status)
			}
			for _, g := range s.requests() {
				if strings.HasPrefix(g.line, "POST /bill") {
					t.Error("the request was written after its client had left")
				}
			}
		})
	}
}

// A client leaves while a server works on its request. The attempt is withdrawn, counted as cancelled and logged.
func TestCancelDuringAttempt(t *testing.T) {
	s := startBackend(t, "s1", neverRespond)
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("bill", 1500))
	eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
	_ = c.Close()
	eventually(t, "withdrawal", func() bool {
		got := p.counts()
		return got.Requests["left"] == 1 && got.Outcomes["cancelled"] == 1 && got.Attempts["open"] == 0
	})
	eventually(t, "its line", func() bool { return strings.Contains(p.log.String(), `"code":"client_left"`) })
	p.counts().addUp(t)
}
