package endpointmerge

import (
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// A list restored from disk is used until every source has reported, and guards against a truncated file at startup. Its servers are groups
// by themselves until the file has reported, which states their pods.
func TestRestoredListUntilAllSourcesReport(t *testing.T) {
	s := sequence{t, New(testSettings())}
	s.step(1, Snapshot{Source: SourceRestored, Revision: "7", Servers: servers("p", 6)}, " s1@1 s2@2 s3@3 s4@4 s5@5 s6@6")
	if !s.v.Stale() {
		t.Error("Stale() after a restored list = false, want true")
	}
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, "")
	s.step(3, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 6)}, "")
	s.step(4, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 6)}, " s1@7 s2@7 s3@7 s4@7 s5@7 s6@7")
	if s.v.Stale() {
		t.Error("Stale() after all sources have reported = true, want false")
	}
	settings := testSettings()
	settings.RequiredSources = []string{"file"}
	s = sequence{t, New(settings)}
	s.step(1, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 2)}, " s1@1 s2@1")
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, " s2-") // not held: one removal is below MinHeldRemovals
}

// A node with a saved list starts, and the first that discovery says is a change: a server has been removed. If only removals of
// servers that discovery named since the start count, the saved entry keeps the server in service.
func TestRemovalWithdrawsRestoredServer(t *testing.T) {
	v := New(Settings{Sources: []string{"file", "discovery"}, TombstoneTTL: 600_000})
	v.Step(1, Snapshot{Source: SourceRestored, Servers: []inventory.Server{{ID: "a", Address: "10.0.0.1:80"}, {ID: "b", Address: "10.0.0.2:80"}}})
	v.Step(2, Delta{Source: "discovery", Revision: "2", Removed: []string{"a"}})
	if members := v.Members(); len(members) != 1 || members[0].ID != "b" {
		t.Errorf("members after the removal of a = %+v, want b alone", members)
	}
}

// A node with a saved list starts while a file is missing, and discovery's complete list names none of the servers that it had
// named before. If the saved entries count until every source has reported, these servers stay in service.
func TestCompleteListWithdrawsRestoredServersOfItsSource(t *testing.T) {
	v := New(Settings{Sources: []string{"file", "discovery"}, TombstoneTTL: 600_000})
	v.Step(1, Snapshot{Source: SourceRestored, Servers: []inventory.Server{
		{ID: "a", Address: "10.0.0.1:80"}, {ID: "b", Address: "10.0.0.2:80"}, {ID: "c", Address: "10.0.0.3:80"}},
		Origins: map[string][]string{"a": {"discovery"}, "b": {"file"}, "c": {"discovery", "file"}}})
	v.Step(2, Snapshot{Source: "discovery", Revision: "2"})
	if members := v.Members(); len(members) != 1 || members[0].ID != "b" {
		t.Errorf("members after discovery's empty list = %+v, want the file's server b alone", members)
	}
}

// A node starts with a list in which a server drains, and the first that discovery says is that the server is back in service. If the
// restored entry counted beside the changed one, the server would drain until a complete list came.
func TestChangeReplacesRestoredEntryOfItsSource(t *testing.T) {
	v := New(Settings{Sources: []string{"file", "discovery"}, TombstoneTTL: 600_000})
	v.Step(1, Snapshot{Source: SourceRestored, Servers: []inventory.Server{{ID: "a", Address: "10.0.0.1:80", Phase: inventory.Draining}, {ID: "b", Address: "10.0.0.2:80"}},
		Origins: map[string][]string{"a": {"discovery"}, "b": {"discovery"}}})
	v.Step(2, Delta{Source: "discovery", Revision: "2", Updated: []inventory.Server{{ID: "a", Address: "10.0.0.1:80", Phase: inventory.Serving}}})
	members := v.Members()
	if len(members) != 2 || members[0].Phase != inventory.Serving {
		t.Errorf("members after a is back = %+v, want a and b in service", members)
	}
	if pending := v.PendingSources(); len(pending) != 1 || pending[0] != "file" {
		t.Errorf("sources without a report = %v, want the file alone", pending)
	}
}
