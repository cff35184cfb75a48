package knownred

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

// A Runner runs what the list is about. Its output is that of the commands, and a line on each entry.
type Runner struct {
	Entries []Entry
	Dir     string // the module's root
	Out     io.Writer
}

// errFailed says that something failed that is not listed; the output says what.
var errFailed = errors.New("a test or run that is not listed failed")

// Check reports listed tests that the tree has not.
func (r *Runner) Check() error {
	for _, e := range r.Entries {
		if e.Package == "" {
			continue
		}
		top, _, _ := strings.Cut(e.Name, "/")
		out, err := r.command("go", "test", "-list", "^"+top+"$", e.Package).Output()
		if err != nil {
			return fmt.Errorf("%s: %s cannot be asked for its tests: %w", e.Name, e.Package, err)
		}
		if !slices.Contains(strings.Split(string(out), "\n"), top) {
			return fmt.Errorf("%s: there is no such test in %s", e.Name, e.Package)
		}
	}
	return nil
}

// Test runs all tests. Those that are listed run by themselves after the others, and their results are told; all others have to pass.
func (r *Runner) Test() error {
	listed := r.packagesWithEntries()
	others, err := r.otherPackages(listed)
	if err != nil {
		return err
	}
	failed := r.stream("go", append([]string{"test"}, others...)...) != nil
	for _, name := range listed {
		if r.stream("go", "test", "-skip", r.skipPattern(name), name) != nil {
			failed = true
		}
	}
	for _, e := range r.Entries {
		if e.Package == "" {
			continue
		}
		if err := r.testEntry(e); err != nil {
			return err
		}
	}
	if failed {
		return errFailed
	}
	return nil
}

// packagesWithEntries returns the packages that have listed tests, each once.
func (r *Runner) packagesWithEntries() []string {
	var listed []string
	for _, e := range r.Entries {
		if e.Package != "" && !slices.Contains(listed, e.Package) {
			listed = append(listed, e.Package)
		}
	}
	return listed
}

// otherPackages returns the import paths of all packages but the ones listed.
func (r *Runner) otherPackages(listed []string) ([]string, error) {
	all, err := r.listPackages("./...")
	if err != nil || len(listed) == 0 {
		return all, err
	}
	excluded, err := r.listPackages(listed...)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(all, func(path string) bool { return slices.Contains(excluded, path) }), nil
}

// listPackages returns the import paths of packages.
func (r *Runner) listPackages(patterns ...string) ([]string, error) {
	out, err := r.command("go", append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list %s: %w", strings.Join(patterns, " "), err)
	}
	return strings.Fields(string(out)), nil
}

// skipPattern selects the listed tests of a package.
func (r *Runner) skipPattern(name string) string {
	var patterns []string
	for _, e := range r.Entries {
		if e.Package == name {
			patterns = append(patterns, e.pattern())
		}
	}
	return strings.Join(patterns, "|")
}

// testEntry runs one listed test and tells its result. A case that the test has not is an error.
func (r *Runner) testEntry(e Entry) error {
	var out bytes.Buffer
	cmd := r.command("go", "test", "-v", "-run", e.pattern(), e.Package)
	cmd.Stdout = &out
	cmd.Stderr = &out
	failed := cmd.Run() != nil
	ran := regexp.MustCompile(`(?m)^=== RUN\s+` + regexp.QuoteMeta(e.Name) + `$`).Match(out.Bytes())
	if !ran && !failed {
		return fmt.Errorf("%s: there is no such test in %s", e.Name, e.Package)
	}
	if failed {
		_, _ = r.Out.Write(out.Bytes())
	}
	r.tell(e, failed)
	return nil
}

// PlayListed plays the listed runs, and tells their results.
func (r *Runner) PlayListed() {
	for _, e := range r.Entries {
		if e.Seed == "" {
			continue
		}
		argv := strings.Fields(e.Command)
		r.tell(e, r.stream(argv[0], argv[1:]...) != nil)
	}
}

// Run runs a command. It has to pass, unless it is a listed run.
func (r *Runner) Run(argv []string) error {
	failed := r.stream(argv[0], argv[1:]...) != nil
	if i := slices.IndexFunc(r.Entries, func(e Entry) bool { return e.isRun(argv) }); i >= 0 {
		r.tell(r.Entries[i], failed)
		return nil
	}
	if failed {
		return errFailed
	}
	return nil
}

// isRun reports whether a command is the run of an entry: the same program with the same arguments.
func (e Entry) isRun(argv []string) bool {
	return e.Seed != "" && slices.Equal(strings.Fields(e.Command), argv)
}

// tell writes the result of an entry.
func (r *Runner) tell(e Entry, failed bool) {
	result := "passed"
	if failed {
		result = "failed"
	}
	_, _ = fmt.Fprintf(r.Out, "known red, %s in this run: %s (%s; %s)\n", result, e.Name, e.Seen, e.Issue)
}

// stream runs a command with its output passed on.
func (r *Runner) stream(name string, args ...string) error {
	cmd := r.command(name, args...)
	cmd.Stdout = r.Out
	cmd.Stderr = r.Out
	return cmd.Run()
}

func (r *Runner) command(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(name, args...)
	cmd.Dir = r.Dir
	return cmd
}
