package balancer

import (
	"testing"
)

// While a request's body is incomplete, its attempt must count neither as unanswered nor as missing, even
// if the upload takes longer than any answer. The times count from the end of the body.
func TestIncompleteBodyIsNeitherUnansweredNorMissing(t *testing.T) {
	set := Settings{Nodes: 1, LoadReports: true, CancelAllowed: true, ProbesAllowed: false, DrainGrace: 2000, MaxAttempts: 3,
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 9000, OverloadFactor: 3, OverloadWindow: 1000}, Goal: GoalWeights{Overall: 1},
		Classes: []Class{{Name: "look", LatencyObjective: 100, TotalTimeout: 400, PriorityWeight: 1}}}
	lb, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	lb.Step(0, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}}})
	var to ServerID
	for _, a := range lb.Step(1, Arrival{ID: 1, Class: "look", Deadline: 401, UploadTimeout: 20_000}) {
		if s, ok := a.(StartAttempt); ok {
			to = s.Server
		}
	}
	if to == "" {
		t.Fatal("no attempt started before the body was complete, want one")
	}
	s := lb.servers.byID[to]
	// Meanwhile a load report omits the request, and another request is answered.
	for _, now := range []float64{100, 1000, 5000} {
		lb.now = now
		lb.recordLoadReport(s, LoadReport{Valid: true, InFlight: 0})
		s.attempts.latestAnswered = now
		lb.updateScores()
		if r := lb.requests[1]; r == nil || r.attempts[0].missing || lb.unansweredTime(s) > 0 {
			t.Fatalf("after %v ms: request %+v, want it not missing; unanswered time = %v, want 0", now, r, lb.unansweredTime(s))
		}
	}
	if s.attempts.latestAnswered = 0; lb.estimateRequests(s) != 0 || s.load.others != 0 {
		t.Errorf("estimated requests = %v, requests of other nodes = %v, want 0 and 0", lb.estimateRequests(s), s.load.others)
	}
	lb.Step(6000, BodyReceived{ID: 1, Deadline: 6400})
	r := lb.requests[1]
	if r.deadline != 6400 || r.objectiveAt != 6100 || r.attempts[0].sentAt != 6000 {
		t.Errorf("after the end of the body: deadline = %v, objective = %v, sent = %v, want 6400, 6100 and 6000", r.deadline, r.objectiveAt, r.attempts[0].sentAt)
	}
	if lb.now = 6050; lb.estimateRequests(s) < 1 {
		t.Errorf("estimated requests after the end of the body = %v, want at least 1", lb.estimateRequests(s))
	}
	if lb.unansweredTime(s) != 50 {
		t.Errorf("unanswered time = %v ms, want 50", lb.unansweredTime(s))
	}
	lb.Step(6080, AttemptCompleted{ID: 1, Server: to, Outcome: OK, Elapsed: 80})
	if lb.requests[1] != nil || s.outlier.consecutiveFailures != 0 || lb.estimate.reportLag != 0 || s.attempts.latestAnswered != 6000 || s.attempts.awaitingBody != 0 {
		t.Errorf("after the answer: report lag = %v, latest answered = %v, consecutive failures = %d, want 0, 6000 and 0", lb.estimate.reportLag, s.attempts.latestAnswered, s.outlier.consecutiveFailures)
	}
}
