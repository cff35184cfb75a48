package node

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"tackhub.example/tackhub/internal/config"
)

const (
	// gcMemoryFraction is the fraction of the node's memory limit that is set as the soft memory limit
	// of the Go runtime. The runtime collects garbage more often when its memory use is near that
	// limit. The rest is for stacks, the program's code and memory that the kernel accounts to the
	// process.
	gcMemoryFraction = 0.6

	// gcPercent lets garbage grow to four times the live heap before it is collected. The live heap
	// is a few megabytes, and on one core each collection delays responses.
	gcPercent = 400
)

// applyLimits applies the CPU and memory limits to the Go runtime and returns the number of
// descriptors that the process may open: the configured limit or, if lower, RLIMIT_NOFILE.
func applyLimits(l config.Limits) int {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(memoryLimit(l))
	debug.SetGCPercent(gcPercent)
	var fileLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fileLimit); err != nil {
		return l.Sockets
	}
	return int(min(uint64(l.Sockets), fileLimit.Cur))
}

// memoryLimit returns the Go runtime's memory limit, in bytes.
func memoryLimit(l config.Limits) int64 { return int64(l.MemoryMB * gcMemoryFraction * bytesPerMB) }
