// Package nodeproc runs the nodes of an experiment as separate processes, injects process faults and measures each
// process's resource usage from outside.
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
	// startTimeout limits the time from the start of a process until its health check succeeds.
	startTimeout = 15 * time.Second

	// stopTimeout limits the time from SIGTERM to the exit. It is twice the longest deadline.
	stopTimeout = 6 * time.Second
)

// Options specify the nodes of a run and how they are started.
type Options struct {
	Scenario *scenario.Scenario
	Command  []string // the program and its arguments
	Env      []string // added to the environment of the lab's process
	Backends *backend.Fleet
	RunStart time.Time // start of the run; all reported times are relative to it

	// OperatorFile returns the path of a node's operator file. If it is nil, the environment determines the path.
	OperatorFile func(node int) string

	// OnStop is called at each planned stop, immediately after SIGTERM. It must not block. It may be nil.
	OnStop func(node int, address string, at time.Time)

	// Dir is the directory for configurations and logs. If it is empty, a temporary directory is used, which Close removes.
	Dir string
}

// Group contains all nodes of a run.
type Group struct {
	options Options
	dir     string
	tempDir bool // Close removes dir
	nodes   []*Node
}

// Start starts all nodes and returns when the health check of each one succeeds. After an error no process is left running.
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
	if g.options.Scenario.Mesh != nil || g.options.Scenario.Clients.Pressure { // a separate directory, as if each node ran on its own machine
		n.dataDir = g.DataDir(i)
		if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
			return nil, err
		}
		n.env = append(n.env, "TMPDIR="+n.dataDir)
	}
	g.nodes = append(g.nodes, n)
	return n, nil
}

// Addresses returns the addresses that the nodes listen on for requests, by node.
func (g *Group) Addresses() []string {
	out := make([]string, len(g.nodes))
	for i, n := range g.nodes {
		out[i] = n.addr
	}
	return out
}

// Alive reports whether a node's process is running and has passed its health check, according to the lab's records.
func (g *Group) Alive(node int) bool { return g.nodes[node].healthy.Load() }

// now returns the time since the start of the run.
func (g *Group) now() time.Duration { return time.Since(g.options.RunStart) }

// DataDir returns a node's directory for temporary files, which simulates the disk of its machine. It exists only if the
// scenario has a mesh.
func (g *Group) DataDir(node int) string { return filepath.Join(g.dir, "t"+strconv.Itoa(node)) }

// Log returns the log output of a node, up to about maxLogBytes.
func (g *Group) Log(node int) string {
	n := g.nodes[node]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}

// Close stops all nodes concurrently, by SIGTERM and then by SIGKILL if necessary. It removes the temporary directory that
// Start created. If Options.Dir was set, it writes the nodes' logs there instead.
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

// Downtimes returns the periods in which nodes had no process or a suspended one. They include planned stops.
func (g *Group) Downtimes() []audit.Downtime {
	return collect(g, func(n *Node) []audit.Downtime { return n.downtimes })
}

// Outages returns the periods in which nodes could not act.
func (g *Group) Outages() []audit.Outage {
	return collect(g, func(n *Node) []audit.Outage { return n.outages })
}

// Starts returns the starts of the nodes' processes.
func (g *Group) Starts() []audit.ProcessStart {
	return collect(g, func(n *Node) []audit.ProcessStart { return n.starts })
}

// Pauses returns the periods in which nodes were suspended without being exempt from the auditor's rules.
func (g *Group) Pauses() []audit.Pause {
	return collect(g, func(n *Node) []audit.Pause { return n.pauses })
}

// KilledStops returns the number of planned stops that needed SIGKILL.
func (g *Group) KilledStops() int {
	sum := 0
	for _, n := range g.nodes {
		n.mu.Lock()
		sum += n.killedStops
		n.mu.Unlock()
	}
	return sum
}

// collect concatenates the lists of all nodes. It reads each list while holding the node's lock.
func collect[T any](g *Group, list func(*Node) []T) []T {
	var all []T
	for _, n := range g.nodes {
		n.mu.Lock()
		all = append(all, list(n)...)
		n.mu.Unlock()
	}
	return all
}
