package main

import (
	"debug/buildinfo"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cespare/xxhash/v2"

	"tackhub.example/tackhub/lab/scenario"
)

// nodePackage is what is built where no program is named.
const nodePackage = "tackhub.example/tackhub/cmd/tackhub"

// nodeCommand is how a scenario's nodes are started, and which build that is. With build tags the program is built with
// them unless one is named. clean removes what was built.
func nodeCommand(s *scenario.Scenario, program, tags string) (argv []string, about string, clean func(), err error) {
	clean = func() {}
	if s.Nodes.Kind != "tackhub" {
		self, err := os.Executable()
		if err != nil {
			return nil, "", clean, err
		}
		argv = []string{self, "baseline", "--policy", s.Nodes.Kind}
		about = "baseline " + s.Nodes.Kind
		if s.Nodes.Defect != "" {
			argv = append(argv, "--break", s.Nodes.Defect)
			about += " broken by " + s.Nodes.Defect
		}
		return argv, about, clean, nil
	}
	if program == "" {
		program = s.Nodes.Program
	}
	if program == "" && tags != "" {
		if program, clean, err = buildProgram(tags); err != nil {
			return nil, "", clean, err
		}
	}
	if program == "" {
		if program, clean, err = findProgram(); err != nil {
			return nil, "", clean, err
		}
	}
	if program, err = filepath.Abs(program); err != nil {
		return nil, "", clean, err
	}
	about, err = describeBuild(program)
	return []string{program}, about, clean, err
}

// findProgram is the tackhub beside this program, or else a fresh build.
func findProgram() (string, func(), error) {
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "tackhub")
		if _, err := os.Stat(beside); err == nil {
			return beside, func() {}, nil
		}
	}
	return buildProgram("")
}

// buildProgram builds tackhub with the given build tags.
func buildProgram(tags string) (string, func(), error) {
	dir, err := os.MkdirTemp("", "tacklab-build")
	if err != nil {
		return "", func() {}, err
	}
	clean := func() { _ = os.RemoveAll(dir) }
	path := filepath.Join(dir, "tackhub")
	if out, err := exec.Command("go", "build", "-tags", tags, "-o", path, nodePackage).CombinedOutput(); err != nil {
		clean()
		return "", func() {}, fmt.Errorf("tackhub cannot be built: %w\n%s", err, out)
	}
	return path, clean, nil
}

// describeBuild names a build so that two reports can be told apart: revision, whether it has changes, and a hash.
func describeBuild(program string) (string, error) {
	raw, err := os.ReadFile(program)
	if err != nil {
		return "", err
	}
	revision, changed := "no revision", ""
	if info, err := buildinfo.ReadFile(program); err == nil {
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				revision = s.Value[:min(12, len(s.Value))]
			case s.Key == "vcs.modified" && s.Value == "true":
				changed = " with changes"
			}
		}
	}
	return fmt.Sprintf("tackhub %s%s, %d bytes, %016x", revision, changed, len(raw), xxhash.Sum64(raw)), nil
}
