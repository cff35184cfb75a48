// Package subsystem runs the optional subsystems of a node, which the operator file turns on: how one is built, started and
// stopped, and how a new file is applied. A file is applied whole or not at all: everything that can fail happens in Build,
// before anything changes.
package subsystem

import (
	"context"
	"encoding/json"
	"log/slog"

	"tackhub.example/tackhub/internal/operator"
)

// Host is what a node gives its subsystems.
type Host struct {
	Log      *slog.Logger
	Limits   Limits
	Counters func() json.RawMessage // the node's counters at the moment of the call; nil where there are none
	Node     any                    // the node, which subsystems ask for interfaces of their own
}

// Limits are the configured limits of the process.
type Limits struct {
	MemoryBytes int64
	Descriptors int
}

// Instance is a subsystem that was built.
type Instance interface {
	// Start sets it going and returns at once; it cannot fail. The context ends with the node.
	Start(ctx context.Context)
	// Stop ends it and waits until it has ended. An instance that was never started releases what Build acquired.
	Stop()
}

// Definition is one subsystem that a node can run.
type Definition struct {
	// Section is its section of the operator file, with the defaults and checks of its options.
	Section operator.Section
	// Build makes an instance from options, which are a pointer as Section.New gives it. Old is the instance that runs, nil
	// where the subsystem is off; what both can use, such as a listener, may be taken over from it. A new instance has no
	// visible effect before Start.
	Build func(host Host, options any, old Instance) (Instance, error)
}

// Sections gives the sections of definitions, in their order.
func Sections(definitions []Definition) []operator.Section {
	sections := make([]operator.Section, len(definitions))
	for i, definition := range definitions {
		sections[i] = definition.Section
	}
	return sections
}
