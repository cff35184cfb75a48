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

// nodePackage is the import path of the tackhub command, which is built if no program is given.
const nodePackage = "tackhub.example/tackhub/cmd/tackhub"

// nodeCommand returns the command that starts a scenario's nodes and a description of its build. The nodes of a baseline are
// started with this program. For other nodes it uses the given program, else the scenario's. If there is neither, it builds
// one with the build tags or, if there are no tags, calls findProgram. clean removes the program if it was built.
func nodeCommand(s *scenario.Scenario, program, tags string) (argv []string, build string, clean func(), err error) {
	clean = func() {}
	if s.Nodes.Kind != "tackhub" {
		self, err := os.Executable()
		if err != nil {
			return nil, "", clean, err
		}
		argv = []string{self, "baseline", "--policy", s.Nodes.Kind}
		build = "baseline " + s.Nodes.Kind
		if s.Nodes.Defect != "" {
			argv = append(argv, "--break", s.Nodes.Defect)
			build += " broken by " + s.Nodes.Defect
		}
		return argv, build, clean, nil
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
	build, err = describeBuild(program)
	return []string{program}, build, clean, err
}

// findProgram returns the tackhub program in the directory of this program, or a new build if there is none.
func findProgram() (string, func(), error) {
	if self, err := os.Executable(); err == nil {
		sibling := filepath.Join(filepath.Dir(self), "tackhub")
		if _, err := os.Stat(sibling); err == nil {
			return sibling, func() {}, nil
		}
	}
	return buildProgram("")
}

// buildProgram builds tackhub with the given build tags in a temporary directory. The returned function removes it.
func buildProgram(tags string) (string, func(), error) {
	dir, err := os.MkdirTemp("", "tacklab-build")
	if err != nil {
		return "", func() {}, err
	}
	clean := func() { _ = os.RemoveAll(dir) }
	path := filepath.Join(dir, "tackhub")
	if out, err := exec.Command("go", "build", "-tags", tags, "-o", path, nodePackage).CombinedOutput(); err != nil {
		clean()
		return "", func() {}, fmt.Errorf("building tackhub: %w\n%s", err, out)
	}
	return path, clean, nil
}

// describeBuild identifies a program in reports: its revision, whether there were uncommitted changes, its size and a hash.
func describeBuild(program string) (string, error) {
	raw, err := os.ReadFile(program)
	if err != nil {
		return "", err
	}
	revision, modified := "no revision", ""
	if info, err := buildinfo.ReadFile(program); err == nil {
		for _, setting := range info.Settings {
			switch {
			case setting.Key == "vcs.revision":
				revision = setting.Value[:min(12, len(setting.Value))]
			case setting.Key == "vcs.modified" && setting.Value == "true":
				modified = " with changes"
			}
		}
	}
	return fmt.Sprintf("tackhub %s%s, %d bytes, %016x", revision, modified, len(raw), xxhash.Sum64(raw)), nil
}
