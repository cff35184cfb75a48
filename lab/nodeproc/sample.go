package nodeproc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Sample is the resource usage of a node's process at one time.
type Sample struct {
	At          time.Duration `json:"at_ns"`
	RSS         int64         `json:"rss_bytes"`
	Descriptors int           `json:"descriptors"`
	CPU         float64       `json:"cpu_s"` // total of all processes of the node since the start of the run
}

// Sample measures the resource usage of every node whose process is running.
func (g *Group) Sample() {
	for _, n := range g.nodes {
		n.mu.Lock()
		s, err := measure(n.cmd.Process.Pid)
		if err == nil && n.cmd.ProcessState == nil {
			s.At, s.CPU = g.now(), s.CPU+n.earlierCPU
			n.samples = append(n.samples, s)
		}
		n.mu.Unlock()
	}
}

// measure reads the resource usage of a process from /proc.
func measure(pid int) (Sample, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	raw, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return Sample{}, err
	}
	pages := strings.Fields(string(raw))
	if len(pages) < 2 {
		return Sample{}, fmt.Errorf("%s/statm has %d fields, want at least 2", dir, len(pages))
	}
	rss, _ := strconv.ParseInt(pages[1], 10, 64)
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return Sample{}, err
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Sample{}, err
	}
	_, afterName, _ := strings.Cut(string(stat), ") ") // skips the process name, which may contain spaces
	fields := strings.Fields(afterName)
	if len(fields) < 13 {
		return Sample{}, fmt.Errorf("%s/stat has %d fields after the process name, want at least 13", dir, len(fields))
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	const ticksPerSecond = 100 // USER_HZ, fixed on Linux
	return Sample{RSS: rss * int64(os.Getpagesize()), Descriptors: len(fds), CPU: (user + system) / ticksPerSecond}, nil
}

// Report contains the measurements of one node.
type Report struct {
	Samples []Sample `json:"samples"`
	Crashes int      `json:"crashes"`

	Peak MemoryPeak `json:"peak,omitzero"` // measured only while WatchMemory runs
}

// Reports returns the measurements of all nodes.
func (g *Group) Reports() []Report {
	out := make([]Report, len(g.nodes))
	for i, n := range g.nodes {
		n.mu.Lock()
		out[i] = Report{Samples: append([]Sample(nil), n.samples...), Crashes: n.crashes, Peak: n.peak}
		n.mu.Unlock()
	}
	return out
}
