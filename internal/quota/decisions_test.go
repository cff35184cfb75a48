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

// runWorld returns a checksum of every allocation in a seeded run with kills, cuts, pauses and restarts.
func runWorld(seed uint64) string {
	members := []int{2, 3, 5, 12}[seed%4]
	w := newWorld(members, seed)
	digest := sha256.New()
	record := func() {
		for i, p := range w.procs {
			if p.up {
				fmt.Fprintln(digest, w.now, i, p.allocator.Allocation(p.now(w)), p.allocator.Status(p.now(w)), p.allocator.Peers())
			}
		}
	}
	w.run(8*time.Second, record)
	for range 6 {
		name := w.names[w.rng.IntN(members)]
		p := w.current(name)
		switch w.rng.IntN(5) {
		case 0:
			if p != nil {
				w.kill(p, w.rng.IntN(2) == 0)
			}
		case 1:
			if p == nil {
				w.start(name, name+":1")
			}
		case 2:
			if p != nil {
				p.stopped = true
			}
		case 3:
			w.wakeAll(func() {})
		case 4:
			for _, other := range w.names {
				w.cut[[2]string{name, other}] = w.rng.IntN(2) == 0
			}
		}
		w.run(time.Duration(w.rng.Int64N(int64(6*time.Second))), record)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// The file holds checksums of all allocations in seeded runs with a released version: a change of names or of shape must not change
// one allocation or the moment from which it holds.
func TestAllocationsAreThoseRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/allocations.sha256")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(raw))
	if len(want) != 16 {
		t.Fatalf("%d checksums", len(want))
	}
	for seed, sum := range want {
		if got := runWorld(uint64(seed)); got != sum {
			t.Errorf("seed %d: %s, recorded %s", seed, got, sum)
		}
	}
}
