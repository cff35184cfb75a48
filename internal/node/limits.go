package node

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"

	"tackhub.example/tackhub/internal/config"
)

const (
	// memoryShare of the memory limit is where the collector starts to work harder; the rest is for
	// stacks, the program itself and what the kernel counts.
	memoryShare = 0.6

	// gcPercent lets garbage grow to four times what lives before it is collected: what lives is a
	// few megabytes, and on one core each collection delays responses.
	gcPercent = 400
)

// applyLimits keeps the process within its machine's limits, and returns the descriptors that it
// may have: the system's own limit may be the lower one.
func applyLimits(l config.Limits) int {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(memoryLimit(l))
	debug.SetGCPercent(gcPercent)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return l.Sockets
	}
	return int(min(uint64(l.Sockets), files.Cur))
}

// memoryLimit is the collector's limit, in bytes.
func memoryLimit(l config.Limits) int64 { return int64(l.MemoryMB * memoryShare * bytesPerMB) }
