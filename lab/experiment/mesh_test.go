package experiment

import (
	"testing"

	"tackhub.example/tackhub/lab/scenario"
)

func membersCI(t *testing.T, overrides ...string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load("../scenarios/members-ci.toml", overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Five nodes have one suspended, one killed, a one-way cut and a cut into halves. No live member may be removed, a
// failed one must be, all must agree again, and their quotas may never exceed the whole.
func TestMembershipOfFiveNodes(t *testing.T) {
	t.Parallel()
	// Other tests take the machine's cores beside this one: times are given more room than where members are measured.
	r := playOut(t, membersCI(t, "expect.mesh.notice=8s", "expect.mesh.heal=6s"))
	if r.VoidReason == "" && (len(r.Breaches) > 0 || r.Members.Samples < 1000 || r.Members.ViewChanges < 3 || r.Members.QuotaMean < 0.8) {
		t.Errorf("breaches %v, members %+v", r.Breaches, r.Members)
	}
	if r.VoidReason != "" {
		t.Skipf("the machine was too busy, which proves nothing: %s", r.VoidReason)
	}
}

// With a suspicion timeout shorter than a suspension a live member is removed, and the auditor must report it.
func TestFalseRemovalIsSeen(t *testing.T) {
	t.Parallel()
	r := playOut(t, membersCI(t, "duration=8s", "mesh.suspicion=1s", `fault=[{at="7s", for="2s", kind="node-stop", target="node:1"}]`))
	if r.BreachesByRule["members-taken-out"] == 0 {
		t.Errorf("breaches %v, members %+v", r.Breaches, r.Members)
	}
}
