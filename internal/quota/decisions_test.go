package quota

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// allocationChecksum returns a checksum of all allocations in a seeded simulation with kills, cut links, pauses and restarts.
func allocationChecksum(seed uint64) string {
	members := []int{2, 3, 5, 12}[seed%4]
	s := newSimulation(members, seed)
	digest := sha256.New()
	record := func() {
		for i, p := range s.processes {
			if p.running {
				fmt.Fprintln(digest, s.now, i, p.allocator.Allocation(p.localTime(s)), p.allocator.Status(p.localTime(s)), p.allocator.Peers())
			}
		}
	}
	s.run(8*time.Second, record)
	for range 6 {
		name := s.names[s.rng.IntN(members)]
		p := s.runningProcess(name)
		switch s.rng.IntN(5) {
		case 0:
			if p != nil {
				s.kill(p, s.rng.IntN(2) == 0)
			}
		case 1:
			if p == nil {
				s.startProcess(name, name+":1")
			}
		case 2:
			if p != nil {
				p.paused = true
			}
		case 3:
			s.resumeAll(func() {})
		case 4:
			for _, other := range s.names {
				s.cutLinks[[2]string{name, other}] = s.rng.IntN(2) == 0
			}
		}
		s.run(time.Duration(s.rng.Int64N(int64(6*time.Second))), record)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// A refactoring must not change any allocation or the time from which it applies. The file contains checksums of seeded simulations
// that were recorded with a released version.
func TestAllocationsMatchRecordedChecksums(t *testing.T) {
	raw, err := os.ReadFile("testdata/allocations.sha256")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(raw))
	if len(want) != 16 {
		t.Fatalf("testdata has %d checksums, want 16", len(want))
	}
	for seed, sum := range want {
		if got := allocationChecksum(uint64(seed)); got != sum {
			t.Errorf("seed %d: checksum = %s, want %s", seed, got, sum)
		}
	}
}
