package balancer

import (
	"testing"
)

// While a tenant far over its quota overloads the server, the requests of a tenant within its quota are
// dispatched first.
func TestTenantWithinQuotaIsServedFirstUnderOverload(t *testing.T) {
	set := settings()
	set.Goal = GoalWeights{Overall: 0.7, WorstTenant: 0.3}
	set.Tenants = []Tenant{{Name: "loud", Quota: 10}, {Name: "meek", Quota: 10}}
	b := newTestNode(t, set, testEndpoints(1)...)
	tenant, sent := map[RequestID]string{}, map[string]int{}
	for i := 0; i < 400; i++ { // ten times as many from one tenant as from the other
		b.lastRequestID++
		name := "loud"
		if i%11 == 0 {
			name = "meek"
		}
		tenant[b.lastRequestID] = name
		acts := b.step(Arrival{ID: b.lastRequestID, Class: "read", Tenant: name, Deadline: b.now + 2000})
		b.now += 10
		if i%5 == 4 { // the server answers one request in 50 ms
			if r := b.balancer.servers.ready[0].attempts.requests; len(r) > 0 {
				acts = append(acts, b.completeAttempt(r[0].id, 0, "s0", OK, 50)...)
			}
		}
		for _, a := range acts {
			if s, ok := a.(StartAttempt); ok {
				sent[tenant[s.ID]]++
			}
		}
	}
	withinQuota, overQuota := float64(sent["meek"])/36, float64(sent["loud"])/364
	if withinQuota < 0.5 || withinQuota < 2*overQuota {
		t.Errorf("tenant within quota: %.0f%% served, tenant over quota: %.0f%% served; want at least 50%% within quota, and at least twice the fraction over quota", 100*withinQuota, 100*overQuota)
	}
}
