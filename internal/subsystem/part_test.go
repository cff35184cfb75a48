package subsystem

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"

	"tackhub.example/tackhub/internal/operator"
)

type options struct {
	N int `toml:"n"`
}

// fake notes what is done to it.
type fake struct {
	name  string
	n     int
	notes *[]string
}

func (f *fake) Start(context.Context) { *f.notes = append(*f.notes, "start "+f.name) }
func (f *fake) Stop()                 { *f.notes = append(*f.notes, "stop "+f.name) }

func fakes(notes *[]string, names ...string) []Definition {
	var out []Definition
	for _, name := range names {
		out = append(out, Definition{Section: operator.Section{Name: name, New: func() any { return &options{} }},
			Build: func(_ Host, o any, old Instance) (Instance, error) {
				n := o.(*options).N
				if n < 0 {
					return nil, errors.New("cannot be built")
				}
				if old != nil && old.(*fake).name != name {
					return nil, errors.New("another's running part was handed over")
				}
				*notes = append(*notes, "build "+name)
				return &fake{name, n, notes}, nil
			}})
	}
	return out
}

// A file that cannot be carried out whole changes nothing; one that can touches only what differs.
func TestTakenWholeOrNotAtAll(t *testing.T) {
	var notes []string
	parts := fakes(&notes, "a", "b", "c")
	set := NewManager(parts, Host{})
	for _, c := range []struct {
		text  string
		fails bool
		on    string
		notes string
	}{
		{"[a]\nn = 1\n[b]\nn = 1\n", false, "a b", "build a, build b, start a, start b"},
		{"[a]\nn = 2\n[b]\nn = 1\n[c]\nn = -1\n", true, "a b", "build a, stop a"}, // the one built is given back
		{"[a]\nn = 1\n[b]\nn = 1\n", false, "a b", ""},                            // the old values still stand
		{"[a]\nn = 2\n[c]\n", false, "a c", "build a, build c, stop a, start a, stop b, start c"},
		{"", false, "", "stop a, stop c"},
	} {
		notes = nil
		f, err := operator.Parse("edge.toml", c.text, Sections(parts))
		if err != nil {
			t.Fatal(err)
		}
		_, err = set.Apply(context.Background(), f)
		if (err != nil) != c.fails || err != nil && !strings.Contains(err.Error(), "edge.toml: [c]") {
			t.Errorf("%q: %v", c.text, err)
		}
		if got := strings.Join(notes, ", "); got != c.notes {
			t.Errorf("%q: %s, want %s", c.text, got, c.notes)
		}
		if got := strings.Join(set.Active(), " "); got != c.on {
			t.Errorf("%q: on are %s, want %s", c.text, got, c.on)
		}
	}
	f, _ := operator.Parse("edge.toml", "[a]\n[b]\n", Sections(parts))
	if _, err := set.Apply(context.Background(), f); err != nil {
		t.Fatal(err)
	}
	notes = nil
	set.Stop()
	if !slices.Equal(notes, []string{"stop b", "stop a"}) {
		t.Errorf("at the end: %v", notes)
	}
	if _, err := set.Apply(context.Background(), f); err == nil {
		t.Error("a file was taken after the end")
	}
}
