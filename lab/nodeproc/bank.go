// Package nodeproc runs the nodes of an experiment as processes of their own, and measures each from outside.
package nodeproc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/loopback"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	startTime = 15 * time.Second // from the start of a process to its good health
	stopTime  = 6 * time.Second  // from SIGTERM to the exit: the longest deadline, and as much again

	// logKept bounds what is kept of each node's log.
	logKept = 4 << 20
)

// Options are what the nodes are.
type Options struct {
	Scenario *scenario.Scenario
	Command  []string // the program and its arguments
	Env      []string
	Fleet    *backend.Fleet
	Start    time.Time
	Edge     func(node int) string // a node's operator file; nil: as the environment says
	// Stopping is told of each planned stop, right after SIGTERM; nil: nobody asks.
	Stopping func(node int, address string, at time.Time)
	Dir      string // for configurations and logs; empty: a folder that is removed at the end
}

// Bank is all nodes of a run.
type Bank struct {
	o     Options
	dir   string
	temp  bool
	nodes []*Node
}

// Node is one node over all its processes.
type Node struct {
	b     *Bank
	index int
	addr  string
	env   []string
	disk  string // its own folder, with a mesh

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	wanted   bool // an end of the process is not a crash
	outages  []audit.Outage
	downs    []audit.Down // of its processes, planned ones too
	pauses   []audit.Pause
	killed   int // planned stops that SIGKILL had to end
	crashes  int
	excluded map[string]bool
	log      bytes.Buffer
	samples  []Sample
	cpuWas   float64 // seconds of earlier processes
	up       atomic.Bool
	leaving  atomic.Int64  // when its planned stop began, as the run's time; 0: none
	skew     time.Duration // the least that a line of the log was old when it was read; -1: no line told its time
}

// Sample is a node's cost at a moment.
type Sample struct {
	At      time.Duration `json:"at_ns"`
	RSS     int64         `json:"rss_bytes"`
	Sockets int           `json:"descriptors"`
	CPU     float64       `json:"cpu_s"` // since the start, of all its processes
}

// Start starts all nodes and waits until each says that it is healthy.
func Start(o Options) (*Bank, error) {
	b := &Bank{o: o, dir: o.Dir}
	if b.dir == "" {
		dir, err := os.MkdirTemp("", "tacklab")
		if err != nil {
			return nil, err
		}
		b.dir, b.temp = dir, true
	}
	for i := range o.Scenario.Nodes.Count {
		n, err := b.node(i)
		if err == nil {
			err = n.start()
		}
		if err != nil {
			b.Close()
			return nil, err
		}
	}
	return b, nil
}

func (b *Bank) node(i int) (*Node, error) {
	addr, err := loopback.Free()
	if err != nil {
		return nil, err
	}
	n := &Node{b: b, index: i, addr: addr, excluded: map[string]bool{}, skew: -1}
	conf, err := json.MarshalIndent(b.configuration(i, addr), "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(b.dir, fmt.Sprintf("n%d.json", i))
	if err := os.WriteFile(path, conf, 0o600); err != nil {
		return nil, err
	}
	n.env = append(append(os.Environ(), "ROUTER_NAME=n"+strconv.Itoa(i), "ROUTER_LISTEN="+addr,
		"ROUTER_DISCOVERY="+b.o.Fleet.Discovery(i), "ROUTER_CONFIG="+path), b.o.Env...)
	if b.o.Edge != nil {
		n.env = append(n.env, "TACKHUB_EDGE="+b.o.Edge(i))
	}
	if b.o.Scenario.Mesh != nil { // a folder of its own, as on a machine of its own
		n.disk = b.Disk(i)
		if err := os.MkdirAll(n.disk, 0o700); err != nil {
			return nil, err
		}
		n.env = append(n.env, "TMPDIR="+n.disk)
	}
	b.nodes = append(b.nodes, n)
	return n, nil
}

// configuration is a node's file, in the operators' words.
func (b *Bank) configuration(node int, addr string) map[string]any {
	s := b.o.Scenario
	return map[string]any{"name": "n" + strconv.Itoa(node), "listen": addr, "discovery": b.o.Fleet.Discovery(node),
		"seed":   fmt.Sprintf("%016x", s.Seed<<8+uint64(node)+1),
		"limits": map[string]any{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"known":  map[string]any{"revision": 0, "complete": true, "members": b.o.Fleet.Known(node)}, "settings": Settings(s, node)}
}

// Settings is the settings object of a scenario for one node.
func Settings(s *scenario.Scenario, node int) map[string]any {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	classes := []map[string]any{}
	for _, c := range s.Classes {
		group := c.Group
		if group == "" {
			group = "all"
		}
		classes = append(classes, map[string]any{"name": c.Name, "aim_ms": ms(c.Aim), "hard_limit_ms": ms(c.Deadline),
			"dedup_window_ms": ms(c.Window), "effect": map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}[c.Effect],
			"group": group, "late_share": 0, "streamed": false, "worth": c.Worth})
	}
	realms, shares := []map[string]any{}, s.Shares()
	for i, share := range shares {
		if s.Clients.Quota > 0 {
			realms = append(realms, map[string]any{"name": fmt.Sprintf("t%03d", i), "quota_per_s": share * s.Clients.Quota, "share": share})
		}
	}
	how := "none"
	if s.Fleet.Reports {
		how = "answers"
	}
	return map[string]any{"classes": classes, "client_habits": map[string]any{"marks_retry": s.Clients.MarksRetry},
		"counted_by": "request", "discovery": "automatic", "fleet_size": s.Nodes.Count, "me": node,
		"goal": map[string]any{"whole": 0.6, "worst_window": 0.4},
		"obligations": map[string]any{"answer_slack_ms": 5, "cold_from": s.Fleet.ColdFrom, "cold_ms": ms(s.Fleet.ColdFor),
			"fall_ms": ms(s.Fleet.FallFor), "fall_multiple": s.Fleet.FallMultiple, "stop_sending_within_ms": ms(s.Nodes.Grace)},
		"policy_limits": map[string]any{"attempts_cap": s.Nodes.Attempts, "conn_idle_ms": 60000, "connect_timeout_ms": 150,
			"may_cancel": true, "probes": s.Fleet.Probes, "retry_after": true, "max_retry_after_ms": 2000, "second_copies": false},
		"report": map[string]any{"how": how, "names": []string{"concurrent", "queue", "util"}}, "tick_ms": 1,
		"weights": "none", "zone": s.NodeZone(node), "zones": s.Fleet.Zones, "realms": realms, "over_share_worth": 0.2}
}

// start starts a process and waits for its health.
func (n *Node) start() error {
	cmd := exec.Command(n.b.o.Command[0], n.b.o.Command[1:]...)
	cmd.Env = n.env
	// The node goes when the rig goes, however it goes: a run that is cut off leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := startLocked(cmd); err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.wanted = cmd, done, false
	clear(n.excluded)
	n.mu.Unlock()
	go n.follow(cmd, stderr, done)
	err = n.healthy(done)
	n.down(false, false)
	return err
}

// down notes that there is no process any more, or that it stands still; or that there is one again and it goes on.
func (n *Node) down(begins, stopped bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := len(n.downs) - 1
	switch open := last >= 0 && n.downs[last].To == forEver; {
	case begins && !open:
		n.downs = append(n.downs, audit.Down{Node: n.index, From: n.b.at(), To: forEver, Stopped: stopped})
	case !begins && open:
		n.downs[last].To = n.b.at()
	}
}

// forEver is the end of what has not ended yet.
const forEver = time.Duration(1<<63 - 1)

// Downs are the times in which nodes had no process, or one that stood still.
func (b *Bank) Downs() []audit.Down {
	var out []audit.Down
	for _, n := range b.nodes {
		n.mu.Lock()
		out = append(out, n.downs...)
		n.mu.Unlock()
	}
	return out
}

// parents holds a thread that never ends: the kernel sends a process its parent's death when the thread that started
// it ends, and Go ends threads.
var parents = make(chan func())
var startParents = sync.OnceFunc(func() { go holdThread() })

func startLocked(cmd *exec.Cmd) error {
	startParents()
	out := make(chan error, 1)
	parents <- func() { out <- cmd.Start() }
	return <-out
}

func (n *Node) follow(cmd *exec.Cmd, stderr io.Reader, done chan struct{}) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		n.line(lines.Bytes())
	}
	_, _ = io.Copy(io.Discard, stderr)
	_ = cmd.Wait()
	n.mu.Lock()
	if !n.wanted {
		n.crashes++
	}
	if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		n.cpuWas += time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
	}
	n.up.Store(false)
	n.mu.Unlock()
	close(done)
}

var (
	sawExcluded = regexp.MustCompile(`"msg":"excluded ([^:"]+):`)
	sawBack     = regexp.MustCompile(`"msg":"readmitted ([^ "]+) after`)
)

// line keeps a line of the log and learns from it who is excluded.
func (n *Node) line(line []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log.Len() < logKept {
		n.log.Write(line)
		n.log.WriteByte('\n')
	}
	n.compare(line)
	if m := sawExcluded.FindSubmatch(line); m != nil {
		n.excluded[string(m[1])] = true
	} else if m := sawBack.FindSubmatch(line); m != nil {
		delete(n.excluded, string(m[1]))
	}
}

// compare holds the node's clock against the rig's: a line cannot be read before it was written, and the freshest one
// is read within a millisecond or so.
func (n *Node) compare(line []byte) {
	var head struct {
		Time time.Time `json:"time"`
	}
	if json.Unmarshal(line, &head) != nil || head.Time.IsZero() {
		return
	}
	if age := time.Since(head.Time); n.skew == -1 || age < n.skew {
		n.skew = age
	}
}

// Skew is how far the clocks of rig and nodes may lie apart, in milliseconds; 0 where no node tells its time.
func (b *Bank) Skew() float64 {
	most := 0.0
	for _, n := range b.nodes {
		n.mu.Lock()
		if n.skew != -1 {
			if ms := float64(n.skew) / float64(time.Millisecond); ms < 0 || ms > most {
				most = ms
			}
		}
		n.mu.Unlock()
	}
	return most
}

// healthy waits for a good answer to the health call.
func (n *Node) healthy(done chan struct{}) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-done:
			return fmt.Errorf("node %d ended at its start: %s", n.index, n.lastLine())
		default:
		}
		resp, err := client.Get("http://" + n.addr + "/_health")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.up.Store(true)
			return nil
		}
	}
	return fmt.Errorf("node %d is not healthy %v after its start: %s", n.index, startTime, n.lastLine())
}

func (n *Node) lastLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(n.log.String()), "\n")
	return lines[len(lines)-1]
}

// Addrs are the nodes' addresses.
func (b *Bank) Addrs() []string {
	out := make([]string, len(b.nodes))
	for i, n := range b.nodes {
		out[i] = n.addr
	}
	return out
}

// Alive tells whether a node's process runs, as far as the lab knows.
func (b *Bank) Alive(node int) bool { return b.nodes[node].up.Load() }

func (b *Bank) at() time.Duration { return time.Since(b.o.Start) }

// Disk is the folder of a node's own, where the scenario has a mesh.
func (b *Bank) Disk(node int) string { return filepath.Join(b.dir, "t"+strconv.Itoa(node)) }

// Apply carries out a fault at a node, or ends it.
func (b *Bank) Apply(e scenario.Event) error {
	n := b.nodes[e.Node]
	switch {
	case e.Kind == "disk-lost" && !e.Ends:
		n.outage(true)
		return errors.Join(n.kill(), os.RemoveAll(n.disk))
	case e.Kind == "node-kill" && !e.Ends:
		n.outage(true)
		return n.kill()
	case e.Kind == "node-kill" || e.Kind == "disk-lost":
		var err error
		if n.disk != "" {
			err = os.MkdirAll(n.disk, 0o700)
		}
		err = errors.Join(err, n.start())
		n.outage(false)
		return err
	case e.Kind == "node-stop" && !e.Ends:
		n.outage(true)
		return n.signal(syscall.SIGSTOP)
	case e.Kind == "node-stop":
		err := n.signal(syscall.SIGCONT)
		n.outage(false)
		return err
	case e.Kind == "node-replace" && !e.Ends:
		return n.replace(e.Fault.Again)
	case e.Kind == "node-pause" && !e.Ends:
		return n.pause(e.Fault.For)
	case e.Kind == "node-restart" && !e.Ends: // planned: nothing may be lost, so it is no outage
		if err := n.stop(); err != nil {
			return err
		}
		return n.start()
	}
	return nil
}

// outage notes that a node begins or ends to be unable to act. What ends is left half a second to get into step.
func (n *Node) outage(begins bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if begins {
		n.up.Store(false)
		n.outages = append(n.outages, audit.Outage{Node: n.index, From: n.b.at(), To: time.Hour})
		return
	}
	n.up.Store(true)
	if i := len(n.outages) - 1; i >= 0 {
		n.outages[i].To = n.b.at() + 500*time.Millisecond
	}
}

func (n *Node) signal(sig syscall.Signal) error {
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		n.down(true, false)
	case syscall.SIGSTOP:
		n.down(true, true)
	case syscall.SIGCONT:
		n.down(false, false)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = n.wanted || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	return n.cmd.Process.Signal(sig)
}

func (n *Node) kill() error {
	if err := n.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-n.ending()
	return nil
}

func (n *Node) ending() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// stop ends a process by SIGTERM, and by force where it takes too long.
func (n *Node) stop() error {
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.ending():
		return nil
	case <-time.After(stopTime):
		_ = n.kill()
		return fmt.Errorf("node %d did not end within %v of SIGTERM", n.index, stopTime)
	}
}

// againEvery is the time between the signals of a series.
const againEvery = 120 * time.Millisecond

// signals are those of a series, by their names in a scenario.
var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "HUP": syscall.SIGHUP, "USR1": syscall.SIGUSR1}

// replace ends a process as planned and starts the next: further signals follow SIGTERM, and SIGKILL comes at its earliest.
func (n *Node) replace(again []string) error {
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	at := time.Now()
	n.leaving.Store(int64(n.b.at()))
	defer n.leaving.Store(0)
	if n.b.o.Stopping != nil {
		n.b.o.Stopping(n.index, n.addr, at)
	}
	done := n.ending()
	kill := time.NewTimer(time.Until(at.Add(n.b.o.Scenario.KillAfter())))
	defer kill.Stop()
	series := time.NewTicker(againEvery)
	defer series.Stop()
	for {
		select {
		case <-done:
			return n.start()
		case <-kill.C:
			n.mu.Lock()
			n.killed++
			n.mu.Unlock()
			return errors.Join(n.kill(), n.start())
		case <-series.C:
			if len(again) > 0 {
				_ = n.signal(signals[again[0]]) // it may have ended meanwhile
				again = again[1:]
			}
		}
	}
}

// pause holds a process up for a moment. The rules stay in force.
func (n *Node) pause(d time.Duration) error {
	n.mu.Lock()
	process := n.cmd.Process
	n.mu.Unlock()
	from := n.b.at()
	if process.Signal(syscall.SIGSTOP) != nil {
		return nil // it has ended
	}
	time.Sleep(d)
	_ = process.Signal(syscall.SIGCONT) // it may have been killed meanwhile
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pauses = append(n.pauses, audit.Pause{Node: n.index, From: from, To: n.b.at()})
	return nil
}

// Leaving is for how long a node's planned stop has been going on; 0: none is.
func (b *Bank) Leaving(node int) time.Duration {
	since := b.nodes[node].leaving.Load()
	if since == 0 {
		return 0
	}
	return b.at() - time.Duration(since)
}

// Pauses are the times for which nodes were held up with the rules in force.
func (b *Bank) Pauses() []audit.Pause {
	var out []audit.Pause
	for _, n := range b.nodes {
		n.mu.Lock()
		out = append(out, n.pauses...)
		n.mu.Unlock()
	}
	return out
}

// Killed is how many planned stops SIGKILL had to end.
func (b *Bank) Killed() int {
	sum := 0
	for _, n := range b.nodes {
		n.mu.Lock()
		sum += n.killed
		n.mu.Unlock()
	}
	return sum
}

// Sample measures every node that runs.
func (b *Bank) Sample() {
	for _, n := range b.nodes {
		n.mu.Lock()
		s, err := measure(n.cmd.Process.Pid)
		if err == nil && n.cmd.ProcessState == nil {
			s.At, s.CPU = b.at(), s.CPU+n.cpuWas
			n.samples = append(n.samples, s)
		}
		n.mu.Unlock()
	}
}

// measure reads a process's cost from the kernel.
func measure(pid int) (Sample, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	raw, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return Sample{}, err
	}
	pages := strings.Fields(string(raw))
	if len(pages) < 2 {
		return Sample{}, errors.New("statm is short")
	}
	rss, _ := strconv.ParseInt(pages[1], 10, 64)
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return Sample{}, err
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Sample{}, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the name before it may hold anything
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return Sample{}, errors.New("stat is short")
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	const ticks = 100 // USER_HZ, fixed on Linux
	return Sample{RSS: rss * int64(os.Getpagesize()), Sockets: len(fds), CPU: (user + system) / ticks}, nil
}

// Report is what is known of one node at the end.
type Report struct {
	Samples []Sample        `json:"samples"`
	Crashes int             `json:"crashes"`
	Counts  json.RawMessage `json:"counters,omitempty"`
}

// Reports are all nodes' measurements.
func (b *Bank) Reports() []Report {
	out := make([]Report, len(b.nodes))
	for i, n := range b.nodes {
		n.mu.Lock()
		out[i] = Report{Samples: append([]Sample(nil), n.samples...), Crashes: n.crashes}
		n.mu.Unlock()
	}
	return out
}

// Outages are the times in which nodes could not act.
func (b *Bank) Outages() []audit.Outage {
	var out []audit.Outage
	for _, n := range b.nodes {
		n.mu.Lock()
		out = append(out, n.outages...)
		n.mu.Unlock()
	}
	return out
}

// Excluded are the servers that some node has excluded now, by the nodes' own logs.
func (b *Bank) Excluded() []string {
	seen := map[string]bool{}
	for _, n := range b.nodes {
		n.mu.Lock()
		for id := range n.excluded {
			seen[id] = true
		}
		n.mu.Unlock()
	}
	out := make([]string, 0, len(seen))
	for id := range seen {
		out = append(out, id)
	}
	return out
}

// Forget takes a server off the excluded ones: its process is another now, and nodes begin with it anew without a word.
func (b *Bank) Forget(server string) {
	for _, n := range b.nodes {
		n.mu.Lock()
		delete(n.excluded, server)
		n.mu.Unlock()
	}
}

// Log is what a node has written.
func (b *Bank) Log(node int) string {
	n := b.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}

// Close ends all nodes: first politely, all at once, then by force.
func (b *Bank) Close() {
	var all sync.WaitGroup
	for _, n := range b.nodes {
		if n.ending() == nil {
			continue
		}
		all.Go(func() {
			_ = n.signal(syscall.SIGCONT)
			if n.stop() != nil {
				_ = n.kill()
			}
		})
	}
	all.Wait()
	for i, n := range b.nodes {
		if !b.temp {
			n.mu.Lock()
			_ = os.WriteFile(filepath.Join(b.dir, fmt.Sprintf("n%d.log", i)), n.log.Bytes(), 0o600)
			n.mu.Unlock()
		}
	}
	if b.temp {
		_ = os.RemoveAll(b.dir)
	}
}
