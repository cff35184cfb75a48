package balancer

import (
	"strings"
	"testing"
)

// New must reject invalid settings with an error that names the setting.
func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"nodes":          func(s *Settings) { s.Nodes = 0 },
		"classes":        func(s *Settings) { s.Classes = nil },
		"attempts":       func(s *Settings) { s.MaxAttempts = 0 },
		"cold":           func(s *Settings) { s.SlowStart.InitialCapacity = 1.5 },
		"cold server":    func(s *Settings) { s.SlowStart.OverloadFactor = 0 },
		"drain":          func(s *Settings) { s.DrainGrace = -1 },
		"aim":            func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"needs a window": func(s *Settings) { s.Classes[1].DedupWindow = 0 },
	} {
		set := settings()
		invalidate(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("error = %v, want one that contains %q", err, name)
		}
	}
}

// Unusual but valid settings must not keep requests from being sent.
func TestServeWithExtremeSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"many nodes":    func(s *Settings) { s.Nodes = 50 },
		"one attempt":   func(s *Settings) { s.MaxAttempts = 1 },
		"no goal":       func(s *Settings) { s.Goal = GoalWeights{} },
		"zero quota":    func(s *Settings) { s.Tenants = []Tenant{{Name: "t"}} },
		"no cold time":  func(s *Settings) { s.SlowStart.Duration = 0 },
		"huge deadline": func(s *Settings) { s.Classes[0].TotalTimeout, s.Classes[0].LatencyObjective = 1e9, 1e9 },
		"worthless":     func(s *Settings) { s.Classes[0].PriorityWeight = 0 },
		"probes":        func(s *Settings) { s.ProbesAllowed, s.LoadReports = true, true },
	} {
		set := settings()
		change(&set)
		b := newTestNode(t, set, testEndpoints(1)...)
		if s := b.serve("read", 5, allOK); s != "s0" {
			t.Errorf("%s: sent to %q, want s0", name, s)
		}
	}
}

// With unusual numbers of nodes and servers, each request is sent to a server, or rejected if the endpoint
// list is empty.
func TestServeWithExtremeFleetSizes(t *testing.T) {
	for _, c := range []struct{ nodes, servers int }{{500, 1}, {1, 240}, {600, 60}, {7, 5}} {
		for _, reports := range []bool{false, true} {
			set := settings()
			set.Nodes, set.Node, set.LoadReports = c.nodes, c.nodes-1, reports
			b := newTestNode(t, set, testEndpoints(c.servers)...)
			b.now += 60000 // no events for a minute
			if s := b.serve("read", 20, allOK); s == "" {
				t.Errorf("%d nodes, %d servers, load reports %v: request not sent, want a server", c.nodes, c.servers, reports)
			}
			b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: testEndpoints(1)})
			if s := b.serve("read", 20, allOK); s != "s0" {
				t.Errorf("%d nodes, one remaining server: sent to %q, want s0", c.nodes, s)
			}
			b.step(EndpointUpdate{Kind: FullUpdate})
			if _, acts := b.arrive("read", 2000); count[Reject](acts) != 1 {
				t.Errorf("%d nodes, empty list: actions = %v, want one rejection", c.nodes, acts)
			}
		}
	}
}
