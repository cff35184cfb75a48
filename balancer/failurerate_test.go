package balancer

import (
	"strings"
	"testing"
)

// Guards against ejecting a server that fails only one class: its capacity for the other classes would
// be unused.
func TestClassFaultDoesNotEjectServer(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	for i := 0; i < 40; i++ {
		b.serve("read", 20, allOK)
	}
	s := b.balancer.servers.byID["s1"]
	before := s.timing.unitTime
	r := &request{class: b.balancer.classes["bill"], work: 1}
	for i := 0; i < 6; i++ {
		b.now += 2000
		a := &attempt{server: s, sentAt: b.now - 2000, serviceRounds: 1, expectedDuration: 20}
		b.balancer.recordAttemptOutcome(s, r, a, TimedOut, 2000)
		b.serve("read", 20, allOK)
	}
	if s.outlier.ejected {
		t.Error("a server that serves other classes was ejected for the failures of one class")
	}
	if b.balancer.classFailureRate(s, r.class) < faultyClassRate || b.balancer.classFailureRate(s, b.balancer.classes["read"]) > 0.1 {
		t.Error("the failure rates of the failing class and of another class are not separate")
	}
	if s.timing.unitTime > 20*before {
		t.Errorf("unit time = %.0f ms, want at most 20 times %.0f ms", s.timing.unitTime, before)
	}
	for i := 0; i < 30; i++ {
		id, acts := b.arrive("bill", 2000)
		if sentTo(acts) == "s1" {
			t.Fatal("a request of the class was sent to the server at which the class fails")
		}
		b.completeAttempt(id, 0, sentTo(acts), OK, 20)
	}
}

// Guards against waiting for a connect timeout at each server of an unreachable zone in turn, which
// happens if a node contacts each server only once in several seconds. In the simulation split+mass,
// 3,109 of 3,800 pairs of a node and a server had waited once for a connection.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	countAttempts := func(zones []string, outcomeOf func(zone string) Outcome, failureTime Millis) (toCutZone int) {
		set := largeFleetSettings(0.1)
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
					toCutZone++
					result, elapsed = outcomeOf(zone), failureTime
				}
				acts = b.completeAttempt(id, n, s, result, elapsed)
			}
		}
		return toCutZone
	}
	always := func(r Outcome) func(string) Outcome { return func(string) Outcome { return r } }
	if n := countAttempts([]string{"a", "b", "cut"}, always(Unreachable), 150); n > 8 {
		t.Errorf("attempts to the unreachable zone = %d for 100 requests, want at most 8", n)
	}
	if n := countAttempts([]string{"a", "b", "cut"}, always(Unreachable), 1); n < 15 { // connections refused: the processes are down, not the zone
		t.Errorf("attempts to a zone whose servers refuse connections = %d, want at least 15", n)
	}
	if n := countAttempts([]string{"cut"}, always(Unreachable), 150); n < 60 {
		t.Errorf("attempts if the only zone is unreachable = %d, want at least 60", n)
	}
}

// Guards against avoiding a zone after it has become reachable again, and against logging more than one
// line when the node starts to avoid the zone and more than one when it uses the zone again.
func TestRecoveredZoneIsUsedAgain(t *testing.T) {
	set := largeFleetSettings(0.1)
	set.ConnectTimeout = 150
	entries := testEndpoints(20)
	for i := range entries {
		entries[i].Zone = []string{"a", "cut"}[i%2]
	}
	b := newTestNode(t, set, entries...)
	inCutZone, inOtherZone := b.balancer.servers.byID["s1"], b.balancer.servers.byID["s0"]
	b.balancer.recordZoneOutcome(inOtherZone, OK, 10)
	for range 5 {
		b.balancer.recordZoneOutcome(inCutZone, TimedOut, 300)
	}
	if b.balancer.zoneFailureRate(inCutZone.zoneFailures) == 0 || b.balancer.zoneFailureRate(inOtherZone.zoneFailures) != 0 {
		t.Fatalf("failure rate of the unreachable zone = %v, want > 0; of the other zone = %v, want 0", b.balancer.zoneFailureRate(inCutZone.zoneFailures), b.balancer.zoneFailureRate(inOtherZone.zoneFailures))
	}
	for range 20 { // a single response must not end the avoidance
		b.balancer.recordZoneOutcome(inCutZone, TimedOut, 300)
		b.balancer.updateScores()
		b.balancer.recordZoneOutcome(inCutZone, OK, 10)
		b.balancer.updateScores()
	}
	if logged := b.balancer.actions; count[Log](logged) != 1 || !strings.Contains(logged[len(logged)-1].(Log).Text, "zone cut") {
		t.Errorf("actions after the zone became unreachable = %v, want one log line about it", logged)
	}
	b.now += 3 * staleTimeConstant
	b.step(TimerFired{"sweep"})
	if f := b.balancer.zoneFailureRate(inCutZone.zoneFailures); f != 0 {
		t.Errorf("failure rate of the zone = %v some seconds after its last outcome, want 0", f)
	}
	b.balancer.actions = nil
	for range 5 {
		b.balancer.updateScores()
	}
	if n := count[Log](b.balancer.actions); n != 1 {
		t.Errorf("log lines after the zone is used again = %d, want 1", n)
	}
}
