package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// testSettings is a settings object in the operators' form, with one class of each effect.
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

// withReports are the same settings where servers report their load and may be probed.
func withReports() string {
	s := strings.Replace(testSettings, `"how":"none"`, `"how":"answers"`, 1)
	return strings.Replace(s, `"probes":false`, `"probes":true`, 1)
}

// nodeOptions say how a node is started.
type nodeOptions struct {
	discovery string    // address
	settings  string    // empty: testSettings
	known     []member  // the list in the configuration
	sockets   int       // 0: 256
	peers     []string  // all nodes' addresses for gossip
	env       []string  // further variables
	stderr    io.Writer // nil: the test's log buffer
}

// nodeProcess is a running node.
type nodeProcess struct {
	t      *testing.T
	addr   string
	config string // the configuration file
	cmd    *exec.Cmd
	log    *logBuffer
	done   chan struct{}
	err    error
}

// logBuffer keeps what a node writes to its log.
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
var hostCount atomic.Int64

// freeAddress is an address that nobody listens on and nobody else will: each has a host of its own in the loopback
// range, so that no stand-in, no client and no test beside this one can get its port.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := hostCount.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+n/200, 1+n%200)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// environment writes the configuration and returns the variables.
func environment(t *testing.T, addr string, s nodeOptions) []string {
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

// startNode starts the program and waits until it is healthy.
func startNode(t *testing.T, s nodeOptions) *nodeProcess {
	t.Helper()
	return startNodeAt(t, freeAddress(t), s)
}

// startNodeAt starts it at an address.
func startNodeAt(t *testing.T, addr string, s nodeOptions) *nodeProcess {
	t.Helper()
	p := launch(t, addr, s)
	eventually(t, "health", func() bool {
		a, err := p.do("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		return err == nil && a.status == 200
	})
	return p
}

// launch starts the program without waiting for its health.
func launch(t *testing.T, addr string, s nodeOptions) *nodeProcess {
	t.Helper()
	p := &nodeProcess{t: t, addr: addr, log: &logBuffer{}, done: make(chan struct{})}
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
		if t.Failed() {
			p.reportHealth()
		}
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

// reportTimeout is how long a node of a failed test may take to say what it knows of its servers.
const reportTimeout = time.Second

// reportHealth has a node write its counters and what it knows of its servers to the log, for whoever traces a failed test.
func (p *nodeProcess) reportHealth() {
	if p.cmd.Process.Signal(syscall.SIGUSR1) != nil {
		return
	}
	for end := time.Now().Add(reportTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(p.log.String(), `"code":"server_health"`) {
			return
		}
	}
}

// startWithBackends starts a discovery with some servers and a node that has polled it.
func startWithBackends(t *testing.T, settings string, servers ...*backend) (*nodeProcess, *discoveryServer) {
	t.Helper()
	d := startDiscoveryServer(t, members(servers...))
	p := startNode(t, nodeOptions{discovery: d.addr, settings: settings})
	eventually(t, "watch", func() bool { return d.watchCount() > 0 })
	return p, d
}

// terminate sends SIGTERM.
func (p *nodeProcess) terminate() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
}

// exit waits for the end and returns the exit code.
func (p *nodeProcess) exit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatal("the node does not end")
	}
	return p.cmd.ProcessState.ExitCode()
}

// suspended reports whether all threads of the process are stopped.
func (p *nodeProcess) suspended() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "T")
}

func (p *nodeProcess) logCount(text string) int { return strings.Count(p.log.String(), text) }

func (p *nodeProcess) waitLog(text string, n int) {
	p.t.Helper()
	eventually(p.t, text, func() bool { return p.logCount(text) >= n })
}

// residentMB is the memory that the process holds, in MB.
func (p *nodeProcess) residentMB() float64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return kb / 1024
}

// residentKB is a process's memory in kB.
func residentKB(t *testing.T, pid int) (kb int) {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &kb)
	}
	return kb
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

// waitTimeout bounds every wait for a condition; only a broken node uses it up.
const waitTimeout = 10 * time.Second

// eventually waits for a condition.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// writeFile replaces a file in one step.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".next", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".next", path); err != nil {
		t.Fatal(err)
	}
}

func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runTackhub runs the program to its end and returns its output and exit code.
func runTackhub(t *testing.T, env []string, args ...string) (string, int) {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.CombinedOutput()
	if _, ok := err.(*exec.ExitError); err != nil && !ok {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// listen opens a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
