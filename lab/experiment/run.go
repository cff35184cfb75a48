// Package experiment runs a scenario: it starts simulated servers, discovery and the nodes, sends the load, injects the
// faults, and checks the records of the run with the auditor.
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
	// sampleInterval is the time between two samples of the nodes.
	sampleInterval = 250 * time.Millisecond

	// responseSlack is how long after the client's deadline a response may arrive: the rule allows 5 ms, and 50 ms are added
	// for delays in the sockets.
	responseSlack = 55 * time.Millisecond

	// settleTime gives new nodes the time to get the endpoint list and to open connections before the first request.
	settleTime = 300 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Scenario  *scenario.Scenario
	Command   []string // program and arguments that start a node
	Env       []string // added to the nodes' environment
	Dir       string   // directory of the nodes' configurations and logs; empty: a temporary directory, removed at the end
	Build     string   // description of the nodes' build, for the report
	Progress  func(Progress)
	Started   func(nodes []string) // called with the nodes' addresses when all nodes are healthy
	Companion Companion            // sends additional requests; nil: none
}

// Companion sends requests in addition to the scenario's load.
type Companion interface {
	// Begin is called when the nodes are healthy. The times of the attempts are relative to start.
	Begin(start time.Time, nodes []string)
	// StopBegan is called directly after SIGTERM was sent for a planned stop. It must not block.
	StopBegan(node int, address string, at time.Time)
	// Attempts ends the requests in flight and returns the attempts of the run.
	Attempts() []audit.Attempt
	// Breaches returns the breaches that the companion has found itself. It is called after Attempts.
	Breaches() []audit.Breach
}

// Run runs a scenario and returns its result and verdict. It returns an error if the run could not start. If a run started
// but shows nothing about the nodes, its verdict is VerdictInvalid.
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
		Machine:  describeMachine(),
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
	r.scheduleStart = time.Since(began) + settleTime
	r.load = load.New(load.Options{
		Scenario:      o.Scenario,
		Schedule:      sched,
		Nodes:         r.nodes.Addresses(),
		Start:         began.Add(r.scheduleStart),
		Alive:         r.nodes.Alive,
		StoppingFor:   r.nodes.StoppingFor,
		CoapAddresses: r.coapAddresses,
	})
	err = r.runLoad(ctx)
	time.Sleep(responseSlack) // gives the servers time to receive attempts that a node wrongly sends after the client's response
	r.summarize(out, err)
	out.Took = time.Since(began).Seconds()
	return out, nil
}

// startNodes starts the nodes, then calls Options.Started and Companion.Begin.
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

// run is the state of a run in progress.
type run struct {
	options       Options
	sched         *scenario.Schedule
	start         time.Time
	scheduleStart time.Duration // start of the schedule, relative to start
	fleet         *backend.Fleet
	nodes         *nodeproc.Group
	load          *load.Generator

	coapAddresses   []string                 // the nodes' CoAP addresses
	inventoryWriter *backend.InventoryWriter // nil: only discovery lists the servers
	mesh            *meshState               // nil: the nodes are not connected to each other
	loadEnd         time.Duration            // end of the load, relative to start

	serverLoads [][]backend.ServerLoad // every 500 ms

	mu           sync.Mutex // guards the fields below
	marks        []Mark
	recentEvents []string // since the last progress report
	faultErr     error    // errors of faults that could not be injected
}

// runLoad sends the load and meanwhile injects the faults and samples the nodes.
func (r *run) runLoad(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { r.injectFaults(ctx) })
	done := make(chan struct{})
	background.Go(func() { r.measure(done) })
	if r.mesh != nil {
		background.Go(func() { r.pollViews(done) })
		r.countTraffic(false)
	}
	var writerErr error
	if r.inventoryWriter != nil {
		background.Go(func() { writerErr = r.inventoryWriter.Run(ctx) })
	}
	err := r.load.Run(ctx)
	if r.mesh != nil {
		r.countTraffic(true)
	}
	r.loadEnd = time.Since(r.start)
	close(done)
	cancel()
	background.Wait()
	return errors.Join(err, writerErr, r.faultErr)
}
