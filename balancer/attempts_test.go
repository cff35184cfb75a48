package balancer

import (
	"testing"
)

// A slow answer usually belongs to a heavy request. Cancelling the attempt would waste the server's work,
// and a second attempt would double it.
func TestSlowAttemptIsNeitherCancelledNorRepeated(t *testing.T) {
	set := settings()
	b := newTestNode(t, set, testEndpoints(2)...)
	for i := 0; i < 40; i++ {
		b.serve("read", 20, allOK)
	}
	b.arrive("read", 2000)
	b.actions = nil
	b.advance(1000)
	if n := count[CancelAttempt](b.actions) + count[StartAttempt](b.actions); n != 0 {
		t.Errorf("attempts cancelled or started while one is in flight = %d, want 0", n)
	}
}

// A retry with an idempotency key must be written before the dedup window of the first attempt ends, since
// servers drop repeats only until then. First attempts and other classes have no write deadline.
func TestRetryWriteDeadlineIsEndOfDedupWindow(t *testing.T) {
	for class, want := range map[string]Millis{"put": 1000, "read": 0} {
		b := newTestNode(t, settings(), Endpoint{ID: "s0", Zone: "z", Capacity: 1}, Endpoint{ID: "s1", Zone: "z", Capacity: 1})
		sentAt := b.now
		id, acts := b.arrive(class, 2000)
		first := acts[len(acts)-1].(StartAttempt)
		b.now += 100
		acts = b.completeAttempt(id, 0, first.Server, ConnectionLost, 100)
		var retry StartAttempt
		for _, a := range acts {
			if s, ok := a.(StartAttempt); ok {
				retry = s
			}
		}
		if want > 0 {
			want += sentAt
		}
		if first.WriteDeadline != 0 || retry.Server == "" || retry.WriteDeadline != want {
			t.Errorf("class %s: first attempt %+v, retry %+v, want write deadlines 0 and %v", class, first, retry, want)
		}
	}
}
