package endpoints

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/statefile"
	"tackhub.example/tackhub/internal/subsystem"
)

const (
	// maxQueuedEvents is the number of events that sources can queue before they are merged. A source blocks while the queue
	// is full.
	maxQueuedEvents = 16

	// firstListTimeout is how long the first list waits for all sources to report. Until then the balancer keeps its former
	// list, since a list merged from only some sources is partial. After the timeout a source that is down no longer delays
	// the others.
	firstListTimeout = 2 * time.Second
)

// Node is the part of a node that the inventory uses.
type Node interface {
	Endpoints() *Directory
	Clock() clock.Clock
	Counters() *counters.Counters
}

// Subsystem returns the definition of the inventory subsystem: its operator section and its constructor.
func Subsystem() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{
			Name:    "inventory",
			Summary: "servers from CSV and YAML files, merged with discovery",
			New:     func() any { return defaults() },
			Check:   check,
		},
		Build: build,
	}
}

// sourceEvent is an event from a source: a change to merge, or an error if the source's file could not be used.
type sourceEvent struct {
	event   endpointmerge.Event // nil if err is set
	file    *File               // nil if the source is not a file
	err     error
	servers int // number of servers in the file's list
}

// Inventory is the running subsystem. After Start, the goroutine that executes run owns the view and the fields below it.
type Inventory struct {
	options      Options
	node         Node
	log          *slog.Logger
	store        *statefile.Store // nil if the view is not saved
	maxFileBytes int64
	events       chan sourceEvent
	cancel       context.CancelFunc
	done         <-chan struct{} // nil until Start
	goroutines   sync.WaitGroup

	view             *endpointmerge.View
	predecessor      *Inventory           // the instance that this one replaces after a change of options; may be nil
	lastAcceptedAt   map[string]time.Time // by source: when its file was last accepted
	allowPartialList bool                 // the first list can be published before all sources have reported
	published        bool                 // the first list has been published
	unsaved          bool                 // the view has changed since it was saved
	saveFailing      bool                 // the last save failed, and the failure has been logged
	stale            bool                 // the view depends on servers that were restored from disk
}

// build is the subsystem's constructor. It creates the state folder if it is missing.
func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	node, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("the node does not provide a server directory")
	}
	o := *options.(*Options)
	i := &Inventory{
		options:        o,
		node:           node,
		log:            host.Log,
		maxFileBytes:   maxFileBytes(host.Limits.MemoryBytes),
		events:         make(chan sourceEvent, maxQueuedEvents),
		cancel:         func() {},
		view:           endpointmerge.NewWithGroups(o.settings(), node.Endpoints().groups),
		lastAcceptedAt: map[string]time.Time{},
	}
	i.predecessor, _ = old.(*Inventory)
	if o.StateDir != "" {
		if err := os.MkdirAll(o.StateDir, 0o700); err != nil {
			return nil, fmt.Errorf("state_dir: %w", err)
		}
		i.store = statefile.New(statefile.OS{}, o.StateDir, stateName, stateVersion)
	}
	return i, nil
}

// Start switches the node to the merged list and starts watching the sources.
func (i *Inventory) Start(ctx context.Context) {
	ctx, i.cancel = context.WithCancel(ctx)
	i.done = ctx.Done()
	i.restore()
	i.node.Endpoints().attach(i)
	i.handle(sourceEvent{event: endpointmerge.Tick{}})
	if len(i.options.Static) > 0 {
		i.handle(sourceEvent{event: i.options.staticSnapshot()})
	}
	for k := range i.options.Files {
		i.watchFile(ctx, &i.options.Files[k])
	}
	i.goroutines.Go(i.run)
}

// Stop switches the node back to discovery's list and saves the view.
func (i *Inventory) Stop() {
	if i.done == nil { // never started
		return
	}
	i.node.Endpoints().detach()
	i.cancel()
	i.goroutines.Wait()
	i.save()
}

// run handles the sources' events and the timers until the subsystem stops.
func (i *Inventory) run() {
	firstListTimer := time.NewTimer(firstListTimeout)
	defer firstListTimer.Stop()
	saveTicker := time.NewTicker(i.options.SaveEvery.Std())
	defer saveTicker.Stop()
	for {
		select {
		case e := <-i.events:
			i.handle(e)
		case <-firstListTimer.C:
			i.handleFirstListTimeout()
		case <-saveTicker.C:
			i.save()
		case <-i.done:
			return
		}
	}
}

// handleFirstListTimeout allows the first list to be published without the sources that have not reported.
func (i *Inventory) handleFirstListTimeout() {
	if pending := i.view.PendingSources(); !i.published && !i.allowPartialList {
		i.log.Warn("some sources have not reported yet; continuing without them", "code", "inventory_partial", "sources", pending)
	}
	i.allowPartialList = true
	i.handle(sourceEvent{event: endpointmerge.Tick{}})
}

// handle merges one event, publishes the changes and logs the outcome.
func (i *Inventory) handle(e sourceEvent) {
	count := &i.node.Counters().Inventory
	if e.err != nil {
		count.Invalid.Inc()
		i.logRejected(e.file, e.err)
		return
	}
	outcome := i.view.Step(i.node.Clock().Now(), e.event)
	i.publish(e, outcome)
	i.logOutcome(e, outcome)
	if snapshot, ok := e.event.(endpointmerge.Snapshot); ok && e.file != nil {
		count.Lists.Inc()
		i.lastAcceptedAt[snapshot.Source] = time.Now()
	}
}

// publish sends the balancer the full merged list once it is ready and, after that, the changes of each event. An answer from
// discovery is published even if it changes nothing, since a balancer that has requested discovery's list waits for an answer.
func (i *Inventory) publish(e sourceEvent, outcome endpointmerge.Outcome) {
	entries := outcome.Changes
	kind := balancer.DeltaUpdate
	switch {
	case !i.published && !i.firstListReady():
		return
	case !i.published:
		i.published = true
		entries = i.view.Published()
		kind = balancer.FullUpdate
	case len(entries) == 0 && !isDiscoveryAnswer(e.event):
		return
	}
	i.node.Endpoints().publish(entries, kind)
	i.unsaved = i.unsaved || len(outcome.Changes) > 0
	count := &i.node.Counters().Inventory
	count.Pushes.Inc()
	count.Entries.Add(int64(len(entries)))
}

// isDiscoveryAnswer reports whether an event is discovery's answer to a call: its complete list or changes to it.
func isDiscoveryAnswer(event endpointmerge.Event) bool {
	switch e := event.(type) {
	case endpointmerge.Snapshot:
		return e.Source == sourceDiscovery
	case endpointmerge.Delta:
		return e.Source == sourceDiscovery
	}
	return false
}

// firstListReady reports whether the first list can be published: all sources have reported, or a partial list is allowed and is
// not empty for want of reports. Discovery's report may be that there is no server.
func (i *Inventory) firstListReady() bool {
	pending := i.view.PendingSources()
	if len(pending) == 0 {
		return true
	}
	discoveryReported := i.options.Discovery && !slices.Contains(pending, sourceDiscovery)
	return i.allowPartialList && (i.view.Len() > 0 || discoveryReported)
}
