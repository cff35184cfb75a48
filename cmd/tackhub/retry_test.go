package main

import (
	"strconv"
	"testing"
	"time"
)

// A 503 promises that the request was not executed. For each class and each failure of its servers the status must keep
// that promise, and no more servers may be tried than the class allows.
func TestRejectionOnlyWhereHarmless(t *testing.T) {
	rejects := respond(503, "", "X-Not-Run: 1")
	for _, c := range []struct {
		name   string
		class  string
		act    behavior
		status int
		copies int // 0: not looked at
	}{
		{"unsafe, reset", "bill", resetConn, 502, 1},
		{"unsafe, error", "bill", respond(500, "boom"), 502, 1},
		{"unsafe, 503 that may have run", "bill", respond(503, ""), 502, 1},
		{"unsafe, 504 that may have run", "bill", respond(504, "", "X-Not-Run: 0"), 502, 1},
		{"unsafe, rejected", "bill", rejects, 503, 2},
		{"unsafe, truncated", "bill", respondTruncated, 502, 1},
		{"unsafe, garbage", "bill", respondGarbage, 502, 1},
		{"unsafe, silent", "bill", neverRespond, 504, 1},
		{"unsafe, served", "bill", respond(200, "done"), 200, 1},
		{"keyed, reset", "store", resetConn, 502, 2}, // both servers are in the group
		{"keyed, rejected", "store", rejects, 503, 2},
		{"safe, reset", "look", resetConn, 503, 2},
		{"safe, silent", "look", neverRespond, 503, 1},
		{"safe, error", "look", respond(500, ""), 503, 2},
		{"safe, 404", "look", respond(404, "no"), 503, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s1, s2 := startBackend(t, "s1", c.act), startBackend(t, "s2", c.act)
			p, _ := startWithBackends(t, "", s1, s2)
			a := p.mustDo(request(c.class, 300))
			if a.status != c.status {
				t.Errorf("status %d, want %d", a.status, c.status)
			}
			if n := len(s1.requests()) + len(s2.requests()); n != c.copies {
				t.Errorf("%d copies, want %d", n, c.copies)
			}
			if a.status != 200 && a.body != "" {
				t.Errorf("a server's words %q went to the client", a.body)
			}
			got := p.counts()
			got.addUp(t)
			if got.Requests["overdue"] != 0 {
				t.Error("the guard had to answer")
			}
		})
	}
}

// A server's port is closed, so nothing was executed there. Even an unsafe request may go to another server.
func TestUnreachableServerIsRetried(t *testing.T) {
	dead := startBackend(t, "s1", resetConn)
	dead.stop()
	alive := startBackend(t, "s2", respond(200, "done"))
	p, _ := startWithBackends(t, "", dead, alive)
	for range 10 { // whichever is drawn first, an unsafe request may go on to the other
		if a := p.mustDo(request("bill", 1000)); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	if n := len(alive.requests()); n != 10 {
		t.Errorf("%d copies of 10 requests", n)
	}
}

// No server can be reached. The request is rejected at once with Retry-After.
func TestAllServersUnreachable(t *testing.T) {
	dead := startBackend(t, "s1", resetConn)
	dead.stop()
	p, _ := startWithBackends(t, "", dead)
	a := p.mustDo(request("bill", 1000))
	if a.status != 503 || a.took > 900*time.Millisecond {
		t.Errorf("status %d after %v, want a rejection at once", a.status, a.took)
	}
	if n, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err != nil || n <= 0 || n > 2 {
		t.Errorf("Retry-After %q", a.header.Get("Retry-After"))
	}
}

// The node knows no server. Requests of each class are rejected at once instead of at their deadline.
func TestNoServersRejectsAtOnce(t *testing.T) {
	p := startNode(t, nodeOptions{discovery: freeAddress(t)})
	for _, class := range []string{"look", "store", "bill"} {
		if a := p.mustDo(request(class, 1000)); a.status != 503 || a.took > 500*time.Millisecond {
			t.Errorf("%s: %d after %v", class, a.status, a.took)
		}
	}
}

// A server does not respond to an unsafe request. The client gets 504 at its deadline, and the connection to the server
// is closed.
func TestSilentServerTimesOut(t *testing.T) {
	s := startBackend(t, "s1", neverRespond)
	p, _ := startWithBackends(t, "", s)
	a := p.mustDo(request("bill", 200))
	if a.status != 504 || a.took < 150*time.Millisecond || a.took > time.Second {
		t.Errorf("status %d after %v, want 504 after 200 ms", a.status, a.took)
	}
	eventually(t, "closed connection", func() bool { return s.closed.Load() > 0 || p.counts().Servers["open"] == 0 })
}

// A keyed request was to be retried within the window in which its group drops duplicates, and the connection was
// established after the window. The server could execute it a second time, so it must not be sent.
func TestRetryAfterDedupWindowIsNotSent(t *testing.T) {
	gate := make(chan struct{})
	first, held := startBackend(t, "s1", respondAfter(gate, resetConn)), startBlockedBackend(t, "s2", respond(200, "twice"))
	p, d := startWithBackends(t, longConnectTimeout(`"dedup_window_ms":800`, `"dedup_window_ms":500`), first)
	pending := p.send(request("store", 1500))
	eventually(t, "the first copy", func() bool { return len(first.requests()) == 1 })
	before := p.counts().List["delta"]
	d.announce(held.member())
	eventually(t, "the news", func() bool { return p.counts().List["delta"] > before })
	close(gate)
	eventually(t, "the repeat's attempt", func() bool { return p.counts().Attempts["sent"] == 2 })
	held.unblock() // the next SYN comes a second after the first
	if a := await(t, "the request", pending); a.status != 502 && a.status != 504 {
		t.Errorf("%d %q, want a failure", a.status, a.body)
	}
	if n := len(held.requests()); n > 0 {
		t.Errorf("%d repeats were written after the window", n)
	}
	p.counts().addUp(t)
}

// Two servers are in different groups, so neither drops the other's duplicates. A keyed request that may have been
// executed must not be retried on the other one.
func TestIdempotentRetryStaysInGroup(t *testing.T) {
	s1, s2 := startBackend(t, "s1", resetConn), startBackend(t, "s2", resetConn)
	list := members(s1, s2)
	list[1].Cell = 7
	d := startDiscoveryServer(t, list)
	p := startNode(t, nodeOptions{discovery: d.addr})
	eventually(t, "list", func() bool { return d.watchCount() > 0 })
	for i := range 4 {
		before := len(s1.requests()) + len(s2.requests())
		if a := p.mustDo(request("store", 1000)); a.status != 502 {
			t.Errorf("request %d: status %d", i, a.status)
		}
		if n := len(s1.requests()) + len(s2.requests()); n != before+1 {
			t.Errorf("request %d: %d copies", i, n-before)
		}
	}
}
