package main

import (
	"strconv"
	"testing"
	"time"
)

// A 503 means that a retry by the client is harmless, so an unsafe request may get a 503 only if no server executed it. For
// each class and each kind of server failure, the test checks the status and the number of attempts.
func TestServerFailureStatusByRequestClass(t *testing.T) {
	reject := respond(503, "", "X-Not-Run: 1")
	for _, c := range []struct {
		name     string
		class    string
		act      behavior
		status   int
		attempts int // requests that both servers received in total
	}{
		{"unsafe, reset", "bill", resetConn, 502, 1},
		{"unsafe, error", "bill", respond(500, "boom"), 502, 1},
		{"unsafe, 503 that may have run", "bill", respond(503, ""), 502, 1},
		{"unsafe, 504 that may have run", "bill", respond(504, "", "X-Not-Run: 0"), 502, 1},
		{"unsafe, rejected", "bill", reject, 503, 2},
		{"unsafe, truncated", "bill", respondTruncated, 502, 1},
		{"unsafe, garbage", "bill", respondGarbage, 502, 1},
		{"unsafe, silent", "bill", neverRespond, 504, 1},
		{"unsafe, served", "bill", respond(200, "done"), 200, 1},
		{"keyed, reset", "store", resetConn, 502, 2}, // both servers are in the same idempotency scope
		{"keyed, rejected", "store", reject, 503, 2},
		{"safe, reset", "look", resetConn, 503, 2},
		{"safe, silent", "look", neverRespond, 503, 1},
		{"safe, error", "look", respond(500, ""), 503, 2},
		{"safe, 404", "look", respond(404, "no"), 503, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s1, s2 := startBackend(t, "s1", c.act), startBackend(t, "s2", c.act)
			p, _ := startWithBackends(t, "", s1, s2)
			resp := p.mustDo(request(c.class, 300))
			if resp.status != c.status {
				t.Errorf("got status %d, want %d", resp.status, c.status)
			}
			if n := len(s1.requests()) + len(s2.requests()); n != c.attempts {
				t.Errorf("got %d attempts, want %d", n, c.attempts)
			}
			if resp.status != 200 && resp.body != "" {
				t.Errorf("got body %q of a failed server's response, want an empty body", resp.body)
			}
			got := p.counts()
			got.checkRequestTotals(t)
			if got.Requests["overdue"] != 0 {
				t.Errorf("%d requests were answered only when overdue, want 0", got.Requests["overdue"])
			}
		})
	}
}

// A server's port is closed, so nothing was executed there. Even an unsafe request must be retried on another server.
func TestUnreachableServerIsRetried(t *testing.T) {
	closed := startBackend(t, "s1", resetConn)
	closed.stop()
	available := startBackend(t, "s2", respond(200, "done"))
	p, _ := startWithBackends(t, "", closed, available)
	for range 10 { // the first attempt of a request may go to either server
		if resp := p.mustDo(request("bill", 1000)); resp.status != 200 {
			t.Fatalf("got status %d, want 200", resp.status)
		}
	}
	if n := len(available.requests()); n != 10 {
		t.Errorf("got %d requests at the available server, want 10", n)
	}
}

// No server can be reached. The request must be rejected at once with Retry-After.
func TestAllServersUnreachableRejectsAtOnce(t *testing.T) {
	closed := startBackend(t, "s1", resetConn)
	closed.stop()
	p, _ := startWithBackends(t, "", closed)
	resp := p.mustDo(request("bill", 1000))
	if resp.status != 503 || resp.took > 900*time.Millisecond {
		t.Errorf("got status %d after %v, want 503 within 900ms", resp.status, resp.took)
	}
	if n, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64); err != nil || n <= 0 || n > 2 {
		t.Errorf("Retry-After is %q, want a number of seconds above 0 and at most 2", resp.header.Get("Retry-After"))
	}
}

// The endpoint list is empty. Requests of each class must be rejected at once instead of at their deadline.
func TestNoServersRejectsAtOnce(t *testing.T) {
	p := startNode(t, nodeOptions{discovery: freeAddress(t)})
	for _, class := range []string{"look", "store", "bill"} {
		if resp := p.mustDo(request(class, 1000)); resp.status != 503 || resp.took > 500*time.Millisecond {
			t.Errorf("%s: got status %d after %v, want 503 within 500ms", class, resp.status, resp.took)
		}
	}
}

// A server does not respond to an unsafe request. The client must get 504 at its deadline, and the connection to the
// server must be closed.
func TestUnresponsiveServerTimesOut(t *testing.T) {
	s := startBackend(t, "s1", neverRespond)
	p, _ := startWithBackends(t, "", s)
	resp := p.mustDo(request("bill", 200))
	if resp.status != 504 || resp.took < 150*time.Millisecond || resp.took > time.Second {
		t.Errorf("got status %d after %v, want 504 after 150ms to 1s", resp.status, resp.took)
	}
	eventually(t, "the connection to the server to be closed", func() bool { return s.closedConns.Load() > 0 || p.counts().Servers["open"] == 0 })
}

// A retry of a keyed request is decided within the dedup window of its servers, but its connection is established after
// the window. The server could execute the request a second time, so the retry must not be sent.
func TestRetryAfterDedupWindowIsNotSent(t *testing.T) {
	gate := make(chan struct{})
	failing, blocked := startBackend(t, "s1", respondAfter(gate, resetConn)), startBlockedBackend(t, "s2", respond(200, "twice"))
	p, d := startWithBackends(t, settingsWithLongConnectTimeout(`"dedup_window_ms":800`, `"dedup_window_ms":500`), failing)
	pending := p.send(request("store", 1500))
	eventually(t, "the first attempt at the server", func() bool { return len(failing.requests()) == 1 })
	before := p.counts().List["delta"]
	d.announce(blocked.member())
	eventually(t, "the changed list", func() bool { return p.counts().List["delta"] > before })
	close(gate)
	eventually(t, "the second attempt", func() bool { return p.counts().Attempts["sent"] == 2 })
	blocked.unblock() // the kernel retransmits the SYN one second after the first
	if resp := await(t, "the request", pending); resp.status != 502 && resp.status != 504 {
		t.Errorf("got %d %q, want 502 or 504", resp.status, resp.body)
	}
	if n := len(blocked.requests()); n > 0 {
		t.Errorf("got %d retries at the server after the dedup window, want 0", n)
	}
	p.counts().checkRequestTotals(t)
}

// Two servers are in different cells, so neither detects a duplicate of a request that the other one executed. A keyed
// request that may have been executed must not be retried on the other server.
func TestIdempotentRetryStaysInCell(t *testing.T) {
	s1, s2 := startBackend(t, "s1", resetConn), startBackend(t, "s2", resetConn)
	list := members(s1, s2)
	list[1].Cell = 7
	d := startDiscoveryServer(t, list)
	p := startNode(t, nodeOptions{discovery: d.addr})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	for i := range 4 {
		before := len(s1.requests()) + len(s2.requests())
		if resp := p.mustDo(request("store", 1000)); resp.status != 502 {
			t.Errorf("request %d: got status %d, want 502", i, resp.status)
		}
		if n := len(s1.requests()) + len(s2.requests()); n != before+1 {
			t.Errorf("request %d: got %d attempts, want 1", i, n-before)
		}
	}
}
