package upstream

import (
	"context"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
)

func TestUnusableIdleConnectionsAreClosed(t *testing.T) {
	addr, _ := acceptingListener(t)
	other, _ := acceptingListener(t)
	a := fixedResolver{"s1": addr, "s2": addr, "s3": addr}
	p, count := testPool(a, 8, 8)
	for _, id := range []balancer.ServerID{"s1", "s2", "s3"} {
		p.put(mustAcquire(t, p, id))
	}
	delete(a, "s1")
	a["s2"] = other
	if _, err := p.acquire(context.Background(), "s1"); err != errNoAddress {
		t.Errorf("a removed server: %v", err)
	}
	if c := mustAcquire(t, p, "s2"); c.addr != other {
		t.Errorf("connection to %s, want %s", c.addr, other)
	} else {
		p.close(c, closeExit, nil)
	}
	old := p.idle["s3"][0]
	old.idleSince = time.Now().Add(-50 * time.Second)
	fresh := mustAcquire(t, p, "s3") // before the janitor comes by
	if fresh == old {
		t.Error("a connection that the server may be closing was used")
	}
	p.put(fresh)
	fresh.idleSince = time.Now().Add(-50 * time.Second)
	p.sweep(false)
	gone := count.ServerEnds.Get(string(closeAddressGone))
	idle := count.ServerEnds.Get(string(closeIdleTimeout))
	if gone != 2 || idle != 2 {
		t.Errorf("%d removed, %d idle too long", gone, idle)
	}
	if p.total != 0 {
		t.Errorf("%d connections still reserved", p.total)
	}
}

// TestOnIdleClosed: the balancer took connections for idle that were closed already, and requests paid for new ones unawares.
// The balancer counts the connection that a request takes itself, so of the stale ones that a request meets the first is not
// notified.
func TestOnIdleClosed(t *testing.T) {
	addr, _ := acceptingListener(t)
	p, _ := testPool(fixedResolver{"s1": addr, "s2": addr}, 8, 8)
	gone := map[balancer.ServerID]int{}
	p.options.OnIdleClosed = func(id balancer.ServerID) { gone[id]++ }
	one := mustAcquire(t, p, "s1")
	two := mustAcquire(t, p, "s1")
	three := mustAcquire(t, p, "s1")
	for _, c := range []*conn{one, two, three} {
		p.put(c)
		c.idleSince = time.Now().Add(-50 * time.Second)
	}
	p.close(mustAcquire(t, p, "s1"), closeExit, nil)
	if gone["s1"] != 2 {
		t.Errorf("notified of %d connections beside the one taken, want 2", gone["s1"])
	}
	c := mustAcquire(t, p, "s2")
	p.put(c)
	if p.sweep(false); gone["s2"] != 0 {
		t.Errorf("notified of %d while the connection is open", gone["s2"])
	}
	c.idleSince = time.Now().Add(-50 * time.Second)
	if p.sweep(false); gone["s2"] != 1 {
		t.Errorf("notified of %d closed by the janitor, want 1", gone["s2"])
	}
	p.finish(mustAcquire(t, p, "s2"), closeRequestedByServer, nil)
	p.finish(mustAcquire(t, p, "s2"), closeReset, nil)
	if gone["s2"] != 2 {
		t.Errorf("notified of %d, want one more: response complete and closed", gone["s2"])
	}
}
