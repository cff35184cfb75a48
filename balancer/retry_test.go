package balancer

import (
	"testing"
)

func TestGivingUpIsAnsweredAtOnce(t *testing.T) {
	b := newTestNode(t, settings()) // no servers at all
	if _, acts := b.arrive("read", 2000); count[Reject](acts) != 1 {
		t.Errorf("without servers: %v, want a rejection at once", acts)
	}
	b = newTestNode(t, settings(), testEndpoints(1)...)
	for i := 0; i < 200; i++ {
		b.arrive("read", 2000)
	}
	if n := count[Reject](b.actions); n < 150 {
		t.Errorf("%d of 200 rejected early by a server that can hold a few", n)
	}
	for _, a := range b.actions {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Fatal("a rejection does not say when to come back")
		}
	}
}

// Guards against telling clients to come back when their latency objective has passed: many nodes
// reckon a long wait, the clients heed it, and every retry is rejected too late.
func TestRetryAfterStaysWithinObjective(t *testing.T) {
	set := settings()
	set.Nodes = 400
	b := newTestNode(t, set, testEndpoints(3)...)
	b.balancer.estimate.unitTime = 1000 // nothing fits
	b.balancer.explorations.left = 0
	_, acts := b.arrive("read", 2000)
	for i := 0; i < 50 && count[Reject](acts) == 0; i++ {
		b.now += 10
		acts = b.step(TimerFired{"sweep"})
	}
	for _, a := range acts {
		if r, ok := a.(Reject); ok && (r.RetryAfter <= 0 || r.RetryAfter > 400) {
			t.Errorf("told to come back after %.0f ms with an latency objective of 400", r.RetryAfter)
		}
	}
	if count[Reject](acts) != 1 {
		t.Errorf("not rejected: %v", acts)
	}
}

// Guards against rejecting a request for want of a retry budget though no server was ever asked: this node's own limits or a connection
// that came up too late ended the attempt unsent.
func TestOnlyAttemptsThatReachedAServerSpendTheRetryBudget(t *testing.T) {
	for outcome, spends := range map[Outcome]bool{
		Errored: true, Overloaded: true, TimedOut: true, ConnectionLost: true,
		Unreachable: false, NotSent: false, Cancelled: false,
	} {
		for _, tokens := range []float64{0, 1} {
			b := newTestNode(t, settings(), testEndpoints(3)...)
			id, acts := b.arrive("read", 2000)
			b.balancer.retryBudget.left = tokens
			acts = b.end(id, 0, sentTo(acts), outcome, 1)
			retried := sentTo(acts) != ""
			if want := tokens > 0 || !spends; retried != want {
				t.Errorf("outcome %d with %v tokens: retried %v, want %v", outcome, tokens, retried, want)
			}
			if left := b.balancer.retryBudget.left; spends && tokens > 0 && left != 0 || !spends && left != tokens {
				t.Errorf("outcome %d: %v of %v tokens are left", outcome, left, tokens)
			}
		}
	}
}
