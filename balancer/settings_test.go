package balancer

import (
	"strings"
	"testing"
)

func TestInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"nodes":        func(s *Settings) { s.Nodes = 0 },
		"classes":      func(s *Settings) { s.Classes = nil },
		"attempts":     func(s *Settings) { s.MaxAttempts = 0 },
		"cold":         func(s *Settings) { s.SlowStart.InitialCapacity = 1.5 },
		"cold server":  func(s *Settings) { s.SlowStart.OverloadFactor = 0 },
		"drain":        func(s *Settings) { s.DrainGrace = -1 },
		"aim":          func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"needs a wind": func(s *Settings) { s.Classes[1].DedupWindow = 0 },
	} {
		set := settings()
		spoil(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v does not name the setting", name, err)
		}
	}
}

func TestExtremeSettingsStillServe(t *testing.T) {
	for name, odd := range map[string]func(*Settings){
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
		odd(&set)
		b := newTestNode(t, set, testEndpoints(1)...)
		if s := b.serve("read", 5, allOK); s != "s0" {
			t.Errorf("%s: sent to %q", name, s)
		}
	}
}

// Odd but legal sizes still decide sanely: a request finds a server, and a list that empties loses
// none.
func TestExtremeFleetSizes(t *testing.T) {
	for _, c := range []struct{ nodes, servers int }{{500, 1}, {1, 240}, {600, 60}, {7, 5}} {
		for _, reports := range []bool{false, true} {
			set := settings()
			set.Nodes, set.Node, set.LoadReports = c.nodes, c.nodes-1, reports
			b := newTestNode(t, set, testEndpoints(c.servers)...)
			b.now += 60000 // nothing heard for a minute
			if s := b.serve("read", 20, allOK); s == "" {
				t.Errorf("%d nodes, %d servers, reports %v: not sent", c.nodes, c.servers, reports)
			}
			b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: testEndpoints(1)})
			if s := b.serve("read", 20, allOK); s != "s0" {
				t.Errorf("%d nodes, one server left: sent to %q", c.nodes, s)
			}
			b.step(EndpointUpdate{Kind: FullUpdate})
			if _, acts := b.arrive("read", 2000); count[Reject](acts) != 1 {
				t.Errorf("%d nodes, empty list: %v, want a rejection", c.nodes, acts)
			}
		}
	}
}
