package balancer

import (
	"testing"
)

// Guards against many nodes each seeing only its own requests: what one has at a server keeps the
// others away.
func TestGossipedLoadKeepsOthersAway(t *testing.T) {
	set := probed(2)
	set.ProbesAllowed = false
	one := newTestNode(t, set, testEndpoints(2)...)
	set.Node = 1
	two := newTestNode(t, set, testEndpoints(2)...)
	told := func(s ServerID, acts []Action) float64 {
		for _, a := range acts {
			if m, ok := a.(BroadcastGossip); ok {
				two.step(GossipReceived{From: 0, Body: m.Body})
			}
		}
		return two.balancer.servers.byID[s].gossipedLoad()
	}
	id, acts := one.arrive("read", 2000)
	busy := sentTo(acts)
	if got := told(busy, one.actions); got != 1 {
		t.Fatalf("%v requests told of at %s, want 1", got, busy)
	}
	one.now += 20
	if got := told(busy, one.end(id, 0, busy, OK, 20)); got != 0 {
		t.Errorf("%v requests at %s after its answer was told of", got, busy)
	}
}

// Guards against trusting messages: odd ones are dropped whole, unknown servers passed over, old
// word forgotten.
func TestMalformedGossipDoesNoHarm(t *testing.T) {
	b := newTestNode(t, probed(4), testEndpoints(3)...)
	name := b.balancer.servers.byID["s0"].gossipTag
	entry := []byte{byte(name >> 8), byte(name), 9}
	for what, body := range map[string][]byte{
		"empty": {}, "cut short": append([]byte{gossipVersion}, entry[:2]...), "other version": append([]byte{0x20}, entry...),
		"other kind": append([]byte{gossipVersion | 7}, entry...), "too long": make([]byte, MaxGossipBytes+1),
		"unknown server": {gossipVersion, byte(name>>8) ^ 1, byte(name), 9},
	} {
		if b.step(GossipReceived{From: 1, Body: body}); b.balancer.servers.byID["s0"].gossipedLoad() != 0 {
			t.Errorf("%s: believed", what)
		}
	}
	b.step(GossipReceived{From: 1, Body: append([]byte{gossipVersion}, entry...)})
	b.step(GossipReceived{From: 1, Body: append([]byte{gossipVersion}, entry...)})
	if got := b.balancer.servers.byID["s0"].gossipedLoad(); got != 9 {
		t.Errorf("told twice of 9 requests: %v", got)
	}
	b.now += 4 * minGossipTimeout
	b.step(TimerFired{"sweep"})
	first, again := b.balancer.gossipAlive(), b.balancer.gossipAlive() // it is logged once
	if first || again || count[Log](b.balancer.actions) != 1 {
		t.Errorf("a node long silent: still believed, or %d log lines", count[Log](b.balancer.actions))
	}
	b.balancer.settings.GossipAllowed = false
	if b.step(GossipReceived{From: 2, Body: append([]byte{gossipVersion}, entry...)}); b.balancer.servers.byID["s0"].gossipedLoad() != 9 {
		t.Error("heard where nodes may not talk")
	}
}

// Guards against a server that fails at once and so looks empty: a row of failures, or those others
// tell of, keep requests away though ejection holds back.
func TestFailuresArePriced(t *testing.T) {
	b := newTestNode(t, probed(2), testEndpoints(2)...)
	s := b.balancer.servers.byID["s0"]
	if b.balancer.failureShare(s) != 0 {
		t.Fatal("bad before any failure")
	}
	b.step(GossipReceived{From: 1, Body: []byte{gossipVersion | byte(gossipOutcomes), byte(s.gossipTag >> 8), byte(s.gossipTag), 10, 30}})
	if got := b.balancer.failureShare(s); got < 0.3 || s.outlier.ejected {
		t.Errorf("30 of 40 failed at another node: share %.2f, ejected %v", got, s.outlier.ejected)
	}
	own := b.balancer.servers.byID["s1"]
	own.outcomes.record(b.now, false)
	own.outlier.consecutiveFailures, own.timing.outcomeAt = 3, b.now
	if got := b.balancer.failureShare(own); got < 0.8 {
		t.Errorf("three failures in a row: share %.2f", got)
	}
}
