package balancer

import (
	"strings"
	"testing"
)

// Guards against counting a class's own fault against the server: the others' capacity would go unused.
func TestClassFaultDoesNotEjectServer(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	for i := 0; i < 40; i++ {
		b.serve("read", 20, allOK)
	}
	s := b.balancer.servers.byID["s1"]
	unit := s.timing.unitTime
	r := &request{class: b.balancer.classes["bill"], work: 1}
	for i := 0; i < 6; i++ {
		b.now += 2000
		a := &attempt{server: s, sentAt: b.now - 2000, serviceRounds: 1, expected: 20}
		b.balancer.recordAttemptOutcome(s, r, a, TimedOut, 2000)
		b.serve("read", 20, allOK)
	}
	if s.outlier.ejected {
		t.Error("a server that serves other classes was ejected for one class")
	}
	if b.balancer.classFailureRate(s, r.class) < faultyClassRate || b.balancer.classFailureRate(s, b.balancer.classes["read"]) > 0.1 {
		t.Error("the class's failures were not kept apart")
	}
	if s.timing.unitTime > 20*unit {
		t.Errorf("unit time went from %.0f to %.0f", unit, s.timing.unitTime)
	}
	for i := 0; i < 30; i++ {
		id, acts := b.arrive("bill", 2000)
		if sentTo(acts) == "s1" {
			t.Fatal("the class still goes where it fails")
		}
		b.end(id, 0, sentTo(acts), OK, 20)
	}
}

// Guards against finding out one server after the other that a zone is cut off, where a node meets
// each of them once in seconds: of 3,800 pairs of a node and a server 3,109 waited for a connection
// once (split+mass).
func TestUnreachableZoneIsAvoided(t *testing.T) {
	play := func(zones []string, silent func(zone string) Outcome, took Millis) (there int) {
		set := fleet(0.1)
		set.ConnectTimeout = 150
		entries := testEndpoints(60)
		for i := range entries {
			entries[i].Zone = zones[i%len(zones)]
		}
		b := newTestNode(t, set, entries...)
		for range 100 {
			b.now += 50
			id, acts := b.arrive("read", 2000)
			for n := 0; sentTo(acts) != ""; n++ {
				s := sentTo(acts)
				result, elapsed := OK, Millis(10)
				if zone := b.balancer.servers.byID[s].Zone; zone == "cut" {
					there++
					result, elapsed = silent(zone), took
				}
				acts = b.end(id, n, s, result, elapsed)
			}
		}
		return there
	}
	always := func(r Outcome) func(string) Outcome { return func(string) Outcome { return r } }
	if n := play([]string{"a", "b", "cut"}, always(Unreachable), 150); n > 8 {
		t.Errorf("%d of 100 requests waited at a zone that is cut off", n)
	}
	if n := play([]string{"a", "b", "cut"}, always(Unreachable), 1); n < 15 { // rejected: the processes are gone, not the zone
		t.Errorf("only %d sends to a zone whose servers refuse connections: each is to be judged alone", n)
	}
	if n := play([]string{"cut"}, always(Unreachable), 150); n < 60 {
		t.Errorf("only %d sends where all there is is silent", n)
	}
}

// Guards against a zone that stays shunned once it is back.
func TestRecoveredZoneIsUsedAgain(t *testing.T) {
	set := fleet(0.1)
	set.ConnectTimeout = 150
	entries := testEndpoints(20)
	for i := range entries {
		entries[i].Zone = []string{"a", "cut"}[i%2]
	}
	b := newTestNode(t, set, entries...)
	far, near := b.balancer.servers.byID["s1"], b.balancer.servers.byID["s0"]
	b.balancer.recordZoneOutcome(near, OK, 10)
	for range 5 {
		b.balancer.recordZoneOutcome(far, TimedOut, 300)
	}
	if b.balancer.zoneFailureShare(far.zoneFailures) == 0 || b.balancer.zoneFailureShare(near.zoneFailures) != 0 {
		t.Fatalf("fault %v there and %v here", b.balancer.zoneFailureShare(far.zoneFailures), b.balancer.zoneFailureShare(near.zoneFailures))
	}
	for range 20 { // one answer in between is not the end of it
		b.balancer.recordZoneOutcome(far, TimedOut, 300)
		b.balancer.updateScores()
		b.balancer.recordZoneOutcome(far, OK, 10)
		b.balancer.updateScores()
	}
	if said := b.balancer.actions; count[Log](said) != 1 || !strings.Contains(said[len(said)-1].(Log).Text, "zone cut") {
		t.Errorf("said of a zone that is cut off: %v, want one line", said)
	}
	b.now += 3 * staleTimeConstant
	b.step(TimerFired{"sweep"})
	if f := b.balancer.zoneFailureShare(far.zoneFailures); f != 0 {
		t.Errorf("still shunned with %v after some seconds without news", f)
	}
	b.balancer.actions = nil
	for range 5 {
		b.balancer.updateScores()
	}
	if n := count[Log](b.balancer.actions); n != 1 {
		t.Errorf("%d lines once it is tried again, want one", n)
	}
}
