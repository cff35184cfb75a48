package balancer

import (
	"testing"
)

// A slow answer is mostly a heavy request: cancelling it throws its work away, a copy doubles it.
func TestSlowAttemptIsNotCancelled(t *testing.T) {
	set := settings()
	b := newTestNode(t, set, testEndpoints(2)...)
	for i := 0; i < 40; i++ {
		b.serve("read", 20, allOK)
	}
	b.arrive("read", 2000)
	b.actions = nil
	b.pass(1000)
	if n := count[CancelAttempt](b.actions) + count[StartAttempt](b.actions); n != 0 {
		t.Errorf("%d cancelled or sent again while the answer may still come", n)
	}
}

// TestRetryHasWriteDeadlineWithinWindow: a repeat says until when it may be written, which is the
// end of the window of the first copy that may have run; first copies, and those of other classes,
// have no such end.
func TestRetryHasWriteDeadlineWithinWindow(t *testing.T) {
	for class, want := range map[string]Millis{"put": 1000, "read": 0} {
		b := newTestNode(t, settings(), Endpoint{ID: "s0", Zone: "z", Capacity: 1}, Endpoint{ID: "s1", Zone: "z", Capacity: 1})
		began := b.now
		id, acts := b.arrive(class, 2000)
		first := acts[len(acts)-1].(StartAttempt)
		b.now += 100
		acts = b.end(id, 0, first.Server, ConnectionLost, 100)
		var again StartAttempt
		for _, a := range acts {
			if s, ok := a.(StartAttempt); ok {
				again = s
			}
		}
		if want > 0 {
			want += began
		}
		if first.WriteDeadline != 0 || again.Server == "" || again.WriteDeadline != want {
			t.Errorf("%s: first %+v, repeat %+v, want it whole by %v", class, first, again, want)
		}
	}
}
