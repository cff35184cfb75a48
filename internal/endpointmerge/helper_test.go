package endpointmerge

import (
	"fmt"
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

func testSettings() Settings {
	return Settings{Sources: []string{"file", "discovery"}, FieldPrecedence: map[string][]string{FieldAddress: {"discovery", "file"}},
		GuardedSources: []string{"file"}, MaxRemovedFraction: 0.3, MinHeldRemovals: 2, TombstoneTTL: 60_000}
}

// server returns a serving server of zone a. The last number of its address is the number in its id.
func server(id, pod string) inventory.Server {
	return inventory.Server{ID: id, Address: "10.0.0." + id[1:] + ":80", Zone: "a", Pod: pod, Phase: inventory.Serving}
}

// servers returns the servers s1 to s<n> of a pod.
func servers(pod string, n int) []inventory.Server {
	var out []inventory.Server
	for i := range n {
		out = append(out, server(fmt.Sprintf("s%d", i+1), pod))
	}
	return out
}

// sequence applies events to a view and compares the changes after each, written as id@group, with id~@group for a draining server and id-
// for a removed one. The groups are numbered from 1 in the order in which their cells were assigned; those of pods whose name is a number
// are written as #number.
type sequence struct {
	t *testing.T
	v *View
}

func (s sequence) step(now Millis, e Event, want string) Outcome {
	s.t.Helper()
	out := s.v.Step(now, e)
	got := ""
	for _, p := range out.Changes {
		got += " " + p.ID
		switch {
		case p.Removed:
			got += "-"
		case p.Draining:
			got += "~"
		}
		if !p.Removed {
			got += "@" + cellText(p.Cell)
		}
	}
	if got != want {
		s.t.Errorf("at %v, %T: changes =%s, want%s", now, e, got, want)
	}
	return out
}

// cellText returns the text for a cell in the changes of a sequence.
func cellText(cell int) string {
	if cell < firstAssignedCell {
		return fmt.Sprint("#", cell)
	}
	return fmt.Sprint(cell - firstAssignedCell + 1)
}
