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

// The deployed node was once built without external linking. Go then makes a static program, into which the fleet
// trial's library cannot be loaded. The test builds the node as deploy/balancer.toml says.
func TestDeployedNodeIsLinkedDynamically(t *testing.T) {
	var deploy struct {
		Build, Run string
		Packages   []string
	}
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(deploy.Run, "exec ") || strings.ContainsAny(deploy.Run, ";&|") {
		t.Errorf("run is %q, want one exec", deploy.Run)
	}
	if len(deploy.Packages) == 0 {
		t.Error("packages is empty: cgo needs a C compiler and its headers")
	}
	const output = "-o bin/ ./cmd/..."
	if !strings.Contains(deploy.Build, output) {
		t.Fatalf("build is %q, want it to end in %q", deploy.Build, output)
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
	t.Error("the built node has no interpreter: it is linked statically")
}

// The list of tests that may fail must not hide any other test, nor grow.
func TestKnownRedIsReadStrictly(t *testing.T) {
	one := "TestKnownRedIsReadStrictly, a cause, issue 1\n"
	for text, want := range map[string]struct {
		names int
		fault string
	}{
		"":                    {0, ""},
		"\n":                  {0, ""},
		one:                   {1, ""},
		one + "\n" + one:      {2, ""},
		one + one + one:       {3, ""},
		one[:len(one)-1]:      {1, ""}, // no line end
		one + one + one + one: {0, "more than three lines"},
		"TestNobodyHasWritten, a cause, issue 1\n": {0, "there is no test TestNobodyHasWritten"},
		"TestKnownRedIsReadStrictly\n":             {0, "is not: test, cause, issue"},
		".*, a cause, issue 1\n":                   {0, "is not: test, cause, issue"},
		"TestKnown.*, a cause, issue 1\n":          {0, "is not: test, cause, issue"},
	} {
		list := filepath.Join(t.TempDir(), "red")
		if err := os.WriteFile(list, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("bash", ".ci/red", list)
		cmd.Dir = filepath.Join("..", "..")
		var fault strings.Builder
		cmd.Stderr = &fault
		out, err := cmd.Output()
		if (err != nil) != (want.fault != "") || !strings.Contains(fault.String(), want.fault) {
			t.Errorf("%q: %v, %q", text, err, fault.String())
		}
		if want.fault == "" && strings.Count(string(out), "\n") != want.names {
			t.Errorf("%q names %q", text, out)
		}
	}
}
