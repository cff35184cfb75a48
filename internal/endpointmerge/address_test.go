package endpointmerge

import (
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// A new process at the address of an old one is another server, and two servers with one address cannot both be members. A
// server that appears after the first list counts as just started, since it would otherwise skip slow start and get full load.
func TestAddressOwnerAndStartTime(t *testing.T) {
	settings := testSettings()
	settings.Sources = []string{"file"}
	v := New(settings)
	v.Step(1000, Snapshot{Source: "file", Revision: "1", Servers: servers("p", 3)})
	out := v.Step(2000, Snapshot{Source: "file", Revision: "2", Servers: append(servers("p", 2), inventory.Server{ID: "n3", Address: "10.0.0.3:80", Pod: "p"})})
	if len(out.Changes) != 2 || out.Changes[0].ID != "n3" || out.Changes[0].Started != 2000 || !out.Changes[1].Removed || out.Changes[1].ID != "s3" {
		t.Errorf("changes = %+v, want n3 started at 2000 and s3 removed", out.Changes)
	}
	for _, m := range v.Members() {
		if m.ID != "n3" && m.Started != 0 {
			t.Errorf("start time of %s, a server of the first list, = %v, want 0", m.ID, m.Started)
		}
	}
	settings.Sources = []string{"file", "discovery"}
	v = New(settings)
	v.Step(1, Snapshot{Source: "file", Revision: "1", Servers: servers("p", 1)})
	v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: []inventory.Server{{ID: "x1", Address: "10.0.0.1:80"}}})
	if got := v.Members(); len(got) != 1 || got[0].ID != "x1" {
		t.Errorf("members with two ids at one address = %+v, want only x1 from discovery, which has precedence", got)
	}
	v.Step(3, Delta{Source: "discovery", Revision: "2", Removed: []string{"x1"}})
	if got := v.Members(); len(got) != 1 || got[0].ID != "s1" {
		t.Errorf("members after x1 was removed = %+v, want only s1", got)
	}
}
