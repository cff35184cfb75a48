package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the tackhub binary that TestMain builds and the tests start.
var program string

// This variable makes the test binary depend on the node's code, because its initialization refers to the code of every
// command. The tests only start the program that TestMain builds. Without the dependency the linker would omit the node's code,
// a change of the node would not change the test binary, and `go test` would print a cached result for an older node.
var _ = commands()

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tackhub")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "tackhub")
	args := []string{"build", "-o", program}
	if raceEnabled {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, ".")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the node: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
