package endpointmerge

import (
	"reflect"
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// A file that was made from half of its data reads well and would take the other half of the servers out of service. A list that
// removes too much is held until it is confirmed, replaced, or agreed on by another source.
func TestMassRemovalIsHeld(t *testing.T) {
	s := sequence{t, New(testSettings())}
	s.step(1, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 6)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1")
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 6)}, "")
	out := s.step(3, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 2)}, "")
	if want := []HeldList{{"file", "f2", 4, 6}}; !reflect.DeepEqual(out.Held, want) {
		t.Errorf("held %v, want %v", out.Held, want)
	}
	if out = s.step(4, Tick{}, ""); out.Held != nil {
		t.Error("one held list was reported twice")
	}
	out = s.step(5, Snapshot{Source: "file", Revision: "f3", Servers: servers("p", 5)}, " s6-") // a good one replaces it
	if len(out.Released) == 0 {
		t.Error("the release was not reported")
	}
	s.step(6, Snapshot{Source: "file", Revision: "f4", Servers: servers("p", 1)}, "")
	if out = s.step(6, Snapshot{Source: "file", Revision: "f4", Servers: servers("p", 1)}, ""); out.Released != nil || out.Held != nil {
		t.Errorf("read again, a held list was reported as %v, %v", out.Released, out.Held)
	}
	s.step(7, Confirmed{"file", "f3"}, "") // another revision's confirmation
	s.step(8, Confirmed{"file", "f4"}, " s2- s3- s4- s5-")
	s.step(9, Confirmed{"file", "f5"}, "") // given beforehand, it holds for that list
	s.step(10, Snapshot{Source: "file", Revision: "f6", Servers: servers("p", 6)}, " s2@1 s3@1 s4@1 s5@1 s6@1")
	s.step(11, Snapshot{Source: "file", Revision: "f7", Servers: servers("p", 2)}, "")
	s.step(12, Delta{Source: "discovery", Revision: "2", Removed: []string{"s3", "s4", "s5"}}, " s3- s4- s5- s6-") // discovery agrees: one more is little
	drained := servers("p", 2)
	drained[0].Phase, drained[1].Phase = inventory.Draining, inventory.Draining
	s.step(13, Snapshot{Source: "file", Revision: "f8", Servers: drained}, "") // draining counts as removing
}
