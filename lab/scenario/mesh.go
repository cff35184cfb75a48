package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Mesh connects the nodes into a cluster, with a separate link for each directed pair of nodes. If a duration is 0, the
// nodes use their default for it.
type Mesh struct {
	Period    time.Duration `toml:"period"`
	Timeout   time.Duration `toml:"timeout"`
	Suspicion time.Duration `toml:"suspicion"`
	Quotas    bool          `toml:"shares"`   // nodes get quotas of the fleet-wide limits
	Overload  bool          `toml:"overload"` // nodes coordinate load shedding
}

// MeshExpect holds the requirements on the nodes' membership views and on the cost of the mesh. Bytes and Cores are not
// limited if they are 0. DetectWithin and ConvergeWithin have no default: if they are 0, the auditor tolerates no delay.
type MeshExpect struct {
	DetectWithin   time.Duration `toml:"notice"`      // longest time until a failed or unreachable node is removed from every view
	ConvergeWithin time.Duration `toml:"heal"`        // longest time after the last fault until all nodes have the same view
	Bytes          float64       `toml:"bytes_max"`   // maximum bytes per second that a node sends to other nodes
	Cores          float64       `toml:"cpu_max"`     // maximum number of CPU cores that a node uses
	IgnorePartial  bool          `toml:"uneven_only"` // live members may be missing from views, for runs in which only some nodes receive their messages
}

// checkMesh returns an error that names the first invalid setting of the mesh or of its faults, or nil.
func (s *Scenario) checkMesh() error {
	if s.Mesh == nil && s.Expect.Mesh != nil {
		return fmt.Errorf("expect.mesh needs a [mesh]")
	}
	if m := s.Mesh; m != nil {
		switch {
		case s.Nodes.Kind != "tackhub" || s.Nodes.OperatorFile != "":
			return fmt.Errorf("mesh: nodes.kind must be tackhub and nodes.edge must be empty, because the lab writes the operator files")
		case s.Nodes.Count < 2:
			return fmt.Errorf("mesh: nodes.count must be at least 2")
		case m.Period < 0 || m.Timeout < 0 || m.Suspicion < 0:
			return fmt.Errorf("mesh: period, timeout and suspicion must not be negative")
		}
	}
	for i, fault := range s.Faults {
		affectsLink := fault.Kind.AffectsLink()
		switch {
		case !affectsLink && fault.Kind != FaultDiskLost:
		case s.Mesh == nil:
			return fmt.Errorf("fault[%d].kind %s needs a [mesh]", i, fault.Kind)
		case (fault.Kind == FaultLoss || fault.Kind == FaultDuplicate || fault.Kind == FaultReorder) && (fault.Fraction <= 0 || fault.Fraction > 1):
			return fmt.Errorf("fault[%d].share %v must be above 0 and at most 1", i, fault.Fraction)
		case (fault.Kind == FaultDelay || fault.Kind == FaultReorder) && fault.Delay <= 0 && fault.Jitter <= 0:
			return fmt.Errorf("fault[%d]: a fault of kind %s needs a delay or a jitter above 0", i, fault.Kind)
		}
	}
	return nil
}

// targetLinks returns the directed pairs of nodes that a target selects: all, a fraction of all links ("25%"), half (all
// links between the first and the second half of the nodes), ring (from each node to the next), or the links between sets
// of nodes, such as "node:0->node:3", "zone:a<->zone:b" or "node:2->rest".
func (s *Scenario) targetLinks(target string, rng *rand.Rand) ([][2]int, error) {
	n := s.Nodes.Count
	links := s.allLinks()
	switch {
	case target == "" || target == "all":
		return links, nil
	case target == "half":
		return filterLinks(links, func(from, to int) bool { return (from < n/2) != (to < n/2) }), nil
	case target == "ring":
		return filterLinks(links, func(from, to int) bool { return to == (from+1)%n }), nil
	}
	if from, to, ok := strings.Cut(target, "<->"); ok {
		return s.linksBetween(target, from, to, true)
	}
	if from, to, ok := strings.Cut(target, "->"); ok {
		return s.linksBetween(target, from, to, false)
	}
	k, err := parseCount(target, len(links))
	if err != nil {
		return nil, fmt.Errorf("%q selects no links: expected all, half, ring, a percentage, or sets of nodes such as node:0->node:3", target)
	}
	if rng != nil {
		rng.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	}
	return links[:k], nil
}

// allLinks returns all directed pairs of nodes.
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

// filterLinks returns the links for which keep returns true.
func filterLinks(links [][2]int, keep func(from, to int) bool) [][2]int {
	return slices.DeleteFunc(slices.Clone(links), func(p [2]int) bool { return !keep(p[0], p[1]) })
}

// linksBetween returns the links from one set of nodes to another, and the reverse links if both is set.
func (s *Scenario) linksBetween(target, fromText, toText string, both bool) ([][2]int, error) {
	fromNodes, err := s.nodeSet(fromText)
	if err != nil {
		return nil, err
	}
	toNodes, err := s.nodeSet(toText)
	if err != nil {
		return nil, err
	}
	if toText == "rest" {
		toNodes = s.otherNodes(fromNodes)
	}
	if fromText == "rest" {
		fromNodes = s.otherNodes(toNodes)
	}
	links := filterLinks(s.allLinks(), func(from, to int) bool {
		forward := slices.Contains(fromNodes, from) && slices.Contains(toNodes, to)
		backward := slices.Contains(fromNodes, to) && slices.Contains(toNodes, from)
		return forward || both && backward
	})
	if len(links) == 0 {
		return nil, fmt.Errorf("%q selects no links", target)
	}
	return links, nil
}

// otherNodes returns the nodes that are not in the set.
func (s *Scenario) otherNodes(set []int) []int {
	return slices.DeleteFunc(indexes(s.Nodes.Count), func(i int) bool { return slices.Contains(set, i) })
}

// nodeSet returns the nodes on one side of a link target. For "rest" it returns nil, because "rest" depends on the other
// side: the caller replaces nil with all nodes that are not on that side.
func (s *Scenario) nodeSet(text string) ([]int, error) {
	kind, name, _ := strings.Cut(text, ":")
	switch kind {
	case "rest":
		return nil, nil
	case "all":
		return indexes(s.Nodes.Count), nil
	case "node":
		i, err := strconv.Atoi(name)
		if err != nil || i < 0 || i >= s.Nodes.Count {
			return nil, fmt.Errorf("%q is not one of the %d nodes", text, s.Nodes.Count)
		}
		return []int{i}, nil
	case "zone":
		var nodes []int
		for i := range s.Nodes.Count {
			if s.NodeZone(i) == name {
				nodes = append(nodes, i)
			}
		}
		if len(nodes) > 0 {
			return nodes, nil
		}
	}
	return nil, fmt.Errorf("%q selects no nodes: expected node:N, zone:Z, all or rest", text)
}
