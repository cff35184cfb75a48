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

// Node is one node over all its processes: a planned stop or a kill ends one process, and the next one has the same
// name and address.
type Node struct {
	group   *Group
	index   int
	addr    string
	env     []string
	dataDir string // its own folder for temporary files; empty without a mesh

	healthy       atomic.Bool
	stoppingSince atomic.Int64 // when its planned stop began, in nanoseconds of the run; 0: none is going on

	mu           sync.Mutex // guards what follows
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has ended
	exitExpected bool          // the end of the process is not a crash
	crashes      int
	killedStops  int // planned stops that SIGKILL had to end
	outages      []audit.Outage
	downtimes    []audit.Downtime
	pauses       []audit.Pause
	samples      []Sample
	earlierCPU   float64 // seconds that earlier processes used
	ejected      map[string]bool
	log          bytes.Buffer
	minLogAge    time.Duration // the smallest age of a log line when it was read; unknownAge: no line had a time
}

// start starts a process and waits until its health check succeeds.
func (n *Node) start() error {
	cmd := exec.Command(n.group.options.Command[0], n.group.options.Command[1:]...)
	cmd.Env = n.env
	// The kernel kills the node when the lab ends, however it ends: an interrupted run leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := startOnLastingThread(cmd); err != nil {
		return fmt.Errorf("node %d: %w", n.index, err)
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd = cmd
	n.done = done
	n.exitExpected = false
	clear(n.ejected)
	n.mu.Unlock()
	go n.waitForExit(cmd, stderr, done)
	err = n.waitHealthy(done)
	n.recordDowntime(false, false)
	return err
}

// waitForExit reads the process's log until its end, then records the exit and closes done.
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
	if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		n.earlierCPU += time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
	}
	n.healthy.Store(false)
	n.mu.Unlock()
	close(done)
}

// waitHealthy waits until the health check answers 200, at most startTimeout.
func (n *Node) waitHealthy(done chan struct{}) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
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
			n.healthy.Store(true)
			return nil
		}
	}
	return fmt.Errorf("node %d is not healthy %v after its start: %s", n.index, startTimeout, n.lastLine())
}

// lastLine is the last line of the log, which tells why a start failed.
func (n *Node) lastLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(n.log.String()), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process and records what the lab knows of its effect.
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

// kill ends the process by SIGKILL and waits for its exit.
func (n *Node) kill() error {
	if err := n.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-n.exited()
	return nil
}

// exited is closed when the process has ended; nil before the first start.
func (n *Node) exited() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// stop ends a process by SIGTERM, and by SIGKILL where it takes longer than stopTimeout, which is an error.
func (n *Node) stop() error {
	if err := n.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.exited():
		return nil
	case <-time.After(stopTimeout):
		_ = n.kill()
		return fmt.Errorf("node %d did not end within %v of SIGTERM", n.index, stopTimeout)
	}
}

// Every process is started from one OS thread that never ends. The kernel sends a child its parent-death signal when
// the thread that started it ends, not the process, and the Go runtime does end threads: a node would be killed in the
// middle of a run.
var starts = make(chan func())

// startOnce starts the goroutine that holds the thread.
var startOnce = sync.OnceFunc(func() { go runStarts() })

// startOnLastingThread starts a command from the thread that never ends.
func startOnLastingThread(cmd *exec.Cmd) error {
	startOnce()
	out := make(chan error, 1)
	starts <- func() { out <- cmd.Start() }
	return <-out
}

// runStarts holds its OS thread and starts commands from it.
func runStarts() {
	runtime.LockOSThread()
	for start := range starts {
		start()
	}
}
