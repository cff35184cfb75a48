package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallUses are the places in the node that read the wall clock, by file: how many, and what a step of it by an hour affects there.
// docs/operating/stops.md has the same list in words.
var wallUses = map[string]int{
	"internal/clock/clock.go":         1, // the start of the node's clock: read once, carried on by the monotonic clock
	"internal/discovery/staleness.go": 1, // a counter that operators read
	"internal/cluster/link.go":        1, // the generation of a process, read once; one that is lower than its predecessor's is mended by the core
	"internal/cluster/quota.go":       2, // what the local socket shows
}

// A wall clock may be stepped by an hour at any time. Deadlines, windows and waits are spans of real time and must not move with it,
// so every reading of the wall clock has to be listed with what a step does there.
func TestNoFurtherUseOfTheWallClock(t *testing.T) {
	use := regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)|\.Round\(0\)|unix\.(CLOCK_REALTIME|Gettimeofday)`)
	found := map[string]int{}
	for _, top := range []string{"internal", "balancer", filepath.Join("cmd", "tackhub")} {
		err := filepath.WalkDir(filepath.Join("..", "..", top), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if n := len(use.FindAll(text, -1)); n > 0 {
				name, _ := filepath.Rel(filepath.Join("..", ".."), path)
				found[filepath.ToSlash(name)] = n
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name, n := range found {
		if wallUses[name] != n {
			t.Errorf("%s reads the wall clock %d times, %d are known: say what a step does there", name, n, wallUses[name])
		}
	}
	for name := range wallUses {
		if found[name] == 0 {
			t.Errorf("%s reads the wall clock no longer: take it off the list", name)
		}
	}
}
