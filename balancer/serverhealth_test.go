package balancer

import "testing"

// healthOf returns the health of one server as reported to operators.
func healthOf(t *testing.T, b *testNode, id ServerID) ServerHealth {
	t.Helper()
	for _, s := range b.balancer.ServerHealth(b.now, 100) {
		if s.Server == id {
			return s
		}
	}
	t.Fatalf("server %s is not in the health report", id)
	return ServerHealth{}
}

// Guards against a failing server for which operators cannot see why it is not ejected: each unmet
// condition of an ejection has its own status.
func TestEjectionStatus(t *testing.T) {
	record := func(s *server, now Millis, successes, failures int) {
		for range successes {
			s.outcomes.record(now, true)
		}
		for range failures {
			s.outcomes.record(now, false)
		}
	}
	for name, c := range map[string]struct {
		prepare func(b *testNode, bad, other *server)
		status  EjectionStatus
	}{
		"never failed": {func(b *testNode, bad, other *server) { record(bad, b.now, 5, 0) }, NoFailures},
		"two consecutive failures": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 5, 2)
			bad.outlier.consecutiveFailures = 2
		}, TooFewFailures},
		"three consecutive failures of a server that often fails": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 12, 7)
			bad.outlier.consecutiveFailures = 3
		}, UsualFailures},
		"other servers fail as well": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 5, 3)
			record(other, b.now, 0, 10)
			bad.outlier.consecutiveFailures = 3
		}, OthersUnhealthy},
		"other servers have recovered": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 5, 3)
			record(other, b.now, 10, 0)
			bad.outlier.consecutiveFailures = 3
		}, NextFailureEjects},
		"ejected": {func(b *testNode, bad, other *server) { bad.outlier.ejected = true }, Ejected},
		"failures older than ten seconds": {func(b *testNode, bad, other *server) {
			record(bad, b.now-outcomeBucketCount*outcomeBucketLength, 0, 3)
			bad.outlier.consecutiveFailures = 3
		}, NoFailures},
	} {
		b := newTestNode(t, settings(), testEndpoints(2)...)
		servers := b.balancer.servers.byID
		c.prepare(b, servers["s0"], servers["s1"])
		if got := healthOf(t, b, "s0"); got.Status != c.status {
			t.Errorf("%s: status = %q, want %q", name, got.Status, c.status)
		}
	}
}

// Guards against a truncated report of a large fleet that omits the ejected and failing servers.
func TestServerHealthListsWorstServersFirst(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(5)...)
	servers := b.balancer.servers.byID
	servers["s1"].outcomes.record(b.now, false)
	servers["s2"].timing.outcomeAt = b.now - 5000
	servers["s3"].outlier.ejected = true
	servers["s0"].timing.outcomeAt, servers["s4"].timing.outcomeAt = b.now, b.now
	got := b.balancer.ServerHealth(b.now, 4)
	for i, want := range []ServerID{"s3", "s1", "s2"} {
		if len(got) != 4 || got[i].Server != want {
			t.Fatalf("health report = %+v, want 4 servers with %[3]s at index %[2]d", got, i, want)
		}
	}
}

// A server with one response that took 50 times as long as usual gets no requests while other servers
// have capacity. It is therefore not ejected even if its requests would fail. That harms no request, and its
// status must show the reason. This caused failures of TestUpgradeTransfersState on a busy machine.
func TestSlowServerGetsNoRequestsWhileOthersHaveCapacity(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(2)...)
	servers := b.balancer.servers.byID
	for servers["s0"].outcomes.recentLen < 5 || servers["s1"].outcomes.recentLen == 0 {
		id, acts := b.arrive("read", 2000)
		elapsed := Millis(1)
		if sentTo(acts) == "s1" {
			elapsed = 50
		}
		b.now += elapsed
		b.completeAttempt(id, 0, sentTo(acts), OK, elapsed)
	}
	start := b.now
	for b.now < start+10000 {
		if s := b.serve("read", 1, allOK); s == "s1" {
			t.Fatalf("the slow server got a request after %v ms, want none for 10000 ms", b.now-start)
		}
		b.now += 9
	}
	if got := healthOf(t, b, "s1"); got.Status != NoFailures || got.SinceOutcome < 9000 || got.UnitTime < 2*healthOf(t, b, "s0").UnitTime {
		t.Errorf("health of the slow server = %+v, want status %q, SinceOutcome >= 9000 ms and at least twice the unit time of s0", got, NoFailures)
	}
}
