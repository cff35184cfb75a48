package balancer

import (
	"math"
	"testing"
)

// Guards against taking silence for an empty server: a node that hears of each server once a minute
// must not prefer the one it last heard of long ago to one it has just asked.
func TestServerWithoutReportIsNotAssumedIdle(t *testing.T) {
	set := settings()
	set.Nodes, set.LoadReports = 400, true
	b := newTestNode(t, set, testEndpoints(60)...)
	for i := 0; i < 40; i++ {
		b.now += 50
		b.step(LoadProbeCompleted{Server: b.balancer.servers.ready[i].ID, Outcome: OK, Report: LoadReport{Valid: true, InFlight: 3}})
	}
	if got := b.balancer.estimatedRequests(b.balancer.servers.ready[59]); got < 2 {
		t.Errorf("a server never heard of is taken to hold %.1f where all others hold 3", got)
	}
	b.now += 60000
	b.step(LoadProbeCompleted{Server: "s1", Outcome: OK, Report: LoadReport{Valid: true, InFlight: 0}})
	if fresh, old := b.balancer.estimatedRequests(b.balancer.servers.byID["s1"]), b.balancer.estimatedRequests(b.balancer.servers.byID["s2"]); fresh >= old {
		t.Errorf("just heard to be empty: %.1f, heard of a minute ago: %.1f", fresh, old)
	}
}

// startLostAttempt has two warm servers that report their load, and one request out at each of them in turn.
func startLostAttempt(t *testing.T, class string) (b *testNode, lost RequestID, at ServerID) {
	t.Helper()
	set := settings()
	set.LoadReports = true
	b = newTestNode(t, set, testEndpoints(4)...)
	for range 60 {
		b.serve("read", 20, allOK)
	}
	lost, acts := b.arrive(class, 2000)
	if at = sentTo(acts); at == "" {
		t.Fatal("not sent")
	}
	b.now += 200 // ten times the usual
	return b, lost, at
}

// Guards against a request that a server has taken and lost: its report, fresh, no longer holds it.
func TestMissingAttemptIsRetriedAndNotCountedAsLoad(t *testing.T) {
	b, id, at := startLostAttempt(t, "read")
	acts := b.step(LoadProbeCompleted{Server: at, Outcome: OK, Report: LoadReport{Valid: true}})
	if count[CancelAttempt](acts) != 1 {
		t.Fatalf("%v, want the lost attempt cancelled", acts)
	}
	if occ := b.balancer.estimatedRequests(b.balancer.servers.byID[at]); occ >= 1 {
		t.Errorf("the lost attempt counts as load: %v in flight", occ)
	}
	if over := b.balancer.unansweredTime(b.balancer.servers.byID[at]); over != 0 {
		t.Errorf("the server is held to be silent for %v ms over it", over)
	}
	acts = b.end(id, 0, at, Cancelled, 200)
	if to := sentTo(acts); to == "" || to == at {
		t.Errorf("sent to %q next, want another server", to)
	}
}

// One that the report still holds is slow, not lost; one that must not run twice is left to its answer.
func TestReportedOrNonIdempotentAttemptIsNotCancelled(t *testing.T) {
	b, _, at := startLostAttempt(t, "read")
	if acts := b.step(LoadProbeCompleted{Server: at, Outcome: OK, Report: LoadReport{Valid: true, InFlight: 1}}); count[CancelAttempt](acts) != 0 {
		t.Errorf("%v: the server has it", acts)
	}
	b, _, at = startLostAttempt(t, "bill")
	if acts := b.step(LoadProbeCompleted{Server: at, Outcome: OK, Report: LoadReport{Valid: true}}); count[CancelAttempt](acts) != 0 {
		t.Errorf("%v: it may have run", acts)
	}
	if b.balancer.servers.byID[at].attempts.missing != 1 {
		t.Error("it counts as load, though the server does not have it")
	}
}

// Guards against taking a server whose load was just reported for one of which nothing is known.
func TestUncertaintyGrowsWithReportAge(t *testing.T) {
	b := newTestNode(t, fleet(0.1), testEndpoints(2)...)
	s := b.balancer.servers.byID["s0"]
	b.step(LoadProbeCompleted{Server: "s0", Outcome: OK, Report: LoadReport{Valid: true, InFlight: 2}})
	b.balancer.refreshEstimate(s)
	fresh := s.estimate.uncertainty
	b.now += 20 * b.balancer.estimate.unitTime
	b.step(TimerFired{"sweep"})
	if b.balancer.refreshEstimate(s); fresh > 0.1 || s.estimate.uncertainty < 0.9 {
		t.Errorf("doubt %v right after a report, %v long after it", fresh, s.estimate.uncertainty)
	}
}

// Guards against taking a slow server of which nothing is known to hold as much as the others:
// nodes that price its slowness send it as much less, and rejected 15 to 21% while it stood half
// idle (join+vast).
func TestSlowStartServerIsEstimatedToHoldFewerRequests(t *testing.T) {
	entries := testEndpoints(2)
	b := newTestNode(t, fleet(0.1), entries...)
	entries[1].Started = b.now
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: entries[1:]})
	b.balancer.estimate.othersLoad = 3
	warm, cold := b.balancer.servers.byID["s0"], b.balancer.servers.byID["s1"]
	if w, c := b.balancer.estimateRequests(warm), b.balancer.estimateRequests(cold); c > 0.9*w || c <= 0 {
		t.Errorf("%.2f requests at a warming server, %.2f at a warm one", c, w)
	}
	b.balancer.recordLoadReport(cold, LoadReport{Valid: true, InFlight: 3 * b.balancer.estimatedCapacity(cold)})
	if math.Abs(b.balancer.estimate.othersLoad-3) > 1e-9 {
		t.Errorf("a warming server with its part in flight moves the fleet's mean from 3 to %v", b.balancer.estimate.othersLoad)
	}
}

// Guards against counting a server's requests one after the other where it works on several at once.
func TestServiceRoundsAccountForParallelism(t *testing.T) {
	b := newTestNode(t, probed(1), testEndpoints(2)...)
	for i := 0; i < 200; i++ {
		b.step(LoadProbeCompleted{Server: "s0", Outcome: OK, Report: LoadReport{Valid: true, InFlight: 5, QueueKnown: true, Queued: 3}})
	}
	for ahead, want := range map[float64]float64{0: 1, 1: 1, 3: 2} {
		if got := b.balancer.serviceRounds(ahead, 1); got != want {
			t.Errorf("with %v ahead at two at once: %v requests' times, want %v", ahead, got, want)
		}
	}
}
