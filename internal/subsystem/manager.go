package subsystem

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sync"

	"tackhub.example/tackhub/internal/operator"
)

// ErrStopped says that a file cannot be applied because the node is ending.
var ErrStopped = errors.New("the node is ending")

// Manager runs the subsystems of one node.
type Manager struct {
	definitions []Definition
	host        Host

	mu      sync.Mutex
	running map[string]running // by the section's name
	stopped bool
}

// running is a started instance with the options that it was built from.
type running struct {
	instance Instance
	options  any
}

// NewManager makes a manager with every subsystem off. The order of the definitions is the order in which they start.
func NewManager(definitions []Definition, host Host) *Manager {
	return &Manager{definitions: definitions, host: host, running: map[string]running{}}
}

// Change names the sections whose subsystems a file turned on, turned off, or restarted with other options.
type Change struct{ Started, Stopped, Restarted []string }

// Any reports whether anything changed.
func (c Change) Any() bool {
	return len(c.Started) > 0 || len(c.Stopped) > 0 || len(c.Restarted) > 0
}

// Apply makes the running subsystems those of a file. All that are new or have other options are built first; only when
// every one could be, they replace the old ones. A subsystem with the options it has goes on undisturbed. After an error
// nothing has changed; it is ErrStopped after Stop, else one that names the section. The context is the instances'.
func (m *Manager) Apply(ctx context.Context, file *operator.File) (Change, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return Change{}, ErrStopped
	}
	built, change, err := m.build(file)
	if err != nil {
		for _, instance := range built {
			instance.Stop()
		}
		return Change{}, err
	}
	for _, definition := range m.definitions {
		name := definition.Section.Name
		m.replace(ctx, name, file.Options(name), built[name])
	}
	return change, nil
}

// replace puts a built instance in the place of the running one. Without one the subsystem goes on where it has options,
// and is stopped where it has none.
func (m *Manager) replace(ctx context.Context, name string, options any, next Instance) {
	if next == nil && options != nil {
		return
	}
	if old, ok := m.running[name]; ok {
		old.instance.Stop()
		delete(m.running, name)
	}
	if next != nil {
		m.running[name] = running{instance: next, options: options}
		next.Start(ctx)
	}
}

// build makes the instances that are new or have other options. With an error it gives those made before it.
func (m *Manager) build(file *operator.File) (map[string]Instance, Change, error) {
	built := map[string]Instance{}
	change := Change{}
	for _, definition := range m.definitions {
		name := definition.Section.Name
		options := file.Options(name)
		current, isRunning := m.running[name]
		switch {
		case options == nil && isRunning:
			change.Stopped = append(change.Stopped, name)
			continue
		case options == nil || reflect.DeepEqual(options, current.options):
			continue
		case isRunning:
			change.Restarted = append(change.Restarted, name)
		default:
			change.Started = append(change.Started, name)
		}
		instance, err := definition.Build(m.host, options, current.instance)
		if err != nil {
			return built, Change{}, fmt.Errorf("%s: [%s]: %w", file.Path, name, err)
		}
		built[name] = instance
	}
	return built, change, nil
}

// Stop stops every subsystem, the last one first. Apply fails from then on.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for _, definition := range slices.Backward(m.definitions) {
		name := definition.Section.Name
		if current, ok := m.running[name]; ok {
			current.instance.Stop()
			delete(m.running, name)
		}
	}
}

// Active gives the names of the running subsystems, in the order of the definitions.
func (m *Manager) Active() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	active := []string{}
	for _, definition := range m.definitions {
		if _, ok := m.running[definition.Section.Name]; ok {
			active = append(active, definition.Section.Name)
		}
	}
	return active
}
