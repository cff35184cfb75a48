package balancer

import (
	"testing"
)

// Load shedding rejects the marked part of a class at its arrival, at once and harmlessly, and only while
// it lasts.
func TestFleetAdmission(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	ask := func(class string, mark uint64) (in bool) {
		t.Helper()
		b.next++
		acts := b.step(Arrival{ID: b.next, Class: class, SamplingMark: mark, Deadline: b.now + 1000})
		for _, a := range acts {
			if r, is := a.(Reject); is {
				if r.Reason != FleetOverload {
					t.Errorf("rejected for %v", r.Reason)
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
		b.balancer.retryBudget.left = 0
		b.arrive("read", 1000)
		return b.balancer.retryBudget.left
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

// Guards against working on what is worth nothing any more: under overload it makes the rest late
// as well.
func TestLateRetryIsRejectedAtOnce(t *testing.T) {
	for _, share := range []float64{0, 0.5} {
		set := settings()
		set.Classes[0].LateFraction = share
		b := newTestNode(t, set, testEndpoints(2)...)
		b.arrive("read", 1000) // the longest try
		b.next++
		acts := b.step(Arrival{ID: b.next, Class: "read", IsRetry: true, Deadline: b.now + 300}) // began 1.7 s ago
		if refused := count[Reject](acts) == 1; refused != (share == 0) {
			t.Errorf("late answers worth %.1f: a retry past its latency objective got %v", share, acts)
		}
	}
}

// Guards against taking an unmarked retry for a fresh request with its whole latency objective ahead.
func TestUnmarkedRetryKeepsItsObjective(t *testing.T) {
	set := settings()
	set.ClientsMarkRetries = false
	b := newTestNode(t, set)
	b.step(Arrival{ID: 1, Class: "read", Key: "k", Deadline: b.now + 2000}) // no server: rejected
	b.now += 300
	b.balancer.Step(b.now, EndpointUpdate{Kind: FullUpdate, Endpoints: testEndpoints(1)})
	b.balancer.estimate.unitTime = 5
	b.step(Arrival{ID: 2, Class: "read", Key: "k", Deadline: b.now + 2000})
	b.step(Arrival{ID: 3, Class: "read", Key: "k", Deadline: b.now + 2000})
	if second, third := b.balancer.requests[2], b.balancer.requests[3]; second.objectiveAt != b.now+100 || third.objectiveAt != b.now+400 {
		t.Errorf("%.0f ms left for the retry, %.0f for the next", second.objectiveAt-b.now, third.objectiveAt-b.now)
	}
}
