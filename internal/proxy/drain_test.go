package proxy

import (
	"testing"
	"time"

	"tackhub.example/tackhub/internal/drain"
)

// A request that is read after a shutdown's last admission has no time left for a server's response. It must be rejected at once,
// before any server has run it. A request that is read earlier is admitted.
func TestRejectRequestsAfterLastAdmission(t *testing.T) {
	plan := drain.NewPlan(time.Second)
	for name, c := range map[string]struct {
		schedule *drain.Schedule
		rejected bool
	}{
		"no shutdown":               {nil, false},
		"before the last admission": {plan.Start(time.Now().Add(-plan.LastAdmission / 2)), false},
		"after the last admission":  {plan.Start(time.Now().Add(-plan.LastAdmission)), true},
		"long after the shutdown":   {plan.Start(time.Now().Add(-time.Hour)), true},
	} {
		var h Handler
		h.schedule.Store(c.schedule)
		got := h.rejectIfDraining()
		if (got != nil) != c.rejected || got != nil && (got.Status != 503 || got.Code != CodeDraining) {
			t.Errorf("%s: rejection = %+v, want rejected = %v", name, got, c.rejected)
		}
	}
}
