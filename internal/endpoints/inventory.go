package endpoints

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/filewatch"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/statefile"
	"tackhub.example/tackhub/internal/subsystem"
)

const (
	// waiting bounds what sources have said and the merged view has not taken in: a source that says more waits.
	waiting = 16

	// firstWait is how long the first list waits for every source: until then the module keeps what it had, since routing
	// by half of the sources is routing by a partial list. A source that is down must not hold up the others for longer.
	firstWait = 2 * time.Second

	// conflictsTold bounds the log lines of one step: two sources that disagree on everything would fill the log.
	conflictsTold = 10

	stateName    = "inventory"
	stateVersion = 1
)

// Node is what the inventory needs of its node.
type Node interface {
	Endpoints() *Directory
	Clock() clock.Clock
	IdempotencyWindow() time.Duration // the longest in which a keyed request's repeats are dropped
	Counters() *counters.Counters
}

// Part is the subsystem.
func Part() subsystem.Definition {
	return subsystem.Definition{
		Section: operator.Section{Name: "inventory", Summary: "servers from CSV and YAML files, merged with discovery",
			New: func() any { return defaults() }, Check: check},
		Build: build,
	}
}

// State is what is kept on disk.
type SavedState struct {
	Saved     time.Time              `json:"saved"`
	Revisions map[string]string      `json:"revisions"`
	Members   []endpointmerge.Member `json:"members"`
}

// said is an event of a source with what is to be told of it.
type said struct {
	event endpointmerge.Event
	file  *File // that a list or its fault came from
	fault error
	count int // servers of the list
}

// Inventory is the running subsystem.
type Inventory struct {
	o      Options
	node   Node
	log    *slog.Logger
	store  *statefile.Store
	view   *endpointmerge.View
	said   chan said
	stop   context.CancelFunc
	done   <-chan struct{}
	ending sync.WaitGroup

	good  map[string]time.Time // by source: when it last gave a list
	most  int64                // bytes of a file
	old   *Inventory           // what ran before with other options
	ready bool                 // the first list need not wait any longer
	whole bool                 // the first list was pushed
	dirty bool                 // the view differs from what was saved
	broke bool                 // the last save failed, and that was told
	stale bool
}

func build(host subsystem.Host, options any, old subsystem.Instance) (subsystem.Instance, error) {
	n, ok := host.Node.(Node)
	if !ok {
		return nil, errors.New("this node has no roster")
	}
	o := *options.(*Options)
	i := &Inventory{o: o, node: n, log: host.Log, said: make(chan said, waiting), stop: func() {}, good: map[string]time.Time{},
		view: endpointmerge.New(o.settings(n.IdempotencyWindow())), most: mostBytes(host.Limits.MemoryBytes)}
	i.old, _ = old.(*Inventory)
	if o.StateDir != "" {
		if err := os.MkdirAll(o.StateDir, 0o700); err != nil {
			return nil, fmt.Errorf("state_dir: %w", err)
		}
		i.store = statefile.New(statefile.OS{}, o.StateDir, stateName, stateVersion)
	}
	return i, nil
}

// mostBytes is how large a file a node of some memory may read. Measured with 192 MB: a YAML file of 0.99 MB (10,000
// servers) takes the node to 127 MB at the most, one of 0.05 MB to 43; CSV takes less for as many servers and more for as
// many bytes. A file that would have the node killed for memory is one fault more, and the last good list stands.
func mostBytes(memory int64) int64 {
	const (
		aside = 24 << 20 // what the node needs beside it
		times = 168      // memory for a byte of file
		least = 32 << 10
	)
	if memory <= 0 {
		return inventory.MaxBytes
	}
	return min(inventory.MaxBytes, max(least, (memory-aside)/times))
}

// Start takes over the node's list.
func (i *Inventory) Start(ctx context.Context) {
	ctx, i.stop = context.WithCancel(ctx)
	i.done = ctx.Done()
	i.recover()
	i.node.Endpoints().attach(i)
	i.step(said{event: endpointmerge.Tick{}})
	if len(i.o.Static) > 0 {
		i.step(said{event: endpointmerge.Snapshot{Source: sourceStatic, Revision: "file", Servers: i.static()}})
	}
	for k := range i.o.Files {
		f := &i.o.Files[k]
		beside := []string{f.confirm()}
		if f.Checksum {
			beside = append(beside, f.checksum())
		}
		i.ending.Go(func() {
			filewatch.Run(ctx, filewatch.Options{Path: f.Path, Companions: beside, Settle: i.o.Settle.Std(), SelfVerifying: f.Trailer || f.Checksum,
				PollInterval: i.o.Poll.Std(), MaxBytes: i.most}, func(s filewatch.Event) { i.read(f, s) })
		})
	}
	i.ending.Go(i.run)
}

// Stop gives the list back to discovery alone.
func (i *Inventory) Stop() {
	if i.done == nil { // never started
		return
	}
	i.node.Endpoints().detach()
	i.stop()
	i.ending.Wait()
	i.save()
}

func (i *Inventory) static() []inventory.Server {
	out := make([]inventory.Server, 0, len(i.o.Static))
	for _, s := range i.o.Static {
		out = append(out, inventory.Server{ID: s.ID, Address: s.Address, Zone: s.Zone, Pod: s.Pod, Size: s.Size, Phase: inventory.Serving})
	}
	return out
}

// recover begins with the view that ran before with other options, or that an earlier process left on disk.
func (i *Inventory) recover() {
	if i.old != nil && i.old.whole {
		i.ready = true
		i.begin("running", i.old.view.Members())
		i.old = nil
		return
	}
	if i.store == nil {
		return
	}
	data, skipped, err := i.store.Load()
	for _, s := range skipped {
		i.log.Warn("a state was passed over", "code", "state_skipped", "file", s.File, "error", s.Err)
	}
	var state SavedState
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	if err != nil {
		i.log.Info("no state to begin with", "code", "state_none", "error", err)
		return
	}
	i.stale, i.ready = true, true
	i.log.Warn("serving from the saved list until every source has spoken", "code", "inventory_stale", "servers", len(state.Members),
		"age_s", int(time.Since(state.Saved).Seconds()))
	i.begin("saved", state.Members)
}

// begin takes members over before the roster is attached; the next step pushes them.
func (i *Inventory) begin(revision string, members []endpointmerge.Member) {
	servers := make([]inventory.Server, 0, len(members))
	for _, m := range members {
		servers = append(servers, m.Server)
	}
	i.view.Step(i.node.Clock().Now(), endpointmerge.Snapshot{Source: endpointmerge.SourceRestored, Revision: revision, Servers: servers})
}

// discovery takes what discovery told. It may wait; the catalog's own goroutine calls it.
func (i *Inventory) discovery(l discovery.List, form balancer.UpdateKind) {
	if !i.o.Discovery {
		return
	}
	var set []inventory.Server
	var gone []string
	for _, m := range l.Members {
		if m.Phase == "DELETED" {
			gone = append(gone, m.ID)
			continue
		}
		set = append(set, fromDiscovery(m))
	}
	revision := strconv.FormatInt(l.Revision, 10)
	switch form {
	case balancer.FullUpdate:
		i.say(said{event: endpointmerge.Snapshot{Source: sourceDiscovery, Revision: revision, Servers: set}})
	case balancer.DeltaUpdate:
		i.say(said{event: endpointmerge.Delta{Source: sourceDiscovery, Revision: revision, Updated: set, Removed: gone}})
	case balancer.CachedUpdate: // what the node held before it started: older than anything that speaks now
		if len(set) > 0 {
			i.say(said{event: endpointmerge.Snapshot{Source: endpointmerge.SourceRestored, Revision: "known", Servers: set}})
		}
	}
}

// fromDiscovery is a discovery's entry in the inventory's terms. A phase that is not known counts as draining.
func fromDiscovery(m discovery.Member) inventory.Server {
	s := inventory.Server{ID: m.ID, Address: m.HostPort, Zone: m.Locality, Pod: strconv.Itoa(m.Cell), Size: m.Size,
		Phase: inventory.Draining, Started: m.UpSince}
	if m.Phase == "SERVING" {
		s.Phase = inventory.Serving
	}
	return s
}

// say hands an event to the goroutine that owns the view.
func (i *Inventory) say(s said) {
	select {
	case i.said <- s:
	case <-i.done:
	}
}

// read takes what a file's watcher has seen.
func (i *Inventory) read(f *File, seen filewatch.Event) {
	if seen.Err != nil {
		i.say(said{file: f, fault: seen.Err})
		return
	}
	if sum := confirmed(f); sum != "" {
		i.say(said{event: endpointmerge.Confirmed{Source: f.source(), Revision: sum}})
	}
	if err := checksum(f, seen.Data); err != nil {
		i.say(said{file: f, fault: err})
		return
	}
	list, err := inventory.Parse(f.Path, seen.Data, f.reading())
	if err != nil {
		i.say(said{file: f, fault: err})
		return
	}
	i.say(said{file: f, count: len(list.Servers), event: endpointmerge.Snapshot{Source: f.source(), Revision: list.SHA256, Servers: list.Servers}})
}

// confirmed is the revision that an operator lets pass; empty where none.
func confirmed(f *File) string {
	raw, err := os.ReadFile(f.confirm())
	if err != nil || len(raw) > 1024 {
		return ""
	}
	return firstWord(raw)
}

func firstWord(raw []byte) string {
	if words := strings.Fields(string(raw)); len(words) > 0 {
		return strings.ToLower(words[0])
	}
	return ""
}

// checksum compares a file with its checksum file, where one is asked for.
func checksum(f *File, data []byte) error {
	if !f.Checksum {
		return nil
	}
	raw, err := os.ReadFile(f.checksum())
	if err != nil {
		return fmt.Errorf("%s: %w", f.checksum(), err)
	}
	if want, sum := firstWord(raw), inventory.SHA256(data); want != sum {
		return fmt.Errorf("%s: SHA-256 is %.12s…, %s says %.12s…", f.Path, sum, f.checksum(), want)
	}
	return nil
}

// run owns the view.
func (i *Inventory) run() {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	first := time.NewTimer(firstWait)
	defer first.Stop()
	save := time.NewTicker(i.o.SaveEvery.Std())
	defer save.Stop()
	for {
		at := endpointmerge.Millis(0)
		select {
		case s := <-i.said:
			at = i.step(s)
		case <-wake.C:
			at = i.step(said{event: endpointmerge.Tick{}})
		case <-first.C:
			at = i.goOn()
		case <-save.C:
			i.save()
			continue
		case <-i.done:
			return
		}
		if at > 0 {
			wake.Reset(max(0, clock.Span(at-i.node.Clock().Now())))
		}
	}
}

// goOn ends the wait for the first whole list.
func (i *Inventory) goOn() endpointmerge.Millis {
	if silent := i.view.PendingSources(); !i.whole && !i.ready {
		i.log.Warn("some sources have not spoken; going on without them", "code", "inventory_partial", "sources", silent)
	}
	i.ready = true
	return i.step(said{event: endpointmerge.Tick{}})
}

// step takes one event and tells what came of it; it gives the time at which to step again.
func (i *Inventory) step(s said) endpointmerge.Millis {
	count := &i.node.Counters().Inventory
	if s.fault != nil {
		count.Bad.Inc()
		i.tellFault(s.file, s.fault)
		return 0
	}
	out := i.view.Step(i.node.Clock().Now(), s.event)
	i.push(s, out)
	i.tell(s, out)
	if st, ok := s.event.(endpointmerge.Snapshot); ok && s.file != nil {
		count.Lists.Inc()
		i.good[st.Source] = time.Now()
	}
	return out.NextTick
}

// push tells the module. The first time it hears the whole view, and then one change for one change.
func (i *Inventory) push(s said, out endpointmerge.Outcome) {
	_, fromDiscovery := s.event.(endpointmerge.Delta)
	switch {
	case !i.whole && (i.view.Len() == 0 || !i.ready && len(i.view.PendingSources()) > 0):
		return
	case !i.whole:
		i.whole = true
		i.node.Endpoints().push(i.view.Published(), balancer.FullUpdate)
	case len(out.Changes) > 0 || fromDiscovery: // a module that asked discovery hears that an answer came
		i.node.Endpoints().push(out.Changes, balancer.DeltaUpdate)
	default:
		return
	}
	i.dirty = i.dirty || len(out.Changes) > 0
	count := &i.node.Counters().Inventory
	count.Pushes.Inc()
	count.Entries.Add(int64(len(out.Changes)))
}

// tell writes what the pager needs to know.
func (i *Inventory) tell(s said, out endpointmerge.Outcome) {
	count := &i.node.Counters().Inventory
	if st, ok := s.event.(endpointmerge.Snapshot); ok && s.file != nil && len(out.Held) == 0 {
		i.log.Info("a list was taken", "code", "inventory_list", "file", s.file.Path, "sha256", st.Revision, "servers", s.count,
			"changed", len(out.Changes), "moving", out.MovesStarted)
	}
	for _, h := range out.Held {
		count.Held.Inc()
		i.log.Error("a list that takes away too much is held; the last good one stands", "code", "inventory_held", "source", h.Source,
			"sha256", h.Revision, "away", h.Removed, "of", h.Total)
	}
	for _, name := range out.Released {
		i.log.Info("a held list is let pass or replaced", "code", "inventory_released", "source", name)
	}
	for k, c := range out.Conflicts {
		count.Conflicts.Inc()
		if k < conflictsTold {
			i.log.Warn("sources differ", "code", "inventory_conflict", "server", c.ID, "field", c.Field, "taken", c.Chosen, "from", c.ChosenSource,
				"left", c.Rejected, "not", c.RejectedSource)
		}
	}
	if n := len(out.Conflicts) - conflictsTold; n > 0 {
		i.log.Warn("sources differ on more", "code", "inventory_conflict", "more", n)
	}
	if i.stale && !i.view.Stale() {
		i.stale = false
		i.log.Info("every source has spoken: the list is fresh", "code", "inventory_fresh", "servers", i.view.Len())
	}
}

// tellFault names each fault of a file that was not taken, and how old what stands is.
func (i *Inventory) tellFault(f *File, err error) {
	var faults *inventory.Diagnostics
	if errors.As(err, &faults) {
		for _, x := range faults.First {
			i.log.Error("fault in a list", "code", "inventory_fault", "file", x.File, "line", x.Line, "column", x.Column, "row", x.Row,
				"error", x.Message)
		}
		err = fmt.Errorf("%d faults", faults.Total)
	}
	args := []any{"code", "inventory_bad", "file", f.Path, "error", err}
	if at, ok := i.good[f.source()]; ok {
		args = append(args, "age_s", int(time.Since(at).Seconds()))
	}
	i.log.Error("the list is not taken; the last good one stands", args...)
}

// save writes the view where it has changed. A disk that is full or read-only is told once; serving goes on.
func (i *Inventory) save() {
	if i.store == nil || !i.dirty {
		return
	}
	data, err := json.Marshal(SavedState{Saved: time.Now().UTC(), Revisions: i.view.Revisions(), Members: i.view.Members()})
	if err == nil {
		err = i.store.Save(data)
	}
	count := &i.node.Counters().Inventory
	if err != nil {
		count.SaveFailures.Inc()
		if !i.broke {
			i.broke = true
			i.log.Error("the list cannot be saved; serving goes on", "code", "state_failed", "error", err)
		}
		return
	}
	count.Saves.Inc()
	if i.broke {
		i.log.Info("the list is saved again", "code", "state_saved")
	}
	i.dirty, i.broke = false, false
}
