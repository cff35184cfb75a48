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

// A Runner runs tests and seeded runs, of which the listed ones may fail. It writes the output of the commands and one line with
// the result of each entry.
type Runner struct {
	Entries []Entry
	Dir     string // root directory of the module
	Out     io.Writer
}

// errUnlistedFailure is returned if a test or run failed that is not listed. The output contains the details.
var errUnlistedFailure = errors.New("a test or run that is not listed as a known failure has failed")

// Check returns an error if a listed test does not exist. It does not check the cases of a test.
func (r *Runner) Check() error {
	for _, e := range r.Entries {
		if e.Package == "" {
			continue
		}
		topLevelTest, _, _ := strings.Cut(e.Name, "/")
		out, err := r.command("go", "test", "-list", "^"+topLevelTest+"$", e.Package).Output()
		if err != nil {
			return fmt.Errorf("%s: cannot list the tests of %s: %w", e.Name, e.Package, err)
		}
		if !slices.Contains(strings.Split(string(out), "\n"), topLevelTest) {
			return fmt.Errorf("%s: the test does not exist in %s", e.Name, e.Package)
		}
	}
	return nil
}

// Test runs all tests. The listed tests run separately after the others, and their results are reported; all others must pass.
func (r *Runner) Test() error {
	packages := r.packagesWithEntries()
	unlisted, err := r.otherPackages(packages)
	if err != nil {
		return err
	}
	failed := r.runStreaming("go", append([]string{"test"}, unlisted...)...) != nil
	for _, name := range packages {
		if r.runStreaming("go", "test", "-skip", r.skipPattern(name), name) != nil {
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
		return errUnlistedFailure
	}
	return nil
}

// packagesWithEntries returns the packages that have listed tests, without repeats.
func (r *Runner) packagesWithEntries() []string {
	var listed []string
	for _, e := range r.Entries {
		if e.Package != "" && !slices.Contains(listed, e.Package) {
			listed = append(listed, e.Package)
		}
	}
	return listed
}

// otherPackages returns the import paths of all packages except the listed ones.
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

// listPackages returns the import paths of the packages that match the patterns.
func (r *Runner) listPackages(patterns ...string) ([]string, error) {
	out, err := r.command("go", append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list %s: %w", strings.Join(patterns, " "), err)
	}
	return strings.Fields(string(out)), nil
}

// skipPattern returns the -skip pattern for the listed tests of a package.
func (r *Runner) skipPattern(name string) string {
	var patterns []string
	for _, e := range r.Entries {
		if e.Package == name {
			patterns = append(patterns, e.pattern())
		}
	}
	return strings.Join(patterns, "|")
}

// testEntry runs one listed test and reports its result. It returns an error if the listed case of the test does not exist.
func (r *Runner) testEntry(e Entry) error {
	var out bytes.Buffer
	cmd := r.command("go", "test", "-v", "-run", e.pattern(), e.Package)
	cmd.Stdout = &out
	cmd.Stderr = &out
	failed := cmd.Run() != nil
	ran := regexp.MustCompile(`(?m)^=== RUN\s+` + regexp.QuoteMeta(e.Name) + `$`).Match(out.Bytes())
	if !ran && !failed {
		return fmt.Errorf("%s: the test does not exist in %s", e.Name, e.Package)
	}
	if failed {
		_, _ = r.Out.Write(out.Bytes())
	}
	r.reportResult(e, failed)
	return nil
}

// RunListed runs the listed seeded runs and reports their results.
func (r *Runner) RunListed() {
	for _, e := range r.Entries {
		if e.Seed == "" {
			continue
		}
		argv := strings.Fields(e.Command)
		r.reportResult(e, r.runStreaming(argv[0], argv[1:]...) != nil)
	}
}

// Run runs a command. It returns an error if the command fails, unless the command is a listed run.
func (r *Runner) Run(argv []string) error {
	failed := r.runStreaming(argv[0], argv[1:]...) != nil
	if i := slices.IndexFunc(r.Entries, func(e Entry) bool { return e.isRun(argv) }); i >= 0 {
		r.reportResult(r.Entries[i], failed)
		return nil
	}
	if failed {
		return errUnlistedFailure
	}
	return nil
}

// isRun reports whether a command is the run of an entry, with the same program and the same arguments.
func (e Entry) isRun(argv []string) bool {
	return e.Seed != "" && slices.Equal(strings.Fields(e.Command), argv)
}

// reportResult writes whether the test or run of an entry passed or failed.
func (r *Runner) reportResult(e Entry, failed bool) {
	result := "passed"
	if failed {
		result = "failed"
	}
	_, _ = fmt.Fprintf(r.Out, "known red, %s in this run: %s (%s; %s)\n", result, e.Name, e.Observed, e.Issue)
}

// runStreaming runs a command and copies its output to Out.
func (r *Runner) runStreaming(name string, args ...string) error {
	cmd := r.command(name, args...)
	cmd.Stdout = r.Out
	cmd.Stderr = r.Out
	return cmd.Run()
}

// command returns a command that runs in Dir.
func (r *Runner) command(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(name, args...)
	cmd.Dir = r.Dir
	return cmd
}
