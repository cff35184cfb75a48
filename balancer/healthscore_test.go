package balancer

import (
	"math"
	"testing"
)

func TestScoreReflectsLatencyErrorsAndRecentSuccess(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(2)...)
	for i := 0; i < 60; i++ {
		id, acts := b.arrive("read", 2000)
		s := sentTo(acts)
		took := 20.0
		if s == "s1" {
			took = 40
		}
		b.now += took
		b.end(id, 0, s, OK, took)
		b.balancer.scoredAt = 0
	}
	b.balancer.scoredAt = 0
	s0, s1 := b.balancer.servers.byID["s0"], b.balancer.servers.byID["s1"]
	if math.Abs(s0.score-1) > 0.01 {
		t.Errorf("the fastest server without errors scores %.3f, want 1", s0.score)
	}
	// Half the latency term is missing: (0.4*0.5+0.3+0.1)/0.8.
	if s1.outcomes.recentLen > 0 && math.Abs(s1.score-0.75) > 0.12 {
		t.Errorf("a server of twice the latency scores %.3f, want about 0.75", s1.score)
	}
}

func TestNewServerStartsAtMeanScore(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(2)...)
	b.balancer.servers.ready[0].score, b.balancer.servers.ready[1].score = 0.4, 0.8
	b.balancer.servers.ready[0].outcomes.recentLen, b.balancer.servers.ready[1].outcomes.recentLen = 0, 0
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "new", Capacity: 1}}})
	if got := b.balancer.servers.byID["new"].score; math.Abs(got-0.6) > 1e-9 {
		t.Errorf("new server scores %.2f, want 0.6", got)
	}
}

// Silence counts before the outcome arrives: a hung server must not go on being drawn.
func TestUnansweredAttemptsLowerScoreBeforeTimeout(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(3)...)
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

// All bad together: the fleet's pace follows a shared slowdown, and its end, from all answers at
// once, long before any one server's own record does.
func TestTypicalUnitTimeFollowsFleetSlowdown(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(12)...)
	for i := 0; i < 120; i++ {
		b.serve("read", 20, allOK)
	}
	before := b.balancer.estimate.unitTime
	for i := 0; i < 36; i++ { // three answers a server
		b.serve("read", 60, allOK)
	}
	if b.balancer.estimate.unitTime < 1.5*before {
		t.Errorf("typical unit went from %.0f to %.0f ms after three slow answers a server", before, b.balancer.estimate.unitTime)
	}
	for i := 0; i < 120; i++ {
		b.serve("read", 20, allOK)
		b.now += 60 // servers shunned for their slowness are looked at again after some seconds
	}
	if b.balancer.estimate.unitTime > 1.5*before {
		t.Errorf("typical unit is %.0f ms after the slowdown, %.0f before", b.balancer.estimate.unitTime, before)
	}
	for _, s := range b.balancer.servers.ready {
		if s.outlier.ejected {
			t.Errorf("%s was ejected for slowness that all share", s.ID)
		}
	}
}

// Guards against a rush: all nodes would run to a server that has just warmed up and looks far faster.
func TestUnitTimeOfFastServerIsBounded(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	for _, s := range b.balancer.servers.ready {
		s.timing.measured, s.timing.unitTime = true, 100
	}
	b.balancer.servers.ready[3].timing.unitTime = 10
	b.balancer.updateScores()
	if unit := b.balancer.estimatedUnitTime(b.balancer.servers.ready[3]); unit < minUnitTimeRatio*100 {
		t.Errorf("believed to need %.0f ms where 100 is typical", unit)
	}
}

// Guards against time-outs of lost requests making a server that answers all others look slow.
func TestTimeoutOfSupersededAttemptKeepsUnitTime(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(1)...)
	for range 30 {
		b.serve("read", 20, allOK)
	}
	unit := b.balancer.servers.byID["s0"].timing.unitTime
	lost, _ := b.arrive("bill", 390)
	b.now += 5
	b.serve("read", 20, allOK)
	b.now += 365
	b.end(lost, 0, "s0", TimedOut, 390)
	if got := b.balancer.servers.byID["s0"].timing.unitTime; got > unit*1.5 {
		t.Errorf("unit time %v after the time-out, %v before", got, unit)
	}
	if b.balancer.servers.byID["s0"].outlier.consecutiveFailures != 0 {
		t.Error("a failure sent before the last answer counts as one in a row")
	}
}
