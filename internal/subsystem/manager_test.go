package subsystem

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"tackhub.example/tackhub/internal/operator"
)

type options struct {
	N int `toml:"n"`
}

// fakeInstance records what is done to it.
type fakeInstance struct {
	name  string
	calls *[]string
}

func (f *fakeInstance) Start(context.Context) { *f.calls = append(*f.calls, "start "+f.name) }
func (f *fakeInstance) Stop()                 { *f.calls = append(*f.calls, "stop "+f.name) }

// fakeDefinitions gives a definition for each name. One with a negative option cannot be built.
func fakeDefinitions(calls *[]string, names ...string) []Definition {
	var definitions []Definition
	for _, name := range names {
		definitions = append(definitions, Definition{
			Section: operator.Section{Name: name, New: func() any { return &options{} }},
			Build: func(_ Host, o any, old Instance) (Instance, error) {
				if o.(*options).N < 0 {
					return nil, errors.New("cannot be built")
				}
				if old != nil && old.(*fakeInstance).name != name {
					return nil, errors.New("another subsystem's instance was passed")
				}
				*calls = append(*calls, "build "+name)
				return &fakeInstance{name, calls}, nil
			},
		})
	}
	return definitions
}

// A file is applied whole or not at all: one that cannot be built changes nothing, and one that can touches only the
// subsystems whose options differ.
func TestApplyIsAllOrNothing(t *testing.T) {
	var calls []string
	definitions := fakeDefinitions(&calls, "a", "b", "c")
	manager := NewManager(definitions, Host{})
	for _, c := range []struct {
		text   string
		fails  bool
		active string
		calls  string
		change string
	}{
		{"[a]\nn = 1\n[b]\nn = 1\n", false, "a b", "build a, build b, start a, start b", "{[a b] [] []}"},
		{"[a]\nn = 2\n[b]\nn = 1\n[c]\nn = -1\n", true, "a b", "build a, stop a", "{[] [] []}"}, // the built one is released
		{"[a]\nn = 1\n[b]\nn = 1\n", false, "a b", "", "{[] [] []}"},                            // the old options still stand
		{"[a]\nn = 2\n[c]\n", false, "a c", "build a, build c, stop a, start a, stop b, start c", "{[c] [b] [a]}"},
		{"", false, "", "stop a, stop c", "{[] [a c] []}"},
	} {
		calls = nil
		file, err := operator.Parse("edge.toml", c.text, Sections(definitions))
		if err != nil {
			t.Fatal(err)
		}
		change, err := manager.Apply(context.Background(), file)
		if (err != nil) != c.fails || err != nil && !strings.Contains(err.Error(), "edge.toml: [c]") {
			t.Errorf("%q: %v", c.text, err)
		}
		if got := fmt.Sprint(change); got != c.change || change.Any() != (c.change != "{[] [] []}") {
			t.Errorf("%q: change %s, want %s", c.text, got, c.change)
		}
		if got := strings.Join(calls, ", "); got != c.calls {
			t.Errorf("%q: %s, want %s", c.text, got, c.calls)
		}
		if got := strings.Join(manager.Active(), " "); got != c.active {
			t.Errorf("%q: active are %s, want %s", c.text, got, c.active)
		}
	}
}

// At the node's end subsystems stop in the reverse order, and a SIGHUP that comes then starts nothing again.
func TestStopIsFinal(t *testing.T) {
	var calls []string
	definitions := fakeDefinitions(&calls, "a", "b", "c")
	manager := NewManager(definitions, Host{})
	file, err := operator.Parse("edge.toml", "[a]\n[b]\n", Sections(definitions))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := manager.Apply(context.Background(), file); err != nil {
		t.Fatal(err)
	}
	calls = nil
	manager.Stop()
	if !slices.Equal(calls, []string{"stop b", "stop a"}) {
		t.Errorf("at the end: %v", calls)
	}
	if _, err := manager.Apply(context.Background(), file); !errors.Is(err, ErrStopped) {
		t.Errorf("a file applied after the end: %v, want ErrStopped", err)
	}
}
