package balancer

import (
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
	b.balancer.accountFirstAttempt(loud)
	b.balancer.accountFirstAttempt(meek)
	if !loud.overQuota || meek.overQuota || b.balancer.marginalValue(loud) >= b.balancer.marginalValue(meek) {
		t.Errorf("over share: loud %v, meek %v", loud.overQuota, meek.overQuota)
	}
}
