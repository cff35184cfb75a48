package resourceusage

import (
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

// Reading is what a process uses at one moment. A field is 0 where the kernel does not tell it.
type Reading struct {
	Resident    int64 // bytes of resident memory, as the kernel counts them
	Heap        int64 // bytes of live objects and of dead ones not collected yet
	Goroutines  int
	Descriptors int // open descriptors of all kinds
}

// Measure reads what this process uses. It costs a walk over the descriptors.
func Measure() Reading {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples) // unlike runtime.ReadMemStats it stops no goroutine
	return Reading{
		Resident:    residentBytes(),
		Heap:        int64(samples[0].Value.Uint64()),
		Goroutines:  int(samples[1].Value.Uint64()),
		Descriptors: openDescriptors(),
	}
}

// residentBytes is the resident memory, the second field of statm, which counts pages.
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

// openDescriptors is the number of open descriptors, without the one that reads them.
func openDescriptors() int {
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(descriptors) - 1
}
