package balancer

import (
	"testing"
)

// Requests that no server can answer in time must be rejected immediately, with a Retry-After.
func TestRejectImmediatelyWithoutCapacity(t *testing.T) {
	b := newTestNode(t, settings()) // no servers at all
	if _, acts := b.arrive("read", 2000); count[Reject](acts) != 1 {
		t.Errorf("actions without servers = %v, want one rejection", acts)
	}
	b = newTestNode(t, settings(), testEndpoints(1)...)
	for i := 0; i < 200; i++ {
		b.arrive("read", 2000)
	}
	if n := count[Reject](b.actions); n < 150 {
		t.Errorf("rejections of 200 requests to one server = %d, want at least 150", n)
	}
	for _, a := range b.actions {
		if r, ok := a.(Reject); ok && r.RetryAfter <= 0 {
			t.Fatalf("RetryAfter = %v, want it above 0", r.RetryAfter)
		}
	}
}

// With many nodes the estimated wait is long. If Retry-After exceeded the latency objective, clients would
// follow it and all their retries would be rejected as late.
func TestRetryAfterStaysWithinObjective(t *testing.T) {
	set := settings()
	set.Nodes = 400
	b := newTestNode(t, set, testEndpoints(3)...)
	b.balancer.estimate.unitTime = 1000 // no server answers in time
	b.balancer.explorations.available = 0
	_, acts := b.arrive("read", 2000)
	for i := 0; i < 50 && count[Reject](acts) == 0; i++ {
		b.now += 10
		acts = b.step(TimerFired{"sweep"})
	}
	for _, a := range acts {
		if r, ok := a.(Reject); ok && (r.RetryAfter <= 0 || r.RetryAfter > 400) {
			t.Errorf("RetryAfter = %.0f ms with a latency objective of 400 ms, want it above 0 and at most 400", r.RetryAfter)
		}
	}
	if count[Reject](acts) != 1 {
		t.Errorf("actions = %v, want one rejection", acts)
	}
}

// A retry costs a token only if the previous attempt reached a server. A request must not be rejected for lack of retry budget after an
// attempt that was never sent, for example because of this node's own limits or a connection that was established too late.
func TestRetryBudgetIsSpentOnlyIfServerWasReached(t *testing.T) {
	for outcome, spends := range map[Outcome]bool{
		Errored: true, Overloaded: true, TimedOut: true, ConnectionLost: true,
		Unreachable: false, NotSent: false, Cancelled: false,
	} {
		for _, tokens := range []float64{0, 1} {
			b := newTestNode(t, settings(), testEndpoints(3)...)
			id, acts := b.arrive("read", 2000)
			b.balancer.retryBudget.available = tokens
			acts = b.completeAttempt(id, 0, sentTo(acts), outcome, 1)
			retried := sentTo(acts) != ""
			if want := tokens > 0 || !spends; retried != want {
				t.Errorf("outcome %d with %v tokens: retried = %v, want %v", outcome, tokens, retried, want)
			}
			if remaining := b.balancer.retryBudget.available; spends && tokens > 0 && remaining != 0 || !spends && remaining != tokens {
				t.Errorf("outcome %d: available tokens = %v, had %v before; want a token spent = %v", outcome, remaining, tokens, spends)
			}
		}
	}
}

// A fleet without servers rejects every request. Without a Retry-After clients retry at once, and all of them wait at the moment when
// the servers return in slow start.
func TestRejectionWithoutServersHasRetryAfter(t *testing.T) {
	b := newTestNode(t, settings())
	_, acts := b.arrive("read", 390)
	if count[Reject](acts) != 1 {
		t.Fatalf("actions without servers = %v, want one rejection", acts)
	}
	for _, a := range acts {
		if r, ok := a.(Reject); ok && (r.Reason != NoServers || r.RetryAfter <= 0 || r.RetryAfter > 400) {
			t.Errorf("rejection without servers = %+v, want reason %v and a Retry-After above 0 and at most 400 ms", r, NoServers)
		}
	}
}
