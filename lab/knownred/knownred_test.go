package knownred

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	testEntry = "TestFails, go test ./a -run TestFails (no seed), it fails, sometimes, issue 1\n"
	caseEntry = "TestCases/second, go test ./a -run TestCases (no seed), it fails, issue 1\n"
	runEntry  = "soak seed 7, bin/tacklab soak --runs 2 --seed 7, a request lost, issue 2\n"
)

// A malformed or repeated entry could hide the failure of a test that is not listed. Parse must reject it with the line number.
func TestParseRejectsMalformedAndRepeatedEntries(t *testing.T) {
	for text, want := range map[string]struct {
		entries   int
		errorText string
	}{
		"":                           {0, ""},
		"\n":                         {0, ""},
		testEntry:                    {1, ""},
		testEntry[:len(testEntry)-1]: {1, ""}, // no line end
		testEntry + "\n" + runEntry:  {2, ""},
		testEntry + caseEntry + runEntry + strings.ReplaceAll(runEntry, "7", "8") + strings.ReplaceAll(testEntry, "./a", "./b"): {5, ""},
		testEntry + testEntry: {0, "line 2: TestFails is already listed in line 1"},
		runEntry + runEntry:   {0, "line 2: soak seed 7 is already listed in line 1"},
		"TestFails\n":         {0, "line 1: malformed entry"},
		"TestFails, go test ./a -run TestFails (no seed), issue 1\n":              {0, "malformed entry"},
		"TestFails, go test ./a -run TestFails (no seed), it fails, later\n":      {0, "want: issue N"},
		"TestFails, go test ./a -run TestFails (no seed), it fails, issue 1 or\n": {0, "want: issue N"},
		"TestFails, go test ./a -run TestFails (no seed), , issue 1\n":            {0, "what was seen is empty"},
		"TestFails, go test ./a -run TestFails, it fails, issue 1\n":              {0, "contains neither a seed nor (no seed)"},
		"TestFails, go test ./... -run TestFails (no seed), it fails, issue 1\n":  {0, "does not start with: go test ./PACKAGE"},
		"TestFails, make test (no seed), it fails, issue 1\n":                     {0, "does not start with: go test ./PACKAGE"},
		".*, go test ./a (no seed), it fails, issue 1\n":                          {0, "neither a test"},
		"Test.*, go test ./a (no seed), it fails, issue 1\n":                      {0, "neither a test"},
		"TestA|TestB, go test ./a (no seed), it fails, issue 1\n":                 {0, "neither a test"},
		"TestCases/, go test ./a (no seed), it fails, issue 1\n":                  {0, "neither a test"},
		"soak, bin/tacklab soak --seed 7, a request lost, issue 2\n":              {0, "neither a test"},
		"soak seed 7, bin/tacklab soak --seed 8, a request lost, issue 2\n":       {0, "want: bin/tacklab soak ... --seed 7"},
		"soak seed 7, bin/tacklab soak --seed 71, a request lost, issue 2\n":      {0, "want: bin/tacklab soak ... --seed 7"},
		"soak seed 7, true bin/tacklab soak --seed 7, a request lost, issue 2\n":  {0, "want: bin/tacklab soak ... --seed 7"},
	} {
		entries, err := Parse(text)
		if (err != nil) != (want.errorText != "") || err != nil && !strings.Contains(err.Error(), want.errorText) {
			t.Errorf("%q: error = %v, want %q", text, err, want.errorText)
		}
		if err == nil && len(entries) != want.entries {
			t.Errorf("%q: entries = %d, want %d", text, len(entries), want.entries)
		}
	}
}

// sampleModule writes a module whose packages a and b have tests of the same names, and returns its directory. replace holds
// pairs of old and new text, as for strings.NewReplacer.
func sampleModule(t *testing.T, replace ...string) string {
	t.Helper()
	const tests = `package NAME

import "testing"

func TestPasses(t *testing.T) {}

func TestFails(t *testing.T) { t.Fail() }

func TestCases(t *testing.T) {
	t.Run("first", func(t *testing.T) {})
	t.Run("second", func(t *testing.T) { t.Fail() })
}
`
	dir := t.TempDir()
	files := map[string]string{
		"go.mod":      "module sample\n\ngo 1.26\n",
		"a/a_test.go": strings.ReplaceAll(tests, "NAME", "a"),
		"b/b_test.go": strings.ReplaceAll(strings.ReplaceAll(tests, "NAME", "b"), "t.Fail()", ""),
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(strings.NewReplacer(replace...).Replace(text)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Only the listed tests may fail: neither other cases of the same test nor a test of the same name in another package. The result
// of each listed test must be reported.
func TestRunnerAllowsOnlyListedTestsToFail(t *testing.T) {
	for name, c := range map[string]struct {
		list     string
		replace  []string // in the sample module
		failed   bool
		reported []string
	}{
		"both listed":                        {testEntry + caseEntry, nil, false, []string{"failed in this run: TestFails ", "failed in this run: TestCases/second "}},
		"nothing listed":                     {"", nil, true, nil},
		"one of two listed":                  {testEntry, nil, true, []string{"failed in this run: TestFails "}},
		"unlisted case fails":                {testEntry + caseEntry, []string{`"first", func(t *testing.T) {`, `"first", func(t *testing.T) { t.Fail() `}, true, nil},
		"same test in another package fails": {testEntry + caseEntry, []string{"func TestFails(t *testing.T) {  }", "func TestFails(t *testing.T) { t.Fail() }"}, true, nil},
		"listed test passes":                 {testEntry, []string{"t.Fail()", ""}, false, []string{"passed in this run: TestFails "}},
	} {
		entries, err := Parse(c.list)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		r := Runner{Entries: entries, Dir: sampleModule(t, c.replace...), Out: &out}
		if err := r.Check(); err != nil {
			t.Errorf("%s: Check: %v", name, err)
		}
		if err := r.Test(); (err != nil) != c.failed {
			t.Errorf("%s: Test: error = %v, want an error: %v\n%s", name, err, c.failed, out.String())
		}
		for _, want := range c.reported {
			if !strings.Contains(out.String(), "known red, "+want) {
				t.Errorf("%s: output does not contain %q:\n%s", name, want, out.String())
			}
		}
	}
}

// An entry for a test or case that does not exist has no effect and would never be removed from the list. It must be rejected.
func TestRunnerRejectsListedTestThatDoesNotExist(t *testing.T) {
	dir := sampleModule(t)
	for text, needsTestRun := range map[string]bool{
		"TestNobodyHasWritten, go test ./a -run X (no seed), it fails, issue 1\n":                            false,
		"TestFails, go test ./c -run TestFails (no seed), it fails, issue 1\n":                               false,
		"TestCases/third, go test ./a -run TestCases (no seed), it fails, issue 1\n" + testEntry + caseEntry: true,
	} {
		entries, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		r := Runner{Entries: entries, Dir: dir, Out: &bytes.Buffer{}}
		err = r.Check()
		if needsTestRun { // the cases of a test are known only after it has run
			err = r.Test()
		}
		if err == nil || !strings.Contains(err.Error(), entries[0].Name) {
			t.Errorf("%q: error = %v, want one that names %s", text, err, entries[0].Name)
		}
	}
}

// A run may fail only if it is listed with exactly the same arguments.
func TestRunnerAllowsOnlyListedRunToFail(t *testing.T) {
	var out bytes.Buffer
	r := Runner{Entries: []Entry{{Name: "soak seed 7", Command: "false soak --seed 7", Observed: "a request lost", Issue: "issue 2", Seed: "7"}}, Out: &out}
	if err := r.Run([]string{"false", "soak", "--seed", "7"}); err != nil || !strings.Contains(out.String(), "known red, failed in this run: soak seed 7") {
		t.Errorf("listed run: error = %v, output = %q, want no error and its result", err, out.String())
	}
	if r.Run([]string{"false", "soak", "--seed", "8"}) == nil || r.Run([]string{"false"}) == nil {
		t.Error("failed run that is not listed: error = nil, want an error")
	}
	if err := r.Run([]string{"true"}); err != nil {
		t.Error(err)
	}
	out.Reset()
	if r.RunListed(); !strings.Contains(out.String(), "known red, failed in this run: soak seed 7") {
		t.Errorf("output = %q, want the result of soak seed 7", out.String())
	}
}
