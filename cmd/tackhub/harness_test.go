package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// testSettings are the operators' settings in their own words: one class of each effect.
const testSettings = `{"classes":[
 {"aim_ms":400,"dedup_window_ms":500,"effect":"free","group":"all","hard_limit_ms":1500,"late_share":0,"name":"look","streamed":false,"worth":1},
 {"aim_ms":400,"dedup_window_ms":800,"effect":"guarded","group":"cell","hard_limit_ms":1500,"late_share":0,"name":"store","streamed":false,"worth":2},
 {"aim_ms":400,"dedup_window_ms":500,"effect":"single_shot","group":"all","hard_limit_ms":1500,"late_share":0,"name":"bill","streamed":false,"worth":3}],
 "client_habits":{"marks_retry":true},"counted_by":"request","discovery":"automatic","fleet_size":1,
 "goal":{"whole":1},"me":0,
 "obligations":{"answer_slack_ms":5,"cold_from":0.3,"cold_ms":9000,"fall_ms":1000,"fall_multiple":3,"stop_sending_within_ms":1500},
 "policy_limits":{"attempts_cap":4,"conn_idle_ms":60000,"connect_timeout_ms":150,"may_cancel":true,"probes":false,
  "retry_after":true,"max_retry_after_ms":2000,"second_copies":true},
 "report":{"how":"none","names":["concurrent"]},"tick_ms":1,"weights":"none","zone":"a","zones":["a"],
 "realms":[{"name":"acme","quota_per_s":500,"share":1}]}`

// withReports are the same where servers report their load and may be probed.
func withReports() string {
	s := strings.Replace(testSettings, `"how":"none"`, `"how":"answers"`, 1)
	return strings.Replace(s, `"probes":false`, `"probes":true`, 1)
}

// setup is what a node is told.
type setup struct {
	discovery string
	settings  string
	known     []member
	sockets   int
	peers     []string  // all nodes' addresses for messages
	env       []string  // further variables
	stderr    io.Writer // nil: kept for the test
}

// process is a running node.
type process struct {
	t      *testing.T
	addr   string
	config string // the configuration file
	cmd    *exec.Cmd
	log    *logBuffer
	done   chan struct{}
	err    error
}

// logBuffer keeps what a node writes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// hosts counts the loopback addresses handed out.
var hosts atomic.Int64

// freeAddress is an address that nobody listens on and nobody else will: each has a host of its own in the
// loopback range, so that no stand-in, no client and no test beside this one can be given its port.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := hosts.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+n/200, 1+n%200)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// environment writes the configuration and gives the variables.
func environment(t *testing.T, addr string, s setup) []string {
	t.Helper()
	if s.settings == "" {
		s.settings = testSettings
	}
	if s.sockets == 0 {
		s.sockets = 256
	}
	if s.known == nil {
		s.known = []member{}
	}
	conf, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": s.discovery,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": s.sockets},
		"known":    map[string]any{"revision": 0, "complete": true, "members": s.known},
		"settings": json.RawMessage(s.settings), "peers": map[string]any{"nodes": append([]string{}, s.peers...)}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, conf, 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"ROUTER_NAME=n0", "ROUTER_LISTEN=" + addr, "ROUTER_DISCOVERY=" + s.discovery,
		"ROUTER_CONFIG=" + path}
}

// startNode starts the program and waits until its health is good.
func startNode(t *testing.T, s setup) *process {
	t.Helper()
	return startNodeAt(t, freeAddress(t), s)
}

// startNodeAt starts it under an address.
func startNodeAt(t *testing.T, addr string, s setup) *process {
	t.Helper()
	p := launch(t, addr, s)
	eventually(t, "health", func() bool {
		a, err := p.ask("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		return err == nil && a.status == 200
	})
	return p
}

// launch starts the program and waits for nothing.
func launch(t *testing.T, addr string, s setup) *process {
	t.Helper()
	p := &process{t: t, addr: addr, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(program)
	p.cmd.Env = append(environment(t, p.addr, s), s.env...)
	p.config = strings.TrimPrefix(p.cmd.Env[3], "ROUTER_CONFIG=")
	p.cmd.Stderr = p.log
	if s.stderr != nil {
		p.cmd.Stderr = s.stderr
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("the node's log:\n%s", p.log)
		}
		if strings.Contains(p.log.String(), "DATA RACE") {
			t.Errorf("data race in the node:\n%s", p.log)
		}
	})
	return p
}

// startWith starts servers' discovery and a node that has heard of them all.
func startWith(t *testing.T, settings string, servers ...*server) (*process, *discovery) {
	t.Helper()
	d := startDiscovery(t, members(servers...))
	p := startNode(t, setup{discovery: d.addr, settings: settings})
	eventually(t, "watch", func() bool { return d.watched() > 0 })
	return p, d
}

// answer is one answer of the node.
type answer struct {
	status int
	header http.Header
	body   string
	last   bool // the node said that it closes the connection
	took   time.Duration
}

// client is one client's connection.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (p *process) dial() (*client, error) {
	c, err := net.DialTimeout("tcp", p.addr, patience)
	if err != nil {
		return nil, err
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * patience))
	return &client{t: p.t, Conn: c, r: bufio.NewReader(c)}, nil
}

func (p *process) connect() *client {
	p.t.Helper()
	c, err := p.dial()
	if err != nil {
		p.t.Fatal(err)
	}
	return c
}

func (c *client) write(raw string) {
	c.t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) read() (answer, error) {
	began := time.Now()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), resp.Close, time.Since(began)}, err
}

func (p *process) ask(raw string) (answer, error) {
	c, err := p.dial()
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, raw); err != nil {
		return answer{}, err
	}
	return c.read()
}

func (p *process) mustAsk(raw string) answer {
	p.t.Helper()
	a, err := p.ask(raw)
	if err != nil {
		p.t.Fatalf("no answer: %v", err)
	}
	return a
}

// ids counts the requests: each has an id of its own.
var ids atomic.Int64

// request is a request of a class, in the protocol's form.
func request(class string, deadline int, more ...string) string {
	head, body := "GET", ""
	if class != "look" {
		head, body = "POST", "amount=12"
		more = append(more, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if class == "store" {
		more = append(more, "Idempotency-Key: 5c0f6e1a2b3d4c59")
	}
	head += " /" + class + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: " + fmt.Sprintf("9b1f%012x", ids.Add(1)) + "\r\nX-Class: " + class +
		"\r\nX-Tenant: acme\r\nX-Deadline-Ms: " + fmt.Sprint(deadline) + "\r\n"
	for _, m := range more {
		head += m + "\r\n"
	}
	return head + "\r\n" + body
}

// counts are the node's counters.
func (p *process) counts() counts {
	p.t.Helper()
	c := p.connect()
	defer func() { _ = c.Close() }()
	got, ok := p.countsOn(c)
	if !ok {
		p.t.Fatal("no counters")
	}
	return got
}

// countsOn asks for the counters on a connection that is there already.
func (p *process) countsOn(c *client) (got counts, ok bool) {
	if _, err := io.WriteString(c, "GET /_counters HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return got, false
	}
	a, err := c.read()
	if err != nil {
		return got, false
	}
	err = json.Unmarshal([]byte(a.body), &got)
	return got, err == nil
}

// prlimit sets the descriptors that a running process may hold.
func prlimit(pid int, lim *syscall.Rlimit) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(lim)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// counts is the part of the counters that the tests read.
type counts struct {
	Requests   map[string]int `json:"requests"`
	Attempts   map[string]int `json:"attempts"`
	Outcomes   map[string]int `json:"outcomes"`
	Rejections map[string]int `json:"rejections"`
	Reports    map[string]int `json:"reports"`
	Probes     map[string]int `json:"probes"`
	Clients    map[string]int `json:"client_connections"`
	ClientEnds map[string]int `json:"client_connection_ends"`
	Servers    map[string]int `json:"server_connections"`
	ServerEnds map[string]int `json:"server_connection_ends"`
	List       map[string]int `json:"list"`
	Inventory  map[string]int `json:"inventory"`
	Log        map[string]int `json:"log_lines"`
	Bodies     map[string]int `json:"large_bodies"`
	Watch      struct {
		Steps  int            `json:"steps"`
		Differ map[string]int `json:"differ"`
	} `json:"watch"`
	Peers   struct{ Sent, Taken int } `json:"peers"`
	Cluster struct {
		Drops map[string]int `json:"drops"`
	} `json:"cluster"`
}

// addUp checks that every request taken has one ending.
func (c counts) addUp(t *testing.T) {
	t.Helper()
	r := c.Requests
	if sum := r["served"] + r["refused"] + r["failed"] + r["rejected"] + r["left"] + r["open"]; sum != r["taken"] {
		t.Errorf("taken %d, but endings and open make %d: %v", r["taken"], sum, r)
	}
}

// terminate sends SIGTERM.
func (p *process) terminate() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
}

// exit waits for the end and gives the exit code.
func (p *process) exit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		p.t.Fatal("the node does not end")
	}
	return p.cmd.ProcessState.ExitCode()
}
