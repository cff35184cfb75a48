package balancer

import (
	"testing"
)

// FleetAdmission rejects a fraction of a class on arrival, before any server can have run the request,
// selected by the sampling mark, and reduces the retry budget. Both end with an empty FleetAdmission.
func TestFleetAdmissionRejectsBySamplingMark(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	admitted := func(class string, mark uint64) (ok bool) {
		t.Helper()
		b.lastRequestID++
		acts := b.step(Arrival{ID: b.lastRequestID, Class: class, SamplingMark: mark, Deadline: b.now + 1000})
		for _, a := range acts {
			if r, isReject := a.(Reject); isReject {
				if r.Reason != FleetOverload {
					t.Errorf("reject reason = %v, want %v", r.Reason, FleetOverload)
				}
				return false
			}
		}
		return true
	}
	const low, high = uint64(1) << 60, ^uint64(0) // as fractions: 1/16, and nearly 1
	if !admitted("read", high) {
		t.Error("request rejected without a FleetAdmission, want it admitted")
	}
	b.step(FleetAdmission{AdmittedFraction: map[string]float64{"read": 0.5, "put": 0}})
	if !admitted("read", low) || admitted("read", high) || admitted("put", low) || !admitted("bill", high) {
		t.Error("wrong requests admitted, want read only with the low mark, put never, bill always")
	}
	creditPerArrival := func() float64 {
		b.balancer.retryBudget.available = 0
		b.arrive("read", 1000)
		return b.balancer.retryBudget.available
	}
	fullCredit := creditPerArrival()
	if b.step(FleetAdmission{RetryReduction: 0.75}); fullCredit <= 0 || creditPerArrival() < fullCredit*0.249 || creditPerArrival() > fullCredit*0.251 {
		t.Errorf("retry budget per first attempt = %v, with a reduction of 0.75 = %v, want a quarter", fullCredit, creditPerArrival())
	}
	b.step(FleetAdmission{})
	if !admitted("read", high) || !admitted("put", low) {
		t.Error("request rejected after the end of the FleetAdmission, want it admitted")
	}
}

// A retry that arrives after its latency objective is rejected if late answers have no value. Under
// overload, serving it would make other requests late as well.
func TestRejectLateRetryIfLateAnswersHaveNoValue(t *testing.T) {
	for _, lateFraction := range []float64{0, 0.5} {
		set := settings()
		set.Classes[0].LateFraction = lateFraction
		b := newTestNode(t, set, testEndpoints(2)...)
		b.arrive("read", 1000) // sets the longest timeout of the class
		b.lastRequestID++
		acts := b.step(Arrival{ID: b.lastRequestID, Class: "read", IsRetry: true, Deadline: b.now + 300}) // the first attempt began 1.7 s ago
		if rejected := count[Reject](acts) == 1; rejected != (lateFraction == 0) {
			t.Errorf("LateFraction %.1f: late retry got %v, want rejected = %v", lateFraction, acts, lateFraction == 0)
		}
	}
}

// If clients don't mark retries, a retry must keep the latency objective of the rejected request instead of
// getting a new one.
func TestUnmarkedRetryKeepsObjectiveOfFirstRequest(t *testing.T) {
	set := settings()
	set.ClientsMarkRetries = false
	b := newTestNode(t, set)
	b.step(Arrival{ID: 1, Class: "read", Key: "k", Deadline: b.now + 2000}) // rejected, because there is no server
	b.now += 300
	b.balancer.Step(b.now, EndpointUpdate{Kind: FullUpdate, Endpoints: testEndpoints(1)})
	b.balancer.estimate.unitTime = 5
	b.step(Arrival{ID: 2, Class: "read", Key: "k", Deadline: b.now + 2000})
	b.step(Arrival{ID: 3, Class: "read", Key: "k", Deadline: b.now + 2000})
	if second, third := b.balancer.requests[2], b.balancer.requests[3]; second.objectiveAt != b.now+100 || third.objectiveAt != b.now+400 {
		t.Errorf("time to objective: retry %.0f ms, next request %.0f ms, want 100 and 400", second.objectiveAt-b.now, third.objectiveAt-b.now)
	}
}
