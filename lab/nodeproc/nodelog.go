package nodeproc

import (
	"encoding/json"
	"regexp"
	"time"
)

// maxLogBytes limits the size of the log that is kept for each node.
const maxLogBytes = 4 << 20

// unknownAge is the value of Node.minLogAge until a log line with a time was read.
const unknownAge time.Duration = -1

// Patterns of the log messages by which a node reports ejected and readmitted servers.
var (
	ejectedPattern    = regexp.MustCompile(`"msg":"ejected ([^:"]+):`)
	readmittedPattern = regexp.MustCompile(`"msg":"readmitted ([^ "]+) after`)
)

// readLogLine stores a line of the log and updates the set of ejected servers from it.
func (n *Node) readLogLine(line []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log.Len() < maxLogBytes {
		n.log.Write(line)
		n.log.WriteByte('\n')
	}
	n.compareClocks(line)
	if m := ejectedPattern.FindSubmatch(line); m != nil {
		n.ejected[string(m[1])] = true
	} else if m := readmittedPattern.FindSubmatch(line); m != nil {
		delete(n.ejected, string(m[1]))
	}
}

// compareClocks compares the node's clock with the lab's. A line cannot be read before it was written, and at least one line
// is read within about a millisecond, so the smallest age of a line limits the difference between the clocks.
func (n *Node) compareClocks(line []byte) {
	var entry struct {
		Time time.Time `json:"time"`
	}
	if json.Unmarshal(line, &entry) != nil || entry.Time.IsZero() {
		return
	}
	if age := time.Since(entry.Time); n.minLogAge == unknownAge || age < n.minLogAge {
		n.minLogAge = age
	}
}

// ClockSkew returns the largest possible difference between the lab's clock and a node's, in milliseconds, or 0 if no log
// line had a time. A negative value means that a node's clock is ahead.
func (g *Group) ClockSkew() float64 {
	maxSkew := 0.0
	for _, n := range g.nodes {
		n.mu.Lock()
		if n.minLogAge != unknownAge {
			if skew := float64(n.minLogAge) / float64(time.Millisecond); skew < 0 || skew > maxSkew {
				maxSkew = skew
			}
		}
		n.mu.Unlock()
	}
	return maxSkew
}

// Ejected returns the servers that are currently ejected by at least one node, according to the nodes' logs.
func (g *Group) Ejected() []string {
	seen := map[string]bool{}
	for _, n := range g.nodes {
		n.mu.Lock()
		for id := range n.ejected {
			seen[id] = true
		}
		n.mu.Unlock()
	}
	out := make([]string, 0, len(seen))
	for id := range seen {
		out = append(out, id)
	}
	return out
}

// ClearEjected removes a server from the ejected ones. It is called when the server's process was replaced: nodes then
// treat the server as new without logging a readmission.
func (g *Group) ClearEjected(server string) {
	for _, n := range g.nodes {
		n.mu.Lock()
		delete(n.ejected, server)
		n.mu.Unlock()
	}
}
