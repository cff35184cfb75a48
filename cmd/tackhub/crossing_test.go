package main

import (
	"strings"
	"testing"
)

// slowConnect are settings with which a connection may take its time to come up.
func slowConnect(more ...string) string {
	return strings.NewReplacer(append([]string{`"connect_timeout_ms":150`, `"connect_timeout_ms":5000`}, more...)...).Replace(testSettings)
}

// TestDrainToldWhileAConnectionComesUp: the request had been drawn to the server, and its connection came up only after
// the server had been told to drain.
func TestDrainToldWhileAConnectionComesUp(t *testing.T) {
	held, other := startHolding(t, "s1", say(200, "late")), startServer(t, "s2", say(200, "done"))
	p, d := startWith(t, slowConnect(), held.server)
	pending := p.send(request("look", 1500))
	eventually(t, "attempt", func() bool { return p.counts().Attempts["open"] == 1 })
	drains := held.member()
	drains.Phase = "DRAINING"
	before := p.counts().List["delta"]
	d.tell(drains, other.member())
	eventually(t, "the news", func() bool { return p.counts().List["delta"] > before })
	held.release()
	// Its connection may come up so late that it is refused; that is harmless, since nothing of it was written.
	if a := wait(t, "the request", pending); a.status != 503 && (a.status != 200 || a.body != "done") {
		t.Errorf("%d %q, want the other server's answer or a refusal", a.status, a.body)
	}
	if n := len(held.requests()); n > 0 {
		t.Errorf("%d requests went to a server that drains", n)
	}
}

// TestARepeatAfterItsWindowIsNotWritten: the repeat was decided on inside the window in which the group drops it, and its
// connection came up after that.
func TestARepeatAfterItsWindowIsNotWritten(t *testing.T) {
	gate := make(chan struct{})
	first, held := startServer(t, "s1", after(gate, reset)), startHolding(t, "s2", say(200, "twice"))
	p, d := startWith(t, slowConnect(`"dedup_window_ms":800`, `"dedup_window_ms":500`), first)
	pending := p.send(request("store", 1500))
	eventually(t, "the first copy", func() bool { return len(first.requests()) == 1 })
	before := p.counts().List["delta"]
	d.tell(held.member())
	eventually(t, "the news", func() bool { return p.counts().List["delta"] > before })
	close(gate)
	eventually(t, "the repeat's attempt", func() bool { return p.counts().Attempts["sent"] == 2 })
	held.release() // the next SYN comes a second after the first
	if a := wait(t, "the request", pending); a.status != 502 && a.status != 504 {
		t.Errorf("%d %q, want a failure", a.status, a.body)
	}
	if n := len(held.requests()); n > 0 {
		t.Errorf("%d repeats were written after the window", n)
	}
	p.counts().addUp(t)
}
