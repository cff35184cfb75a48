package balancer

import "testing"

// During an upgrade each of a node's two processes may use half of the node's budgets. A clone that ignored the second process would
// decide with budgets that are twice as large, and a shadow evaluation of settings would give wrong results.
func TestCloneDuringUpgradeCountsBothProcesses(t *testing.T) {
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
			t.Errorf("%s: fleetDivisor() = %v, want %d", name, got, c.size)
		}
		clone.Step(b.now, SiblingProcesses{1})
		if got := clone.fleetDivisor(); got != float64(c.size)/2 {
			t.Errorf("%s, after the upgrade: fleetDivisor() = %v, want %d", name, got, c.size/2)
		}
	}
}
