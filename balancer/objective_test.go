package balancer

import (
	"math"
	"testing"
)

// A retry whose attempt is not cut short began some time ago all the same.
func TestRetryHasUsedPartOfItsObjective(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(1)...)
	b.arrive("read", 1200) // the longest try, of a total of 2000
	for _, c := range []struct {
		ttl  Millis
		left Millis
	}{{1200, 400 - 280}, {1000, 400 - 1000}} {
		r := &request{class: b.balancer.classes["read"], work: 1, deadline: b.now + c.ttl}
		b.balancer.setObjective(r, true)
		if got := r.objectiveAt - b.now; math.Abs(got-c.left) > 1e-6 {
			t.Errorf("retry with %.0f ms to live has %.0f ms of its latency objective left, want %.0f", c.ttl, got, c.left)
		}
	}
}
