package experiment

import (
	"fmt"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

// unmetExpectations names the expectations that a run does not meet.
func unmetExpectations(s *scenario.Scenario, f Figures) []string {
	var out []string
	say := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	e := s.Expect
	if e.Worth != nil {
		say(f.Worth < *e.Worth, "worth %.3f, at least %.3f wanted", f.Worth, *e.Worth)
	}
	if e.WorstShare != nil {
		say(f.WorstWindow < *e.WorstShare, "worst window %.3f, at least %.3f wanted", f.WorstWindow, *e.WorstShare)
	}
	if e.P99 != nil {
		ms := float64(*e.P99) / float64(time.Millisecond)
		say(f.P99 > ms, "p99 %.1f ms, at most %.1f wanted", f.P99, ms)
	}
	if e.Rejected != nil {
		say(f.Rejected > *e.Rejected, "refused %.4f, at most %.4f wanted", f.Rejected, *e.Rejected)
	}
	if e.Failed != nil {
		say(f.Failed+f.Lost > *e.Failed, "failed or lost %.4f, at most %.4f wanted", f.Failed+f.Lost, *e.Failed)
	}
	if e.MemoryMB != nil {
		say(f.MemoryMB > *e.MemoryMB, "memory %.1f MB, at most %.1f wanted", f.MemoryMB, *e.MemoryMB)
	}
	if e.Sockets != nil {
		say(f.Sockets > *e.Sockets, "%d descriptors, at most %d wanted", f.Sockets, *e.Sockets)
	}
	if e.Recover != nil {
		if f.Recovered == nil {
			out = append(out, fmt.Sprintf("worth never came back to %.2f", e.Recover.To))
		} else {
			say(*f.Recovered > e.Recover.Within.Seconds(), "back after %.1f s, within %.1f s wanted", *f.Recovered, e.Recover.Within.Seconds())
		}
	}
	if e.Mesh != nil && e.Mesh.Bytes > 0 {
		say(f.MeshBytes > e.Mesh.Bytes, "%.0f bytes a second to other nodes, at most %.0f wanted", f.MeshBytes, e.Mesh.Bytes)
	}
	if e.Mesh != nil && e.Mesh.Cores > 0 {
		say(f.MaxCPU > e.Mesh.Cores, "%.4f cores at some node, at most %.4f wanted", f.MaxCPU, e.Mesh.Cores)
	}
	say(f.Crashes > 0, "%d nodes crashed", f.Crashes)
	return out
}
