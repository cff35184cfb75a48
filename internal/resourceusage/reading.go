package resourceusage

import (
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

// Reading is the resource usage of the process at one moment. A field is 0 if the kernel does not report its value.
type Reading struct {
	ResidentBytes int64 // resident memory, as counted by the kernel
	HeapBytes     int64 // live heap objects and dead ones that are not collected yet
	Goroutines    int
	Descriptors   int // open file descriptors of all kinds
}

// Measure reads the resource usage of this process. Its cost grows with the number of open descriptors, because it lists them.
func Measure() Reading {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples) // unlike runtime.ReadMemStats, this does not stop the goroutines
	return Reading{
		ResidentBytes: residentBytes(),
		HeapBytes:     int64(samples[0].Value.Uint64()),
		Goroutines:    int(samples[1].Value.Uint64()),
		Descriptors:   openDescriptors(),
	}
}

// residentBytes returns the resident memory in bytes. The second field of statm is the number of resident pages.
func residentBytes() int64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// openDescriptors returns the number of open descriptors, except the one that is opened to list them.
func openDescriptors() int {
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(descriptors) - 1
}
