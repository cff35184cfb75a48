package balancer

import "testing"

// The cut refuses the marked part of a class at its arrival, at once and harmlessly, and only while it lasts.
func TestTheFleetsCut(t *testing.T) {
	b := newBed(t, settings(), server3(3)...)
	ask := func(class string, mark uint64) (in bool) {
		t.Helper()
		b.next++
		acts := b.step(Arrival{ID: b.next, Class: class, SamplingMark: mark, Deadline: b.now + 1000})
		for _, a := range acts {
			if r, is := a.(Reject); is {
				if r.Reason != FleetOverload {
					t.Errorf("refused for %v", r.Reason)
				}
				return false
			}
		}
		return true
	}
	const low, high = uint64(1) << 60, ^uint64(0) // a sixteenth, and nearly 1
	if !ask("read", high) {
		t.Error("cut without a cut")
	}
	b.step(FleetAdmission{AdmittedFraction: map[string]float64{"read": 0.5, "put": 0}})
	if !ask("read", low) || ask("read", high) || ask("put", low) || !ask("bill", high) {
		t.Error("not the marked part of the classes that are cut")
	}
	whole := func() float64 {
		b.l.retryBudget.left = 0
		b.arrive("read", 1000)
		return b.l.retryBudget.left
	}
	rate := whole()
	if b.step(FleetAdmission{RetryReduction: 0.75}); rate <= 0 || whole() < rate*0.249 || whole() > rate*0.251 {
		t.Errorf("%v of a retry for each first try, %v with three quarters held back", rate, whole())
	}
	b.step(FleetAdmission{})
	if !ask("read", high) || !ask("put", low) {
		t.Error("cut after its end")
	}
}
