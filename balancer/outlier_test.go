package balancer

import (
	"strings"
	"testing"
)

// failUntilEjected sends requests until a server that fails all its requests is ejected.
func failUntilEjected(t *testing.T, b *testNode, bad ServerID, outcome Outcome) {
	t.Helper()
	for i := 0; i < 300 && !b.balancer.servers.byID[bad].outlier.ejected; i++ {
		b.balancer.servers.byID[bad].timing.measured, b.balancer.servers.byID[bad].timing.unitTime = true, 1 // fast, so that it gets requests
		b.serve("read", 5, func(s ServerID) Outcome {
			if s == bad {
				return outcome
			}
			return OK
		})
	}
}

func TestEjectedServerGetsOneTrialAfterEjectionTime(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	failUntilEjected(t, b, "s1", Errored)
	if !b.balancer.servers.byID["s1"].outlier.ejected {
		t.Fatal("a server that always fails was not ejected")
	}
	for i := 0; i < 100; i++ {
		if s := b.serve("read", 5, allOK); s == "s1" {
			t.Fatal("an ejected server got a request before the ejection time had passed")
		}
	}
	b.advance(ejectionTime + 1000)
	var trial RequestID
	for i := 0; i < 200 && trial == 0; i++ {
		if id, acts := b.arrive("read", 2000); sentTo(acts) == "s1" {
			trial = id
		} else {
			b.now += 5
			b.completeAttempt(id, 0, sentTo(acts), OK, 5)
		}
	}
	if trial == 0 {
		t.Fatal("an ejected server got no trial after the ejection time")
	}
	for i := 0; i < 50; i++ {
		if s := b.serve("read", 1, allOK); s == "s1" {
			t.Fatal("an ejected server got a second request during its trial")
		}
	}
	b.completeAttempt(trial, 0, "s1", OK, 30)
	if b.balancer.servers.byID["s1"].outlier.ejected {
		t.Error("a successful trial did not readmit the server")
	}
}

// Guards against readmitting a failing server on the response to an attempt sent before its ejection.
func TestResponseToAttemptBeforeEjectionDoesNotReadmit(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	var sentBefore RequestID
	for i := 0; i < 300 && sentBefore == 0; i++ {
		if id, acts := b.arrive("read", 5000); sentTo(acts) == "s1" {
			sentBefore = id
		} else {
			b.now += 5
			b.completeAttempt(id, 0, sentTo(acts), OK, 5)
			b.balancer.scoredAt = 0
		}
	}
	if sentBefore == 0 {
		t.Fatal("s1 got no request")
	}
	s := b.balancer.servers.byID["s1"]
	s.outlier.ejected, s.outlier.trialAt = true, b.now+ejectionTime
	b.now += 50
	b.completeAttempt(sentBefore, 0, "s1", OK, 50)
	if !s.outlier.ejected {
		t.Error("the response to an attempt sent before the ejection readmitted the server")
	}
}

func TestOverloadRejectionsDoNotEjectServer(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	failUntilEjected(t, b, "s1", Overloaded)
	s := b.balancer.servers.byID["s1"]
	if s.outlier.ejected {
		t.Error("a server was ejected for rejecting requests as overloaded")
	}
	b.balancer.updateScores()
	if s.score >= b.balancer.servers.byID["s0"].score {
		t.Errorf("score of the overloaded server = %.2f, want less than %.2f of another", s.score, b.balancer.servers.byID["s0"].score)
	}
}

// Guards against ejecting the whole fleet for a failure whose cause all servers share.
func TestFleetWideFailureDoesNotEjectFleet(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(6)...)
	for i := 0; i < 200; i++ {
		b.serve("read", 5, func(ServerID) Outcome { return Errored })
		b.now += 50
	}
	ejectedCount := 0
	for _, s := range b.balancer.servers.ready {
		if s.outlier.ejected {
			ejectedCount++
		}
	}
	if ejectedCount > 3 {
		t.Errorf("ejected servers = %d of 6 that all fail, want at most 3", ejectedCount)
	}
}

func TestAllServersAreCandidatesWhenAllAreEjected(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	for _, s := range b.balancer.servers.ready {
		s.outlier.ejected, s.outlier.trialAt = true, b.now+ejectionTime
	}
	if _, acts := b.arrive("read", 2000); sentTo(acts) == "" {
		t.Error("no request was sent although all servers are ejected")
	}
}

// Guards against losing requests to an unresponsive server: a server that answers no probes must be
// ejected before it gets requests.
func TestUnansweredProbesEjectServer(t *testing.T) {
	set := settings()
	set.ProbesAllowed, set.LoadReports = true, true
	b := newTestNode(t, set, testEndpoints(3)...)
	for _, s := range b.balancer.servers.ready[1:] {
		s.outcomes.record(b.now, true)
	}
	for i := 0; i < ejectionConsecutiveFailures; i++ {
		b.now += 50
		b.step(LoadProbeCompleted{Server: "s0", Outcome: Overloaded})
	}
	if b.balancer.servers.byID["s0"].outlier.ejected {
		t.Fatal("a server was ejected for rejecting probes")
	}
	for i := 0; i < ejectionConsecutiveFailures; i++ {
		b.now += 50
		b.step(LoadProbeCompleted{Server: "s0", Outcome: TimedOut, Elapsed: 50})
	}
	if !b.balancer.servers.byID["s0"].outlier.ejected {
		t.Error("a server that answers no probes was not ejected")
	}
}

// Guards against treating the loss of half the fleet, such as one data hall, as a shared cause: all lost
// servers must be ejected while the others are healthy.
func TestUnreachableHalfOfFleetIsEjected(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(6)...)
	for i := 0; i < 60; i++ {
		b.serve("read", 20, allOK)
	}
	outcomeAt := func(s ServerID) Outcome {
		if s == "s3" || s == "s4" || s == "s5" {
			return Unreachable
		}
		return OK
	}
	served, sentToUnreachable := 0, 0
	for i := 0; i < 400; i++ {
		if s := b.serve("read", 20, outcomeAt); outcomeAt(s) == OK && s != "" {
			served++
		} else if i > 200 {
			sentToUnreachable++
		}
	}
	if sentToUnreachable > 10 {
		t.Errorf("first attempts at unreachable servers = %d of the last 200, want at most 10", sentToUnreachable)
	}
	if served < 300 {
		t.Errorf("successful first attempts = %d of 400, want at least 300", served)
	}
}

// While the whole fleet is slow, one server fails all its requests fast. The failing server must not
// count as the fastest, and the slow ones must not be ejected.
func TestFastFailingServerIsAvoidedInSlowFleet(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(5)...)
	for i := 0; i < 60; i++ {
		b.serve("read", 20, allOK)
	}
	sentToFailing := 0
	for i := 0; i < 300; i++ {
		id, acts := b.arrive("read", 2000)
		s := sentTo(acts)
		switch {
		case s == "":
			continue
		case s == "s2":
			sentToFailing++
			b.now += 2
			for n, next := 0, s; next != ""; n++ {
				outcome := OK
				if next == "s2" {
					outcome = Errored
				}
				next = sentTo(b.completeAttempt(id, n, next, outcome, 2))
			}
		default:
			b.now += 70
			b.completeAttempt(id, 0, s, OK, 70)
		}
		b.balancer.scoredAt = 0
	}
	if sentToFailing > 30 {
		t.Errorf("requests sent to the failing server = %d of 300, want at most 30", sentToFailing)
	}
	for _, s := range b.balancer.servers.ready {
		if s.outlier.ejected && s.ID != "s2" {
			t.Errorf("%s was ejected although the whole fleet is slow", s.ID)
		}
	}
}

// Guards against ejecting one server after another when each fails a third of its requests.
func TestServersWithEqualFailureRatesAreNotEjected(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(6)...)
	for _, s := range b.balancer.servers.ready {
		for i := range recentOutcomeCount {
			s.outcomes.record(b.now, i%3 != 0)
		}
	}
	for _, s := range b.balancer.servers.ready {
		for range ejectionConsecutiveFailures {
			b.balancer.updateEjection(s, ConnectionLost, b.now)
		}
	}
	for _, s := range b.balancer.servers.ready {
		if s.outlier.ejected {
			t.Errorf("%s was ejected with a recent failure rate of %v, which all servers have", s.ID, 1-s.recentSuccessRate())
		}
	}
	for _, s := range b.balancer.servers.ready[1:] {
		for range recentOutcomeCount {
			s.outcomes.record(b.now, true)
		}
	}
	b.balancer.updateEjection(b.balancer.servers.ready[0], ConnectionLost, b.now)
	if !b.balancer.servers.ready[0].outlier.ejected {
		t.Error("the only failing server was not ejected")
	}
}

// A server that fails a tenth of its attempts sometimes fails several in a row by chance. Such a streak
// must not eject it. A longer streak must, and a short one must eject a server that had not failed before.
func TestShortFailureStreakDoesNotEjectFlakyServer(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	for _, s := range b.balancer.servers.ready {
		for i := range 200 {
			s.outcomes.record(b.now, s.ID != "s0" || i%10 != 0)
		}
	}
	ejectedAfterFailures := func(s *server, n int) bool {
		for range n {
			s.outcomes.record(b.now, false)
			b.balancer.updateEjection(s, ConnectionLost, b.now)
		}
		return s.outlier.ejected
	}
	flaky, clean := b.balancer.servers.byID["s0"], b.balancer.servers.byID["s1"]
	if ejectedAfterFailures(flaky, ejectionConsecutiveFailures) {
		t.Error("a server with a failure rate of 0.1 was ejected after three consecutive failures")
	}
	if !ejectedAfterFailures(flaky, 5) {
		t.Error("a server with a failure rate of 0.1 was not ejected after eight consecutive failures")
	}
	if !ejectedAfterFailures(clean, ejectionConsecutiveFailures) {
		t.Error("a server that had never failed was not ejected after three consecutive failures")
	}
}

// If no class is idempotent, requests of the class with the safest retries must be used as trials.
// Otherwise an ejected server would never be readmitted.
func TestTrialUsesClassWithSafestRetries(t *testing.T) {
	set := settings()
	set.Classes = set.Classes[1:]
	b := newTestNode(t, set, testEndpoints(4)...)
	s := b.balancer.servers.byID["s0"]
	s.outlier.ejected, s.outlier.trialAt = true, b.now
	for i := 0; i < 40; i++ {
		b.serve("bill", 10, allOK)
	}
	if !s.outlier.ejected {
		t.Fatal("a non-idempotent request was the trial although a class with an idempotency key exists")
	}
	for i := 0; i < 40 && s.outlier.ejected; i++ {
		b.serve("put", 10, allOK)
	}
	if s.outlier.ejected {
		t.Error("no trial within 40 requests of the class with an idempotency key")
	}
}

// Each episode in which a shared cause prevents ejections must be logged exactly once: not once for each
// failure, and also if an earlier episode was logged hours before.
func TestEachSharedCauseIsLoggedOnce(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	failAll := func() {
		for range 60 {
			b.serve("read", 5, func(ServerID) Outcome { return Errored })
			b.now += 50
		}
	}
	lines := func() int {
		n := 0
		for _, a := range b.actions {
			if l, ok := a.(Log); ok && strings.Contains(l.Text, "too few other servers are healthy") {
				n++
			}
		}
		return n
	}
	for episode := 1; episode <= 3; episode++ {
		failAll()
		if n := lines(); n != episode {
			t.Fatalf("log lines after shared cause %d = %d, want %d", episode, n, episode)
		}
		for range 200 { // all servers recover; none was ejected, so none is readmitted
			b.serve("read", 5, allOK)
			b.now += 100
		}
	}
}
