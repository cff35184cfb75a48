package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockReads is the number of places that read the wall clock in each file of the node. The comments describe what a step
// of the wall clock by an hour affects there. docs/operating/stops.md has the same list.
var wallClockReads = map[string]int{
	"internal/clock/clock.go":         1, // start of the node's clock: read once, then advanced by the monotonic clock
	"internal/discovery/applylist.go": 2, // counters for operators
	"internal/cluster/link.go":        1, // generation of a process, read once; the core corrects one that is lower than its predecessor's
	"internal/cluster/quota.go":       2, // times shown on the local socket
}

// The wall clock may be stepped by an hour at any time. Deadlines, windows and waits measure elapsed time and must not change with
// it, so every read of the wall clock must be listed in wallClockReads with the effect of a step.
func TestWallClockReadsAreListed(t *testing.T) {
	wallClockRead := regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)|\.Round\(0\)|unix\.(CLOCK_REALTIME|Gettimeofday)`)
	found := map[string]int{}
	for _, top := range []string{"internal", "balancer", filepath.Join("cmd", "tackhub")} {
		err := filepath.WalkDir(filepath.Join("..", "..", top), func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			if n := len(wallClockRead.FindAll(text, -1)); n > 0 {
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
		if wallClockReads[name] != n {
			t.Errorf("%s reads the wall clock in %d places, want %d: list it with the effect of a step", name, n, wallClockReads[name])
		}
	}
	for name := range wallClockReads {
		if found[name] == 0 {
			t.Errorf("%s does not read the wall clock: remove it from wallClockReads", name)
		}
	}
}
