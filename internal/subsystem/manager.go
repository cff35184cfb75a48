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

// ErrStopped is the error of Manager.Apply after Manager.Stop.
var ErrStopped = errors.New("the subsystems are stopped because the node is shutting down")

// Manager runs the subsystems of one node.
type Manager struct {
	definitions []Definition
	host        Host

	mu      sync.Mutex
	running map[string]runningInstance // by section name
	// stopping are the instances that were turned off and may not have ended yet.
	stopping []stoppingInstance
	stopped  bool
}

// stoppingInstance is an instance that stops in the background.
type stoppingInstance struct {
	instance Instance
	ended    <-chan struct{}
}

// hasEnded reports whether the instance has ended.
func (s stoppingInstance) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// runningInstance is a started instance and the options that it was built from.
type runningInstance struct {
	instance Instance
	options  any
}

// NewManager returns a Manager with every subsystem off. Subsystems start in the order of their definitions.
func NewManager(definitions []Definition, host Host) *Manager {
	return &Manager{definitions: definitions, host: host, running: map[string]runningInstance{}}
}

// Change lists the sections whose subsystems a new file started, stopped, or restarted with other options.
type Change struct{ Started, Stopped, Restarted []string }

// Any reports whether anything changed.
func (c Change) Any() bool {
	return len(c.Started) > 0 || len(c.Stopped) > 0 || len(c.Restarted) > 0
}

// Apply starts, stops and restarts subsystems according to a file. It first builds every instance that is new or has other options,
// and replaces the running instances only if all were built. A subsystem whose options are equal keeps running. If Apply returns an
// error, nothing has changed. The error is ErrStopped after Stop, otherwise it names the section that could not be built. ctx is
// passed to the instances that start.
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

// replace replaces the running instance of a subsystem with next. If next is nil, the subsystem keeps running if it has options, and
// is stopped otherwise.
func (m *Manager) replace(ctx context.Context, name string, options any, next Instance) {
	if next == nil && options != nil {
		return
	}
	if old, ok := m.running[name]; ok {
		m.turnOff(old.instance)
		delete(m.running, name)
	}
	if next != nil {
		m.running[name] = runningInstance{instance: next, options: options}
		next.Start(ctx)
	}
}

// turnOff stops an instance, without waiting for its end if it can stop in the background: a reload must not wait for that.
func (m *Manager) turnOff(instance Instance) {
	stopper, ok := instance.(BackgroundStopper)
	if !ok {
		instance.Stop()
		return
	}
	m.stopping = slices.DeleteFunc(m.stopping, stoppingInstance.hasEnded)
	m.stopping = append(m.stopping, stoppingInstance{instance, stopper.BeginStop()})
}

// build builds the instances that are new or have other options. If one cannot be built, it returns the error and the instances
// built before.
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

// Stop stops every subsystem, in the reverse order of the definitions, and then waits for the instances that were turned off before.
// From then on Apply returns ErrStopped.
func (m *Manager) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	defer m.awaitStopping()
	for _, definition := range slices.Backward(m.definitions) {
		name := definition.Section.Name
		if current, ok := m.running[name]; ok {
			current.instance.Stop()
			delete(m.running, name)
		}
	}
}

// awaitStopping waits until the instances that were turned off have ended.
func (m *Manager) awaitStopping() {
	for _, s := range m.stopping {
		s.instance.Stop()
	}
	m.stopping = nil
}

// Active returns the names of the running subsystems, in the order of the definitions.
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
