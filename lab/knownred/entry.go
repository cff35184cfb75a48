// Package knownred reads KNOWN-RED.txt, the list of tests and seeded runs that are known to fail because of an open fault. It
// runs CI's tests and seeded runs so that exactly the listed ones may fail.
package knownred

import (
	"fmt"
	"regexp"
	"strings"
)

// An Entry is one line of the list: name, command with its seed, what was seen, issue. Only the third part may contain commas.
type Entry struct {
	Name     string // a Go test, TestX or TestX/case, or a seeded run, soak seed N
	Command  string // reproduces the failure; contains its seed or "(no seed)"
	Observed string
	Issue    string // in the form: issue N

	Package string // package argument in the command of a Go test; empty for a seeded run
	Seed    string // seed of a seeded run; empty for a Go test
}

var (
	testName    = regexp.MustCompile(`^Test[A-Za-z0-9_]+(/[^\s,|/]+)*$`)
	runName     = regexp.MustCompile(`^soak seed ([0-9]+)$`)
	testCommand = regexp.MustCompile(`^go test (\./[a-z0-9_/.]*[a-z0-9_]|\.) `)
	runCommand  = regexp.MustCompile(`^bin/tacklab soak ([^ ]+ )*?--seed ([0-9]+)( |$)`)
	issueName   = regexp.MustCompile(`^issue [0-9]+$`)
)

// minEntryParts is the minimum number of parts of an entry, which are separated by ", ".
const minEntryParts = 4

// Parse parses a list. It returns an error with the line number for a malformed entry or one that repeats an earlier one.
func Parse(text string) ([]Entry, error) {
	var entries []Entry
	seen := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		key := entry.Package + " " + entry.Name
		if firstLine, listed := seen[key]; listed {
			return nil, fmt.Errorf("line %d: %s is already listed in line %d", i+1, entry.Name, firstLine)
		}
		seen[key] = i + 1
		entries = append(entries, entry)
	}
	return entries, nil
}

// parseEntry parses one line of the list.
func parseEntry(line string) (Entry, error) {
	parts := strings.Split(line, ", ")
	if len(parts) < minEntryParts {
		return Entry{}, fmt.Errorf("malformed entry, want: NAME, COMMAND WITH SEED, WHAT WAS SEEN, issue N")
	}
	last := len(parts) - 1
	e := Entry{
		Name:     parts[0],
		Command:  parts[1],
		Observed: strings.TrimSpace(strings.Join(parts[2:last], ", ")),
		Issue:    strings.TrimSpace(parts[last]),
	}
	switch {
	case e.Observed == "":
		return Entry{}, fmt.Errorf("%s: the description of what was seen is empty", e.Name)
	case !issueName.MatchString(e.Issue):
		return Entry{}, fmt.Errorf("%s: the last part is %q, want: issue N", e.Name, e.Issue)
	case testName.MatchString(e.Name):
		return e.withPackage()
	case runName.MatchString(e.Name):
		return e.withSeed()
	}
	return Entry{}, fmt.Errorf("%q is neither a test (TestX or TestX/case) nor a run (soak seed N)", e.Name)
}

// withPackage returns the entry of a test with the package that its command names.
func (e Entry) withPackage() (Entry, error) {
	match := testCommand.FindStringSubmatch(e.Command)
	if match == nil {
		return Entry{}, fmt.Errorf("%s: command %q does not start with: go test ./PACKAGE", e.Name, e.Command)
	}
	if !strings.Contains(e.Command, "seed") {
		return Entry{}, fmt.Errorf("%s: command %q contains neither a seed nor (no seed)", e.Name, e.Command)
	}
	e.Package = match[1]
	return e, nil
}

// withSeed returns the entry of a run with its seed. The name and the command must have the same seed.
func (e Entry) withSeed() (Entry, error) {
	e.Seed = runName.FindStringSubmatch(e.Name)[1]
	match := runCommand.FindStringSubmatch(e.Command)
	if match == nil || match[2] != e.Seed {
		return Entry{}, fmt.Errorf("%s: command is %q, want: bin/tacklab soak ... --seed %s", e.Name, e.Command, e.Seed)
	}
	return e, nil
}

// pattern returns the regular expression that selects exactly this test in go test's -run and -skip flags.
func (e Entry) pattern() string {
	levels := strings.Split(e.Name, "/")
	for i, level := range levels {
		levels[i] = "^" + regexp.QuoteMeta(level) + "$"
	}
	return strings.Join(levels, "/")
}
