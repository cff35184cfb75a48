package balancer

import "testing"

// Guards against a module that rests for longer than news of the list may take: its pauses grew to 7.5 s, and its first call came
// up to 5 s after the start, whatever its carrier spent besides.
func TestNoPauseBetweenCallsForTheListPassesItsBound(t *testing.T) {
	for _, nodes := range []int{1, 2, 8, 36, 80, 300, 350, 1024} {
		for seed := range uint64(20) {
			set := settings()
			set.Nodes, set.WatchEndpoints = nodes, true
			l, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			now, event := 1000.0, Event(EndpointUpdate{Kind: CachedUpdate, Endpoints: server3(4)})
			for call := range 12 {
				at := -1.0
				for _, a := range l.Step(now, event) {
					if timer, ok := a.(SetTimer); ok && timer.Token == "ask" {
						at = timer.At
					}
				}
				if at < 0 || at-now > MaxPollBackoff {
					t.Fatalf("%d nodes, call %d: asks %v ms later, bound %v", nodes, call, at-now, MaxPollBackoff)
				}
				l.Step(at, TimerFired{"ask"}) // calls
				now, event = at+2500, EndpointUpdate{Kind: UpdateFailed}
			}
		}
	}
}
