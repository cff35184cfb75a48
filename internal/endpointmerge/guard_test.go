package endpointmerge

import (
	"reflect"
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// A file generated from partial data parses without errors, but would take the missing servers out of service. A list that
// removes too many servers is held until it is confirmed or replaced, or until another source removes them too.
func TestHoldMassRemovalUntilConfirmed(t *testing.T) {
	s := sequence{t, New(testSettings())}
	s.step(1, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 6)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1")
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 6)}, "")
	out := s.step(3, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 2)}, "")
	if want := []HeldList{{"file", "f2", 4, 6}}; !reflect.DeepEqual(out.Held, want) {
		t.Errorf("held lists = %v, want %v", out.Held, want)
	}
	if out = s.step(4, Tick{}, ""); out.Held != nil {
		t.Errorf("held lists after a tick = %v, want none: the list was already reported", out.Held)
	}
	out = s.step(5, Snapshot{Source: "file", Revision: "f3", Servers: servers("p", 5)}, " s6-") // replaces the held list
	if len(out.Released) == 0 {
		t.Error("released sources = [], want file")
	}
	s.step(6, Snapshot{Source: "file", Revision: "f4", Servers: servers("p", 1)}, "")
	if out = s.step(6, Snapshot{Source: "file", Revision: "f4", Servers: servers("p", 1)}, ""); out.Released != nil || out.Held != nil {
		t.Errorf("same list read again: released = %v, held = %v, want neither", out.Released, out.Held)
	}
	s.step(7, Confirmed{"file", "f3"}, "") // confirmation of another revision
	s.step(8, Confirmed{"file", "f4"}, " s2- s3- s4- s5-")
	s.step(9, Confirmed{"file", "f5"}, "") // confirmed in advance; applies to revision f5 only
	s.step(10, Snapshot{Source: "file", Revision: "f6", Servers: servers("p", 6)}, " s2@1 s3@1 s4@1 s5@1 s6@1")
	s.step(11, Snapshot{Source: "file", Revision: "f7", Servers: servers("p", 2)}, "")
	s.step(12, Delta{Source: "discovery", Revision: "2", Removed: []string{"s3", "s4", "s5"}}, " s3- s4- s5- s6-") // released: it removes only one more server
	drained := servers("p", 2)
	drained[0].Phase, drained[1].Phase = inventory.Draining, inventory.Draining
	s.step(13, Snapshot{Source: "file", Revision: "f8", Servers: drained}, "") // draining counts as removing
}
