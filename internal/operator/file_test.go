package operator

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type options struct {
	Every Duration `toml:"every"`
	Room  Bytes    `toml:"room"`
	Most  int      `toml:"most"`
	Lists []struct {
		Path string `toml:"path"`
	} `toml:"lists"`
}

var sections = []Section{{Name: "alpha", New: func() any { return &options{Every: Duration(time.Second), Most: 3} },
	Check: func(o any) []Diagnostic {
		if o.(*options).Most < 1 {
			return []Diagnostic{{Key: "most", Message: "must be at least 1"}}
		}
		return nil
	}}, {Name: "beta", New: func() any { return &options{} }}}

func TestGoodFile(t *testing.T) {
	f, err := Parse("edge.toml", "[alpha]\nevery = \"250ms\"\nroom = \"1.5MiB\"\n[[alpha.lists]]\npath = \"x\"\n", sections)
	if err != nil {
		t.Fatal(err)
	}
	o := f.Options("alpha").(*options)
	if o.Every.Std() != 250*time.Millisecond || o.Room != 3<<19 || o.Most != 3 || o.Lists[0].Path != "x" {
		t.Errorf("options %+v", o)
	}
	if f.Options("beta") != nil || (*File)(nil).Options("alpha") != nil {
		t.Error("a section that is not in the file is not off")
	}
	if got := strings.Join(Describe(o), "; "); !strings.Contains(got, "every = 250ms; lists = [{x}]; most = 3; room = 1.5MiB") {
		t.Errorf("described as %s", got)
	}
}

// Everything that is wrong with a file is reported at once, each thing with its line and key.
func TestEveryDiagnosticIsReported(t *testing.T) {
	text := `[alpha]
every = 250
room = "12"
mots = 5

[[alpha.lists]]
path = "x"
pth = "y"

[gamma]
x = 1
[beta]
most = "many"
`
	_, err := Parse("edge.toml", text, sections)
	var faults Diagnostics
	if !errors.As(err, &faults) {
		t.Fatalf("error %v", err)
	}
	want := []struct {
		line      int
		key, text string
	}{{2, "alpha.every", "unit"}, {3, "alpha.room", "unit"}, {4, "alpha.mots", "every, lists, most, room"},
		{8, "alpha.lists.pth", "no such key"}, {10, "gamma", "alpha, beta"}, {13, "beta.most", "integer"}}
	if len(faults) != len(want) {
		t.Fatalf("%d faults, want %d: %v", len(faults), len(want), []Diagnostic(faults))
	}
	for i, w := range want {
		f := faults[i]
		if f.Key != w.key || !strings.Contains(f.Message, w.text) || w.key != "alpha.lists.pth" && f.Line != w.line {
			t.Errorf("fault %v, want line %d, key %s, and %q", f, w.line, w.key, w.text)
		}
		if !strings.HasPrefix(f.String(), "edge.toml:") {
			t.Errorf("%s does not begin with the file and its line", f)
		}
	}
}

func TestChecksAndUnreadableFiles(t *testing.T) {
	for text, want := range map[string]string{
		"[alpha]\nroom = \"1B\"\nmost = 0\n": "edge.toml:3: alpha.most: must be at least 1",
		"[alpha\nmost = 1\n":                 "edge.toml:2",
		"[alpha]\nmost = 1\nmost = 2\n":      "edge.toml:3",
		"alpha = 3\n":                        "alpha: a table is wanted",
	} {
		if _, err := Parse("edge.toml", text, sections); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml"), sections); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("a missing file: %v", err)
	}
	large := filepath.Join(t.TempDir(), "large.toml")
	if err := os.WriteFile(large, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(large, sections); err == nil || !strings.Contains(err.Error(), "too many") {
		t.Errorf("a large file: %v", err)
	}
}
