// Package experiment plays a scenario: it starts servers, discovery and nodes, sends the load, injects the faults, and
// lets the auditor judge what was seen.
package experiment

import (
	"context"
	"errors"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/load"
	"tackhub.example/tackhub/lab/nodeproc"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	// sampleEvery is the time between two measurements of nodes and servers.
	sampleEvery = 250 * time.Millisecond

	// responseSlack is how late a response may be: 5 ms after the client's wait by the rule, and 50 ms for the sockets.
	responseSlack = 55 * time.Millisecond

	// settle lets starting nodes get their list and open their first connections before the first request.
	settle = 300 * time.Millisecond
)

// Options say how a scenario is played.
type Options struct {
	Scenario  *scenario.Scenario
	Command   []string // starts a node: the program and its arguments
	Env       []string // added to the nodes' environment
	Dir       string   // for the nodes' configurations and logs; empty: a folder that is removed at the end
	Build     string   // what is played, for the report
	Progress  func(Progress)
	Started   func(nodes []string) // called once the nodes are healthy, with their addresses
	Companion Companion            // a further party to the run; nil: none
}

// Companion sends requests of its own beside the load.
type Companion interface {
	// Begin is called once the nodes are up. Times of attempts count from start.
	Begin(start time.Time, nodes []string)
	// StopBegan is called right after SIGTERM of a planned stop. It must not wait.
	StopBegan(node int, address string, at time.Time)
	// Attempts ends what is still going on and returns what was seen.
	Attempts() []audit.Attempt
}

// Run plays a scenario and judges it. An error says that the run could not begin; a run that began and proves nothing
// has the verdict VerdictVoid.
func Run(ctx context.Context, o Options) (*Result, error) {
	sched, err := o.Scenario.Schedule()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	r := &run{options: o, sched: sched, start: began}
	out := &Result{
		Began:    began,
		Scenario: o.Scenario.Name,
		About:    o.Scenario.About,
		Seed:     o.Scenario.Seed,
		Schedule: sched.Hash(),
		Build:    o.Build,
		Machine:  machine(),
		When:     began.UTC().Truncate(time.Second),
	}
	if r.fleet, err = backend.New(o.Scenario, sched.Speeds, began); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	operatorFile, clean, err := r.writeOperatorFiles()
	if err != nil {
		return nil, err
	}
	defer clean()
	if err := r.startNodes(operatorFile); err != nil {
		return nil, err
	}
	defer r.nodes.Close()
	r.scheduleStart = time.Since(began) + settle
	r.load = load.New(load.Options{
		Scenario:      o.Scenario,
		Schedule:      sched,
		Nodes:         r.nodes.Addresses(),
		Start:         began.Add(r.scheduleStart),
		Alive:         r.nodes.Alive,
		StoppingFor:   r.nodes.StoppingFor,
		CoapAddresses: r.coap,
	})
	err = r.play(ctx)
	time.Sleep(responseSlack) // an attempt that begins after its response would reach a server now
	r.summarize(out, err)
	out.Took = time.Since(began).Seconds()
	return out, nil
}

// startNodes starts the nodes and tells whoever waits for them.
func (r *run) startNodes(operatorFile func(int) string) error {
	o := r.options
	var onStop func(int, string, time.Time)
	if o.Companion != nil {
		onStop = o.Companion.StopBegan
	}
	var err error
	r.nodes, err = nodeproc.Start(nodeproc.Options{
		OnStop:       onStop,
		Scenario:     o.Scenario,
		Command:      o.Command,
		Env:          o.Env,
		Backends:     r.fleet,
		RunStart:     r.start,
		OperatorFile: operatorFile,
		Dir:          o.Dir,
	})
	if err != nil {
		return err
	}
	if o.Started != nil {
		o.Started(r.nodes.Addresses())
	}
	if o.Companion != nil {
		o.Companion.Begin(r.start, r.nodes.Addresses())
	}
	return nil
}

// run is a run that is being played.
type run struct {
	options       Options
	sched         *scenario.Schedule
	start         time.Time
	scheduleStart time.Duration // when the schedule begins, in the run's time
	fleet         *backend.Fleet
	nodes         *nodeproc.Group
	load          *load.Generator

	coap   []string                 // the nodes' CoAP addresses
	writer *backend.InventoryWriter // nil: discovery alone lists the servers
	mesh   *meshRun                 // nil: the nodes do not know one another
	ended  time.Duration            // the last moment that is judged

	servers [][]backend.ServerLoad // by half second

	mu           sync.Mutex // guards what follows
	marks        []Mark
	recentEvents []string // since the last progress report
	faultErr     error    // faults that could not be injected
}

// play sends the load while faults are injected and nodes are measured.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.faults(ctx) })
	done := make(chan struct{})
	background.Go(func() { r.measure(done) })
	if r.mesh != nil {
		background.Go(func() { r.watchMembers(done) })
		r.countTraffic(false)
	}
	var writerErr error
	if r.writer != nil {
		background.Go(func() { writerErr = r.writer.Run(ctx) })
	}
	err := r.load.Run(ctx)
	if r.mesh != nil {
		r.countTraffic(true)
	}
	r.ended = time.Since(r.start)
	close(done)
	cancel()
	background.Wait()
	return errors.Join(err, writerErr, r.faultErr)
}
