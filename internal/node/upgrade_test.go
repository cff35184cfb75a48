package node

import (
	"testing"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
)

// Guards against wrong times in the transferred server records: if the wall clock was stepped between the
// starts of the two processes, their clocks differ. A predecessor of an earlier version sends no ClockZero,
// and its times stay unchanged.
func TestAdjustClockShiftsPredecessorTimes(t *testing.T) {
	const hour = 3600e3
	own := clock.New()
	monotonicZero, err := own.MonotonicZero()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ clockZero, shift float64 }{
		"an hour ahead": {monotonicZero + hour, -hour}, "an hour behind": {monotonicZero - hour, hour}, "unknown": {0, 0},
	} {
		const outcomeAt = 1e12
		state := handoverState{ClockZero: c.clockZero,
			Balancer: balancer.State{Servers: []balancer.ServerRecord{{ID: "s1", OutcomeAt: outcomeAt}}}}
		state.adjustClock(own)
		shift := state.Balancer.Servers[0].OutcomeAt - outcomeAt
		if difference := shift - c.shift; difference > 50 || difference < -50 {
			t.Errorf("predecessor's clock %s: times shifted by %v ms, want %v ms", name, shift, c.shift)
		}
	}
}
