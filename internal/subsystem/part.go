// Package subsystem says what a subsystem is that the operator file can turn on: its section, and how it is built, started and
// stopped. A new file is taken whole or not at all: everything that can fail is done by Build, before anything changes.
package subsystem

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"sync"

	"tackhub.example/tackhub/internal/operator"
)

// Host is what a node gives its subsystems.
type Host struct {
	Log      *slog.Logger
	Limits   Limits
	Counters func() json.RawMessage // the node's counters as they are now
	Node     any                    // what further subsystems ask for by interfaces of their own
}

// Limits are the machine's, as the node was told.
type Limits struct {
	MemoryBytes int64
	Descriptors int
}

// Running is a subsystem that was built.
type Instance interface {
	// Start sets it going; it cannot fail. The context ends with the node.
	Start(ctx context.Context)
	// Stop ends it and waits until it has ended. One that was never started gives back what Build took.
	Stop()
}

// Part is one subsystem.
type Definition struct {
	Section operator.Section
	// Build makes one from its options. Old is what runs now, nil where it is off: what both need alike, such as a
	// listener, is handed over. Until Start nothing may be seen of the new one.
	Build func(host Host, options any, old Instance) (Instance, error)
}

// Sections are the parts' sections.
func Sections(parts []Definition) []operator.Section {
	out := make([]operator.Section, len(parts))
	for i, p := range parts {
		out[i] = p.Section
	}
	return out
}

// Set is the subsystems of one node.
type Manager struct {
	parts []Definition
	host  Host

	mu      sync.Mutex
	ctx     context.Context
	running map[string]Instance
	options map[string]any
	ended   bool
}

// NewSet makes the set with everything off.
func NewManager(parts []Definition, host Host) *Manager {
	return &Manager{parts: parts, host: host, running: map[string]Instance{}, options: map[string]any{}}
}

// Change is what a file turned on, off or to other values.
type Change struct{ Started, Stopped, Restarted []string }

// Any tells whether anything changed.
func (c Change) Any() bool { return len(c.Started)+len(c.Stopped)+len(c.Restarted) > 0 }

// errEnded says that the node ends.
var errEnded = errors.New("the node is ending")

// Take takes a file over: all parts are built first, and only when every one could be, the old ones make way. A part whose
// options are as they were is left alone.
func (s *Manager) Apply(ctx context.Context, f *operator.File) (Change, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return Change{}, errEnded
	}
	s.ctx = ctx
	built, change, err := s.build(f)
	if err != nil {
		for _, r := range built {
			r.Stop()
		}
		return Change{}, err
	}
	for _, p := range s.parts {
		name := p.Section.Name
		old, next := s.running[name], built[name]
		if next == nil && f.Options(name) != nil {
			continue
		}
		if old != nil {
			old.Stop()
			delete(s.running, name)
			delete(s.options, name)
		}
		if next != nil {
			s.running[name], s.options[name] = next, f.Options(name)
			next.Start(ctx)
		}
	}
	return change, nil
}

// build makes what is new or changed.
func (s *Manager) build(f *operator.File) (map[string]Instance, Change, error) {
	built, change := map[string]Instance{}, Change{}
	for _, p := range s.parts {
		name := p.Section.Name
		want, have := f.Options(name), s.options[name]
		switch {
		case want == nil && have != nil:
			change.Stopped = append(change.Stopped, name)
			continue
		case want == nil || reflect.DeepEqual(want, have):
			continue
		case have == nil:
			change.Started = append(change.Started, name)
		default:
			change.Restarted = append(change.Restarted, name)
		}
		r, err := p.Build(s.host, want, s.running[name])
		if err != nil {
			return built, Change{}, fmt.Errorf("%s: [%s]: %w", f.Path, name, err)
		}
		built[name] = r
	}
	return built, change, nil
}

// Stop ends all, the last one first.
func (s *Manager) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for i := len(s.parts) - 1; i >= 0; i-- {
		name := s.parts[i].Section.Name
		if r := s.running[name]; r != nil {
			r.Stop()
			delete(s.running, name)
		}
	}
}

// On are the names of what runs, in the parts' order.
func (s *Manager) Active() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{}
	for _, p := range s.parts {
		if s.running[p.Section.Name] != nil {
			out = append(out, p.Section.Name)
		}
	}
	return out
}
