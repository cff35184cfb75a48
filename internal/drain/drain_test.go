package drain

import (
	"testing"
	"time"
)

// If the process is paused between two steps of a shutdown, every response must still be written before SIGKILL.
func TestPlanAllowsPauseBetweenSteps(t *testing.T) {
	for _, timeout := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 390 * time.Millisecond, 1500 * time.Millisecond,
		3 * time.Second, time.Hour} {
		p := NewPlan(timeout)
		if p.LastAdmission+MaxPause > p.LastResponse {
			t.Errorf("timeout %v: last admission at %v and last response at %v leave no time for a pause", timeout, p.LastAdmission, p.LastResponse)
		}
		if p.LastResponse+2*MaxPause > p.Kill {
			t.Errorf("timeout %v: last response at %v and kill at %v leave no time for two pauses", timeout, p.LastResponse, p.Kill)
		}
		if p.CloseIdle > p.CloseListener || p.CloseListener > p.LastResponse || p.RejectIncomplete > p.LastAdmission {
			t.Errorf("timeout %v: steps out of order: %+v", timeout, p)
		}
		if p.Kill > MaxTimeout+KillAfter {
			t.Errorf("timeout %v: planned kill at %v is later than the earliest SIGKILL", timeout, p.Kill)
		}
	}
}

// With a longest timeout of 390 ms, a shutdown that ended at a fixed time, 50 ms before SIGKILL, cut off requests that it had
// read just before. The plan must stop admitting requests early enough for their responses.
func TestPlanWithShortTimeout(t *testing.T) {
	const ms = time.Millisecond
	want := Plan{CloseIdle: 450 * ms, CloseListener: 550 * ms, RejectIncomplete: 550 * ms, LastAdmission: 640 * ms, LastResponse: 790 * ms, Kill: 1090 * ms}
	if got := NewPlan(390 * ms); got != want {
		t.Errorf("plan = %+v, want %+v", got, want)
	}
}

func TestScheduleReachesStepAtItsTime(t *testing.T) {
	now := time.Now()
	s := NewPlan(time.Second).Start(now)
	if s.Reached(s.LastAdmission, now.Add(s.LastAdmission-1)) || !s.Reached(s.LastAdmission, s.At(s.LastAdmission)) {
		t.Error("step reached before its time or not reached at it")
	}
}
