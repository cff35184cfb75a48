package overload

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
)

// decisionChecksum returns a checksum of every decision of two nodes without overload, with overload, message loss, a restart and a
// silent node. It uses two nodes because the rates of more members are summed in no fixed order, which changes the last digits.
func decisionChecksum(seed uint64) string {
	f := newFleet(2, seed)
	f.nodes[0].requestFraction, f.nodes[1].requestFraction = 0.3, 0.7
	digest := sha256.New()
	steps := func(count int) {
		for range count {
			f.step()
			for _, n := range f.nodes {
				fmt.Fprintln(digest, f.now, n.name, n.admission, n.controller.Rates())
				for _, s := range n.controller.NextSummaries(f.now, 1) {
					fmt.Fprintln(digest, s)
				}
			}
		}
	}
	steps(20)
	f.capacity = 550
	steps(20)
	f.lossRate = 0.4
	steps(20)
	f.restart(1)
	steps(20)
	f.nodes[0].silent = true
	steps(20)
	f.nodes[0].silent, f.capacity = false, 2000
	steps(30)
	for range 8 {
		f.nodes[0].counts.Attempts += 100
		f.nodes[0].counts.Successes += 40
		f.nodes[0].controller.Observe(f.now+1, f.nodes[0].uptime+1, f.nodes[0].counts)
		steps(1)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// A refactoring must not change any decision. The file contains checksums of seeded simulations that were recorded with a released
// version.
func TestDecisionsMatchRecordedChecksums(t *testing.T) {
	raw, err := os.ReadFile("testdata/decisions.sha256")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(raw))
	if len(want) != 8 {
		t.Fatalf("testdata has %d checksums, want 8", len(want))
	}
	for seed, sum := range want {
		if got := decisionChecksum(uint64(seed)); got != sum {
			t.Errorf("seed %d: checksum = %s, want %s", seed, got, sum)
		}
	}
}
