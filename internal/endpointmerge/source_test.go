package endpointmerge

import (
	"testing"
)

// A list restored from disk serves until every source has reported, and guards against a truncated file at the start.
func TestRestored(t *testing.T) {
	s := sequence{t, New(testSettings())}
	s.step(1, Snapshot{Source: SourceRestored, Revision: "7", Servers: servers("p", 6)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1")
	if !s.v.Stale() {
		t.Error("a restored view is not stale")
	}
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, "")
	s.step(3, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 6)}, "")
	s.step(4, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 6)}, "")
	if s.v.Stale() {
		t.Error("stale after all have reported")
	}
	set := testSettings()
	set.RequiredSources = []string{"file"}
	s = sequence{t, New(set)}
	s.step(1, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 2)}, " s1@1 s2@1")
	s.step(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, " s2-") // one of two is not the least of a mass removal
}
