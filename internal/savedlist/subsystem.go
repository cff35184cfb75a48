// Package savedlist implements the section [discovery] of the operator file: it saves the endpoint list that discovery has written, and
// a process that starts while discovery is silent continues with that list instead of the one in its configuration.
package savedlist

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/statefile"
	"tackhub.example/tackhub/internal/subsystem"
)

// minSaveInterval is the shortest time between two saves, each of which waits for the disk. A list that changes more often is saved
// once for several changes.
const minSaveInterval = 100 * time.Millisecond

// Options are the keys of [discovery].
type Options struct {
	StateDir string `toml:"state_dir"` // directory of this node alone; required
}

// Node is what the subsystem needs from the node.
type Node interface {
	// DiscoveryAddress returns the address of the discovery service, as host:port.
	DiscoveryAddress() string
	// DiscoveryList returns the current endpoint list.
	DiscoveryList() discovery.List
	// DiscoveryListChanged returns a channel that receives a value after lists of discovery were applied.
	DiscoveryListChanged() <-chan struct{}
	// RestoreDiscoveryList replaces the list of the configuration. It returns false if the node has a newer list: it follows discovery
	// already, or has that of its predecessor.
	RestoreDiscoveryList(discovery.List) bool
	// Superseded reports whether a later process of the node serves, which saves the list from then on.
	Superseded() bool
	// ConfigWritten returns when the configuration was written.
	ConfigWritten() time.Time
}

// Subsystem returns the definition of the section [discovery].
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{
			Name:    "discovery",
			Summary: "the endpoint list is kept on disk, for a start while discovery is silent",
			New:     func() any { return &Options{} },
			Check:   check,
		},
		Build: build,
	}
}

// check returns a diagnostic if the directory is missing.
func check(options any) []operator.Diagnostic {
	if options.(*Options).StateDir == "" {
		return []operator.Diagnostic{{Key: "state_dir", Message: "must be a directory for this node alone"}}
	}
	return nil
}

// keeper is an instance of the subsystem.
type keeper struct {
	node    Node
	log     *slog.Logger
	store   *statefile.Store
	cancel  context.CancelFunc
	running sync.WaitGroup
	moved   bool // another directory had the list until now
	failing bool // the last save failed, and the failure was logged
}

// build returns a keeper. It creates the directory if it is missing.
func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	node, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("the node does not provide its endpoint list")
	}
	dir := options.(*Options).StateDir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state_dir: %w", err)
	}
	return &keeper{node: node, log: host.Log, store: newStore(dir), moved: old != nil, cancel: func() {}}, nil
}

// Start restores the saved list if the node has no newer one, and then saves each list.
func (k *keeper) Start(ctx context.Context) {
	k.restore()
	if k.moved {
		k.save()
	}
	ctx, k.cancel = context.WithCancel(ctx)
	k.running.Go(func() { k.run(ctx) })
}

// Stop saves the latest list and ends.
func (k *keeper) Stop() {
	k.cancel()
	k.running.Wait()
}

// run saves the list after each change until the context ends.
func (k *keeper) run(ctx context.Context) {
	for {
		select {
		case <-k.node.DiscoveryListChanged():
			k.save()
		case <-ctx.Done():
			k.saveLast()
			return
		}
		select {
		case <-time.After(minSaveInterval):
		case <-ctx.Done():
		}
	}
}

// saveLast saves the list if it has changed since it was saved.
func (k *keeper) saveLast() {
	select {
	case <-k.node.DiscoveryListChanged():
		k.save()
	default:
	}
}
