package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Mesh makes the nodes a cluster, with a link of its own for each directed pair. Spans of 0 are the program's defaults.
type Mesh struct {
	Period    time.Duration `toml:"period"`
	Timeout   time.Duration `toml:"timeout"`
	Suspicion time.Duration `toml:"suspicion"`
	Quotas    bool          `toml:"shares"`   // quotas of what the whole fleet may use together
	Overload  bool          `toml:"overload"` // the fleet sheds load together
}

// MeshExpect is what the nodes' views must show.
type MeshExpect struct {
	DetectWithin   time.Duration `toml:"notice"`      // a node that is gone or unreachable is out of every view within it
	ConvergeWithin time.Duration `toml:"heal"`        // after the last fault all hold the same view within it
	Bytes          float64       `toml:"bytes_max"`   // a second, sent by any node on the mesh
	Cores          float64       `toml:"cpu_max"`     // of any node
	IgnorePartial  bool          `toml:"uneven_only"` // nothing is expected of members that only some can hear
}

// checkMesh names the first thing about the mesh that cannot be.
func (s *Scenario) checkMesh() error {
	if s.Mesh == nil && s.Expect.Mesh != nil {
		return fmt.Errorf("expect.mesh needs a [mesh]")
	}
	if m := s.Mesh; m != nil {
		switch {
		case s.Nodes.Kind != "tackhub" || s.Nodes.OperatorFile != "":
			return fmt.Errorf("mesh: it needs nodes of kind tackhub, and writes their operator files itself")
		case s.Nodes.Count < 2:
			return fmt.Errorf("mesh: one node has nobody to talk to")
		case m.Period < 0 || m.Timeout < 0 || m.Suspicion < 0:
			return fmt.Errorf("mesh: spans must not be negative")
		}
	}
	for i, f := range s.Faults {
		of := f.Kind.OfLink()
		switch {
		case !of && f.Kind != FaultDiskLost:
		case s.Mesh == nil:
			return fmt.Errorf("fault[%d].kind %s needs a [mesh]", i, f.Kind)
		case (f.Kind == FaultLoss || f.Kind == FaultDuplicate || f.Kind == FaultReorder) && (f.Share <= 0 || f.Share > 1):
			return fmt.Errorf("fault[%d].share must be above 0 and at most 1", i)
		case (f.Kind == FaultDelay || f.Kind == FaultReorder) && f.Delay <= 0 && f.Jitter <= 0:
			return fmt.Errorf("fault[%d] needs a delay or a jitter", i)
		}
	}
	return nil
}

// links are the directed pairs of nodes that a target names: all, a share of all ("25%"), half (the first half of the
// nodes and the second do not hear each other), ring (each node to the next), or sets of nodes, "node:0->node:3",
// "zone:a<->zone:b", "node:2->rest".
func (s *Scenario) links(target string, rng *rand.Rand) ([][2]int, error) {
	n := s.Nodes.Count
	every := s.allLinks()
	switch {
	case target == "" || target == "all":
		return every, nil
	case target == "half":
		return filterLinks(every, func(from, to int) bool { return (from < n/2) != (to < n/2) }), nil
	case target == "ring":
		return filterLinks(every, func(from, to int) bool { return to == (from+1)%n }), nil
	}
	if from, to, ok := strings.Cut(target, "<->"); ok {
		return s.linksBetween(target, from, to, true)
	}
	if from, to, ok := strings.Cut(target, "->"); ok {
		return s.linksBetween(target, from, to, false)
	}
	k, err := parseCount(target, len(every))
	if err != nil {
		return nil, fmt.Errorf("%q is no link: all, half, ring, a share, or sets of nodes such as node:0->node:3", target)
	}
	if rng != nil {
		rng.Shuffle(len(every), func(i, j int) { every[i], every[j] = every[j], every[i] })
	}
	return every[:k], nil
}

// allLinks are all directed pairs of nodes.
func (s *Scenario) allLinks() [][2]int {
	var all [][2]int
	for i := range s.Nodes.Count {
		for j := range s.Nodes.Count {
			if i != j {
				all = append(all, [2]int{i, j})
			}
		}
	}
	return all
}

// filterLinks are the links that fit.
func filterLinks(links [][2]int, fits func(from, to int) bool) [][2]int {
	return slices.DeleteFunc(slices.Clone(links), func(p [2]int) bool { return !fits(p[0], p[1]) })
}

// linksBetween are the links from one set of nodes to another, and back where both directions are named.
func (s *Scenario) linksBetween(target, fromText, toText string, both bool) ([][2]int, error) {
	a, err := s.nodeSet(fromText)
	if err != nil {
		return nil, err
	}
	b, err := s.nodeSet(toText)
	if err != nil {
		return nil, err
	}
	if toText == "rest" {
		b = s.nodesBeside(a)
	}
	if fromText == "rest" {
		a = s.nodesBeside(b)
	}
	links := filterLinks(s.allLinks(), func(from, to int) bool {
		forth := slices.Contains(a, from) && slices.Contains(b, to)
		back := slices.Contains(a, to) && slices.Contains(b, from)
		return forth || both && back
	})
	if len(links) == 0 {
		return nil, fmt.Errorf("%q names no link", target)
	}
	return links, nil
}

// nodesBeside are the nodes that are not in a set.
func (s *Scenario) nodesBeside(set []int) []int {
	return slices.DeleteFunc(indexes(s.Nodes.Count), func(i int) bool { return slices.Contains(set, i) })
}

// nodeSet are the nodes on one side of a link; rest is worked out by the caller, who knows the other side.
func (s *Scenario) nodeSet(text string) ([]int, error) {
	what, name, _ := strings.Cut(text, ":")
	switch what {
	case "rest":
		return nil, nil
	case "all":
		return indexes(s.Nodes.Count), nil
	case "node":
		i, err := strconv.Atoi(name)
		if err != nil || i < 0 || i >= s.Nodes.Count {
			return nil, fmt.Errorf("%q is no node of %d", text, s.Nodes.Count)
		}
		return []int{i}, nil
	case "zone":
		var out []int
		for i := range s.Nodes.Count {
			if s.NodeZone(i) == name {
				out = append(out, i)
			}
		}
		if len(out) > 0 {
			return out, nil
		}
	}
	return nil, fmt.Errorf("%q is no set of nodes: node:N, zone:Z, all or rest", text)
}
