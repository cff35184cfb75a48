package balancer

import (
	"strings"
	"testing"
)

// failing makes one server fail until it is ejected.
func failing(t *testing.T, b *testNode, bad ServerID, res Outcome) {
	t.Helper()
	for i := 0; i < 300 && !b.balancer.servers.byID[bad].outlier.ejected; i++ {
		b.balancer.servers.byID[bad].timing.measured, b.balancer.servers.byID[bad].timing.unitTime = true, 1 // as fast as any by its record, so that it is drawn
		b.serve("read", 5, func(s ServerID) Outcome {
			if s == bad {
				return res
			}
			return OK
		})
	}
}

func TestEjectedServerGetsOneTrialAfterEjectionTime(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	failing(t, b, "s1", Errored)
	if !b.balancer.servers.byID["s1"].outlier.ejected {
		t.Fatal("a server that always fails is not ejected")
	}
	for i := 0; i < 100; i++ {
		if s := b.serve("read", 5, allOK); s == "s1" {
			t.Fatal("an ejected server was drawn before its ejectionTime ended")
		}
	}
	b.pass(ejectionTime + 1000)
	var trial RequestID
	for i := 0; i < 200 && trial == 0; i++ {
		if id, acts := b.arrive("read", 2000); sentTo(acts) == "s1" {
			trial = id
		} else {
			b.now += 5
			b.end(id, 0, sentTo(acts), OK, 5)
		}
	}
	if trial == 0 {
		t.Fatal("no trial after the ejectionTime")
	}
	for i := 0; i < 50; i++ {
		if s := b.serve("read", 1, allOK); s == "s1" {
			t.Fatal("a second request during the trial")
		}
	}
	b.end(trial, 0, "s1", OK, 30)
	if b.balancer.servers.byID["s1"].outlier.ejected {
		t.Error("a good trial does not readmit")
	}
}

// Guards against readmitting a failing server on an answer to something sent before its ejection.
func TestResponseToAttemptBeforeEjectionDoesNotReadmit(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	var old RequestID
	for i := 0; i < 300 && old == 0; i++ {
		if id, acts := b.arrive("read", 5000); sentTo(acts) == "s1" {
			old = id
		} else {
			b.now += 5
			b.end(id, 0, sentTo(acts), OK, 5)
			b.balancer.scoredAt = 0
		}
	}
	if old == 0 {
		t.Fatal("never drawn")
	}
	s := b.balancer.servers.byID["s1"]
	s.outlier.ejected, s.outlier.trialAt = true, b.now+ejectionTime
	b.now += 50
	b.end(old, 0, "s1", OK, 50)
	if !s.outlier.ejected {
		t.Error("an answer from before the ejection readmitted the server")
	}
}

func TestOverloadRejectionsDoNotEjectServer(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	failing(t, b, "s1", Overloaded)
	s := b.balancer.servers.byID["s1"]
	if s.outlier.ejected {
		t.Error("a full server was ejected")
	}
	b.balancer.updateScores()
	if s.score >= b.balancer.servers.byID["s0"].score {
		t.Errorf("rejections do not lower the score: %.2f against %.2f", s.score, b.balancer.servers.byID["s0"].score)
	}
}

// Guards against ejecting the whole fleet for a cause that all servers share.
func TestFleetWideFailureDoesNotEjectFleet(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(6)...)
	for i := 0; i < 200; i++ {
		b.serve("read", 5, func(ServerID) Outcome { return Errored })
		b.now += 50
	}
	out := 0
	for _, s := range b.balancer.servers.ready {
		if s.outlier.ejected {
			out++
		}
	}
	if out > 3 {
		t.Errorf("%d of 6 ejected though all fail alike", out)
	}
}

func TestAllServersAreCandidatesWhenAllAreEjected(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	for _, s := range b.balancer.servers.ready {
		s.outlier.ejected, s.outlier.trialAt = true, b.now+ejectionTime
	}
	if _, acts := b.arrive("read", 2000); sentTo(acts) == "" {
		t.Error("nothing was sent though all are ejected")
	}
}

// Guards against an unresponsive server: a server that answers no probe is ejected without losing requests
// to it.
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
		t.Fatal("ejected for rejecting probes")
	}
	for i := 0; i < ejectionConsecutiveFailures; i++ {
		b.now += 50
		b.step(LoadProbeCompleted{Server: "s0", Outcome: TimedOut, Elapsed: 50})
	}
	if !b.balancer.servers.byID["s0"].outlier.ejected {
		t.Error("a server that answers no probe is not ejected")
	}
}

// A group bad together: a lost hall is half the fleet, and all of it must be ejected while the rest
// is well.
func TestUnreachableHalfOfFleetIsEjected(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(6)...)
	for i := 0; i < 60; i++ {
		b.serve("read", 20, allOK)
	}
	lost := func(s ServerID) Outcome {
		if s == "s3" || s == "s4" || s == "s5" {
			return Unreachable
		}
		return OK
	}
	served, toLost := 0, 0
	for i := 0; i < 400; i++ {
		if s := b.serve("read", 20, lost); lost(s) == OK && s != "" {
			served++
		} else if i > 200 {
			toLost++
		}
	}
	if toLost > 10 {
		t.Errorf("%d of the last 200 first sends still went to the lost hall", toLost)
	}
	if served < 300 {
		t.Errorf("%d of 400 first sends served by the rest", served)
	}
}

// Two at once: the fleet slows down while one server fails fast. The one must not pass for the
// fastest, and the slow ones must not be ejected.
func TestFastFailingServerIsAvoidedInSlowFleet(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(5)...)
	for i := 0; i < 60; i++ {
		b.serve("read", 20, allOK)
	}
	bad := 0
	for i := 0; i < 300; i++ {
		id, acts := b.arrive("read", 2000)
		s := sentTo(acts)
		switch {
		case s == "":
			continue
		case s == "s2":
			bad++
			b.now += 2
			for n, next := 0, s; next != ""; n++ {
				res := OK
				if next == "s2" {
					res = Errored
				}
				next = sentTo(b.end(id, n, next, res, 2))
			}
		default:
			b.now += 70
			b.end(id, 0, s, OK, 70)
		}
		b.balancer.scoredAt = 0
	}
	if bad > 30 {
		t.Errorf("%d of 300 went to the server that fails fast", bad)
	}
	for _, s := range b.balancer.servers.ready {
		if s.outlier.ejected && s.ID != "s2" {
			t.Errorf("%s was ejected for being slow with the rest", s.ID)
		}
	}
}

// Guards against ejecting one server after the other where all lose a third of what they get.
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
			t.Errorf("%s is ejected and fails %v, as the others do", s.ID, 1-s.recentSuccessRate())
		}
	}
	for _, s := range b.balancer.servers.ready[1:] {
		for range recentOutcomeCount {
			s.outcomes.record(b.now, true)
		}
	}
	b.balancer.updateEjection(b.balancer.servers.ready[0], ConnectionLost, b.now)
	if !b.balancer.servers.ready[0].outlier.ejected {
		t.Error("the only one that fails is kept")
	}
}

// Guards against ejecting servers for rows that chance makes where a tenth of all attempts break,
// and against sparing one that has really gone.
func TestShortFailureStreakDoesNotEjectFlakyServer(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
	for _, s := range b.balancer.servers.ready {
		for i := range 200 {
			s.outcomes.record(b.now, s.ID != "s0" || i%10 != 0)
		}
	}
	row := func(s *server, n int) bool {
		for range n {
			s.outcomes.record(b.now, false)
			b.balancer.updateEjection(s, ConnectionLost, b.now)
		}
		return s.outlier.ejected
	}
	flaky, clean := b.balancer.servers.byID["s0"], b.balancer.servers.byID["s1"]
	if row(flaky, ejectionConsecutiveFailures) {
		t.Error("a row of three ejects a server of which a tenth fails anyway")
	}
	if !row(flaky, 5) {
		t.Error("a row of eight does not")
	}
	if !row(clean, ejectionConsecutiveFailures) {
		t.Error("a row of three does not exclude a server that never failed")
	}
}

// Guards against losing an ejected server for good where no class is safe to repeat.
func TestTrialUsesMostRepeatableClass(t *testing.T) {
	set := settings()
	set.Classes = set.Classes[1:]
	b := newTestNode(t, set, testEndpoints(4)...)
	s := b.balancer.servers.byID["s0"]
	s.outlier.ejected, s.outlier.trialAt = true, b.now
	for i := 0; i < 40; i++ {
		b.serve("bill", 10, allOK)
	}
	if !s.outlier.ejected {
		t.Fatal("an unsafe request carried the trial though a keyed class is there")
	}
	for i := 0; i < 40 && s.outlier.ejected; i++ {
		b.serve("put", 10, allOK)
	}
	if s.outlier.ejected {
		t.Error("no trial in 40 keyed requests")
	}
}

// Guards against a second shared cause, hours after the first, of which the log says nothing; and against a line for each failure of one.
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
	for time := 1; time <= 3; time++ {
		failAll()
		if n := lines(); n != time {
			t.Fatalf("%d lines after shared cause number %d", n, time)
		}
		for range 200 { // all recover; none was ejected, so none is readmitted
			b.serve("read", 5, allOK)
			b.now += 100
		}
	}
}
