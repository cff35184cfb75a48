package balancer

import (
	"testing"
)

// Gossip must report to each node how many requests the other nodes have at a server. Otherwise all nodes
// could choose the same server, since each has records only of its own requests.
func TestGossipReportsRequestsInFlight(t *testing.T) {
	set := probeOnlySettings(2)
	set.ProbesAllowed = false
	sender := newTestNode(t, set, testEndpoints(2)...)
	set.Node = 1
	receiver := newTestNode(t, set, testEndpoints(2)...)
	deliver := func(s ServerID, acts []Action) float64 {
		for _, a := range acts {
			if m, ok := a.(BroadcastGossip); ok {
				receiver.step(GossipReceived{From: 0, Body: m.Body})
			}
		}
		return receiver.balancer.servers.byID[s].gossipedLoad()
	}
	id, acts := sender.arrive("read", 2000)
	busy := sentTo(acts)
	if got := deliver(busy, sender.actions); got != 1 {
		t.Fatalf("gossiped load of %s = %v, want 1", busy, got)
	}
	sender.now += 20
	if got := deliver(busy, sender.completeAttempt(id, 0, busy, OK, 20)); got != 0 {
		t.Errorf("gossiped load of %s after the answer = %v, want 0", busy, got)
	}
}

// Invalid messages must be ignored completely, unknown servers skipped, reports replaced by newer ones, and
// gossip no longer used after the timeout.
func TestIgnoreInvalidAndOldGossip(t *testing.T) {
	b := newTestNode(t, probeOnlySettings(4), testEndpoints(3)...)
	tag := b.balancer.servers.byID["s0"].gossipTag
	entry := []byte{byte(tag >> 8), byte(tag), 9}
	for name, body := range map[string][]byte{
		"empty": {}, "cut short": append([]byte{gossipVersion}, entry[:2]...), "other version": append([]byte{0x20}, entry...),
		"other kind": append([]byte{gossipVersion | 7}, entry...), "too long": make([]byte, MaxGossipBytes+1),
		"unknown server": {gossipVersion, byte(tag>>8) ^ 1, byte(tag), 9},
	} {
		if b.step(GossipReceived{From: 1, Body: body}); b.balancer.servers.byID["s0"].gossipedLoad() != 0 {
			t.Errorf("%s: message was used, want it ignored", name)
		}
	}
	b.step(GossipReceived{From: 1, Body: append([]byte{gossipVersion}, entry...)})
	b.step(GossipReceived{From: 1, Body: append([]byte{gossipVersion}, entry...)})
	if got := b.balancer.servers.byID["s0"].gossipedLoad(); got != 9 {
		t.Errorf("gossiped load after two reports of 9 requests = %v, want 9", got)
	}
	b.now += 4 * minGossipTimeout
	b.step(TimerFired{"sweep"})
	alive, aliveAgain := b.balancer.gossipAlive(), b.balancer.gossipAlive() // logs only once
	if alive || aliveAgain || count[Log](b.balancer.actions) != 1 {
		t.Errorf("after the gossip timeout: gossipAlive() = %v and %v, want false; %d log lines, want 1", alive, aliveAgain, count[Log](b.balancer.actions))
	}
	b.balancer.settings.GossipAllowed = false
	if b.step(GossipReceived{From: 2, Body: append([]byte{gossipVersion}, entry...)}); b.balancer.servers.byID["s0"].gossipedLoad() != 9 {
		t.Error("message was used although gossip is not allowed")
	}
}

// A server that fails immediately has few requests in flight, so by its load alone it would be preferred. Its
// failure rate must rise with consecutive failures and with failures reported by gossip, even before it is ejected.
func TestFailureRateCountsGossipAndConsecutiveFailures(t *testing.T) {
	b := newTestNode(t, probeOnlySettings(2), testEndpoints(2)...)
	s := b.balancer.servers.byID["s0"]
	if b.balancer.estimatedFailureRate(s) != 0 {
		t.Fatal("failure rate is not 0 before any failure")
	}
	b.step(GossipReceived{From: 1, Body: []byte{gossipVersion | byte(gossipOutcomes), byte(s.gossipTag >> 8), byte(s.gossipTag), 10, 30}})
	if got := b.balancer.estimatedFailureRate(s); got < 0.3 || s.outlier.ejected {
		t.Errorf("30 of 40 attempts of another node failed: failure rate = %.2f, want at least 0.3; ejected = %v, want false", got, s.outlier.ejected)
	}
	failingServer := b.balancer.servers.byID["s1"]
	failingServer.outcomes.record(b.now, false)
	failingServer.outlier.consecutiveFailures, failingServer.timing.outcomeAt = 3, b.now
	if got := b.balancer.estimatedFailureRate(failingServer); got < 0.8 {
		t.Errorf("three consecutive failures: failure rate = %.2f, want at least 0.8", got)
	}
}
