package endpointmerge

import (
	"testing"
)

// A list restored from disk is used until every source has reported, and guards against a truncated file at startup.
func TestRestoredListUntilAllSourcesReport(t *testing.T) {
	s := sequence{t, New(testSettings())}
	s.step(1, Snapshot{Source: SourceRestored, Revision: "7", Servers: servers("p", 6)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1")
	if !s.v.Stale() {
		t.Error("Stale() after a restored list = false, want true")
	}
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, "")
	s.step(3, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 6)}, "")
	s.step(4, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 6)}, "")
	if s.v.Stale() {
		t.Error("Stale() after all sources have reported = true, want false")
	}
	settings := testSettings()
	settings.RequiredSources = []string{"file"}
	s = sequence{t, New(settings)}
	s.step(1, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 2)}, " s1@1 s2@1")
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, " s2-") // not held: one removal is below MinHeldRemovals
}
