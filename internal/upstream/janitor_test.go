package upstream

import (
	"context"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

// Idle connections of a server that was removed or moved, and connections that the server may be closing, must be neither
// reused nor left open.
func TestUnusableIdleConnectionsAreClosed(t *testing.T) {
	addr, _ := acceptingListener(t)
	newAddr, _ := acceptingListener(t)
	resolver := fixedResolver{"s1": addr, "s2": addr, "s3": addr}
	p, count := testPool(resolver, 8, 8)
	for _, id := range []balancer.ServerID{"s1", "s2", "s3"} {
		p.put(mustAcquire(t, p, id))
	}
	delete(resolver, "s1")
	resolver["s2"] = newAddr
	if _, err := p.acquire(context.Background(), "s1"); err != engine.ErrWithdrawn {
		t.Errorf("acquire for a removed server: error = %v, want %v", err, engine.ErrWithdrawn)
	}
	if c := mustAcquire(t, p, "s2"); c.addr != newAddr {
		t.Errorf("connection to a moved server: address = %s, want %s", c.addr, newAddr)
	} else {
		p.close(c, closeExit, nil)
	}
	old := p.idle["s3"][0]
	old.idleSince = time.Now().Add(-50 * time.Second)
	fresh := mustAcquire(t, p, "s3") // before the next sweep
	if fresh == old {
		t.Error("acquire returned a connection that had been idle too long")
	}
	p.put(fresh)
	fresh.idleSince = time.Now().Add(-50 * time.Second)
	p.sweep(false)
	addressGone := count.ServerEnds.Get(string(closeAddressGone))
	idleTimeouts := count.ServerEnds.Get(string(closeIdleTimeout))
	if addressGone != 2 || idleTimeouts != 2 {
		t.Errorf("closes: %d as %s, %d as %s, want 2 of each", addressGone, closeAddressGone, idleTimeouts, closeIdleTimeout)
	}
	if p.total != 0 {
		t.Errorf("%d connections reserved at the end, want 0", p.total)
	}
}

// If the balancer is not notified of closed idle connections, it still counts them as idle, and requests open new connections where
// the balancer expects to reuse idle ones. The balancer itself counts one idle connection fewer for each request, so the pool must
// not notify it of the first stale connection that a request finds.
func TestOnIdleClosed(t *testing.T) {
	addr, _ := acceptingListener(t)
	p, _ := testPool(fixedResolver{"s1": addr, "s2": addr}, 8, 8)
	closed := map[balancer.ServerID]int{}
	p.options.OnIdleClosed = func(id balancer.ServerID) { closed[id]++ }
	one := mustAcquire(t, p, "s1")
	two := mustAcquire(t, p, "s1")
	three := mustAcquire(t, p, "s1")
	for _, c := range []*conn{one, two, three} {
		p.put(c)
		c.idleSince = time.Now().Add(-50 * time.Second)
	}
	p.close(mustAcquire(t, p, "s1"), closeExit, nil)
	if closed["s1"] != 2 {
		t.Errorf("OnIdleClosed calls = %d after acquiring with three stale connections, want 2", closed["s1"])
	}
	c := mustAcquire(t, p, "s2")
	p.put(c)
	if p.sweep(false); closed["s2"] != 0 {
		t.Errorf("OnIdleClosed calls = %d while the connection is open, want 0", closed["s2"])
	}
	c.idleSince = time.Now().Add(-50 * time.Second)
	if p.sweep(false); closed["s2"] != 1 {
		t.Errorf("OnIdleClosed calls = %d after the sweep closed a connection, want 1", closed["s2"])
	}
	p.finish(mustAcquire(t, p, "s2"), closeRequestedByServer, nil)
	p.finish(mustAcquire(t, p, "s2"), closeReset, nil)
	if closed["s2"] != 2 {
		t.Errorf("OnIdleClosed calls = %d after a complete response and a reset, want 2: only the complete one adds a call", closed["s2"])
	}
}
