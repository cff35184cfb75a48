package nodeproc

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"
)

// Sample is what a node's process uses at a moment.
type Sample struct {
	At      time.Duration `json:"at_ns"`
	RSS     int64         `json:"rss_bytes"`
	Sockets int           `json:"descriptors"`
	CPU     float64       `json:"cpu_s"` // since the start, of all its processes
}

// Sample measures every node whose process runs.
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

// measure reads from the kernel what a process uses.
func measure(pid int) (Sample, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	raw, err := os.ReadFile(dir + "/statm")
	if err != nil {
		return Sample{}, err
	}
	pages := strings.Fields(string(raw))
	if len(pages) < 2 {
		return Sample{}, errors.New("statm is short")
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
	_, rest, _ := strings.Cut(string(stat), ") ") // the name before it may hold anything
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return Sample{}, errors.New("stat is short")
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	const ticks = 100 // USER_HZ, fixed on Linux
	return Sample{RSS: rss * int64(os.Getpagesize()), Sockets: len(fds), CPU: (user + system) / ticks}, nil
}

// Report is what was measured of one node.
type Report struct {
	Samples []Sample `json:"samples"`
	Crashes int      `json:"crashes"`
}

// Reports are all nodes' measurements.
func (g *Group) Reports() []Report {
	out := make([]Report, len(g.nodes))
	for i, n := range g.nodes {
		n.mu.Lock()
		out[i] = Report{Samples: append([]Sample(nil), n.samples...), Crashes: n.crashes}
		n.mu.Unlock()
	}
	return out
}
