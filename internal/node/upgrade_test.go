package node

import (
	"testing"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
)

// A predecessor whose clock is an hour ahead hands over its records: their times are moved to this process's clock. One of an earlier version
// does not tell its clock, and its times stay.
func TestTimesOfThePredecessorAreMovedToThisClock(t *testing.T) {
	const hour = 3600e3
	own := clock.New()
	zero, err := own.MonotonicZero()
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ clockZero, moved float64 }{
		"an hour ahead": {zero + hour, -hour}, "an hour behind": {zero - hour, hour}, "not told": {0, 0},
	} {
		const outcomeAt = 1e12
		state := transferredNode{ClockZero: c.clockZero, Balancer: balancer.State{Servers: []balancer.ServerRecord{{ID: "s1", OutcomeAt: outcomeAt}}}}
		state.adjustClock(own)
		moved := state.Balancer.Servers[0].OutcomeAt - outcomeAt
		if off := moved - c.moved; off > 50 || off < -50 {
			t.Errorf("%s: moved by %v ms, want %v", name, moved, c.moved)
		}
	}
}
