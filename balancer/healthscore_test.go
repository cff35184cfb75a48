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
		elapsed := 20.0
		if s == "s1" {
			elapsed = 40
		}
		b.now += elapsed
		b.completeAttempt(id, 0, s, OK, elapsed)
		b.balancer.scoredAt = 0
	}
	b.balancer.scoredAt = 0
	s0, s1 := b.balancer.servers.byID["s0"], b.balancer.servers.byID["s1"]
	if math.Abs(s0.score-1) > 0.01 {
		t.Errorf("score of the fastest server without errors = %.3f, want 1", s0.score)
	}
	// The latency component is halved: (0.4*0.5+0.3+0.1)/0.8.
	if s1.outcomes.recentLen > 0 && math.Abs(s1.score-0.75) > 0.12 {
		t.Errorf("score of a server with twice the latency = %.3f, want about 0.75", s1.score)
	}
}

func TestNewServerStartsAtMeanScore(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(2)...)
	b.balancer.servers.ready[0].score, b.balancer.servers.ready[1].score = 0.4, 0.8
	b.balancer.servers.ready[0].outcomes.recentLen, b.balancer.servers.ready[1].outcomes.recentLen = 0, 0
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{{ID: "new", Capacity: 1}}})
	if got := b.balancer.servers.byID["new"].score; math.Abs(got-0.6) > 1e-9 {
		t.Errorf("score of a new server = %.2f, want 0.6", got)
	}
}

// Guards against sending to a hung server until its first attempt times out: unanswered attempts must
// lower its score before that.
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
			b.completeAttempt(id, 0, s, OK, 20)
		}
		b.step(TimerFired{"sweep"})
	}
	if hung > 5 {
		t.Errorf("requests sent to a hung server = %d of 60, want at most 5", hung)
	}
}

// Guards against slow detection of a slowdown of the whole fleet: the responses of all servers together
// must raise and lower the typical unit time before the unit time of each server has changed.
func TestTypicalUnitTimeFollowsFleetSlowdown(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(12)...)
	for i := 0; i < 120; i++ {
		b.serve("read", 20, allOK)
	}
	before := b.balancer.estimate.unitTime
	for i := 0; i < 36; i++ { // three responses per server
		b.serve("read", 60, allOK)
	}
	if b.balancer.estimate.unitTime < 1.5*before {
		t.Errorf("typical unit time after three slow responses per server = %.0f ms, want at least 1.5 times %.0f ms", b.balancer.estimate.unitTime, before)
	}
	for i := 0; i < 120; i++ {
		b.serve("read", 20, allOK)
		b.now += 60 // servers avoided for their slowness are used again after some seconds
	}
	if b.balancer.estimate.unitTime > 1.5*before {
		t.Errorf("typical unit time after the slowdown = %.0f ms, want at most 1.5 times %.0f ms", b.balancer.estimate.unitTime, before)
	}
	for _, s := range b.balancer.servers.ready {
		if s.outlier.ejected {
			t.Errorf("%s was ejected for a slowdown of the whole fleet", s.ID)
		}
	}
}

// Guards against all nodes sending to a server that has just left slow start and appears far faster
// than the others.
func TestUnitTimeOfFastServerIsBounded(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(4)...)
	for _, s := range b.balancer.servers.ready {
		s.timing.measured, s.timing.unitTime = true, 100
	}
	b.balancer.servers.ready[3].timing.unitTime = 10
	b.balancer.updateScores()
	if got := b.balancer.estimatedUnitTime(b.balancer.servers.ready[3]); got < minUnitTimeRatio*100 {
		t.Errorf("estimated unit time = %.0f ms, want at least minUnitTimeRatio of the typical 100 ms", got)
	}
}

// Guards against timeouts of lost requests making a server that answers all others appear slow.
func TestTimeoutOfSupersededAttemptKeepsUnitTime(t *testing.T) {
	b := newTestNode(t, settings(), testEndpoints(1)...)
	for range 30 {
		b.serve("read", 20, allOK)
	}
	before := b.balancer.servers.byID["s0"].timing.unitTime
	lost, _ := b.arrive("bill", 390)
	b.now += 5
	b.serve("read", 20, allOK)
	b.now += 365
	b.completeAttempt(lost, 0, "s0", TimedOut, 390)
	if got := b.balancer.servers.byID["s0"].timing.unitTime; got > before*1.5 {
		t.Errorf("unit time after the timeout = %v ms, want at most 1.5 times %v ms", got, before)
	}
	if b.balancer.servers.byID["s0"].outlier.consecutiveFailures != 0 {
		t.Error("the timeout of an attempt sent before the latest answered one counts as a consecutive failure")
	}
}
