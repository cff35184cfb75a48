package balancer

import (
	"testing"
)

// A request of a tenant over its quota has a lower marginal value than one of a tenant within its quota.
func TestTenantOverQuotaHasLowerMarginalValue(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "loud", Quota: 10}, {Name: "meek", Quota: 10}}
	b := newTestNode(t, set, testEndpoints(1)...)
	for i := 0; i < 100; i++ {
		b.now += 10
		b.lastRequestID++
		b.step(Arrival{ID: b.lastRequestID, Class: "read", Tenant: "loud", Deadline: b.now + 2000})
	}
	loudRequest := &request{class: b.balancer.classes["read"], tenant: b.balancer.tenants["loud"], work: 1}
	meekRequest := &request{class: b.balancer.classes["read"], tenant: b.balancer.tenants["meek"], work: 1}
	b.balancer.accountFirstAttempt(loudRequest)
	b.balancer.accountFirstAttempt(meekRequest)
	if !loudRequest.overQuota || meekRequest.overQuota || b.balancer.marginalValue(loudRequest) >= b.balancer.marginalValue(meekRequest) {
		t.Errorf("over quota: tenant loud %v, tenant meek %v, want true and false, with a lower marginal value for loud",
			loudRequest.overQuota, meekRequest.overQuota)
	}
}
