package membership

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"
)

// delivery is a message on its way.
type delivery struct {
	at time.Duration
	to int
	m  Message
}

// runCluster runs seven members through loss, one-way cuts, kills, standstills and restarts, and sums up every message, note and
// view in the order in which they came.
func runCluster(t *testing.T, seed uint64) string {
	const members, steps, step = 7, 1600, 50 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 77))
	digest := sha256.New()
	address := func(i int) string { return fmt.Sprintf("10.0.1.%d:7946", i) }
	most := members + 1
	if seed%3 == 2 {
		most = members - 2 // some find no room
	}
	start := uint64(0)
	begin := func(i int, now time.Duration) *Core {
		start++
		if seed%4 == 3 && start%5 == 0 {
			start -= 3 // the clock was set back
		}
		return New(Options{Name: fmt.Sprintf("n%d", i), Address: address(i), ClusterHash: 1, Generation: start, RandSeed: seed + uint64(i), ProbeInterval: 250 * time.Millisecond,
			ProbeTimeout: 150 * time.Millisecond, SuspicionTimeout: 1500 * time.Millisecond, MaxMembers: most, SeedAddresses: []string{address(0), address(1)}}, now)
	}
	cores, down, still := make([]*Core, members), make([]bool, members), make([]int, members)
	for i := range cores {
		cores[i] = begin(i, 0)
	}
	var cut [members][members]bool
	var network []delivery
	take := func(from int, now time.Duration) {
		out, notes := cores[from].TakeOutput()
		for _, n := range notes {
			fmt.Fprintln(digest, now, from, n.Code, n.Args)
		}
		for _, s := range out {
			raw, err := s.Message.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(digest, "%d %d %s %s %v %x\n", now, from, s.To, s.Address, s.Stream, raw)
			var to int
			if _, err := fmt.Sscanf(s.Address, "10.0.1.%d:7946", &to); err != nil {
				t.Fatal(err)
			}
			if !cut[from][to] && (s.Stream || rng.IntN(10) > 0) {
				network = append(network, delivery{now + time.Duration(rng.Int64N(int64(80*time.Millisecond))), to, s.Message})
			}
		}
	}
	for n := range steps {
		now := time.Duration(n) * step
		due := network
		network = nil
		for _, d := range due {
			if d.at > now {
				network = append(network, d)
			} else if !down[d.to] && still[d.to] == 0 {
				cores[d.to].Receive(now, &d.m)
				take(d.to, now)
			}
		}
		for i, c := range cores {
			if still[i] > 0 {
				still[i]--
			} else if !down[i] {
				c.Tick(now)
				take(i, now)
				writeView(digest, c)
			}
		}
		if n%80 == 79 {
			disturb(rng, members, func(kind, a, b int) {
				switch kind {
				case 0:
					down[a] = true
				case 1:
					if down[a] {
						cores[a], down[a] = begin(a, now), false
					}
				case 2:
					cut[a][b] = !cut[a][b]
				case 3:
					still[a] = 40
				case 4:
					cut = [members][members]bool{}
				case 5:
					cores[a].Leave(now)
					take(a, now)
					down[a] = true
				}
			})
		}
	}
	return hex.EncodeToString(digest.Sum(nil))
}

func disturb(rng *rand.Rand, members int, do func(kind, a, b int)) {
	for range 2 {
		do(rng.IntN(6), rng.IntN(members), rng.IntN(members))
	}
}

func writeView(digest io.Writer, c *Core) {
	v := c.View()
	fmt.Fprintln(digest, v.Number, v.Hash, v.Members, c.Connectivity(), c.State())
	for _, m := range c.Status().Members {
		fmt.Fprintln(digest, m)
	}
}

// Checksums of all that members did in seeded runs, recorded with a released version: a change of names or of shape must not
// change one message, its order or its time.
func TestDecisionsAreThoseRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/decisions.sha256")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(raw))
	if len(want) != 12 {
		t.Fatalf("%d checksums", len(want))
	}
	for seed, sum := range want {
		if got := runCluster(t, uint64(seed)); got != sum {
			t.Errorf("seed %d: %s, recorded %s", seed, got, sum)
		}
	}
}
