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

// testSettings is a settings object as in a node's configuration file, with one class of each effect.
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

// settingsWithLoadReports returns testSettings with load reports in responses and with load probes allowed.
func settingsWithLoadReports() string {
	s := strings.Replace(testSettings, `"how":"none"`, `"how":"answers"`, 1)
	return strings.Replace(s, `"probes":false`, `"probes":true`, 1)
}

// nodeOptions are the options of startNode and launch.
type nodeOptions struct {
	discovery string    // address of the discovery server
	settings  string    // empty: testSettings
	known     []member  // the endpoint list in the configuration
	sockets   int       // limit of sockets in the configuration; 0: 256
	memoryMB  int       // memory limit in the configuration; 0: 192
	cores     float64   // limit of cores in the configuration; 0: 1
	peers     []string  // the gossip addresses of all nodes, this one included
	env       []string  // additional environment variables
	stderr    io.Writer // nil: nodeProcess.log
}

// nodeProcess is a process of the built node.
type nodeProcess struct {
	t      *testing.T
	addr   string
	config string // path of the configuration file
	cmd    *exec.Cmd
	log    *logBuffer
	done   chan struct{} // closed when the process has exited
	err    error         // the result of Wait, valid after done is closed

	suspension sync.Mutex // held while the process is suspended by whileSuspended
}

// logBuffer stores the log output of a node; it is safe for concurrent use.
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

// loopbackHostCount counts the loopback addresses that freeAddress has returned.
var loopbackHostCount atomic.Int64

// freeAddress returns an address on which nothing listens. Each address has a loopback host of its own, so no backend,
// client or concurrent test can take the port before the caller uses it.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := loopbackHostCount.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+n/200, 1+n%200)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// environment writes the configuration file and returns the node's environment variables.
func environment(t *testing.T, addr string, opts nodeOptions) []string {
	t.Helper()
	if opts.settings == "" {
		opts.settings = testSettings
	}
	if opts.sockets == 0 {
		opts.sockets = 256
	}
	if opts.memoryMB == 0 {
		opts.memoryMB = 192
	}
	if opts.cores == 0 {
		opts.cores = 1
	}
	if opts.known == nil {
		opts.known = []member{}
	}
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "discovery": opts.discovery,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": opts.cores, "memory_mb": opts.memoryMB, "sockets": opts.sockets},
		"known":    map[string]any{"revision": 0, "complete": true, "members": opts.known},
		"settings": json.RawMessage(opts.settings), "peers": map[string]any{"nodes": append([]string{}, opts.peers...)}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"ROUTER_NAME=n0", "ROUTER_LISTEN=" + addr, "ROUTER_DISCOVERY=" + opts.discovery,
		"ROUTER_CONFIG=" + path}
}

// startNode starts a node on a free address and waits until its health check succeeds.
func startNode(t *testing.T, opts nodeOptions) *nodeProcess {
	t.Helper()
	return startNodeAt(t, freeAddress(t), opts)
}

// startNodeAt starts a node at an address and waits until its health check succeeds.
func startNodeAt(t *testing.T, addr string, opts nodeOptions) *nodeProcess {
	t.Helper()
	p := launch(t, addr, opts)
	eventually(t, "a health check with status 200", func() bool {
		resp, err := p.do("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		return err == nil && resp.status == 200
	})
	return p
}

// launch starts a node without waiting for its health check. At the end of the test the node is killed, and a data race
// in its log fails the test.
func launch(t *testing.T, addr string, opts nodeOptions) *nodeProcess {
	t.Helper()
	p := &nodeProcess{t: t, addr: addr, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(program)
	p.cmd.Env = append(environment(t, p.addr, opts), opts.env...)
	p.config = strings.TrimPrefix(p.cmd.Env[3], "ROUTER_CONFIG=")
	p.cmd.Stderr = p.log
	if opts.stderr != nil {
		p.cmd.Stderr = opts.stderr
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
			p.logServerHealth()
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

// serverHealthTimeout is how long logServerHealth waits for the node of a failed test to log the health of its servers.
const serverHealthTimeout = time.Second

// logServerHealth makes the node log its counters and the health of its servers, to help debug a failed test.
func (p *nodeProcess) logServerHealth() {
	if p.cmd.Process.Signal(syscall.SIGUSR1) != nil {
		return
	}
	for deadline := time.Now().Add(serverHealthTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if strings.Contains(p.log.String(), `"code":"server_health"`) {
			return
		}
	}
}

// startWithBackends starts a discovery server that lists the servers and a node, and waits for the node's first watch.
func startWithBackends(t *testing.T, settings string, servers ...*backend) (*nodeProcess, *discoveryServer) {
	t.Helper()
	d := startDiscoveryServer(t, members(servers...))
	p := startNode(t, nodeOptions{discovery: d.addr, settings: settings})
	eventually(t, "the first discovery watch", func() bool { return d.watchCount() > 0 })
	return p, d
}

// terminate sends SIGTERM to the node.
func (p *nodeProcess) terminate() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		p.t.Fatal(err)
	}
}

// exit waits until the process has exited and returns its exit code.
func (p *nodeProcess) exit() int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		p.t.Fatalf("the node has not exited within %v", waitTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// suspended reports whether all threads of the process are stopped, as after SIGSTOP. The state of the process is that of its first
// thread only; others may run on for a moment.
func (p *nodeProcess) suspended() bool {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(paths) == 0 {
		p.t.Fatalf("cannot list the threads of the node: %v", err)
	}
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			p.t.Fatal(err)
		}
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// logCount returns how often a text occurs in the node's log.
func (p *nodeProcess) logCount(text string) int { return strings.Count(p.log.String(), text) }

// waitLog waits until a text occurs at least n times in the node's log.
func (p *nodeProcess) waitLog(text string, n int) {
	p.t.Helper()
	eventually(p.t, text, func() bool { return p.logCount(text) >= n })
}

// residentMB returns the resident memory of the node in MB.
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

// residentKB returns the resident memory of a process in kB.
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

// prlimit sets the limit of open file descriptors (RLIMIT_NOFILE) of a running process.
func prlimit(pid int, limit *syscall.Rlimit) error {
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// waitTimeout limits every wait for a condition. It is only reached if the node is faulty.
const waitTimeout = 10 * time.Second

// eventually polls a condition until it is true and fails the test after waitTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after %v waiting for %s", waitTimeout, description)
}

// writeFile replaces a file atomically, by a rename.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".next", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".next", path); err != nil {
		t.Fatal(err)
	}
}

// writeTempFile writes a file in a new temporary folder and returns its path.
func writeTempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runTackhub runs the program until it exits and returns its output (stdout and stderr) and exit code.
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
