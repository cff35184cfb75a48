package endpoints

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
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
	// maxQueuedEvents bounds the events of sources that have not been merged yet. A source that has more blocks.
	maxQueuedEvents = 16

	// firstListTimeout is how long the first list waits for all sources. Until then the balancer keeps the list that it
	// had, since one that is merged from some of the sources is partial. A source that is down must not hold up the others
	// for longer.
	firstListTimeout = 2 * time.Second
)

// Node is what the inventory needs of its node.
type Node interface {
	Endpoints() *Directory
	Clock() clock.Clock
	// LongestDedupWindow is the longest time for which servers drop repetitions of a request with an idempotency key.
	LongestDedupWindow() time.Duration
	Counters() *counters.Counters
}

// Subsystem declares the subsystem.
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

// sourceEvent is what a source reports: an event to merge, or that its file could not be used.
type sourceEvent struct {
	event   endpointmerge.Event // nil if err is set
	file    *File               // nil where the source is no file
	err     error
	servers int // in the list of a file
}

// Inventory is the running subsystem. Its goroutine in run owns the view and the fields below it.
type Inventory struct {
	options      Options
	node         Node
	log          *slog.Logger
	store        *statefile.Store // nil: nothing is saved
	maxFileBytes int64
	events       chan sourceEvent
	cancel       context.CancelFunc
	done         <-chan struct{} // nil until Start
	goroutines   sync.WaitGroup

	view         *endpointmerge.View
	predecessor  *Inventory           // that ran until now, with other options
	lastGood     map[string]time.Time // by source: when its file was last taken
	mayBePartial bool                 // the first list need not wait for all sources
	published    bool                 // the first list was published
	unsaved      bool                 // the view has changed since it was saved
	saveFailing  bool                 // the last save failed, which has been logged
	stale        bool                 // the view holds servers that were restored from disk
}

// build is the subsystem's constructor. A missing state folder is made.
func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	node, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("this node has no server directory")
	}
	o := *options.(*Options)
	i := &Inventory{
		options:      o,
		node:         node,
		log:          host.Log,
		maxFileBytes: maxFileBytes(host.Limits.MemoryBytes),
		events:       make(chan sourceEvent, maxQueuedEvents),
		cancel:       func() {},
		view:         endpointmerge.New(o.settings(node.LongestDedupWindow())),
		lastGood:     map[string]time.Time{},
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

// Start takes over the node's list of servers and follows the sources.
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

// Stop returns the node's list of servers to discovery alone, and saves the view.
func (i *Inventory) Stop() {
	if i.done == nil { // never started
		return
	}
	i.node.Endpoints().detach()
	i.cancel()
	i.goroutines.Wait()
	i.save()
}

// run handles the sources' events until the subsystem stops.
func (i *Inventory) run() {
	next := time.NewTimer(time.Hour) // set once the view asks for it
	defer next.Stop()
	firstList := time.NewTimer(firstListTimeout)
	defer firstList.Stop()
	save := time.NewTicker(i.options.SaveEvery.Std())
	defer save.Stop()
	for {
		nextTick := endpointmerge.Millis(0)
		select {
		case e := <-i.events:
			nextTick = i.handle(e)
		case <-next.C:
			nextTick = i.handle(sourceEvent{event: endpointmerge.Tick{}})
		case <-firstList.C:
			nextTick = i.stopWaiting()
		case <-save.C:
			i.save()
			continue
		case <-i.done:
			return
		}
		if nextTick > 0 {
			next.Reset(max(0, clock.Span(nextTick-i.node.Clock().Now())))
		}
	}
}

// stopWaiting lets the first list be published without the sources that have not reported. It returns when a Tick is due.
func (i *Inventory) stopWaiting() endpointmerge.Millis {
	if pending := i.view.PendingSources(); !i.published && !i.mayBePartial {
		i.log.Warn("some sources have not reported yet; going on without them", "code", "inventory_partial", "sources", pending)
	}
	i.mayBePartial = true
	return i.handle(sourceEvent{event: endpointmerge.Tick{}})
}

// handle merges one event, publishes the changes and logs what came of it. It returns when a Tick is due; 0 for none.
func (i *Inventory) handle(e sourceEvent) endpointmerge.Millis {
	count := &i.node.Counters().Inventory
	if e.err != nil {
		count.Bad.Inc()
		i.logRejected(e.file, e.err)
		return 0
	}
	outcome := i.view.Step(i.node.Clock().Now(), e.event)
	i.publish(e, outcome)
	i.logOutcome(e, outcome)
	if snapshot, ok := e.event.(endpointmerge.Snapshot); ok && e.file != nil {
		count.Lists.Inc()
		i.lastGood[snapshot.Source] = time.Now()
	}
	return outcome.NextTick
}

// publish hands the first list to the balancer as a whole, once it is complete, and then the changes of each event. A balancer that
// requests discovery's list waits for an answer, also where the answer changes nothing.
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

// isDiscoveryAnswer reports whether an event is discovery's answer to a call: its complete list, or changes of it.
func isDiscoveryAnswer(event endpointmerge.Event) bool {
	switch e := event.(type) {
	case endpointmerge.Snapshot:
		return e.Source == sourceDiscovery
	case endpointmerge.Delta:
		return e.Source == sourceDiscovery
	}
	return false
}

// firstListReady reports whether there is a list to begin with, and no source has to be waited for.
func (i *Inventory) firstListReady() bool {
	if i.view.Len() == 0 {
		return false
	}
	return i.mayBePartial || len(i.view.PendingSources()) == 0
}
