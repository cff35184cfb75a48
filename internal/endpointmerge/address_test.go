package endpointmerge

import (
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// A new process at the address of an old one is another server, and two servers at one address cannot both be members. A server
// that appears after the first list is taken for just started: without that it gets the full load of a warm one.
func TestAddressesAndStarts(t *testing.T) {
	set := testSettings()
	set.Sources = []string{"file"}
	v := New(set)
	v.Step(1000, Snapshot{Source: "file", Revision: "1", Servers: servers("p", 3)})
	out := v.Step(2000, Snapshot{Source: "file", Revision: "2", Servers: append(servers("p", 2), inventory.Server{ID: "n3", Address: "10.0.0.3:80", Pod: "p"})})
	if len(out.Changes) != 2 || out.Changes[0].ID != "n3" || out.Changes[0].Started != 2000 || !out.Changes[1].Removed || out.Changes[1].ID != "s3" {
		t.Errorf("pushed %+v", out.Changes)
	}
	for _, m := range v.Members() {
		if m.ID != "n3" && m.Started != 0 {
			t.Errorf("%s was there from the start, and is taken to have started at %v", m.ID, m.Started)
		}
	}
	set.Sources = []string{"file", "discovery"}
	v = New(set)
	v.Step(1, Snapshot{Source: "file", Revision: "1", Servers: servers("p", 1)})
	v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: []inventory.Server{{ID: "x1", Address: "10.0.0.1:80"}}})
	if got := v.Members(); len(got) != 1 || got[0].ID != "x1" {
		t.Errorf("two ids at one address: %+v, want discovery's, which owns addresses", got)
	}
	v.Step(3, Delta{Source: "discovery", Revision: "2", Removed: []string{"x1"}})
	if got := v.Members(); len(got) != 1 || got[0].ID != "s1" {
		t.Errorf("after the other is gone: %+v", got)
	}
}
