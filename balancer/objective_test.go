package balancer

import (
	"math"
	"testing"
)

// The latency objective of a retry counts from the first attempt. If the start of that attempt can't be derived
// from the deadline, part of the objective still counts as used.
func TestRetryObjectiveCountsFromFirstAttempt(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(1)...)
	b.arrive("read", 1200) // sets the longest timeout; TotalTimeout is 2000
	for _, c := range []struct {
		ttl  Millis
		want Millis
	}{{1200, 400 - 280}, {1000, 400 - 1000}} {
		r := &request{class: b.balancer.classes["read"], work: 1, deadline: b.now + c.ttl}
		b.balancer.setObjective(r, true)
		if got := r.objectiveAt - b.now; math.Abs(got-c.want) > 1e-6 {
			t.Errorf("retry with a timeout of %.0f ms: time to objective = %.0f ms, want %.0f", c.ttl, got, c.want)
		}
	}
}
