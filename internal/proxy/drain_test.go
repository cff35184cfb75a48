package proxy

import (
	"testing"
	"time"

	"tackhub.example/tackhub/internal/drain"
)

// A request that is read after a shutdown's last admission has no time left for a server's answer. It must be rejected at once as one that
// has not run; one that is read before is admitted.
func TestRequestsAfterTheLastAdmissionAreRejected(t *testing.T) {
	plan := drain.NewPlan(time.Second)
	for name, c := range map[string]struct {
		schedule *drain.Schedule
		rejected bool
	}{
		"no shutdown":         {nil, false},
		"before the last one": {plan.Start(time.Now().Add(-plan.LastAdmission / 2)), false},
		"after the last one":  {plan.Start(time.Now().Add(-plan.LastAdmission)), true},
		"long after":          {plan.Start(time.Now().Add(-time.Hour)), true},
	} {
		var h Handler
		h.schedule.Store(c.schedule)
		got := h.rejectLate()
		if (got != nil) != c.rejected || got != nil && (got.Status != 503 || got.Code != CodeDraining) {
			t.Errorf("%s: %+v", name, got)
		}
	}
}
