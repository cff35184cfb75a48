package balancer

import (
	"reflect"
	"testing"
)

// The same settings, seed and events must always give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() []Action {
		b := newTestNode(t, settings(), testEndpoints(5)...)
		for i := 0; i < 200; i++ {
			b.serve([]string{"read", "put", "bill"}[i%3], Millis(5+i%7), func(s ServerID) Outcome {
				if s == "s2" {
					return Errored
				}
				return OK
			})
		}
		return b.actions
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("two runs with the same events returned different actions")
	}
}
