package balancer

import (
	"math"
	"testing"
)

// A FleetQuota replaces this node's equal fraction of the slow start budgets. It expires at Until without a
// further event, and a fraction of 0 allows no requests to a server in slow start.
func TestFleetQuotaSetsSlowStartRate(t *testing.T) {
	set := settings()
	set.Nodes = 10
	b := newTestNode(t, set, Endpoint{ID: "cold", Capacity: 1, Started: 99999})
	starting := b.balancer.servers.byID["cold"]
	evenRate := b.balancer.slowStartRate(starting)
	checkRate := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9*evenRate {
			t.Errorf("%s: slow start rate = %v per ms, want %v", name, got, want)
		}
	}
	b.step(FleetQuota{Current: 0.25, Until: b.now, After: 0.05})
	checkRate("expired quota", b.balancer.slowStartRate(starting), evenRate/2)
	b.step(FleetQuota{Current: 0.25, Until: b.now + 1, After: 0.05})
	checkRate("quota of a quarter", b.balancer.slowStartRate(starting), 2.5*evenRate)
	b.step(SiblingProcesses{2})
	checkRate("one of two processes", b.balancer.slowStartRate(starting), 1.25*evenRate)
	b.step(FleetQuota{})
	if starting.slowStart.budget.available = 5; b.balancer.slowStartRate(starting) != 0 || b.balancer.slowStartAllows(starting, 1) {
		t.Errorf("slow start rate = %v with a quota of 0, want 0 and no requests allowed", b.balancer.slowStartRate(starting))
	}
}
