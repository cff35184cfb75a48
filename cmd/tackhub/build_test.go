package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the built node that the tests start.
var program string

// The tests start a program that TestMain builds, so nothing in the test binary itself would depend on the node's code. The
// linker would leave that code out, the binary would be the same after a change of the node, and `go test` would print the
// cached result of an older node. The initialization of this variable reaches every command and with it the node.
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
