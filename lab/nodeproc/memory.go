package nodeproc

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// memoryInterval is the time between two measurements of WatchMemory.
const memoryInterval = 20 * time.Millisecond

// MemoryPeak is the most memory that a node has used at one time.
type MemoryPeak struct {
	At       time.Duration `json:"at_ns"`
	Resident int64         `json:"resident_bytes"`
	Files    int64         `json:"file_bytes"` // unnamed files that the process has open, which count as memory
}

// Total returns the sum of resident memory and files in bytes.
func (m MemoryPeak) Total() int64 { return m.Resident + m.Files }

// WatchMemory measures the memory of the nodes until done is closed.
func (g *Group) WatchMemory(done <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		for _, n := range g.nodes {
			n.measurePeak()
		}
	}
}

// measurePeak measures the memory of a node's process.
func (n *Node) measurePeak() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd.ProcessState != nil {
		return
	}
	now := measureMemory(n.cmd.Process.Pid)
	if now.Total() > n.peak.Total() {
		now.At = n.group.now()
		n.peak = now
	}
}

// measureMemory reads the memory use of a process from /proc. What cannot be read counts as 0, since the process may just have ended.
func measureMemory(pid int) MemoryPeak {
	dir := "/proc/" + strconv.Itoa(pid)
	var m MemoryPeak
	if raw, err := os.ReadFile(dir + "/statm"); err == nil {
		if pages := strings.Fields(string(raw)); len(pages) > 1 {
			resident, _ := strconv.ParseInt(pages[1], 10, 64)
			m.Resident = resident * int64(os.Getpagesize())
		}
	}
	descriptors, _ := os.ReadDir(dir + "/fd")
	for _, descriptor := range descriptors {
		path := dir + "/fd/" + descriptor.Name()
		target, _ := os.Readlink(path)
		if info, err := os.Stat(path); err == nil && strings.HasSuffix(target, " (deleted)") {
			m.Files += info.Size()
		}
	}
	return m
}
