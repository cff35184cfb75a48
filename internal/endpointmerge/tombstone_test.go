package endpointmerge

import (
	"testing"
)

// A file may still list a server that discovery has removed. Without tombstones the server would become a member again, and
// requests would go to a process that has ended.
func TestTombstoneOverridesOutdatedList(t *testing.T) {
	s := sequence{t, New(testSettings())}
	s.step(1, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 3)}, " s1@1 s2@1 s3@1")
	s.step(2, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 3)}, "")
	s.step(3, Delta{Source: "discovery", Revision: "2", Removed: []string{"s2"}}, " s2-")
	s.step(4, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 3)}, "")
	s.step(5, Delta{Source: "discovery", Revision: "3", Updated: servers("p", 2)[1:]}, " s2@1") // discovery lists it again
	s.step(6, Delta{Source: "discovery", Revision: "4", Removed: []string{"s2"}}, " s2-")
	s.step(61_000, Tick{}, "") // the tombstone has expired, but no source has reported the server since
	s.step(61_001, Snapshot{Source: "file", Revision: "f3", Servers: servers("p", 3)}, " s2@1")
	s.step(61_002, Delta{Source: "discovery", Revision: "5", Removed: []string{"s3"}}, " s3-")
	s.step(61_003, Withdrawn{"discovery"}, " s3@1") // its tombstones are deleted too
}
