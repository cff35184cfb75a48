// Package knownred reads KNOWN-RED.txt, the list of tests and seeded runs that fail for a real fault which is still open, and runs
// everything in such a way that exactly these may fail.
package knownred

import (
	"fmt"
	"regexp"
	"strings"
)

// An Entry is one line of the list: name, command with its seed, what was seen, issue. Only the third part may hold commas.
type Entry struct {
	Name    string // of a Go test, TestX or TestX/case, or of a seeded run: soak seed N
	Command string // that shows the failure, with its seed or "(no seed)"
	Seen    string
	Issue   string // issue N

	Package string // of a Go test, as its command names it; empty for a seeded run
	Seed    string // of a seeded run
}

var (
	testName    = regexp.MustCompile(`^Test[A-Za-z0-9_]+(/[^\s,|/]+)*$`)
	runName     = regexp.MustCompile(`^soak seed ([0-9]+)$`)
	testCommand = regexp.MustCompile(`^go test (\./[a-z0-9_/.]*[a-z0-9_]|\.) `)
	runCommand  = regexp.MustCompile(`^bin/tacklab soak ([^ ]+ )*?--seed ([0-9]+)( |$)`)
	issueName   = regexp.MustCompile(`^issue [0-9]+$`)
)

// entryParts is how many parts an entry has.
const entryParts = 4

// Parse reads a list. Its errors name the line, which is malformed or names something twice.
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
		if first, again := seen[key]; again {
			return nil, fmt.Errorf("line %d: %s is named in line %d already", i+1, entry.Name, first)
		}
		seen[key] = i + 1
		entries = append(entries, entry)
	}
	return entries, nil
}

func parseEntry(line string) (Entry, error) {
	parts := strings.Split(line, ", ")
	if len(parts) < entryParts {
		return Entry{}, fmt.Errorf("it is not: name, command and seed, what was seen, issue N")
	}
	last := len(parts) - 1
	e := Entry{
		Name:    parts[0],
		Command: parts[1],
		Seen:    strings.TrimSpace(strings.Join(parts[2:last], ", ")),
		Issue:   strings.TrimSpace(parts[last]),
	}
	switch {
	case e.Seen == "":
		return Entry{}, fmt.Errorf("%s: it does not say what was seen", e.Name)
	case !issueName.MatchString(e.Issue):
		return Entry{}, fmt.Errorf("%s: it does not end with: issue N", e.Name)
	case testName.MatchString(e.Name):
		return e.withPackage()
	case runName.MatchString(e.Name):
		return e.withSeed()
	}
	return Entry{}, fmt.Errorf("%q is neither a test, TestX or TestX/case, nor a run, soak seed N", e.Name)
}

// withPackage takes the package of a test from its command.
func (e Entry) withPackage() (Entry, error) {
	found := testCommand.FindStringSubmatch(e.Command)
	if found == nil {
		return Entry{}, fmt.Errorf("%s: its command does not begin with: go test ./package", e.Name)
	}
	if !strings.Contains(e.Command, "seed") {
		return Entry{}, fmt.Errorf("%s: its command names no seed, nor says (no seed)", e.Name)
	}
	e.Package = found[1]
	return e, nil
}

// withSeed checks that the name and the command of a run have one seed.
func (e Entry) withSeed() (Entry, error) {
	e.Seed = runName.FindStringSubmatch(e.Name)[1]
	found := runCommand.FindStringSubmatch(e.Command)
	if found == nil || found[2] != e.Seed {
		return Entry{}, fmt.Errorf("%s: its command is not: bin/tacklab soak ... --seed %s", e.Name, e.Seed)
	}
	return e, nil
}

// pattern selects exactly this test, as go test's -run and -skip read it.
func (e Entry) pattern() string {
	levels := strings.Split(e.Name, "/")
	for i, level := range levels {
		levels[i] = "^" + regexp.QuoteMeta(level) + "$"
	}
	return strings.Join(levels, "/")
}
