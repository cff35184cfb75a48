package overload

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
)

// runFleet sums up every decision of two nodes through calm, overload, loss, a restart and silence. Two, since the sum of more
// members' rates is taken in no fixed order and differs in its last digits.
func runFleet(seed uint64) string {
	f := newFleet(2, seed)
	f.nodes[0].share, f.nodes[1].share = 0.3, 0.7
	digest := sha256.New()
	steps := func(n int) {
		for range n {
			f.step()
			for _, n := range f.nodes {
				fmt.Fprintln(digest, f.now, n.name, n.cut, n.s.Rates())
				for _, s := range n.s.NextSummaries(f.now, 1) {
					fmt.Fprintln(digest, s)
				}
			}
		}
	}
	steps(20)
	f.capacity = 550
	steps(20)
	f.loss = 0.4
	steps(20)
	f.restart(1)
	steps(20)
	f.nodes[0].silent = true
	steps(20)
	f.nodes[0].silent, f.capacity = false, 2000
	steps(30)
	for range 8 {
		f.nodes[0].c.Attempts += 100
		f.nodes[0].c.Successes += 40
		f.nodes[0].s.Observe(f.now+1, f.nodes[0].at+1, f.nodes[0].c)
		steps(1)
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Checksums of all decisions in seeded runs, recorded with a released version: a change of names or of shape must not change one.
func TestDecisionsAreThoseRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/decisions.sha256")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(raw))
	if len(want) != 8 {
		t.Fatalf("%d checksums", len(want))
	}
	for seed, sum := range want {
		if got := runFleet(uint64(seed)); got != sum {
			t.Errorf("seed %d: %s, recorded %s", seed, got, sum)
		}
	}
}
