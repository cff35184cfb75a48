package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// The deployed node was once built without external linking. Go then produces a static executable, and the fleet trial
// cannot load its library into such an executable. The test builds the node with the command in deploy/balancer.toml.
func TestDeployedNodeIsLinkedDynamically(t *testing.T) {
	var deploy struct {
		Build, Run string
		Packages   []string
	}
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(deploy.Run, "exec ") || strings.ContainsAny(deploy.Run, ";&|") {
		t.Errorf("run is %q, want a single exec command", deploy.Run)
	}
	if len(deploy.Packages) == 0 {
		t.Error("packages is empty, want a C compiler and its headers, which cgo needs")
	}
	const output = "-o bin/ ./cmd/..."
	if !strings.Contains(deploy.Build, output) {
		t.Fatalf("build is %q, want it to contain %q", deploy.Build, output)
	}
	dir := t.TempDir()
	build := exec.Command("sh", "-c", strings.Replace(deploy.Build, output, "-o "+dir+"/ ./cmd/tackhub", 1))
	build.Dir = "../.."
	build.Env = append(os.Environ(), "GOFLAGS=")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", deploy.Build, err, out)
	}
	f, err := elf.Open(filepath.Join(dir, "tackhub"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for _, p := range f.Progs {
		if p.Type == elf.PT_INTERP {
			return
		}
	}
	t.Error("the built node has no PT_INTERP segment, so it is linked statically, want dynamically")
}
