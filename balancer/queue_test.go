package balancer

import (
	"testing"
)

// Requests bound to a dedup scope without usable servers must fail immediately. They must not count as
// placement failures, which would keep other requests in the queue.
func TestRequestsOfLostDedupScopeDoNotBlockOthers(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	for _, s := range b.balancer.servers.ready {
		s.outlier.ejected = s.Cell == 0
		s.outlier.trialAt = b.now + ejectionTime
	}
	for i := 0; i < 2*maxPlacementFailures; i++ {
		b.balancer.servers.byID["s0"].outlier.ejected = false
		b.balancer.retryBudget.available = retryBurst
		b.lastRequestID++
		r := &request{id: b.lastRequestID, class: b.balancer.classes["put"], arrived: b.now, deadline: b.now + 2000,
			objectiveAt: b.now + 400, work: 1, mayHaveRun: true, dedup: dedupBinding{bound: true, group: DedupGroup{Scope: DedupWithinCell, Cell: b.balancer.servers.byID["s0"].Cell}, sentAt: b.now, until: b.now + 1000}}
		b.balancer.requests[r.id] = r
		b.balancer.enqueue(r)
		b.balancer.servers.byID["s0"].outlier.ejected = true
	}
	_, acts := b.arrive("read", 2000)
	if sentTo(acts) == "" || count[Fail](acts) != 2*maxPlacementFailures {
		t.Errorf("other request sent to %q, want a server; failed requests = %d, want %d", sentTo(acts), count[Fail](acts), 2*maxPlacementFailures)
	}
}
