package balancer

import "testing"

// While two processes are one node, each has half of the node's part of the fleet's budgets. A copy that took the fleet for half as
// large would compare other settings, or the same ones, by budgets twice as large.
func TestCloneKeepsTheFleetSizeOfAnUpgrade(t *testing.T) {
	set := settings()
	set.Nodes = 30
	larger := set
	larger.Nodes = 60
	b := newTestNode(t, set, testEndpoints(2)...)
	b.step(SiblingProcesses{2})
	for name, c := range map[string]struct {
		settings Settings
		size     int
	}{
		"the same settings": {set, 60},
		"a larger fleet":    {larger, 120},
	} {
		clone, err := b.balancer.Clone(c.settings)
		if err != nil {
			t.Fatal(err)
		}
		if got := clone.fleetDivisor(); got != float64(c.size) {
			t.Errorf("%s: budgets are divided by %v, want %d", name, got, c.size)
		}
		clone.Step(b.now, SiblingProcesses{1})
		if got := clone.fleetDivisor(); got != float64(c.size)/2 {
			t.Errorf("%s, after the upgrade: budgets are divided by %v, want %d", name, got, c.size/2)
		}
	}
}
