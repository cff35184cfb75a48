package balancer

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
)

func TestSettingsThatCannotBe(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"nodes":        func(s *Settings) { s.Nodes = 0 },
		"classes":      func(s *Settings) { s.Classes = nil },
		"attempts":     func(s *Settings) { s.MaxAttempts = 0 },
		"cold":         func(s *Settings) { s.SlowStart.InitialCapacity = 1.5 },
		"cold server":  func(s *Settings) { s.SlowStart.OverloadFactor = 0 },
		"drain":        func(s *Settings) { s.DrainGrace = -1 },
		"aim":          func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"needs a wind": func(s *Settings) { s.Classes[1].DedupWindow = 0 },
	} {
		set := settings()
		spoil(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v does not name the setting", name, err)
		}
	}
}

func TestScoreFollowsLatencyErrorsAndRecent(t *testing.T) {
	b := newBed(t, settings(), server3(2)...)
	for i := 0; i < 60; i++ {
		id, acts := b.arrive("read", 2000)
		s := sentTo(acts)
		took := 20.0
		if s == "s1" {
			took = 40
		}
		b.now += took
		b.end(id, 0, s, OK, took)
		b.l.scoredAt = 0
	}
	b.l.scoredAt = 0
	s0, s1 := b.l.servers.byID["s0"], b.l.servers.byID["s1"]
	if math.Abs(s0.score-1) > 0.01 {
		t.Errorf("the fastest server without errors scores %.3f, want 1", s0.score)
	}
	// Half the latency term is missing: (0.4*0.5+0.3+0.1)/0.8.
	if s1.outcomes.recentLen > 0 && math.Abs(s1.score-0.75) > 0.12 {
		t.Errorf("a server of twice the latency scores %.3f, want about 0.75", s1.score)
	}
}

func TestDrawIsInProportionToScore(t *testing.T) {
	b := newBed(t, settings(), server3(2)...)
	b.l.servers.ready[0].score, b.l.servers.ready[1].score = 0.9, 0.3
	got := 0
	for i := 0; i < 4000; i++ {
		if b.l.drawByScore(b.l.servers.ready) == b.l.servers.ready[0] {
			got++
		}
	}
	if got < 2900 || got > 3100 {
		t.Errorf("drawn %d of 4000 times, want about 3000", got)
	}
}

func TestRedrawLeavesCrowdedServers(t *testing.T) {
	b := newBed(t, settings(), server3(2)...)
	seen := map[ServerID]int{}
	for i := 0; i < 2; i++ {
		_, acts := b.arrive("read", 2000)
		seen[sentTo(acts)]++
	}
	if seen["s0"] != 1 || seen["s1"] != 1 {
		t.Errorf("two requests at once went to %v, want one each", seen)
	}
}

func TestNewServerStartsAtTheOthersMean(t *testing.T) {
	b := newBed(t, settings(), server3(2)...)
	b.l.servers.ready[0].score, b.l.servers.ready[1].score = 0.4, 0.8
	b.l.servers.ready[0].outcomes.recentLen, b.l.servers.ready[1].outcomes.recentLen = 0, 0
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "new", Capacity: 1}}})
	if got := b.l.servers.byID["new"].score; math.Abs(got-0.6) > 1e-9 {
		t.Errorf("new server scores %.2f, want 0.6", got)
	}
}

// failing makes one server fail until it is excluded.
func failing(t *testing.T, b *testNode, bad ServerID, res Outcome) {
	t.Helper()
	for i := 0; i < 300 && !b.l.servers.byID[bad].outlier.ejected; i++ {
		b.l.servers.byID[bad].timing.measured, b.l.servers.byID[bad].timing.unitTime = true, 1 // as fast as any by its record, so that it is drawn
		b.serve("read", 5, func(s ServerID) Outcome {
			if s == bad {
				return res
			}
			return OK
		})
	}
}

func TestExclusionCooldownAndOneTrial(t *testing.T) {
	b := newBed(t, settings(), server3(4)...)
	failing(t, b, "s1", Errored)
	if !b.l.servers.byID["s1"].outlier.ejected {
		t.Fatal("a server that always fails is not excluded")
	}
	for i := 0; i < 100; i++ {
		if s := b.serve("read", 5, allOK); s == "s1" {
			t.Fatal("an excluded server was drawn before its ejectionTime ended")
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
	if b.l.servers.byID["s1"].outlier.ejected {
		t.Error("a good trial does not readmit")
	}
}

// Guards against readmitting a failing server on an answer to something sent before its exclusion.
func TestLateAnswerIsNoTrial(t *testing.T) {
	b := newBed(t, settings(), server3(3)...)
	var old RequestID
	for i := 0; i < 300 && old == 0; i++ {
		if id, acts := b.arrive("read", 5000); sentTo(acts) == "s1" {
			old = id
		} else {
			b.now += 5
			b.end(id, 0, sentTo(acts), OK, 5)
			b.l.scoredAt = 0
		}
	}
	if old == 0 {
		t.Fatal("never drawn")
	}
	s := b.l.servers.byID["s1"]
	s.outlier.ejected, s.outlier.trialAt = true, b.now+ejectionTime
	b.now += 50
	b.end(old, 0, "s1", OK, 50)
	if !s.outlier.ejected {
		t.Error("an answer from before the exclusion readmitted the server")
	}
}

func TestRefusalsNeverExclude(t *testing.T) {
	b := newBed(t, settings(), server3(4)...)
	failing(t, b, "s1", Overloaded)
	s := b.l.servers.byID["s1"]
	if s.outlier.ejected {
		t.Error("a full server was excluded")
	}
	b.l.updateScores()
	if s.score >= b.l.servers.byID["s0"].score {
		t.Errorf("refusals do not lower the score: %.2f against %.2f", s.score, b.l.servers.byID["s0"].score)
	}
}

// Guards against ejecting the whole fleet for a cause that all servers share.
func TestSharedFailureExcludesNone(t *testing.T) {
	b := newBed(t, settings(), server3(6)...)
	for i := 0; i < 200; i++ {
		b.serve("read", 5, func(ServerID) Outcome { return Errored })
		b.now += 50
	}
	out := 0
	for _, s := range b.l.servers.ready {
		if s.outlier.ejected {
			out++
		}
	}
	if out > 3 {
		t.Errorf("%d of 6 excluded though all fail alike", out)
	}
}

func TestAllExcludedMeansAllEligible(t *testing.T) {
	b := newBed(t, settings(), server3(3)...)
	for _, s := range b.l.servers.ready {
		s.outlier.ejected, s.outlier.trialAt = true, b.now+ejectionTime
	}
	if _, acts := b.arrive("read", 2000); sentTo(acts) == "" {
		t.Error("nothing was sent though all are excluded")
	}
}

func TestUnsafeIsNeverSentTwice(t *testing.T) {
	for res, again := range map[Outcome]bool{Errored: false, TimedOut: false, ConnectionLost: false, Overloaded: true, Unreachable: true} {
		b := newBed(t, settings(), server3(3)...)
		id, acts := b.arrive("bill", 2000)
		b.now += 10
		acts = b.end(id, 0, sentTo(acts), res, 10)
		if got := sentTo(acts) != ""; got != again {
			t.Errorf("result %d: sent again %v, want %v", res, got, again)
		}
		if !again && count[Fail](acts) != 1 {
			t.Errorf("result %d: answer %v, want one Fail", res, acts)
		}
	}
}

func TestKeyedStaysInItsCellAndWindow(t *testing.T) {
	b := newBed(t, settings(), server3(6)...)
	for i := 0; i < 40; i++ {
		b.l.retryBudget.left = retryBurst
		id, acts := b.arrive("put", 2000)
		first := sentTo(acts)
		b.now++
		acts = b.end(id, 0, first, Errored, 1)
		second := sentTo(acts)
		if second != "" && b.l.servers.byID[second].Cell != b.l.servers.byID[first].Cell {
			t.Fatalf("repeated in cell %d after cell %d", b.l.servers.byID[second].Cell, b.l.servers.byID[first].Cell)
		}
		if second == "" && count[Reject](acts) > 0 {
			t.Fatal("refused though an attempt may have run")
		}
		if second != "" {
			b.end(id, 1, second, OK, 1)
		}
	}
	id, acts := b.arrive("put", 5000)
	b.now += 1100 // past the window, and past the aim
	if acts = b.end(id, 0, sentTo(acts), Errored, 1100); sentTo(acts) != "" || count[Fail](acts) != 1 {
		t.Errorf("after the window: %v, want Fail", acts)
	}
}

func TestNothingGoesToADrainingServer(t *testing.T) {
	for _, form := range []UpdateKind{DeltaUpdate, FullUpdate} {
		b := newBed(t, settings(), server3(3)...)
		entries := []Endpoint{{ID: "s1", State: Draining, Capacity: 1}}
		if form == FullUpdate { // absent from a full list means gone
			entries = []Endpoint{server3(3)[0], server3(3)[2]}
		}
		b.step(EndpointUpdate{Kind: form, Endpoints: entries})
		for i := 0; i < 100; i++ {
			if b.serve("read", 5, allOK) == "s1" {
				t.Fatalf("form %d: sent to a server that is draining or gone", form)
			}
		}
	}
}

func TestColdServerKeepsItsBudget(t *testing.T) {
	set := settings()
	set.Nodes = 2
	set.Classes = set.Classes[:1]
	b := newBed(t, set, server3(1)...)
	for i := 0; i < 30; i++ {
		b.serve("read", 40, allOK)
	}
	unit := b.l.estimate.unitTime
	b.l.servers.ready[0].State = Removed
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{
		{ID: "s0", State: Removed}, {ID: "cold", Capacity: 1, Started: b.now}}})
	sent, start := 0, b.now
	for b.now < start+set.SlowStart.OverloadWindow {
		if id, acts := b.arrive("read", 2000); sentTo(acts) == "cold" {
			sent++
			b.end(id, 0, "cold", Overloaded, 0) // refused work counts too
		}
		b.now += 5
	}
	budget := set.SlowStart.OverloadFactor * (set.SlowStart.InitialCapacity + 0.2*(1-set.SlowStart.InitialCapacity)) * set.SlowStart.OverloadWindow / unit / float64(set.Nodes)
	if sent == 0 || float64(sent) > budget {
		t.Errorf("sent %d to a cold server, want 1 to %.1f", sent, budget)
	}
}

func TestRestartBeginsFresh(t *testing.T) {
	b := newBed(t, settings(), server3(3)...)
	failing(t, b, "s1", Errored)
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "s1", Capacity: 1, Started: b.now}}})
	s := b.l.servers.byID["s1"]
	if s.outlier.ejected || s.outcomes.recentLen != 0 || b.l.minimumCapacity(s) > 0.3 {
		t.Errorf("restarted server kept its past: excluded %v, outcomes %d, ramp %.2f", s.outlier.ejected, s.outcomes.recentLen, b.l.minimumCapacity(s))
	}
	if len(b.l.servers.ready) != 3 {
		t.Errorf("%d servers listed, want 3", len(b.l.servers.ready))
	}
}

func TestSubscriptionIsAskedForAgain(t *testing.T) {
	set := settings()
	set.WatchEndpoints = true
	b := newBed(t, set, server3(2)...)
	if b.step(TimerFired{"ask"}); count[WatchEndpoints](b.acts) != 1 {
		t.Fatal("no subscription at the start")
	}
	for i := 0; i < 6; i++ {
		var at Millis
		for _, a := range b.step(EndpointUpdate{Kind: UpdateFailed}) {
			if timer, ok := a.(SetTimer); ok && timer.Token == "ask" {
				at = timer.At
			}
		}
		if at <= b.now || at-b.now > set.WatchDeadline {
			t.Fatalf("asks again in %.0f ms", at-b.now)
		}
		b.now = at
		if count[WatchEndpoints](b.step(TimerFired{"ask"})) != 1 {
			t.Fatal("a failed call is not repeated")
		}
	}
	if len(b.l.servers.ready) != 2 {
		t.Error("a failed call lost the list")
	}
	b.step(EndpointUpdate{Kind: DeltaUpdate})
	b.now += 60000
	if count[WatchEndpoints](b.step(TimerFired{"ask"})) != 0 {
		t.Error("asks again while subscribed")
	}
}

// Guards against counting a class's own fault against the server: the others' capacity would go unused.
func TestClassFaultIsNotTheServers(t *testing.T) {
	b := newBed(t, settings(), server3(3)...)
	for i := 0; i < 40; i++ {
		b.serve("read", 20, allOK)
	}
	s := b.l.servers.byID["s1"]
	unit := s.timing.unitTime
	r := &request{class: b.l.classes["bill"], work: 1}
	for i := 0; i < 6; i++ {
		b.now += 2000
		a := &attempt{server: s, sentAt: b.now - 2000, serviceRounds: 1, expected: 20}
		b.l.recordAttemptOutcome(s, r, a, TimedOut, 2000)
		b.serve("read", 20, allOK)
	}
	if s.outlier.ejected {
		t.Error("a server that serves other classes was excluded for one class")
	}
	if b.l.classFailureShare(s, r.class) < faultyClassShare || b.l.classFailureShare(s, b.l.classes["read"]) > 0.1 {
		t.Error("the class's failures were not kept apart")
	}
	if s.timing.unitTime > 20*unit {
		t.Errorf("unit time went from %.0f to %.0f", unit, s.timing.unitTime)
	}
	for i := 0; i < 30; i++ {
		id, acts := b.arrive("bill", 2000)
		if sentTo(acts) == "s1" {
			t.Fatal("the class still goes where it fails")
		}
		b.end(id, 0, sentTo(acts), OK, 20)
	}
}

// Silence counts before the outcome arrives: a hung server must not go on being drawn.
func TestSilentServerIsLeft(t *testing.T) {
	b := newBed(t, settings(), server3(3)...)
	for i := 0; i < 60; i++ {
		b.serve("read", 20, allOK)
	}
	hung := 0
	for i := 0; i < 60; i++ {
		id, acts := b.arrive("read", 5000)
		if s := sentTo(acts); s == "s1" {
			hung++
		} else if s != "" {
			b.now += 20
			b.end(id, 0, s, OK, 20)
		}
		b.step(TimerFired{"sweep"})
	}
	if hung > 5 {
		t.Errorf("%d of 60 requests went to a silent server", hung)
	}
}

func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	b := newBed(t, settings()) // no servers at all
	if _, acts := b.arrive("read", 2000); count[Reject](acts) != 1 {
		t.Errorf("without servers: %v, want a refusal at once", acts)
	}
	b = newBed(t, settings(), server3(1)...)
	for i := 0; i < 200; i++ {
		b.arrive("read", 2000)
	}
	if n := count[Reject](b.acts); n < 150 {
		t.Errorf("%d of 200 refused early by a server that can hold a few", n)
	}
	for _, a := range b.acts {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Fatal("a refusal does not say when to come back")
		}
	}
}

// A slow answer is mostly a heavy request: withdrawing it throws its work away, a copy doubles it.
func TestSlowRequestIsNotWithdrawn(t *testing.T) {
	set := settings()
	b := newBed(t, set, server3(2)...)
	for i := 0; i < 40; i++ {
		b.serve("read", 20, allOK)
	}
	b.arrive("read", 2000)
	b.acts = nil
	b.pass(1000)
	if n := count[CancelAttempt](b.acts) + count[StartAttempt](b.acts); n != 0 {
		t.Errorf("%d withdrawn or sent again while the answer may still come", n)
	}
}

func TestSpareCapacityTriesHeavyRequests(t *testing.T) {
	set := settings()
	set.LoadReports = true
	b := newBed(t, set, server3(4)...)
	for i := 0; i < 40; i++ {
		b.next++
		acts := b.step(Arrival{ID: b.next, Class: "read", WorkHint: 50, Deadline: b.now + 2000})
		b.now += 100
		b.end(b.next, 0, sentTo(acts), OK, 100)
	}
	b.next++
	if acts := b.step(Arrival{ID: b.next, Class: "read", WorkHint: 250, Deadline: b.now + 2000}); sentTo(acts) == "" {
		t.Error("an idle fleet refused a request for a rough hint")
	}
}

// Guards against a silent death: a server that answers no probe is excluded without losing requests to it.
func TestUnansweredProbesExclude(t *testing.T) {
	set := settings()
	set.ProbesAllowed, set.LoadReports = true, true
	b := newBed(t, set, server3(3)...)
	for _, s := range b.l.servers.ready[1:] {
		s.outcomes.record(b.now, true)
	}
	for i := 0; i < ejectionConsecutiveFailures; i++ {
		b.now += 50
		b.step(LoadProbeCompleted{Server: "s0", Outcome: Overloaded})
	}
	if b.l.servers.byID["s0"].outlier.ejected {
		t.Fatal("excluded for refusing probes")
	}
	for i := 0; i < ejectionConsecutiveFailures; i++ {
		b.now += 50
		b.step(LoadProbeCompleted{Server: "s0", Outcome: TimedOut, Elapsed: 50})
	}
	if !b.l.servers.byID["s0"].outlier.ejected {
		t.Error("a server that answers no probe is not excluded")
	}
}

// A retry whose try is not cut short began some time ago all the same.
func TestRetryHasUsedPartOfItsAim(t *testing.T) {
	b := newBed(t, settings(), server3(1)...)
	b.arrive("read", 1200) // the longest try, of a total of 2000
	for _, c := range []struct {
		ttl  Millis
		left Millis
	}{{1200, 400 - 280}, {1000, 400 - 1000}} {
		r := &request{class: b.l.classes["read"], work: 1, deadline: b.now + c.ttl}
		b.l.setObjective(r, true)
		if got := r.objectiveAt - b.now; math.Abs(got-c.left) > 1e-6 {
			t.Errorf("retry with %.0f ms to live has %.0f ms of its aim left, want %.0f", c.ttl, got, c.left)
		}
	}
}

// All bad together: the fleet's pace follows a shared slowdown, and its end, from all answers at once, long
// before any one server's own record does.
func TestFleetPaceFollowsSharedSlowness(t *testing.T) {
	b := newBed(t, settings(), server3(12)...)
	for i := 0; i < 120; i++ {
		b.serve("read", 20, allOK)
	}
	before := b.l.estimate.unitTime
	for i := 0; i < 36; i++ { // three answers a server
		b.serve("read", 60, allOK)
	}
	if b.l.estimate.unitTime < 1.5*before {
		t.Errorf("typical unit went from %.0f to %.0f ms after three slow answers a server", before, b.l.estimate.unitTime)
	}
	for i := 0; i < 120; i++ {
		b.serve("read", 20, allOK)
		b.now += 60 // servers shunned for their slowness are looked at again after some seconds
	}
	if b.l.estimate.unitTime > 1.5*before {
		t.Errorf("typical unit is %.0f ms after the slowdown, %.0f before", b.l.estimate.unitTime, before)
	}
	for _, s := range b.l.servers.ready {
		if s.outlier.ejected {
			t.Errorf("%s was excluded for slowness that all share", s.ID)
		}
	}
}

// Fairness: with one tenant far over its share, the other's requests go first.
func TestMeekTenantIsServedUnderShortage(t *testing.T) {
	set := settings()
	set.Goal = ObjectiveWeights{Overall: 0.7, WorstTenant: 0.3}
	set.Tenants = []Tenant{{Name: "loud", Quota: 10}, {Name: "meek", Quota: 10}}
	b := newBed(t, set, server3(1)...)
	tenant, sent := map[RequestID]string{}, map[string]int{}
	for i := 0; i < 400; i++ { // ten times as many from the one as from the other
		b.next++
		name := "loud"
		if i%11 == 0 {
			name = "meek"
		}
		tenant[b.next] = name
		acts := b.step(Arrival{ID: b.next, Class: "read", Tenant: name, Deadline: b.now + 2000})
		b.now += 10
		if i%5 == 4 { // the server answers one request in 50 ms
			if r := b.l.servers.ready[0].attempts.requests; len(r) > 0 {
				acts = append(acts, b.end(r[0].id, 0, "s0", OK, 50)...)
			}
		}
		for _, a := range acts {
			if s, ok := a.(StartAttempt); ok {
				sent[tenant[s.ID]]++
			}
		}
	}
	meek, loud := float64(sent["meek"])/36, float64(sent["loud"])/364
	if meek < 0.5 || meek < 2*loud {
		t.Errorf("served %.0f%% of the meek tenant's and %.0f%% of the loud one's", 100*meek, 100*loud)
	}
}

// A group bad together: a lost hall is half the fleet, and all of it must be excluded while the rest is well.
func TestLostHallIsExcludedWhole(t *testing.T) {
	b := newBed(t, settings(), server3(6)...)
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

// Two at once: the fleet slows down while one server fails fast. The one must not pass for the fastest, and
// the slow ones must not be excluded.
func TestFastErrorsInASlowFleet(t *testing.T) {
	b := newBed(t, settings(), server3(5)...)
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
		b.l.scoredAt = 0
	}
	if bad > 30 {
		t.Errorf("%d of 300 went to the server that fails fast", bad)
	}
	for _, s := range b.l.servers.ready {
		if s.outlier.ejected && s.ID != "s2" {
			t.Errorf("%s was excluded for being slow with the rest", s.ID)
		}
	}
}

// The groups of a keyed class: where repeats may go, and when a refusal is harmless.
func TestKeyedGroups(t *testing.T) {
	servers := server3(4)
	servers[3].Zone = "y"
	for group, want := range map[DedupScope]int{DedupAcrossFleet: 4, DedupWithinZone: 3, DedupWithinCell: 2} {
		set := settings()
		set.Classes[1].DedupScope = group
		b := newBed(t, set, servers...)
		r := &request{class: b.l.classes["put"], work: 1, mayHaveRun: true, dedupServer: b.l.servers.byID["s0"], dedupUntil: b.now + 500}
		got := 0
		for _, s := range b.l.servers.ready {
			if b.l.eligible(r, s) {
				got++
			}
		}
		if got != want {
			t.Errorf("group %d: %d servers allowed, want %d", group, got, want)
		}
		b.acts = b.acts[:0]
		b.l.actions = nil
		b.l.rejectOrFail(r, NoCapacity)
		if refused := count[Reject](b.l.actions) == 1; refused != (group == DedupAcrossFleet) {
			t.Errorf("group %d: given up with %v", group, b.l.actions)
		}
	}
}

// Guards against a rush: all nodes would run to a server that has just warmed up and looks far faster.
func TestWarmServerIsNotRushed(t *testing.T) {
	b := newBed(t, settings(), server3(4)...)
	for _, s := range b.l.servers.ready {
		s.timing.measured, s.timing.unitTime = true, 100
	}
	b.l.servers.ready[3].timing.unitTime = 10
	b.l.updateScores()
	if unit := b.l.estimatedUnitTime(b.l.servers.ready[3]); unit < minUnitTimeRatio*100 {
		t.Errorf("believed to need %.0f ms where 100 is typical", unit)
	}
}

// Guards against refusing everything on old evidence: the node would never learn that a slowdown is over.
func TestFleetSlowdownEnds(t *testing.T) {
	b := newBed(t, settings(), server3(4)...)
	for i := 0; i < 60; i++ {
		b.serve("read", 1500, allOK) // far beyond the aim
	}
	served := 0
	for i := 0; i < 400; i++ {
		if b.serve("read", 20, allOK) != "" {
			served++
		}
		b.now += 30
	}
	if served < 300 {
		t.Errorf("%d of 400 sent after the slowdown ended", served)
	}
}

// Guards against each node keeping a request out where nothing fits: with more nodes than servers that alone
// holds a crowded fleet down. The nodes' sum stays a small share of what the servers can do.
func TestFeelersAreRationedOverAllNodes(t *testing.T) {
	const nodes, servers = 200, 4
	set := settings()
	set.Nodes = nodes
	sent := 0
	for n := 0; n < nodes; n++ {
		l, err := New(set, uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		b := &testNode{t: t, l: l, now: 100000}
		b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: server3(servers)})
		l.estimate.unitTime = 1000 // nothing fits
		for _, s := range l.servers.ready {
			s.timing.measured, s.timing.unitTime = true, 1000
		}
		for i := 0; i < 20; i++ { // 10 s
			b.now += 500
			if id, acts := b.arrive("read", 2000); sentTo(acts) != "" {
				sent++
				b.end(id, 0, sentTo(acts), TimedOut, 1)
			}
		}
	}
	// 4 servers with 100 ms a request can do 400 in 10 s; chance may add a few.
	if most := int(explorationShare*400) + 20; sent > most || sent < 20 {
		t.Errorf("%d nodes sent %d feelers in 10 s, want 20 to %d", nodes, sent, most)
	}
}

func TestTenantsOverTheirShareWait(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "loud", Quota: 10}, {Name: "meek", Quota: 10}}
	b := newBed(t, set, server3(1)...)
	for i := 0; i < 100; i++ {
		b.now += 10
		b.next++
		b.step(Arrival{ID: b.next, Class: "read", Tenant: "loud", Deadline: b.now + 2000})
	}
	loud := &request{class: b.l.classes["read"], tenant: b.l.tenants["loud"], work: 1}
	meek := &request{class: b.l.classes["read"], tenant: b.l.tenants["meek"], work: 1}
	b.l.accountArrival(loud, false)
	b.l.accountArrival(meek, false)
	if !loud.overQuota || meek.overQuota || b.l.marginalValue(loud) >= b.l.marginalValue(meek) {
		t.Errorf("over share: loud %v, meek %v", loud.overQuota, meek.overQuota)
	}
}

// Guards against working on what is worth nothing any more: under overload it makes the rest late as well.
func TestLateRetryIsRefusedAtOnce(t *testing.T) {
	for _, share := range []float64{0, 0.5} {
		set := settings()
		set.Classes[0].LateFraction = share
		b := newBed(t, set, server3(2)...)
		b.arrive("read", 1000) // the longest try
		b.next++
		acts := b.step(Arrival{ID: b.next, Class: "read", IsRetry: true, Deadline: b.now + 300}) // began 1.7 s ago
		if refused := count[Reject](acts) == 1; refused != (share == 0) {
			t.Errorf("late answers worth %.1f: a retry past its aim got %v", share, acts)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []Action {
		b := newBed(t, settings(), server3(5)...)
		for i := 0; i < 200; i++ {
			b.serve([]string{"read", "put", "bill"}[i%3], Millis(5+i%7), func(s ServerID) Outcome {
				if s == "s2" {
					return Errored
				}
				return OK
			})
		}
		return b.acts
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("two runs differ")
	}
}

func TestOddSettingsStillServe(t *testing.T) {
	for name, odd := range map[string]func(*Settings){
		"many nodes":    func(s *Settings) { s.Nodes = 50 },
		"one attempt":   func(s *Settings) { s.MaxAttempts = 1 },
		"no goal":       func(s *Settings) { s.Goal = ObjectiveWeights{} },
		"zero quota":    func(s *Settings) { s.Tenants = []Tenant{{Name: "t"}} },
		"no cold time":  func(s *Settings) { s.SlowStart.Duration = 0 },
		"huge deadline": func(s *Settings) { s.Classes[0].TotalTimeout, s.Classes[0].LatencyObjective = 1e9, 1e9 },
		"worthless":     func(s *Settings) { s.Classes[0].PriorityWeight = 0 },
		"probes":        func(s *Settings) { s.ProbesAllowed, s.LoadReports = true, true },
	} {
		set := settings()
		odd(&set)
		b := newBed(t, set, server3(1)...)
		if s := b.serve("read", 5, allOK); s != "s0" {
			t.Errorf("%s: sent to %q", name, s)
		}
	}
}

// With reports, a send waits a moment for the servers asked, and goes on without those that stay silent.
func TestProbesBeforeASend(t *testing.T) {
	set := settings()
	set.ProbesAllowed, set.LoadReports = true, true
	b := newBed(t, set, server3(3)...)
	_, acts := b.arrive("read", 2000)
	if count[ProbeLoad](acts) == 0 || sentTo(acts) != "" {
		t.Fatalf("got %v, want probes first", acts)
	}
	b.now += minProbeWait
	if acts = b.step(TimerFired{"probes"}); sentTo(acts) == "" {
		t.Error("silent probes hold the request back")
	}
	var asked []ServerID
	b.now += 100
	_, acts = b.arrive("read", 2000)
	for _, a := range acts {
		if p, ok := a.(ProbeLoad); ok {
			asked = append(asked, p.Server)
		}
	}
	for i, s := range asked {
		acts = b.step(LoadProbeCompleted{Server: s, Outcome: OK, Report: LoadReport{Valid: true, InFlight: float64(5 * i)}})
	}
	if len(asked) > 1 && sentTo(acts) != "" && sentTo(acts) != asked[0] {
		if b.l.estimatedRequests(b.l.servers.byID[sentTo(acts)]) > 2 {
			t.Errorf("sent to %s although its report shows it crowded", sentTo(acts))
		}
	}
}

// Guards against taking silence for an empty server: a node that hears of each server once a minute must not
// prefer the one it last heard of long ago to one it has just asked.
func TestUnheardServerIsNotTakenToBeEmpty(t *testing.T) {
	set := settings()
	set.Nodes, set.LoadReports = 400, true
	b := newBed(t, set, server3(60)...)
	for i := 0; i < 40; i++ {
		b.now += 50
		b.step(LoadProbeCompleted{Server: b.l.servers.ready[i].ID, Outcome: OK, Report: LoadReport{Valid: true, InFlight: 3}})
	}
	if got := b.l.estimatedRequests(b.l.servers.ready[59]); got < 2 {
		t.Errorf("a server never heard of is taken to hold %.1f where all others hold 3", got)
	}
	b.now += 60000
	b.step(LoadProbeCompleted{Server: "s1", Outcome: OK, Report: LoadReport{Valid: true, InFlight: 0}})
	if fresh, old := b.l.estimatedRequests(b.l.servers.byID["s1"]), b.l.estimatedRequests(b.l.servers.byID["s2"]); fresh >= old {
		t.Errorf("just heard to be empty: %.1f, heard of a minute ago: %.1f", fresh, old)
	}
}

// Guards against telling clients to come back when their aim has passed: many nodes reckon a long wait, the
// clients heed it, and every retry is refused too late.
func TestClientsAreToldToComeBackWithinTheirAim(t *testing.T) {
	set := settings()
	set.Nodes = 400
	b := newBed(t, set, server3(3)...)
	b.l.estimate.unitTime = 1000 // nothing fits
	b.l.explorations.left = 0
	_, acts := b.arrive("read", 2000)
	for i := 0; i < 50 && count[Reject](acts) == 0; i++ {
		b.now += 10
		acts = b.step(TimerFired{"sweep"})
	}
	for _, a := range acts {
		if r, ok := a.(Reject); ok && (r.RetryAfter <= 0 || r.RetryAfter > 400) {
			t.Errorf("told to come back after %.0f ms with an aim of 400", r.RetryAfter)
		}
	}
	if count[Reject](acts) != 1 {
		t.Errorf("not refused: %v", acts)
	}
}

// Guards against hundreds of nodes that start together and all call discovery at once: it has a fixed capacity,
// and calls that fail come back.
func TestFirstCallsToDiscoveryAreSpread(t *testing.T) {
	const nodes = 400
	set := settings()
	set.Nodes, set.WatchEndpoints = nodes, true
	calls := map[int]int{}
	for n := 0; n < nodes; n++ {
		l, err := New(set, uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		at, asked := 100000.0, false
		for _, a := range l.Step(at, EndpointUpdate{Kind: CachedUpdate, Endpoints: server3(4)}) {
			if s, ok := a.(SetTimer); ok && s.Token == "ask" {
				at = s.At
			}
		}
		asked = count[WatchEndpoints](l.Step(at, TimerFired{"ask"})) == 1
		if !asked || at > 100000+set.WatchDeadline/2 {
			t.Fatalf("node %d asked: %v, at %.0f ms after its start", n, asked, at-100000)
		}
		calls[int(at-100000)/500]++
	}
	for k, n := range calls {
		if n > 90 {
			t.Errorf("%d of %d nodes call in the half second from %d ms", n, nodes, k*500)
		}
	}
}

// Guards against a returned server that gets one request from each of hundreds of nodes at once, and against one
// that gets none until it is warm because no node's part makes a whole request.
func TestColdBudgetHoldsOverAllNodes(t *testing.T) {
	for _, reports := range []bool{true, false} {
		const nodes, servers = 300, 30
		set := settings()
		set.Nodes, set.LoadReports = nodes, reports
		began, work := 100000.0, map[int]float64{}
		for n := 0; n < nodes; n++ {
			set.Node = n
			l, err := New(set, uint64(n))
			if err != nil {
				t.Fatal(err)
			}
			b := &testNode{t: t, l: l, now: began}
			b.step(EndpointUpdate{Kind: CachedUpdate, Endpoints: server3(servers)})
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "s7", Zone: "z", Capacity: 1, Started: began}}})
			cold := b.l.servers.byID["s7"]
			for ; b.now < began+set.SlowStart.Duration; b.now += 100 { // every node would send it one every 100 ms
				l.now = b.now
				r := &request{class: l.classes["read"], work: 1, deadline: b.now + 2000}
				if slices.Contains(b.l.candidates(r), cold) {
					cold.slowStart.budget.left--
					work[int((b.now-began)/set.SlowStart.OverloadWindow)] += b.l.estimate.unitTime
				}
			}
		}
		for window, sent := range work {
			share := min(1, set.SlowStart.InitialCapacity+(1-set.SlowStart.InitialCapacity)*float64(window)*set.SlowStart.OverloadWindow/set.SlowStart.Duration)
			if most := set.SlowStart.OverloadFactor * share * set.SlowStart.OverloadWindow; sent > most {
				t.Errorf("reports %v: window %d got %.0f ms of work, %.0f push it over", reports, window, sent, most)
			}
		}
		if work[0] < 0.1*set.SlowStart.OverloadFactor*set.SlowStart.InitialCapacity*set.SlowStart.OverloadWindow {
			t.Errorf("reports %v: the first window got %.0f ms of work", reports, work[0])
		}
	}
}

// Guards against refusing heavy requests while most of the fleet is idle: what is expected to take more than the
// usual share of the time left may still go to a server with nothing in hand.
func TestIdleFleetTriesHeavyRequests(t *testing.T) {
	for _, crowd := range []float64{0.1, 1.5} {
		set := settings()
		set.LoadReports = true
		b := newBed(t, set, server3(4)...)
		b.l.estimate.othersLoad, b.l.openAttempts = crowd, 1 // no exploration
		for _, s := range b.l.servers.ready {
			b.l.recordLoadReport(s, LoadReport{Valid: true, InFlight: 0})
		}
		b.l.estimate.othersLoad = crowd
		b.next++
		b.step(Arrival{ID: b.next, Class: "read", Deadline: b.now + 2000, WorkHint: 10})
		b.l.estimate.meanWorkHint = 2
		b.next++
		acts := b.step(Arrival{ID: b.next, Class: "read", Deadline: b.now + 2000, WorkHint: 8}) // four times the mean
		if sent := sentTo(acts) != ""; sent != (crowd < 1) {
			t.Errorf("mean load %.1f: sent %v", crowd, sent)
		}
	}
}

// Guards against requests bound to a group that is lost: they fail at once and keep no other from being sent.
func TestRequestsBoundToALostGroupHoldUpNoOther(t *testing.T) {
	b := newBed(t, settings(), server3(4)...)
	for _, s := range b.l.servers.ready {
		s.outlier.ejected = s.Cell == 0
		s.outlier.trialAt = b.now + ejectionTime
	}
	for i := 0; i < 2*maxMissesPerSweep; i++ {
		b.l.servers.byID["s0"].outlier.ejected = false
		b.l.retryBudget.left = retryBurst
		b.next++
		r := &request{id: b.next, class: b.l.classes["put"], arrived: b.now, deadline: b.now + 2000,
			objectiveAt: b.now + 400, work: 1, mayHaveRun: true, dedupServer: b.l.servers.byID["s0"], dedupUntil: b.now + 1000}
		b.l.requests[r.id] = r
		b.l.enqueue(r)
		b.l.servers.byID["s0"].outlier.ejected = true
	}
	_, acts := b.arrive("read", 2000)
	if sentTo(acts) == "" || count[Fail](acts) != 2*maxMissesPerSweep {
		t.Errorf("sent to %q, %d failed at once, want %d", sentTo(acts), count[Fail](acts), 2*maxMissesPerSweep)
	}
}

// Odd but legal sizes still decide sanely: a request finds a server, and a list that empties loses none.
func TestOddSizes(t *testing.T) {
	for _, c := range []struct{ nodes, servers int }{{500, 1}, {1, 240}, {600, 60}, {7, 5}} {
		for _, reports := range []bool{false, true} {
			set := settings()
			set.Nodes, set.Node, set.LoadReports = c.nodes, c.nodes-1, reports
			b := newBed(t, set, server3(c.servers)...)
			b.now += 60000 // nothing heard for a minute
			if s := b.serve("read", 20, allOK); s == "" {
				t.Errorf("%d nodes, %d servers, reports %v: not sent", c.nodes, c.servers, reports)
			}
			b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: server3(1)})
			if s := b.serve("read", 20, allOK); s != "s0" {
				t.Errorf("%d nodes, one server left: sent to %q", c.nodes, s)
			}
			b.step(EndpointUpdate{Kind: FullUpdate})
			if _, acts := b.arrive("read", 2000); count[Reject](acts) != 1 {
				t.Errorf("%d nodes, empty list: %v, want a refusal", c.nodes, acts)
			}
		}
	}
}

// lossy has two warm servers that report their load, and one request out at each of them in turn.
func lossy(t *testing.T, class string) (b *testNode, lost RequestID, at ServerID) {
	t.Helper()
	set := settings()
	set.LoadReports = true
	b = newBed(t, set, server3(4)...)
	for range 60 {
		b.serve("read", 20, allOK)
	}
	lost, acts := b.arrive(class, 2000)
	if at = sentTo(acts); at == "" {
		t.Fatal("not sent")
	}
	b.now += 200 // ten times the usual
	return b, lost, at
}

// Guards against a request that a server has taken and lost: its report, fresh, no longer holds it.
func TestLostAttemptIsSentElsewhereAndNoLoad(t *testing.T) {
	b, id, at := lossy(t, "read")
	acts := b.step(LoadProbeCompleted{Server: at, Outcome: OK, Report: LoadReport{Valid: true}})
	if count[CancelAttempt](acts) != 1 {
		t.Fatalf("%v, want the lost attempt withdrawn", acts)
	}
	if occ := b.l.estimatedRequests(b.l.servers.byID[at]); occ >= 1 {
		t.Errorf("the lost attempt counts as load: %v in hand", occ)
	}
	if over := b.l.unansweredTime(b.l.servers.byID[at], false); over != 0 {
		t.Errorf("the server is held to be silent for %v ms over it", over)
	}
	acts = b.end(id, 0, at, Cancelled, 200)
	if to := sentTo(acts); to == "" || to == at {
		t.Errorf("sent to %q next, want another server", to)
	}
}

// One that the report still holds is slow, not lost; one that must not run twice is left to its answer.
func TestOnlyTheLostAreWithdrawn(t *testing.T) {
	b, _, at := lossy(t, "read")
	if acts := b.step(LoadProbeCompleted{Server: at, Outcome: OK, Report: LoadReport{Valid: true, InFlight: 1}}); count[CancelAttempt](acts) != 0 {
		t.Errorf("%v: the server has it", acts)
	}
	b, _, at = lossy(t, "bill")
	if acts := b.step(LoadProbeCompleted{Server: at, Outcome: OK, Report: LoadReport{Valid: true}}); count[CancelAttempt](acts) != 0 {
		t.Errorf("%v: it may have run", acts)
	}
	if b.l.servers.byID[at].attempts.missing != 1 {
		t.Error("it counts as load, though the server does not have it")
	}
}

// Guards against time-outs of lost requests making a server that answers all others look slow.
func TestPassedTimeOutIsNotTheServersSpeed(t *testing.T) {
	b := newBed(t, settings(), server3(1)...)
	for range 30 {
		b.serve("read", 20, allOK)
	}
	unit := b.l.servers.byID["s0"].timing.unitTime
	lost, _ := b.arrive("bill", 390)
	b.now += 5
	b.serve("read", 20, allOK)
	b.now += 365
	b.end(lost, 0, "s0", TimedOut, 390)
	if got := b.l.servers.byID["s0"].timing.unitTime; got > unit*1.5 {
		t.Errorf("unit time %v after the time-out, %v before", got, unit)
	}
	if b.l.servers.byID["s0"].outlier.consecutiveFailures != 0 {
		t.Error("a failure sent before the last answer counts as one in a row")
	}
}

// Guards against excluding one server after the other where all lose a third of what they get.
func TestServersThatFailAlikeAreKept(t *testing.T) {
	b := newBed(t, settings(), server3(6)...)
	for _, s := range b.l.servers.ready {
		for i := range recentOutcomeCount {
			s.outcomes.record(b.now, i%3 != 0)
		}
	}
	for _, s := range b.l.servers.ready {
		for range ejectionConsecutiveFailures {
			b.l.updateEjection(s, ConnectionLost, b.now)
		}
	}
	for _, s := range b.l.servers.ready {
		if s.outlier.ejected {
			t.Errorf("%s is excluded and fails %v, as the others do", s.ID, 1-s.recentSuccessRate())
		}
	}
	for _, s := range b.l.servers.ready[1:] {
		for range recentOutcomeCount {
			s.outcomes.record(b.now, true)
		}
	}
	b.l.updateEjection(b.l.servers.ready[0], ConnectionLost, b.now)
	if !b.l.servers.ready[0].outlier.ejected {
		t.Error("the only one that fails is kept")
	}
}

// Guards against memory that grows with every server ever seen: fleets are renewed all day under new names.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	b := newBed(t, settings(), server3(1)...)
	id, acts := b.arrive("read", 2000)
	at := sentTo(acts)
	for i := range 500 {
		e := Endpoint{ID: ServerID(fmt.Sprintf("n%d", i)), Zone: "z", Capacity: 1}
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
		e.State = Removed
		b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{e}})
	}
	b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "last", Zone: "z", Capacity: 1}}})
	if len(b.l.servers.byID) != 2 || len(b.l.servers.known) != 2 {
		t.Errorf("%d and %d servers remembered, want the last and the one with a request out", len(b.l.servers.byID), len(b.l.servers.known))
	}
	b.end(id, 0, at, OK, 20)
	b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "last", Zone: "z", Capacity: 1}}})
	if len(b.l.servers.byID) != 1 || len(b.l.servers.known) != 1 {
		t.Errorf("%d and %d servers remembered, want the last", len(b.l.servers.byID), len(b.l.servers.known))
	}
}

// Guards against excluding servers for rows that chance makes where a tenth of all attempts break, and against
// sparing one that has really gone.
func TestShortRowsAreChanceWhereAShareFails(t *testing.T) {
	b := newBed(t, settings(), server3(3)...)
	for _, s := range b.l.servers.ready {
		for i := range 200 {
			s.outcomes.record(b.now, s.ID != "s0" || i%10 != 0)
		}
	}
	row := func(s *server, n int) bool {
		for range n {
			s.outcomes.record(b.now, false)
			b.l.updateEjection(s, ConnectionLost, b.now)
		}
		return s.outlier.ejected
	}
	flaky, clean := b.l.servers.byID["s0"], b.l.servers.byID["s1"]
	if row(flaky, ejectionConsecutiveFailures) {
		t.Error("a row of three excludes a server of which a tenth fails anyway")
	}
	if !row(flaky, 5) {
		t.Error("a row of eight does not")
	}
	if !row(clean, ejectionConsecutiveFailures) {
		t.Error("a row of three does not exclude a server that never failed")
	}
}
