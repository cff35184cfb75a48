package nodeproc

import (
	"encoding/json"
	"regexp"
	"time"
)

// maxLogBytes bounds what is kept of each node's log.
const maxLogBytes = 4 << 20

// unknownAge says that no log line had a time.
const unknownAge time.Duration = -1

// Log messages that tell which servers a node has ejected as outliers.
var (
	ejectedPattern    = regexp.MustCompile(`"msg":"ejected ([^:"]+):`)
	readmittedPattern = regexp.MustCompile(`"msg":"readmitted ([^ "]+) after`)
)

// readLogLine keeps a line of the log and learns from it which servers are ejected.
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

// compareClocks compares the node's clock with the lab's. A line cannot be read before it was written, and the freshest
// one is read within a millisecond or so, so the smallest age of a line bounds the difference.
func (n *Node) compareClocks(line []byte) {
	var head struct {
		Time time.Time `json:"time"`
	}
	if json.Unmarshal(line, &head) != nil || head.Time.IsZero() {
		return
	}
	if age := time.Since(head.Time); n.minLogAge == unknownAge || age < n.minLogAge {
		n.minLogAge = age
	}
}

// ClockSkew is how far the clocks of lab and nodes may differ, in milliseconds; 0 where no log line had a time. A
// negative figure says that a node's clock is ahead.
func (g *Group) ClockSkew() float64 {
	most := 0.0
	for _, n := range g.nodes {
		n.mu.Lock()
		if n.minLogAge != unknownAge {
			if ms := float64(n.minLogAge) / float64(time.Millisecond); ms < 0 || ms > most {
				most = ms
			}
		}
		n.mu.Unlock()
	}
	return most
}

// Ejected are the servers that at least one node has ejected now, by the nodes' own logs.
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

// ForgetServer removes a server from the ejected ones. Its process was replaced, and nodes treat the new one as unknown
// without a log line.
func (g *Group) ForgetServer(server string) {
	for _, n := range g.nodes {
		n.mu.Lock()
		delete(n.ejected, server)
		n.mu.Unlock()
	}
}
