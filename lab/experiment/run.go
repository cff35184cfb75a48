// Package experiment plays a scenario: it starts servers, discovery and nodes, sends the load, carries out the faults,
// and lets the auditor judge what was seen.
package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/load"
	"tackhub.example/tackhub/lab/loopback"
	"tackhub.example/tackhub/lab/nodeproc"
	"tackhub.example/tackhub/lab/scenario"
)

// The verdicts.
const (
	VerdictOK    = "ok"    // no rule broke and every expectation is met
	VerdictShort = "short" // a rule broke, or an expectation is not met
	VerdictVoid  = "void"  // the run proves nothing: it was cut off, or the rig itself was late
)

const (
	sampleEvery = 250 * time.Millisecond

	// skewMost is how far the clocks of rig and node may lie apart. What is measured holds the way of a log line through
	// a pipe as well, which takes milliseconds on a busy machine; a clock that is really off is off by more.
	skewMost = 50 * time.Millisecond

	// slack and sockets are the rule's: an answer may come 5 ms after the wait, and 50 ms more on sockets.
	slack = 55 * time.Millisecond

	// settle lets starting nodes have the list and their first connections before the first request.
	settle = 300 * time.Millisecond
)

// Options are how a scenario is run.
type Options struct {
	Scenario *scenario.Scenario
	Command  []string // of a node
	Env      []string
	Dir      string
	Build    string // what was run, for the report
	Progress func(Progress)
	Started  func(nodes []string) // called once the nodes are up, with their addresses
	// Companion is a further party to the run; nil: none.
	Companion Companion
}

// Companion sends requests of its own beside the load.
type Companion interface {
	// Begin is called once the nodes are up. Times of tries count from start.
	Begin(start time.Time, nodes []string)
	// Stopping is called right after SIGTERM of a planned stop. It does not wait.
	Stopping(node int, address string, at time.Time)
	// Tries ends what is still going on, and gives what was seen.
	Tries() []audit.Try
}

// Progress is one second as it goes.
type Progress struct {
	At       time.Duration
	Asked    int
	Worth    float64
	P50, P99 float64
	Refused  int
	Failed   int
	Excluded []string
	Events   []string
	Loads    []backend.Load
}

// Mark is a fault as it was carried out.
type Mark struct {
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

// Result is a whole run.
type Result struct {
	Scenario  string               `json:"scenario"`
	About     string               `json:"about"`
	Verdict   string               `json:"verdict"`
	Short     []string             `json:"short,omitempty"`
	Void      string               `json:"void,omitempty"`
	Breaches  []audit.Breach       `json:"breaches,omitempty"`
	BreachesN map[string]int       `json:"breaches_by_rule,omitempty"`
	Figures   Figures              `json:"figures"`
	Seconds   []Second             `json:"seconds"`
	Marks     []Mark               `json:"marks"`
	Nodes     []nodeproc.Report    `json:"nodes"`
	Servers   [][]backend.Load     `json:"servers"` // by half second
	Members   *audit.MemberFigures `json:"members,omitempty"`
	Files     map[string]int       `json:"inventory_files,omitempty"` // rewritten well and badly, over all nodes
	Seed      uint64               `json:"seed"`
	Schedule  string               `json:"schedule"` // its hash
	Build     string               `json:"build"`
	Machine   string               `json:"machine"`
	When      time.Time            `json:"when"`
	Took      float64              `json:"took_s"`
	Killed    int                  `json:"killed"` // planned stops that SIGKILL ended
	Record    audit.Record         `json:"-"`
	Began     time.Time            `json:"-"` // the zero of the record's times
	Logs      []string             `json:"-"`
}

// Run plays a scenario. The error says that it could not be run at all.
func Run(ctx context.Context, o Options) (*Result, error) {
	sched, err := o.Scenario.Schedule()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	r := &run{o: o, sched: sched, start: began}
	out := &Result{Began: began, Scenario: o.Scenario.Name, About: o.Scenario.About, Seed: o.Scenario.Seed, Schedule: sched.Hash(),
		Build: o.Build, Machine: machine(), When: began.UTC().Truncate(time.Second)}
	if r.fleet, err = backend.New(o.Scenario, sched.Speeds, began); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	edge, clean, err := r.edges()
	if err != nil {
		return nil, err
	}
	defer clean()
	var stopping func(int, string, time.Time)
	if o.Companion != nil {
		stopping = o.Companion.Stopping
	}
	if r.bank, err = nodeproc.Start(nodeproc.Options{Stopping: stopping, Scenario: o.Scenario, Command: o.Command, Env: o.Env, Fleet: r.fleet,
		Start: began, Edge: edge, Dir: o.Dir}); err != nil {
		return nil, err
	}
	defer r.bank.Close()
	if o.Started != nil {
		o.Started(r.bank.Addrs())
	}
	if o.Companion != nil {
		o.Companion.Begin(began, r.bank.Addrs())
	}
	r.lead = time.Since(began) + settle // the schedule's zero, in the run's time
	r.load = load.New(load.Options{Scenario: o.Scenario, Schedule: sched, Nodes: r.bank.Addrs(), Start: began.Add(r.lead),
		Alive: r.bank.Alive, Leaving: r.bank.Leaving, Coap: r.coap})
	err = r.play(ctx)
	time.Sleep(slack) // what is sent after its answer would come now
	r.sum(out, err)
	out.Took = time.Since(began).Seconds()
	return out, nil
}

// edges write the nodes' operator files, where the scenario turns subsystems on.
func (r *run) edges() (edge func(int) string, clean func(), err error) {
	s := r.o.Scenario
	if s.Inventory == nil && s.Clients.Coap == 0 && s.Mesh == nil {
		return nil, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "tacklab-edge")
	if err != nil {
		return nil, nil, err
	}
	clean = func() {
		_ = os.RemoveAll(dir)
		if r.mesh != nil {
			r.mesh.links.Close()
		}
	}
	if err = errors.Join(r.writeEdges(dir), r.weave(dir)); err != nil {
		clean()
		return nil, nil, err
	}
	return func(node int) string { return backend.EdgePath(dir, node) }, clean, nil
}

func (r *run) writeEdges(dir string) (err error) {
	if r.o.Scenario.Inventory != nil {
		if r.writer, err = backend.NewWriter(r.fleet, dir); err != nil {
			return err
		}
	}
	if r.o.Scenario.Clients.Coap == 0 {
		return nil
	}
	for node := range r.o.Scenario.Nodes.Count {
		addr, err := loopback.Free() // a TCP port that is free on a host of its own: UDP's is too
		if err != nil {
			return err
		}
		r.coap = append(r.coap, addr)
		f, err := os.OpenFile(backend.EdgePath(dir, node), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(f, "\n[coap]\nlisten = %q\nper_endpoint = 20000\nremembered = 100000\nmemory = \"96MiB\"\nrate = 0.0\n", addr)
		if err = errors.Join(err, f.Close()); err != nil {
			return err
		}
	}
	return nil
}

// run is a run on its way.
type run struct {
	o     Options
	sched *scenario.Schedule
	start time.Time
	lead  time.Duration
	fleet *backend.Fleet
	bank  *nodeproc.Bank
	load  *load.Load

	coap   []string        // the nodes' CoAP addresses
	writer *backend.Writer // nil: discovery alone lists the servers
	mesh   *meshed         // nil: the nodes do not know of one another
	ended  time.Duration   // the last moment that is judged

	mu      sync.Mutex
	marks   []Mark
	news    []string
	failed  error
	servers [][]backend.Load
}

// play sends the load while faults come and nodes are measured.
func (r *run) play(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var beside sync.WaitGroup
	beside.Go(func() { r.faults(ctx) })
	done := make(chan struct{})
	beside.Go(func() { r.measure(done) })
	if r.mesh != nil {
		beside.Go(func() { r.watchMembers(done) })
		r.account(false)
	}
	var written error
	if r.writer != nil {
		beside.Go(func() { written = r.writer.Run(ctx) })
	}
	err := r.load.Run(ctx)
	if r.mesh != nil {
		r.account(true)
	}
	r.ended = time.Since(r.start)
	close(done)
	cancel()
	beside.Wait()
	return errors.Join(err, written, r.failed)
}

// faults carries out the timeline. One event does not hold up the next: a planned restart takes seconds.
func (r *run) faults(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	for _, e := range r.sched.Events {
		wait := time.NewTimer(time.Until(r.start.Add(r.lead + e.At)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		r.mark(e)
		open.Go(func() {
			if err := r.apply(e); err != nil {
				r.mu.Lock()
				r.failed = errors.Join(r.failed, fmt.Errorf("%s: %w", e.Kind, err))
				r.mu.Unlock()
			}
		})
	}
}

func (r *run) apply(e scenario.Event) error {
	switch {
	case scenario.OfLink(e.Kind):
		r.mesh.apply(e, time.Since(r.start))
		return nil
	case strings.HasPrefix(e.Kind, "node-") || e.Kind == "disk-lost":
		return r.bank.Apply(e)
	case strings.HasPrefix(e.Kind, "clients-"):
		r.load.Apply(e)
		return nil
	}
	if err := r.fleet.Apply(e); err != nil {
		return err
	}
	if e.Server >= 0 && (e.Ends || e.Kind == "cold-return") {
		r.bank.Forget(r.fleet.Loads()[e.Server].ID)
	}
	return nil
}

// mark notes an event; several of one kind at one moment share a line.
func (r *run) mark(e scenario.Event) {
	what, target := e.Kind, fmt.Sprintf("s%03d", e.Server)
	if e.Server < 0 {
		target = fmt.Sprintf("n%d", e.Node)
	}
	if e.Peer >= 0 {
		target += fmt.Sprintf(">n%d", e.Peer)
	}
	if e.Ends {
		what += " ends"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.news = append(r.news, what+" "+target)
	at := e.At.Seconds()
	if n := len(r.marks); n > 0 && at-r.marks[n-1].At < 0.5 && strings.HasPrefix(r.marks[n-1].Text, what+" ") {
		r.marks[n-1].Text += ", " + target
		return
	}
	r.marks = append(r.marks, Mark{at, what + " " + target})
}

// measure samples nodes and servers, and tells each second how it goes.
func (r *run) measure(done <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	seen, ticks := 0, 0
	for {
		select {
		case <-tick.C:
		case <-done:
			return
		}
		ticks++
		r.bank.Sample()
		if ticks%2 == 0 {
			r.servers = append(r.servers, r.fleet.Loads())
		}
		if ticks%4 == 0 && r.o.Progress != nil {
			ops := r.load.Since(seen)
			seen += len(ops)
			r.tell(ops)
		}
	}
}

func (r *run) tell(ops []load.Op) {
	p := Progress{At: time.Since(r.start) - r.lead, Asked: len(ops), Excluded: r.bank.Excluded(), Loads: r.fleet.Loads()}
	t, hist := tally{}, newHistogram()
	for _, o := range ops {
		a, e := worth(r.o.Scenario, o)
		t.asked += a
		t.served += e
		switch o.Ending {
		case audit.Refused, audit.Unplaced:
			p.Refused++
		case audit.Failed, audit.Lost, audit.OnWay:
			p.Failed++
		case audit.Served:
			_ = hist.RecordValue(max(1, (o.Ended - o.Intended).Microseconds()))
		}
	}
	p.Worth, p.P50, p.P99 = t.share(), float64(hist.ValueAtQuantile(50))/1000, float64(hist.ValueAtQuantile(99))/1000
	r.mu.Lock()
	p.Events, r.news = r.news, nil
	r.mu.Unlock()
	r.o.Progress(p)
}

// sum works out what the run came to.
func (r *run) sum(out *Result, err error) {
	s := r.o.Scenario
	tries, ops := r.load.Results()
	record := r.record(tries)
	if r.o.Companion != nil {
		record.Tries = append(record.Tries, r.o.Companion.Tries()...)
	}
	out.Record, out.Killed = record, r.bank.Killed()
	out.Breaches = record.Judge(audit.Limits{Grace: s.Nodes.Grace, Late: slack, Way: way(s)})
	out.BreachesN = map[string]int{}
	for _, b := range out.Breaches {
		out.BreachesN[b.Rule]++
	}
	out.Figures, out.Seconds, out.Marks, out.Servers = figures(s, ops), seconds(s, ops), r.marks, r.servers
	out.Nodes = r.bank.Reports()
	r.costs(&out.Figures, out.Nodes)
	if r.mesh != nil {
		r.judgeMembers(out)
	}
	if e := s.Expect.Recover; e != nil {
		if d, ok := recovered(s, ops, *e); ok {
			sec := d.Seconds()
			out.Figures.Recovered = &sec
		}
	}
	asked := time.Duration(0)
	for _, a := range r.sched.Arrivals {
		asked += a.Work
	}
	out.Figures.WorkTimes = r.fleet.WorkBegun().Seconds() / math.Max(1e-9, asked.Seconds())
	for i := range out.Nodes {
		out.Logs = append(out.Logs, r.bank.Log(i))
	}
	if r.writer != nil {
		out.Files = map[string]int{"good": r.writer.Good, "bad": r.writer.Bad}
	}
	out.Short = short(s, out.Figures)
	out.Void = r.void(out.Figures, err)
	switch {
	case out.Void != "":
		out.Verdict = VerdictVoid
	case len(out.Breaches) > 0 || len(out.Short) > 0:
		out.Verdict = VerdictShort
	default:
		out.Verdict = VerdictOK
	}
}

// void says why a run proves nothing; empty where it does.
func (r *run) void(f Figures, err error) string {
	late := float64(r.o.Scenario.RigLate) / float64(time.Millisecond)
	skew := float64(skewMost) / float64(time.Millisecond)
	switch {
	case errors.Is(err, context.Canceled):
		return "cut off"
	case err != nil:
		return err.Error()
	case f.RigLate > late:
		return fmt.Sprintf("the rig was late: p99 %.1f ms, at most %.1f allowed", f.RigLate, late)
	case math.Abs(f.Skew) > skew:
		return fmt.Sprintf("clocks of rig and nodes lie %.1f ms apart", f.Skew)
	case f.Asked == 0:
		return "nothing was asked"
	}
	return ""
}

// record puts together what all saw. Clients' times count from the schedule's zero, the servers' from the run's.
func (r *run) record(tries []audit.Try) audit.Record {
	record := r.fleet.Record()
	record.Outages, record.Pauses = r.bank.Outages(), r.bank.Pauses()
	if r.writer != nil { // the nodes listen to their files alone
		record.Told = r.writer.Told()
	}
	for _, t := range tries {
		t.Sent, t.Expires, t.Ended = t.Sent+r.lead, t.Expires+r.lead, t.Ended+r.lead
		record.Tries = append(record.Tries, t)
	}
	return record
}

// way is the most that the lab's links delay one message between node and server: four losses of one segment in a row
// at most, which is one in ten thousand at a loss of a tenth.
func way(s *scenario.Scenario) time.Duration {
	most := func(l scenario.Impair) time.Duration {
		d := l.Delay + l.Jitter
		if l.Loss > 0 {
			d += 4 * max(l.RTO, 200*time.Millisecond)
		}
		return d
	}
	return most(s.Links.Servers) + s.Fleet.ZoneDelay
}

// costs sums up the nodes' measurements.
func (r *run) costs(f *Figures, nodes []nodeproc.Report) {
	for _, n := range nodes {
		f.Crashes += n.Crashes
		for _, s := range n.Samples {
			f.MemoryMB = max(f.MemoryMB, float64(s.RSS)/(1<<20))
			f.Sockets = max(f.Sockets, s.Sockets)
		}
		if k := len(n.Samples); k > 1 {
			first, last := n.Samples[0], n.Samples[k-1]
			f.CPU += (last.CPU - first.CPU) / (last.At - first.At).Seconds() / float64(len(nodes))
		}
	}
	f.Skew = r.bank.Skew()
}

func machine() string {
	var u syscall.Utsname
	release := ""
	if syscall.Uname(&u) == nil {
		for _, c := range u.Release {
			if c == 0 {
				break
			}
			release += string(rune(c))
		}
	}
	return fmt.Sprintf("%d cores, %s/%s, kernel %s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, release, runtime.Version())
}
