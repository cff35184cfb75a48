package balancer

import (
	"testing"
)

// Fairness: with one tenant far over its share, the other's requests go first.
func TestTenantInsideQuotaIsServedUnderShortage(t *testing.T) {
	set := settings()
	set.Goal = GoalWeights{Overall: 0.7, WorstTenant: 0.3}
	set.Tenants = []Tenant{{Name: "loud", Quota: 10}, {Name: "meek", Quota: 10}}
	b := newTestNode(t, set, testEndpoints(1)...)
	tenant, sent := map[RequestID]string{}, map[string]int{}
	for i := 0; i < 400; i++ { // ten times as many from the one as from the other
		b.next++
		name := "loud"
		if i%11 == 0 {
			name = "meek"
		}
		tenant[b.next] = name
		acts := b.step(Arrival{ID: b.next, Class: "read", Tenant: name, Deadline: b.now + 2000})
		b.now += 10
		if i%5 == 4 { // the server answers one request in 50 ms
			if r := b.balancer.servers.ready[0].attempts.requests; len(r) > 0 {
				acts = append(acts, b.end(r[0].id, 0, "s0", OK, 50)...)
			}
		}
		for _, a := range acts {
			if s, ok := a.(StartAttempt); ok {
				sent[tenant[s.ID]]++
			}
		}
	}
	meek, loud := float64(sent["meek"])/36, float64(sent["loud"])/364
	if meek < 0.5 || meek < 2*loud {
		t.Errorf("served %.0f%% of the meek tenant's and %.0f%% of the loud one's", 100*meek, 100*loud)
	}
}
