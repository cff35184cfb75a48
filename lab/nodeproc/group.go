// Package nodeproc runs the nodes of an experiment as processes of their own, injects process faults and measures each
// process from outside.
package nodeproc

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/loopback"
	"tackhub.example/tackhub/lab/scenario"
)

const (
	// startTimeout bounds the time from the start of a process until its health check succeeds.
	startTimeout = 15 * time.Second

	// stopTimeout bounds the time from SIGTERM to the exit: the longest deadline, and as much again.
	stopTimeout = 6 * time.Second
)

// Options say which nodes a run has and how they are started.
type Options struct {
	Scenario *scenario.Scenario
	Command  []string // the program and its arguments
	Env      []string // added to the lab's own environment
	Backends *backend.Fleet
	RunStart time.Time // zero of all times that the group reports

	// OperatorFile is the path of a node's operator file; nil: as the environment says.
	OperatorFile func(node int) string

	// OnStop is called at each planned stop, right after SIGTERM; it must not wait. May be nil.
	OnStop func(node int, address string, at time.Time)

	// Dir is the folder for configurations and logs; empty: one that Close removes.
	Dir string
}

// Group is all nodes of a run.
type Group struct {
	options Options
	dir     string
	tempDir bool // Close removes dir
	nodes   []*Node
}

// Start starts all nodes and returns once each one's health check succeeds. After an error no process is left.
func Start(o Options) (*Group, error) {
	g := &Group{options: o, dir: o.Dir}
	if g.dir == "" {
		dir, err := os.MkdirTemp("", "tacklab")
		if err != nil {
			return nil, err
		}
		g.dir = dir
		g.tempDir = true
	}
	for i := range o.Scenario.Nodes.Count {
		n, err := g.newNode(i)
		if err == nil {
			err = n.start()
		}
		if err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

// newNode writes a node's configuration and prepares its environment. Its process is not started yet.
func (g *Group) newNode(i int) (*Node, error) {
	addr, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	n := &Node{group: g, index: i, addr: addr, ejected: map[string]bool{}, minLogAge: unknownAge}
	conf, err := json.MarshalIndent(g.configuration(i, addr), "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(g.dir, fmt.Sprintf("n%d.json", i))
	if err := os.WriteFile(path, conf, 0o600); err != nil {
		return nil, err
	}
	n.env = append(append(os.Environ(), "ROUTER_NAME=n"+strconv.Itoa(i), "ROUTER_LISTEN="+addr,
		"ROUTER_DISCOVERY="+g.options.Backends.Discovery(i), "ROUTER_CONFIG="+path), g.options.Env...)
	if g.options.OperatorFile != nil {
		n.env = append(n.env, "TACKHUB_EDGE="+g.options.OperatorFile(i))
	}
	if g.options.Scenario.Mesh != nil { // a folder of its own, as on a machine of its own
		n.dataDir = g.DataDir(i)
		if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
			return nil, err
		}
		n.env = append(n.env, "TMPDIR="+n.dataDir)
	}
	g.nodes = append(g.nodes, n)
	return n, nil
}

// Addresses are where the nodes listen for requests, by node.
func (g *Group) Addresses() []string {
	out := make([]string, len(g.nodes))
	for i, n := range g.nodes {
		out[i] = n.addr
	}
	return out
}

// Alive reports whether a node's process runs, as far as the lab knows.
func (g *Group) Alive(node int) bool { return g.nodes[node].healthy.Load() }

// now is the time since the run's start.
func (g *Group) now() time.Duration { return time.Since(g.options.RunStart) }

// DataDir is a node's own folder for temporary files, where the scenario has a mesh. It stands for the disk of a
// machine.
func (g *Group) DataDir(node int) string { return filepath.Join(g.dir, "t"+strconv.Itoa(node)) }

// Log is what a node has written to its log, up to maxLogBytes.
func (g *Group) Log(node int) string {
	n := g.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}

// Close ends all nodes at once, first by SIGTERM, then by SIGKILL, and removes the folder that Start made.
func (g *Group) Close() {
	var all sync.WaitGroup
	for _, n := range g.nodes {
		if n.exited() == nil {
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
	for i, n := range g.nodes {
		if !g.tempDir {
			n.mu.Lock()
			_ = os.WriteFile(filepath.Join(g.dir, fmt.Sprintf("n%d.log", i)), n.log.Bytes(), 0o600)
			n.mu.Unlock()
		}
	}
	if g.tempDir {
		_ = os.RemoveAll(g.dir)
	}
}

// Downtimes are the times in which nodes had no process, or a suspended one. Planned stops are among them.
func (g *Group) Downtimes() []audit.Downtime {
	return collect(g, func(n *Node) []audit.Downtime { return n.downtimes })
}

// Outages are the times in which nodes could not act.
func (g *Group) Outages() []audit.Outage {
	return collect(g, func(n *Node) []audit.Outage { return n.outages })
}

// Pauses are the times for which nodes were suspended with the rules in force.
func (g *Group) Pauses() []audit.Pause {
	return collect(g, func(n *Node) []audit.Pause { return n.pauses })
}

// KilledStops is the number of planned stops that SIGKILL had to end.
func (g *Group) KilledStops() int {
	sum := 0
	for _, n := range g.nodes {
		n.mu.Lock()
		sum += n.killedStops
		n.mu.Unlock()
	}
	return sum
}

// collect joins a list of each node, read under the node's lock.
func collect[T any](g *Group, list func(*Node) []T) []T {
	var all []T
	for _, n := range g.nodes {
		n.mu.Lock()
		all = append(all, list(n)...)
		n.mu.Unlock()
	}
	return all
}
