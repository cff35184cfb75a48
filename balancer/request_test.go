package balancer

import (
	"testing"
)

// TestUploadIsNeitherSilentNorMissing has a request's body come for longer than any answer takes.
func TestUploadIsNeitherSilentNorMissing(t *testing.T) {
	set := Settings{Nodes: 1, LoadReports: true, CancelAllowed: true, ProbesAllowed: false, DrainGrace: 2000, MaxAttempts: 3,
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 9000, OverloadFactor: 3, OverloadWindow: 1000}, Goal: GoalWeights{Overall: 1},
		Classes: []Class{{Name: "look", LatencyObjective: 100, TotalTimeout: 400, PriorityWeight: 1}}}
	l, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	l.Step(0, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}}})
	var to ServerID
	for _, a := range l.Step(1, Arrival{ID: 1, Class: "look", Deadline: 401, UploadTimeout: 20_000}) {
		if s, ok := a.(StartAttempt); ok {
			to = s.Server
		}
	}
	if to == "" {
		t.Fatal("not sent ahead")
	}
	s := l.servers.byID[to]
	// A report without it, and another request's answer, come meanwhile.
	for _, now := range []float64{100, 1000, 5000} {
		l.now = now
		l.recordLoadReport(s, LoadReport{Valid: true, InFlight: 0})
		s.attempts.latestAnswered = now
		l.updateScores()
		if r := l.requests[1]; r == nil || r.attempts[0].missing || l.unansweredTime(s) > 0 {
			t.Fatalf("after %v ms: request %+v, overdue %v", now, r, l.unansweredTime(s))
		}
	}
	if s.attempts.latestAnswered = 0; l.estimateRequests(s) != 0 || s.load.others != 0 {
		t.Errorf("taken to hold %v, %v of them others'", l.estimateRequests(s), s.load.others)
	}
	l.Step(6000, BodyReceived{ID: 1, Deadline: 6400})
	r := l.requests[1]
	if r.deadline != 6400 || r.objectiveAt != 6100 || r.attempts[0].sentAt != 6000 {
		t.Errorf("counted from its end: expires %v, latency objective %v, sent %v", r.deadline, r.objectiveAt, r.attempts[0].sentAt)
	}
	if l.now = 6050; l.estimateRequests(s) < 1 {
		t.Errorf("taken to hold %v once it is whole", l.estimateRequests(s))
	}
	if l.unansweredTime(s) != 50 {
		t.Errorf("silent for %v ms", l.unansweredTime(s))
	}
	l.Step(6080, AttemptCompleted{ID: 1, Server: to, Outcome: OK, Elapsed: 80})
	if l.requests[1] != nil || s.outlier.consecutiveFailures != 0 || l.estimate.reportLag != 0 || s.attempts.latestAnswered != 6000 || s.attempts.awaitingBody != 0 {
		t.Errorf("after the answer: lag %v, answered to %v, %d failures", l.estimate.reportLag, s.attempts.latestAnswered, s.outlier.consecutiveFailures)
	}
}
