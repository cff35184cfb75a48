package experiment

import (
	"testing"

	"tackhub.example/tackhub/lab/scenario"
)

func loadMembersCI(t *testing.T, overrides ...string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load("../scenarios/members-ci.toml", overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// One of five nodes is suspended, one is killed, and links are cut one-way and between halves of the nodes. No live member
// may be removed, failed members must be removed, all nodes must agree again, and the quotas' sum may never exceed 1.
func TestMembershipRemovesOnlyFailedNodes(t *testing.T) {
	t.Parallel()
	// The limits are longer than in the scenario file because other tests run on the machine's cores at the same time.
	r := runScenario(t, loadMembersCI(t, "expect.mesh.notice=8s", "expect.mesh.heal=6s"))
	if r.InvalidReason == "" && (len(r.Breaches) > 0 || r.Members.Samples < 1000 || r.Members.ViewChanges < 3 || r.Members.QuotaMean < 0.8) {
		t.Errorf("breaches = %v, members = %+v, want no breach, at least 1000 samples and 3 view changes, and a mean quota sum of at least 0.8",
			r.Breaches, r.Members)
	}
	if r.InvalidReason != "" {
		t.Skipf("the run is invalid, usually because the machine is too busy: %s", r.InvalidReason)
	}
}

// If a node is suspended for longer than the suspicion timeout, the other nodes remove a live member, which the auditor
// must report.
func TestAuditorReportsRemovalOfLiveMember(t *testing.T) {
	t.Parallel()
	r := runScenario(t, loadMembersCI(t, "duration=8s", "mesh.suspicion=1s", `fault=[{at="7s", for="2s", kind="node-stop", target="node:1"}]`))
	if r.BreachesByRule["members-taken-out"] == 0 {
		t.Errorf("breaches = %v, members = %+v, want a breach of members-taken-out", r.Breaches, r.Members)
	}
}
