package drain

import (
	"testing"
	"time"
)

func TestPlanLeavesAStandstillBetweenSteps(t *testing.T) {
	for _, longest := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 390 * time.Millisecond, 1500 * time.Millisecond,
		3 * time.Second, time.Hour} {
		p := NewPlan(longest)
		if p.LastForward+Standstill > p.LastAnswer {
			t.Errorf("%v: a request forwarded at %v has no standstill before %v", longest, p.LastForward, p.LastAnswer)
		}
		if p.LastAnswer+2*Standstill > p.Kill {
			t.Errorf("%v: no two standstills between the last answer at %v and the kill at %v", longest, p.LastAnswer, p.Kill)
		}
		if p.CloseIdle > p.CloseListener || p.CloseListener > p.LastAnswer || p.GiveUpHalf > p.LastForward {
			t.Errorf("%v: steps out of order: %+v", longest, p)
		}
		if p.Kill > LongestDeadline+KillAfter {
			t.Errorf("%v: the kill may come before %v", longest, p.Kill)
		}
	}
}

func TestPlanOfTheIncident(t *testing.T) {
	const ms = time.Millisecond
	want := Plan{CloseIdle: 450 * ms, CloseListener: 550 * ms, GiveUpHalf: 550 * ms, LastForward: 640 * ms, LastAnswer: 790 * ms, Kill: 1090 * ms}
	if got := NewPlan(390 * ms); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestScheduleReachesItsSteps(t *testing.T) {
	now := time.Now()
	s := NewPlan(time.Second).Start(now)
	if s.Reached(s.LastForward, now.Add(s.LastForward-1)) || !s.Reached(s.LastForward, s.At(s.LastForward)) {
		t.Error("a step is reached at its time and not before")
	}
}
