package main

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// effectTime is how long a server of these tests works on a request, also after its connection has ended.
const effectTime = 140 * time.Millisecond

// startSlowBackend starts a backend that takes effectTime for each request.
func startSlowBackend(t *testing.T) *backend {
	t.Helper()
	return startBackend(t, "s1", respondAfterTime(effectTime, respond(200, "done")))
}

// respondAfterTime returns a behavior that waits before it responds as act does.
func respondAfterTime(wait time.Duration, act behavior) behavior {
	return func(c net.Conn, req receivedRequest) bool {
		time.Sleep(wait)
		return act(c, req)
	}
}

// maxRuns returns the largest number of times that a backend has received one request.
func (s *backend) maxRuns() int {
	runs := map[string]int{}
	most := 0
	for _, r := range s.requests() {
		id := r.header.Get("X-Request-Id")
		runs[id]++
		most = max(most, runs[id])
	}
	return most
}

// A client sends a request that must not run twice, leaves, and sends the request again with the same id. The node once forgot the id as soon
// as the client had left, although the server was still working on the request, and forwarded it again.
func TestRequestWhoseClientLeftDoesNotRunAgain(t *testing.T) {
	for _, class := range []string{"bill", "store"} {
		t.Run(class, func(t *testing.T) {
			s := startSlowBackend(t)
			p, _ := startWithBackends(t, "", s)
			for range 10 {
				raw := request(class, 1400)
				c := p.connect()
				c.write(raw)
				time.Sleep(40 * time.Millisecond)
				c.disconnect(false)
				time.Sleep(20 * time.Millisecond)
				resp := p.mustDo(raw)
				if resp.status == 503 || resp.status == 429 {
					t.Errorf("the repeat was answered with status %d, which says that the request has not run", resp.status)
				}
			}
			if runs := s.maxRuns(); runs > 1 {
				t.Errorf("a server received a request %d times, want once", runs)
			}
		})
	}
}

// A client whose request was answered sends it again with the same id. The node once forwarded it again.
func TestAnsweredRequestDoesNotRunAgain(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	for range 10 {
		raw := request("bill", 1400)
		if resp := p.mustDo(raw); resp.status != 200 {
			t.Fatalf("status %d, want 200", resp.status)
		}
		if resp := p.mustDo(raw); resp.status == 200 || resp.status == 503 {
			t.Errorf("the repeat of a request that has run was answered with status %d, want a failure", resp.status)
		}
	}
	if runs := s.maxRuns(); runs > 1 {
		t.Errorf("the server received a request %d times, want once", runs)
	}
}

// A request that no server has received may come again with the same id: a repeat is harmless, and the answer said so.
func TestRejectedRequestMayComeAgain(t *testing.T) {
	var served atomic.Bool
	s := startBackend(t, "s1", nil)
	s.setBehavior(func(c net.Conn, req receivedRequest) bool {
		if served.Load() {
			return respond(200, "done")(c, req)
		}
		return respond(503, "full", "X-Not-Run: 1")(c, req)
	})
	p, _ := startWithBackends(t, "", s)
	raw := request("bill", 1400)
	if resp := p.mustDo(raw); resp.status != 503 {
		t.Fatalf("status %d, want 503", resp.status)
	}
	served.Store(true)
	if resp := p.mustDo(raw); resp.status != 200 {
		t.Errorf("status %d for the repeat of a rejected request, want 200", resp.status)
	}
}

// Two processes of a node serve side by side during an upgrade, and the same request reaches each of them, while its earlier clients have
// left. It must run once.
func TestRequestDoesNotRunAgainInOtherProcessOfUpgrade(t *testing.T) {
	s := startSlowBackend(t)
	u := newUpgradeTest(t, s)
	u.startSuccessor()
	for range 20 {
		raw := request("bill", 1400)
		for range 4 { // the kernel's accept queue is common to both processes
			c := u.predecessor.connect()
			c.write(raw)
			time.Sleep(30 * time.Millisecond)
			c.disconnect(false)
		}
	}
	time.Sleep(2 * effectTime)
	if runs := s.maxRuns(); runs > 1 {
		t.Errorf("a server received a request %d times, want once", runs)
	}
}

// A request runs in a process that is then replaced, and its client has left. The successor must not run the request again.
func TestRequestDoesNotRunAgainInSuccessor(t *testing.T) {
	s := startSlowBackend(t)
	u := newUpgradeTest(t, s)
	raw := request("bill", 1400)
	c := u.predecessor.connect()
	c.write(raw)
	eventually(t, "the request at the server", func() bool { return len(s.requests()) == 1 })
	c.disconnect(false)
	u.predecessor.waitCancelled(1)
	successor, _ := u.startSuccessor()
	u.predecessor.terminate()
	u.predecessor.exit()
	if resp := successor.mustDo(raw); resp.status == 200 || resp.status == 503 {
		t.Errorf("the repeat was answered with status %d, want a failure", resp.status)
	}
	if runs := s.maxRuns(); runs > 1 {
		t.Errorf("the server received the request %d times, want once", runs)
	}
}
