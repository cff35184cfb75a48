package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The least memory that the pages name, and the part of it that a node may use in these tests: a fifth is left for what differs
// between machines.
const (
	leastMemoryMB  = 48
	usableFraction = 0.8
)

// memorySampleInterval is the time between two measurements of a node's memory.
const memorySampleInterval = 20 * time.Millisecond

// A node with a quarter of a core is suspended for throttleStopped of every throttlePeriod.
const (
	throttlePeriod  = 20 * time.Millisecond
	throttleStopped = 15 * time.Millisecond
)

// repeatUntilStopped calls f again and again in the background. The returned function ends that and waits for the last call.
func repeatUntilStopped(f func()) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				f()
			}
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		running.Wait()
	})
}

// throttle limits the node to a quarter of a core until the test ends.
func (p *nodeProcess) throttle() {
	stop := repeatUntilStopped(func() {
		p.whileSuspended(func() { time.Sleep(throttleStopped) })
		time.Sleep(throttlePeriod - throttleStopped)
	})
	p.t.Cleanup(stop)
}

// whileSuspended suspends the node, calls f and resumes the node.
func (p *nodeProcess) whileSuspended(f func()) {
	p.suspension.Lock()
	defer p.suspension.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails only after the exit of the process
	f()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// memoryPeak is the most memory that a node has used: resident memory, and files in its $TMPDIR, which count as memory.
type memoryPeak struct {
	total, resident, files float64 // MB; resident and files at the time of total
}

// watchMemory measures the memory of the processes of a node until the returned function is called, which returns the peak.
func watchMemory(t *testing.T, processes ...*nodeProcess) (stop func() memoryPeak) {
	t.Helper()
	var peak memoryPeak
	end := repeatUntilStopped(func() {
		if now := measureMemory(t, processes); now.total > peak.total {
			peak = now
		}
		time.Sleep(memorySampleInterval)
	})
	return func() memoryPeak {
		end()
		return peak
	}
}

// measureMemory measures the memory of the processes of a node.
func measureMemory(t *testing.T, processes []*nodeProcess) memoryPeak {
	t.Helper()
	var now memoryPeak
	for _, p := range processes {
		now.resident += float64(residentKB(t, p.cmd.Process.Pid)) / 1024
		now.files += p.deletedFilesMB()
	}
	now.total = now.resident + now.files
	return now
}

// deletedFilesMB returns the size of the files that the process has open and that have no name any more.
func (p *nodeProcess) deletedFilesMB() float64 {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir) // fails only after the exit of the process
	total := 0.0
	for _, entry := range entries {
		path := dir + "/" + entry.Name()
		target, _ := os.Readlink(path) // the descriptor may have been closed
		if !strings.HasSuffix(target, " (deleted)") {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			total += float64(info.Size()) / (1 << 20)
		}
	}
	return total
}

// ordinaryTraffic are requests of a client that behaves well, one at a time, each on a new connection.
type ordinaryTraffic struct {
	mu        sync.Mutex
	latencies []time.Duration
	failures  []string // requests that were not answered with status 200
}

// ordinaryDeadline is the time in which each request of ordinaryTraffic must be answered.
const ordinaryDeadline = 1400 * time.Millisecond

// startOrdinaryTraffic sends requests until the returned function is called.
func (p *nodeProcess) startOrdinaryTraffic() (traffic *ordinaryTraffic, stop func()) {
	traffic = &ordinaryTraffic{}
	stop = repeatUntilStopped(func() {
		began := time.Now()
		resp, err := p.do(request("look", int(ordinaryDeadline.Milliseconds()), "Connection: close"))
		took := time.Since(began)
		traffic.mu.Lock()
		defer traffic.mu.Unlock()
		traffic.latencies = append(traffic.latencies, took)
		if err != nil || resp.status != 200 {
			traffic.failures = append(traffic.failures, fmt.Sprintf("status %d, %v after %v", resp.status, err, took))
		}
	})
	return traffic, stop
}

// percentile returns the latency that the given fraction of the requests did not exceed.
func (o *ordinaryTraffic) percentile(fraction float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	sorted := slices.Sorted(slices.Values(o.latencies))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// count returns the number of requests that have ended.
func (o *ordinaryTraffic) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.latencies)
}
