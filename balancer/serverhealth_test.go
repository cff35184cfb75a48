package balancer

import "testing"

// healthOf returns what an operator sees of one server.
func healthOf(t *testing.T, b *testNode, id ServerID) ServerHealth {
	t.Helper()
	for _, s := range b.balancer.ServerHealth(b.now, 100) {
		if s.Server == id {
			return s
		}
	}
	t.Fatalf("%s is not among the servers", id)
	return ServerHealth{}
}

// Guards against a failing server of which nobody can tell why it is not ejected: each of the conditions of an ejection that can be
// missing has its own status.
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
		"two in a row": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 5, 2)
			bad.outlier.consecutiveFailures = 2
		}, TooFewFailures},
		"three in a row of one that often fails": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 12, 7)
			bad.outlier.consecutiveFailures = 3
		}, UsualFailures},
		"the others fail as well": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 5, 3)
			record(other, b.now, 0, 10)
			bad.outlier.consecutiveFailures = 3
		}, OthersUnhealthy},
		"the others have recovered": {func(b *testNode, bad, other *server) {
			record(bad, b.now, 5, 3)
			record(other, b.now, 10, 0)
			bad.outlier.consecutiveFailures = 3
		}, NextFailureEjects},
		"ejected": {func(b *testNode, bad, other *server) { bad.outlier.ejected = true }, Ejected},
		"failures that are over ten seconds old": {func(b *testNode, bad, other *server) {
			record(bad, b.now-outcomeBucketCount*outcomeBucketLength, 0, 3)
			bad.outlier.consecutiveFailures = 3
		}, NoFailures},
	} {
		b := newTestNode(t, settings(), testEndpoints(2)...)
		servers := b.balancer.servers.byID
		c.prepare(b, servers["s0"], servers["s1"])
		if got := healthOf(t, b, "s0"); got.Status != c.status {
			t.Errorf("%s: %q, want %q", name, got.Status, c.status)
		}
	}
}

// Guards against a report of a large fleet that leaves out the servers that matter.
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
			t.Fatalf("%+v: number %d is not %s", got, i, want)
		}
	}
}

// A server that answered once 50 times as slowly as it does otherwise gets no requests while the others have capacity, and so is not
// ejected, however it would fail: no request suffers, and the operator sees why. It is the disturbance behind the failures of
// TestUpgradeTransfersState on a busy machine.
func TestSlowServerGetsNoRequestsWhileOthersHaveCapacity(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(2)...)
	servers := b.balancer.servers.byID
	for servers["s0"].outcomes.recentLen < 5 || servers["s1"].outcomes.recentLen == 0 {
		id, acts := b.arrive("read", 2000)
		took := Millis(1)
		if sentTo(acts) == "s1" {
			took = 50
		}
		b.now += took
		b.end(id, 0, sentTo(acts), OK, took)
	}
	began := b.now
	for b.now < began+10000 {
		if s := b.serve("read", 1, allOK); s == "s1" {
			t.Fatalf("it got a request after %v ms", b.now-began)
		}
		b.now += 9
	}
	if got := healthOf(t, b, "s1"); got.Status != NoFailures || got.SinceOutcome < 9000 || got.UnitTime < 2*healthOf(t, b, "s0").UnitTime {
		t.Errorf("an operator sees %+v", got)
	}
}
