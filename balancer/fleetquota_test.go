package balancer

import (
	"math"
	"testing"
)

// A FleetQuota replaces the even part at the moment of use: it runs out by itself, and without
// any nothing goes to a warming server.
func TestFleetQuota(t *testing.T) {
	set := settings()
	set.Nodes = 10
	b := newTestNode(t, set, Endpoint{ID: "cold", Capacity: 1, Started: 99999})
	cold := b.balancer.servers.byID["cold"]
	tenth := b.balancer.slowStartRate(cold)
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9*tenth {
			t.Errorf("%s: %v a millisecond, want %v", what, got, want)
		}
	}
	b.step(FleetQuota{Current: 0.25, Until: b.now, After: 0.05})
	near("run out", b.balancer.slowStartRate(cold), tenth/2)
	b.step(FleetQuota{Current: 0.25, Until: b.now + 1, After: 0.05})
	near("a quarter", b.balancer.slowStartRate(cold), 2.5*tenth)
	b.step(SiblingProcesses{2})
	near("one of two processes", b.balancer.slowStartRate(cold), 1.25*tenth)
	b.step(FleetQuota{})
	if cold.slowStart.budget.left = 5; b.balancer.slowStartRate(cold) != 0 || b.balancer.slowStartAllows(cold, 1) {
		t.Errorf("room at %v with no share at all", b.balancer.slowStartRate(cold))
	}
}
