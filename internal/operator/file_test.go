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

func TestParseValidFile(t *testing.T) {
	f, err := Parse("edge.toml", "[alpha]\nevery = \"250ms\"\nroom = \"1.5MiB\"\n[[alpha.lists]]\npath = \"x\"\n", sections)
	if err != nil {
		t.Fatal(err)
	}
	o := f.Options("alpha").(*options)
	if o.Every.Std() != 250*time.Millisecond || o.Room != 3<<19 || o.Most != 3 || o.Lists[0].Path != "x" {
		t.Errorf("options = %+v, want every 250ms, room 1.5MiB, most 3 (default) and one list with path x", o)
	}
	if f.Options("beta") != nil || (*File)(nil).Options("alpha") != nil {
		t.Error("a section missing from the file, or any section of a nil File, has options, want nil")
	}
	if got := strings.Join(Describe(o), "; "); !strings.Contains(got, "every = 250ms; lists = [{x}]; most = 3; room = 1.5MiB") {
		t.Errorf("Describe = %q, want the four keys with their values", got)
	}
}

// All errors of a file are reported at once, each with its line and key.
func TestParseReportsAllDiagnostics(t *testing.T) {
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
	var diagnostics Diagnostics
	if !errors.As(err, &diagnostics) {
		t.Fatalf("error = %v, want Diagnostics", err)
	}
	want := []struct {
		line      int
		key, text string
	}{{2, "alpha.every", "unit"}, {3, "alpha.room", "unit"}, {4, "alpha.mots", "every, lists, most, room"},
		{8, "alpha.lists.pth", "no such key"}, {10, "gamma", "alpha, beta"}, {13, "beta.most", "integer"}}
	if len(diagnostics) != len(want) {
		t.Fatalf("got %d diagnostics, want %d: %v", len(diagnostics), len(want), []Diagnostic(diagnostics))
	}
	for i, w := range want {
		d := diagnostics[i]
		if d.Key != w.key || !strings.Contains(d.Message, w.text) || w.key != "alpha.lists.pth" && d.Line != w.line {
			t.Errorf("diagnostic = %v, want line %d, key %s and a message with %q", d, w.line, w.key, w.text)
		}
		if !strings.HasPrefix(d.String(), "edge.toml:") {
			t.Errorf("diagnostic = %q, want the prefix \"edge.toml:\"", d)
		}
	}
}

func TestParseAndLoadRejectInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		"[alpha]\nroom = \"1B\"\nmost = 0\n": "edge.toml:3: alpha.most: must be at least 1",
		"[alpha\nmost = 1\n":                 "edge.toml:2",
		"[alpha]\nmost = 1\nmost = 2\n":      "edge.toml:3",
		"alpha = 3\n":                        "alpha: must be a table",
	} {
		if _, err := Parse("edge.toml", text, sections); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Parse(%q) error = %v, want %q", text, err, want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml"), sections); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("Load of a missing file: error = %v, want one that names the file", err)
	}
	large := filepath.Join(t.TempDir(), "large.toml")
	if err := os.WriteFile(large, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(large, sections); err == nil || !strings.Contains(err.Error(), "want at most") {
		t.Errorf("Load of a file above maxFileBytes: error = %v, want one that names the limit", err)
	}
}
