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

// The list must hide no test that it does not name: what cannot be understood, or is named twice, is an error that says the line.
func TestKnownRedIsReadStrictly(t *testing.T) {
	for text, want := range map[string]struct {
		entries int
		fault   string
	}{
		"":                           {0, ""},
		"\n":                         {0, ""},
		testEntry:                    {1, ""},
		testEntry[:len(testEntry)-1]: {1, ""}, // no line end
		testEntry + "\n" + runEntry:  {2, ""},
		testEntry + caseEntry + runEntry + strings.ReplaceAll(runEntry, "7", "8") + strings.ReplaceAll(testEntry, "./a", "./b"): {5, ""},
		testEntry + testEntry: {0, "line 2: TestFails is named in line 1 already"},
		runEntry + runEntry:   {0, "line 2: soak seed 7 is named in line 1 already"},
		"TestFails\n":         {0, "line 1: it is not"},
		"TestFails, go test ./a -run TestFails (no seed), issue 1\n":              {0, "it is not"},
		"TestFails, go test ./a -run TestFails (no seed), it fails, later\n":      {0, "does not end with: issue N"},
		"TestFails, go test ./a -run TestFails (no seed), it fails, issue 1 or\n": {0, "does not end with: issue N"},
		"TestFails, go test ./a -run TestFails (no seed), , issue 1\n":            {0, "does not say what was seen"},
		"TestFails, go test ./a -run TestFails, it fails, issue 1\n":              {0, "no seed"},
		"TestFails, go test ./... -run TestFails (no seed), it fails, issue 1\n":  {0, "does not begin with: go test ./package"},
		"TestFails, make test (no seed), it fails, issue 1\n":                     {0, "does not begin with: go test ./package"},
		".*, go test ./a (no seed), it fails, issue 1\n":                          {0, "neither a test"},
		"Test.*, go test ./a (no seed), it fails, issue 1\n":                      {0, "neither a test"},
		"TestA|TestB, go test ./a (no seed), it fails, issue 1\n":                 {0, "neither a test"},
		"TestCases/, go test ./a (no seed), it fails, issue 1\n":                  {0, "neither a test"},
		"soak, bin/tacklab soak --seed 7, a request lost, issue 2\n":              {0, "neither a test"},
		"soak seed 7, bin/tacklab soak --seed 8, a request lost, issue 2\n":       {0, "--seed 7"},
		"soak seed 7, bin/tacklab soak --seed 71, a request lost, issue 2\n":      {0, "--seed 7"},
		"soak seed 7, true bin/tacklab soak --seed 7, a request lost, issue 2\n":  {0, "--seed 7"},
	} {
		entries, err := Parse(text)
		if (err != nil) != (want.fault != "") || err != nil && !strings.Contains(err.Error(), want.fault) {
			t.Errorf("%q: %v, want %q", text, err, want.fault)
		}
		if err == nil && len(entries) != want.entries {
			t.Errorf("%q: %d entries, want %d", text, len(entries), want.entries)
		}
	}
}

// sampleModule writes a module whose packages a and b have a test of the same name each; parts of the text are replaced as asked.
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

// Exactly the listed tests may fail: not the other cases of their test, nor a test of the same name in another package. Each listed
// one's result is told.
func TestExactlyTheListedTestsMayFail(t *testing.T) {
	for name, c := range map[string]struct {
		list    string
		replace []string // in the sample module
		failed  bool
		told    []string
	}{
		"both listed":                    {testEntry + caseEntry, nil, false, []string{"failed in this run: TestFails ", "failed in this run: TestCases/second "}},
		"nothing listed":                 {"", nil, true, nil},
		"one of two listed":              {testEntry, nil, true, []string{"failed in this run: TestFails "}},
		"another case fails":             {testEntry + caseEntry, []string{`"first", func(t *testing.T) {`, `"first", func(t *testing.T) { t.Fail() `}, true, nil},
		"the same test elsewhere fails":  {testEntry + caseEntry, []string{"func TestFails(t *testing.T) {  }", "func TestFails(t *testing.T) { t.Fail() }"}, true, nil},
		"all pass, with one of them red": {testEntry, []string{"t.Fail()", ""}, false, []string{"passed in this run: TestFails "}},
	} {
		entries, err := Parse(c.list)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		r := Runner{Entries: entries, Dir: sampleModule(t, c.replace...), Out: &out}
		if err := r.Check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if err := r.Test(); (err != nil) != c.failed {
			t.Errorf("%s: %v\n%s", name, err, out.String())
		}
		for _, want := range c.told {
			if !strings.Contains(out.String(), "known red, "+want) {
				t.Errorf("%s: %q is not told in\n%s", name, want, out.String())
			}
		}
	}
}

// A test or case that the tree has not would hide nothing and stay in the list for ever.
func TestListedTestsHaveToExist(t *testing.T) {
	dir := sampleModule(t)
	for text, readsTests := range map[string]bool{
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
		if readsTests { // only a run shows the cases of a test
			err = r.Test()
		}
		if err == nil || !strings.Contains(err.Error(), entries[0].Name) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// A run may fail where it is listed with the same arguments, and only there.
func TestOnlyTheListedRunMayFail(t *testing.T) {
	var out bytes.Buffer
	r := Runner{Entries: []Entry{{Name: "soak seed 7", Command: "false soak --seed 7", Seen: "a request lost", Issue: "issue 2", Seed: "7"}}, Out: &out}
	if err := r.Run([]string{"false", "soak", "--seed", "7"}); err != nil || !strings.Contains(out.String(), "known red, failed in this run: soak seed 7") {
		t.Errorf("%v, told %q", err, out.String())
	}
	if r.Run([]string{"false", "soak", "--seed", "8"}) == nil || r.Run([]string{"false"}) == nil {
		t.Error("a run that is not listed may fail")
	}
	if err := r.Run([]string{"true"}); err != nil {
		t.Error(err)
	}
	out.Reset()
	if r.PlayListed(); !strings.Contains(out.String(), "known red, failed in this run: soak seed 7") {
		t.Errorf("told %q", out.String())
	}
}
