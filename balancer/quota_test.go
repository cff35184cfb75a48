package balancer

import (
	"math"
	"testing"
)

func TestTenantsOverQuotaWait(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "loud", Quota: 10}, {Name: "meek", Quota: 10}}
	b := newTestNode(t, set, testEndpoints(1)...)
	for i := 0; i < 100; i++ {
		b.now += 10
		b.next++
		b.step(Arrival{ID: b.next, Class: "read", Tenant: "loud", Deadline: b.now + 2000})
	}
	loud := &request{class: b.balancer.classes["read"], tenant: b.balancer.tenants["loud"], work: 1}
	meek := &request{class: b.balancer.classes["read"], tenant: b.balancer.tenants["meek"], work: 1}
	b.balancer.accountArrival(loud, false)
	b.balancer.accountArrival(meek, false)
	if !loud.overQuota || meek.overQuota || b.balancer.marginalValue(loud) >= b.balancer.marginalValue(meek) {
		t.Errorf("over share: loud %v, meek %v", loud.overQuota, meek.overQuota)
	}
}

// A share takes the place of the even part at the moment of use: it runs out by itself, and without
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
