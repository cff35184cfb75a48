package experiment

import (
	"fmt"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

// unmetExpectations returns a message for each expectation that a run does not meet.
func unmetExpectations(s *scenario.Scenario, f Figures) []string {
	var out []string
	addIf := func(unmet bool, format string, args ...any) {
		if unmet {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	e := s.Expect
	if e.Goodput != nil {
		addIf(f.Goodput < *e.Goodput, "worth %.3f, want at least %.3f", f.Goodput, *e.Goodput)
	}
	if e.WorstWindow != nil {
		addIf(f.WorstWindow < *e.WorstWindow, "worst window %.3f, want at least %.3f", f.WorstWindow, *e.WorstWindow)
	}
	if e.P99 != nil {
		ms := float64(*e.P99) / float64(time.Millisecond)
		addIf(f.P99 > ms, "p99 %.1f ms, want at most %.1f ms", f.P99, ms)
	}
	if e.Rejected != nil {
		addIf(f.Rejected > *e.Rejected, "refused %.4f, want at most %.4f", f.Rejected, *e.Rejected)
	}
	if e.Failed != nil {
		addIf(f.Failed+f.Lost > *e.Failed, "failed or lost %.4f, want at most %.4f", f.Failed+f.Lost, *e.Failed)
	}
	if e.MemoryMB != nil {
		addIf(f.MemoryMB > *e.MemoryMB, "memory %.1f MB, want at most %.1f MB", f.MemoryMB, *e.MemoryMB)
	}
	if e.Sockets != nil {
		addIf(f.Sockets > *e.Sockets, "%d file descriptors, want at most %d", f.Sockets, *e.Sockets)
	}
	if e.Recover != nil {
		if f.RecoverySeconds == nil {
			out = append(out, fmt.Sprintf("worth did not recover to %.2f", e.Recover.Goodput))
		} else {
			addIf(*f.RecoverySeconds > e.Recover.Within.Seconds(), "worth recovered after %.1f s, want at most %.1f s",
				*f.RecoverySeconds, e.Recover.Within.Seconds())
		}
	}
	if e.Mesh != nil && e.Mesh.Bytes > 0 {
		addIf(f.MeshBytes > e.Mesh.Bytes, "a node sent %.0f bytes per second to other nodes, want at most %.0f", f.MeshBytes, e.Mesh.Bytes)
	}
	if e.Mesh != nil && e.Mesh.Cores > 0 {
		addIf(f.MaxCPU > e.Mesh.Cores, "a node used %.4f CPU cores, want at most %.4f", f.MaxCPU, e.Mesh.Cores)
	}
	addIf(f.Crashes > 0, "%d nodes crashed", f.Crashes)
	return out
}
