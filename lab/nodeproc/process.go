package nodeproc

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tackhub.example/tackhub/lab/audit"
)

// Node is one node across all its processes. A planned stop or a kill ends one process; the next one has the same name and
// address.
type Node struct {
	group   *Group
	index   int
	addr    string
	env     []string
	dataDir string // directory for temporary files; empty without a mesh or pressure

	healthy       atomic.Bool
	stoppingSince atomic.Int64 // start of the planned stop in ns since the start of the run; 0: none in progress

	mu           sync.Mutex // guards the fields below
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has exited
	exitExpected bool          // the exit of the process does not count as a crash
	crashes      int
	killedStops  int // planned stops that needed SIGKILL
	outages      []audit.Outage
	downtimes    []audit.Downtime
	starts       []audit.ProcessStart
	pauses       []audit.Pause
	samples      []Sample
	peak         MemoryPeak
	earlierCPU   float64         // CPU seconds used by earlier processes
	ejected      map[string]bool // servers that the node has ejected, from its log
	log          bytes.Buffer
	minLogAge    time.Duration // smallest age of a log line when it was read, or unknownAge
}

// start starts a process and waits until its health check succeeds.
func (n *Node) start() error {
	cmd := exec.Command(n.group.options.Command[0], n.group.options.Command[1:]...)
	cmd.Env = n.env
	// The kernel kills the node when the lab's process ends for any reason, so that an interrupted run leaves no processes.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := startOnPersistentThread(cmd); err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd = cmd
	n.done = done
	n.starts = append(n.starts, audit.ProcessStart{Node: n.index, At: n.group.now()})
	n.exitExpected = false
	clear(n.ejected)
	n.mu.Unlock()
	go n.waitForExit(cmd, stderr, done)
	err = n.waitHealthy(done)
	n.recordDowntime(false, false)
	return err
}

// waitForExit reads the process's log until the process exits, then records the exit and closes done.
func (n *Node) waitForExit(cmd *exec.Cmd, stderr io.Reader, done chan struct{}) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		n.readLogLine(lines.Bytes())
	}
	_, _ = io.Copy(io.Discard, stderr)
	_ = cmd.Wait()
	n.mu.Lock()
	if !n.exitExpected {
		n.crashes++
	}
	if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		n.earlierCPU += time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
	}
	n.healthy.Store(false)
	n.mu.Unlock()
	close(done)
}

// waitHealthy waits until the health check responds with status 200. It returns an error after startTimeout or if the
// process exits.
func (n *Node) waitHealthy(done chan struct{}) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		select {
		case <-done:
			return fmt.Errorf("node %d exited before its health check succeeded; last log line: %s", n.index, n.lastLine())
		default:
		}
		resp, err := client.Get("http://" + n.addr + "/_health")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.healthy.Store(true)
			return nil
		}
	}
	return fmt.Errorf("node %d was not healthy within %v of its start; last log line: %s", n.index, startTimeout, n.lastLine())
}

// lastLine returns the last line of the log, which usually contains the reason of a failed start.
func (n *Node) lastLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(n.log.String()), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process and records its expected effect: the start or end of a downtime, or an expected exit.
func (n *Node) signal(sig syscall.Signal) error {
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		n.recordDowntime(true, false)
	case syscall.SIGSTOP:
		n.recordDowntime(true, true)
	case syscall.SIGCONT:
		n.recordDowntime(false, false)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exitExpected = n.exitExpected || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	return n.cmd.Process.Signal(sig)
}

// kill sends SIGKILL to the process and waits for its exit.
func (n *Node) kill() error {
	if err := n.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-n.exited()
	return nil
}

// exited returns a channel that is closed when the process has exited, or nil before the first start.
func (n *Node) exited() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// stop sends SIGTERM to the process and waits for its exit. After stopTimeout it sends SIGKILL and returns an error.
func (n *Node) stop() error {
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.exited():
		return nil
	case <-time.After(stopTimeout):
		_ = n.kill()
		return fmt.Errorf("node %d did not exit within %v of SIGTERM", n.index, stopTimeout)
	}
}

// startRequests passes functions to runLauncher, which starts every process from one OS thread that never ends. The kernel
// sends a child its parent-death signal when the thread that started it ends, not when the process ends. The Go runtime can
// end threads, which would kill a node in the middle of a run.
var startRequests = make(chan func())

// startLauncher starts the goroutine that owns the thread. Only the first call has an effect.
var startLauncher = sync.OnceFunc(func() { go runLauncher() })

// startOnPersistentThread starts a command from the thread of runLauncher.
func startOnPersistentThread(cmd *exec.Cmd) error {
	startLauncher()
	out := make(chan error, 1)
	startRequests <- func() { out <- cmd.Start() }
	return <-out
}

// runLauncher locks its goroutine to an OS thread and starts commands from it. It never returns.
func runLauncher() {
	runtime.LockOSThread()
	for start := range startRequests {
		start()
	}
}
