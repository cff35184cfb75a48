// Package stand holds the stand-ins of the review's cases: the start of a node, discovery, a link with delay, and the record.
package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Trouble reports whether the case is played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes what was sent, answered and run to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a case's folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &Record{file: f, start: time.Now()}, err
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ms  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Result writes a line to the record and to standard output.
func (r *Record) Result(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Serving returns the entry of a server that serves.
func Serving(id, address string) Member {
	return Member{ID: id, HostPort: address, Locality: "east", Flavor: "std-2", Cell: 1, Phase: "SERVING", Size: 1}
}

// Discovery answers calls for the list, which never changes here, and holds watches for as long as they say.
type Discovery struct {
	Address string
	members []Member
	server  *http.Server
}

// StartDiscovery starts a discovery on a free port.
func StartDiscovery(members []Member) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), members: members}
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", d.list)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(l) }()
	return d, nil
}

func (d *Discovery) list(w http.ResponseWriter, r *http.Request) {
	const revision = 41
	out := map[string]any{"revision": revision, "complete": true, "members": d.members}
	if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from >= revision {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(min(hold, 60_000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		out = map[string]any{"revision": revision, "complete": false, "members": []Member{}}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// Close ends the discovery.
func (d *Discovery) Close() { _ = d.server.Close() }

// NodeOptions configure a node.
type NodeOptions struct {
	Root      string // of the repository
	Dir       string // a temporary folder of the case
	Name      string
	Discovery string
	Members   []Member // the list in the configuration
	Settings  string   // JSON
	Edge      string   // text of the operator file; empty: none
}

// Node is a process of the built program.
type Node struct {
	Address string
	cmd     *exec.Cmd
	exited  chan struct{}
}

var (
	startedMu sync.Mutex
	started   []*Node
	onSignal  sync.Once
)

// killOnSignal ends all nodes and the case when the case is told to end, for example at its time limit.
func killOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		startedMu.Lock()
		defer startedMu.Unlock()
		for _, n := range started {
			_ = n.cmd.Process.Kill()
		}
		os.Exit(NoRun)
	}()
}

// FreeTCP returns a free TCP address.
func FreeTCP() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}

// FreeUDP returns a free UDP address.
func FreeUDP() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// runLine returns the run line of the deploy file.
func runLine(root string) (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run line")
	}
	return string(m[1]), nil
}

// StartNode starts a node by the deploy file's run line and waits until its health check answers 200.
func StartNode(o NodeOptions) (*Node, error) {
	n := &Node{Address: FreeTCP(), exited: make(chan struct{})}
	environment, err := o.environment(n.Address)
	if err != nil {
		return nil, err
	}
	run, err := runLine(o.Root)
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.Dir, o.Name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	n.cmd = exec.Command("/bin/sh", "-c", run)
	n.cmd.Dir = o.Root
	n.cmd.Env = append(os.Environ(), environment...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.start(); err != nil {
		return nil, err
	}
	if !n.awaitReady(10 * time.Second) {
		n.Kill()
		return nil, fmt.Errorf("node %s is not ready after 10 s", o.Name)
	}
	return n, nil
}

// environment writes a node's files and returns the variables that name them.
func (o NodeOptions) environment(address string) ([]string, error) {
	tmp := filepath.Join(o.Dir, o.Name+"-tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	config, err := json.Marshal(map[string]any{
		"name": o.Name, "listen": address, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"revision": 41, "complete": true, "members": o.Members},
		"settings": json.RawMessage(o.Settings),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(o.Dir, o.Name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	out := []string{"ROUTER_NAME=" + o.Name, "ROUTER_LISTEN=" + address, "ROUTER_DISCOVERY=" + o.Discovery, "ROUTER_CONFIG=" + path,
		"TMPDIR=" + tmp}
	if o.Edge != "" {
		edge := filepath.Join(o.Dir, o.Name+"-edge.toml")
		if err := os.WriteFile(edge, []byte(o.Edge), 0o600); err != nil {
			return nil, err
		}
		out = append(out, "TACKHUB_EDGE="+edge)
	}
	return out, nil
}

// start starts the process, and sees to it that it ends with the case.
func (n *Node) start() error {
	onSignal.Do(killOnSignal)
	startedMu.Lock()
	defer startedMu.Unlock()
	if err := n.cmd.Start(); err != nil {
		return err
	}
	started = append(started, n)
	go func() {
		_ = n.cmd.Wait()
		close(n.exited)
	}()
	return nil
}

// awaitReady waits until the health check answers 200, and reports whether it did in time.
func (n *Node) awaitReady(limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + n.Address + "/_health")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			return true
		}
	}
	return false
}

// Terminate sends SIGTERM, as a planned restart does.
func (n *Node) Terminate() { _ = n.cmd.Process.Signal(syscall.SIGTERM) }

// WaitExit waits until the process has ended, and reports whether it did.
func (n *Node) WaitExit(limit time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the process.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// StartLink starts a TCP proxy that passes bytes on after a delay, in order, in each direction.
func StartLink(ctx context.Context, target string, delay time.Duration) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.Dial("tcp", target)
				if err != nil {
					_ = in.Close()
					return
				}
				go pass(in, out, delay)
				go pass(out, in, delay)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// piece is what one read returned, and when it is due at the other end. No data means the end.
type piece struct {
	data []byte
	due  time.Time
}

// pass copies one direction of a connection with a delay, and passes its end on.
func pass(from, to net.Conn, delay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if p.data == nil {
				_ = to.(*net.TCPConn).CloseWrite()
				continue
			}
			if _, err := to.Write(p.data); err != nil {
				_ = from.Close()
			}
		}
	}()
	defer close(pieces)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 {
			pieces <- piece{b[:n], time.Now().Add(delay)}
		}
		if err != nil {
			pieces <- piece{nil, time.Now().Add(delay)}
			return
		}
	}
}
