package proxy

import (
	"testing"
	"time"
)

// A set that forgot ids too early would let a request run twice, and one that forgot none would grow without end.
func TestRecentIDsAreKeptForTheirTimeAndNumber(t *testing.T) {
	start := time.Now()
	var ids recentIDs
	ids.add(1, start)
	if !ids.contains(1, start.Add(recentIDTime)) {
		t.Errorf("an id is unknown after %v, want it known", recentIDTime)
	}
	if ids.contains(1, start.Add(3*recentIDTime)) {
		t.Errorf("an id is known after %v, want it forgotten", 3*recentIDTime)
	}
	const first = uint64(100)
	later := start.Add(4 * recentIDTime)
	for n := range uint64(5 * maxRecentIDs) {
		ids.add(first+n, later)
		if n >= maxRecentIDs && !ids.contains(first+n-maxRecentIDs+1, later) {
			t.Fatalf("an id is unknown after %d further ones, want it known", maxRecentIDs-1)
		}
	}
	if n := len(ids.hashes(later)); n > 2*maxRecentIDs {
		t.Errorf("%d ids are kept, want at most %d", n, 2*maxRecentIDs)
	}
}
