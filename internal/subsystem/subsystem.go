// Package subsystem builds, starts and stops the optional subsystems of a node. The operator file turns them on, and a new file is
// applied as a whole or not at all: everything that can fail happens in Build, before any running subsystem is changed.
package subsystem

import (
	"context"
	"encoding/json"
	"log/slog"

	"tackhub.example/tackhub/internal/operator"
)

// Host holds what a node provides to its subsystems.
type Host struct {
	Log      *slog.Logger
	Limits   Limits
	Counters func() json.RawMessage // returns the current counters of the node; nil if there are none
	Node     any                    // the node; each subsystem asserts it to the interface that it needs
}

// Limits are the configured limits of the process.
type Limits struct {
	MemoryBytes int64
	Descriptors int
}

// Instance is one built subsystem.
type Instance interface {
	// Start starts the instance and returns immediately; it cannot fail. ctx is cancelled when the node ends.
	Start(ctx context.Context)
	// Stop stops the instance and waits until it has ended. If the instance was never started, Stop releases the resources that
	// Build acquired.
	Stop()
}

// BackgroundStopper is implemented by instances that go on for a while after they are turned off, to complete what they have begun.
// Manager.Apply does not wait for their end, and Manager.Stop does.
type BackgroundStopper interface {
	// BeginStop starts to stop the instance and returns immediately, with a channel that is closed when the instance has ended. Stop may
	// be called later, to wait for that.
	BeginStop() (ended <-chan struct{})
}

// Definition defines one subsystem that a node can run.
type Definition struct {
	// Section is the section of the operator file, with the defaults and checks of the options.
	Section operator.Section
	// Build returns an instance with the given options. options is a pointer of the type that Section.New returns. old is the
	// running instance, or nil if the subsystem is off. The new instance may take over resources of old that both can use, such
	// as a listener. The new instance has no visible effect before Start.
	Build func(host Host, options any, old Instance) (Instance, error)
}

// Sections returns the sections of the definitions, in the same order.
func Sections(definitions []Definition) []operator.Section {
	sections := make([]operator.Section, len(definitions))
	for i, definition := range definitions {
		sections[i] = definition.Section
	}
	return sections
}
