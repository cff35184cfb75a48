package node

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"tackhub.example/tackhub/internal/config"
)

const (
	// gcMemoryFraction is the largest fraction of the node's memory limit that is set as the soft memory
	// limit of the Go runtime. The runtime collects garbage more often when its memory use is near that
	// limit.
	gcMemoryFraction = 0.6

	// gcPercent lets garbage grow to four times the live heap before it is collected. The live heap
	// is a few megabytes, and on one core each collection delays responses.
	gcPercent = 400

	// usableMemoryFraction is the fraction of the node's memory limit that is used, files included.
	usableMemoryFraction = 0.8

	// programBytes is the resident memory that the Go runtime does not count: the program's code and data,
	// and the C library.
	programBytes = 9 << 20

	// ownHeapBytes is the memory of the Go runtime at rest, garbage included.
	ownHeapBytes = 7 << 20

	// minRuntimeBytes is the least soft memory limit. Below it the runtime would collect garbage all the time.
	minRuntimeBytes = 10 << 20

	// minAccountFraction is the least fraction of the node's memory limit that may be charged for clients and servers.
	minAccountFraction = 1.0 / 16

	// fileStepBytes is by how much the size of files must change for the soft memory limit to be set again.
	fileStepBytes = 1 << 20
)

// applyLimits applies the CPU limit to the Go runtime and returns the number of descriptors that the
// process may open: the configured limit or, if lower, RLIMIT_NOFILE.
func applyLimits(l config.Limits) int {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(gcPercent)
	var fileLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fileLimit); err != nil {
		return l.Sockets
	}
	return int(min(uint64(l.Sockets), fileLimit.Cur))
}

// memoryBudget divides the node's memory limit between its processes, the Go runtime, files, and what may be
// charged for clients and servers.
type memoryBudget struct {
	limitBytes float64

	mu        sync.Mutex
	processes int
	fileBytes int64 // of this process, at the latest setting of the soft memory limit
}

func newMemoryBudget(l config.Limits) *memoryBudget {
	b := &memoryBudget{limitBytes: l.MemoryMB * bytesPerMB, processes: 1}
	debug.SetMemoryLimit(b.runtimeLimit())
	return b
}

// accountLimit returns how many bytes this process may charge for clients and servers.
func (b *memoryBudget) accountLimit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	processes := float64(b.processes)
	usable := usableMemoryFraction * b.limitBytes / processes
	return int64(max(minAccountFraction*b.limitBytes/processes, usable-programBytes-ownHeapBytes))
}

// runtimeLimit returns the soft memory limit of the Go runtime, in bytes. Files count as memory, so they lower it.
func (b *memoryBudget) runtimeLimit() int64 {
	processes := float64(b.processes)
	usable := usableMemoryFraction * b.limitBytes / processes
	limit := min(gcMemoryFraction*b.limitBytes/processes, usable-programBytes-float64(b.fileBytes))
	return int64(max(minRuntimeBytes, limit))
}

// setProcesses sets the number of processes that share the node's limit.
func (b *memoryBudget) setProcesses(processes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = processes
	debug.SetMemoryLimit(b.runtimeLimit())
}

// setFileBytes adapts the soft memory limit to the size of this process's files.
func (b *memoryBudget) setFileBytes(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if change := bytes - b.fileBytes; change < fileStepBytes && change > -fileStepBytes {
		return
	}
	b.fileBytes = bytes
	debug.SetMemoryLimit(b.runtimeLimit())
}
