package podsoak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/loopback"
)

// startTimeout limits the time until a process is ready.
const startTimeout = 15 * time.Second

// node is the node under test: one process, or two during an upgrade.
type node struct {
	program   []string
	dir       string // of its files, and its $TMPDIR
	address   string
	discovery string
	processes []*process // oldest first
	started   int
}

// process is one process of the node.
type process struct {
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

// newNode prepares a node with its configuration.
func newNode(program []string, dir, discoveryAddress string) (*node, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	n := &node{program: program, dir: dir, address: address, discovery: discoveryAddress}
	config := map[string]any{
		"name": "n0", "listen": address, "discovery": discoveryAddress, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 512},
		"known":    map[string]any{"revision": 0, "complete": true, "members": []any{}},
		"settings": settings(), "peers": map[string]any{"nodes": []string{}},
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.path("config.json"), text, 0o600)
}

// settings returns the settings object: one class that is safe to repeat, and one that is keyed by pod.
func settings() map[string]any {
	class := func(name, effect, group string, worth int) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": group, "aim_ms": 600, "hard_limit_ms": 1200,
			"dedup_window_ms": window.Milliseconds(), "late_share": 0, "streamed": false, "worth": worth}
	}
	return map[string]any{
		"classes":       []any{class("look", "free", "all", 1), class("store", "guarded", "cell", 2)},
		"client_habits": map[string]any{"marks_retry": true}, "counted_by": "request", "discovery": "automatic", "fleet_size": 1,
		"goal": map[string]any{"whole": 1}, "me": 0,
		"obligations": map[string]any{"answer_slack_ms": 5, "cold_from": 0.3, "cold_ms": 9000, "fall_ms": 1000, "fall_multiple": 3, "stop_sending_within_ms": 1500},
		"policy_limits": map[string]any{"attempts_cap": 4, "conn_idle_ms": 60000, "connect_timeout_ms": 150, "may_cancel": true, "probes": false,
			"retry_after": true, "max_retry_after_ms": 2000, "second_copies": true},
		"report":  map[string]any{"how": "none", "names": []string{"concurrent"}},
		"tick_ms": 1, "weights": "none", "zone": "a", "zones": []string{"a"}, "realms": []any{},
	}
}

func (n *node) path(name string) string { return filepath.Join(n.dir, name) }

// start starts a process and waits until the node serves.
func (n *node) start() error {
	log, err := os.Create(n.path(fmt.Sprintf("node-%d.log", n.started)))
	if err != nil {
		return err
	}
	n.started++
	p := &process{log: log, exited: make(chan struct{})}
	p.command = exec.Command(n.program[0], n.program[1:]...)
	p.command.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+n.address, "ROUTER_DISCOVERY="+n.discovery,
		"ROUTER_CONFIG="+n.path("config.json"), "TACKHUB_EDGE="+n.path("edge.toml"), "TMPDIR="+n.dir)
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.command.Wait() // ended by a signal
		close(p.exited)
	}()
	n.processes = append(n.processes, p)
	return n.awaitHealth(p)
}

// awaitHealth waits until the node answers its health check.
func (n *node) awaitHealth(p *process) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.exited:
			return fmt.Errorf("the node has exited, see %s", p.log.Name())
		default:
		}
		response, err := client.Get("http://" + n.address + "/_health")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the node does not serve")
}

// reload sends SIGHUP to the newest process.
func (n *node) reload() { _ = n.processes[len(n.processes)-1].command.Process.Signal(syscall.SIGHUP) }

// kill ends all processes at once.
func (n *node) kill() {
	for _, p := range n.processes {
		_ = p.command.Process.Kill() // it may have exited
		<-p.exited
		_ = p.log.Close()
	}
	n.processes = nil
}

// upgrade starts a second process, and ends the first one a while later.
func (n *node) upgrade(overlap time.Duration) error {
	old := n.processes
	if err := n.start(); err != nil {
		return err
	}
	time.Sleep(overlap)
	for _, p := range old {
		_ = p.command.Process.Signal(syscall.SIGTERM) // it may have exited
	}
	return nil
}
