package balancer

import "testing"

// TestAnEntryOfOneGoneMovesNoGroup: the entry of a server that is gone may lack its cell. A keyed request that may have run
// there stays bound to the group that it ran in, which an entry of zeros took for cell 0.
func TestAnEntryOfOneGoneMovesNoGroup(t *testing.T) {
	for name, told := range map[string]Endpoint{
		"gone":       {ID: "s1", State: Removed},
		"drains":     {ID: "s1", State: Draining, Zone: "z", Cell: 0, Capacity: 1},
		"moved cell": {ID: "s1", Zone: "z", Cell: 0, Capacity: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, settings(), server3(2)[1]) // s1, of cell 1
			id, acts := b.arrive("put", 2000)
			if sentTo(acts) != "s1" {
				t.Fatalf("not sent to s1: %v", acts)
			}
			b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{told, {ID: "s0", Zone: "z", Cell: 0, Capacity: 1}}})
			b.now += 10
			acts = b.end(id, 0, "s1", ConnectionLost, 10)
			if to := sentTo(acts); to != "" {
				t.Errorf("a repeat went to %s of another cell", to)
			}
			if count[Fail](acts) != 1 {
				t.Errorf("want a failure at once, got %v", acts)
			}
		})
	}
}

// TestARepeatIsWholeWithinItsWindow: a repeat says until when it may be written, which is the end of the window of the first
// copy that may have run; first copies, and those of other classes, have no such end.
func TestARepeatIsWholeWithinItsWindow(t *testing.T) {
	for class, want := range map[string]Millis{"put": 1000, "read": 0} {
		b := newBed(t, settings(), Endpoint{ID: "s0", Zone: "z", Capacity: 1}, Endpoint{ID: "s1", Zone: "z", Capacity: 1})
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

// TestLongClassesLeaveRoomForWhatIsWorthMore: a class of low worth and a long aim filled the servers until each answer took
// longer than the whole aim of what is worth most, and they stayed so after the load had gone (batumi-freight, calm+mass:
// 0.2% in time). It is sent while a server's expected time leaves room for the other, and refused at once beyond.
func TestLongClassesLeaveRoomForWhatIsWorthMore(t *testing.T) {
	for took, sent := range map[Millis]bool{60: true, 250: false} {
		set := settings()
		set.Classes = []Class{{Name: "track", Idempotency: Idempotent, LatencyObjective: 1000, TotalTimeout: 3000, PriorityWeight: 1},
			{Name: "book", Idempotency: NonIdempotent, LatencyObjective: 200, TotalTimeout: 400, PriorityWeight: 9}}
		b := newBed(t, set, server3(2)...)
		for range 40 {
			b.serve("track", took, allOK)
		}
		b.arrive("track", 3000) // so that the next one is not the odd one that finds out
		_, acts := b.arrive("track", 3000)
		if got := sentTo(acts) != ""; got != sent || !sent && count[Reject](acts) != 1 {
			t.Errorf("servers take %v ms: sent %v, want %v: %v", took, got, sent, acts)
		}
	}
}
