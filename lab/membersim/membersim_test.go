package membersim

import (
	"testing"
	"time"
)

// testOptions returns the options of a cluster without network faults.
func testOptions(n int, seed uint64) Options {
	return Options{Members: n, Seed: seed, Period: 250 * time.Millisecond, Timeout: 150 * time.Millisecond, Suspicion: 2500 * time.Millisecond,
		Delay: time.Millisecond}
}

// waitConverged runs the simulation until all views are correct and returns how long that took. It fails the test after limit.
func (s *Sim) waitConverged(t *testing.T, cause string, limit time.Duration) time.Duration {
	t.Helper()
	for startedAt := s.Now(); s.Now()-startedAt < limit; s.Run(50 * time.Millisecond) {
		if s.Converged() {
			return s.Now() - startedAt
		}
	}
	t.Fatalf("%d members, seed %d: views did not converge within %v after: %s", s.options.Members, s.options.Seed, limit, cause)
	return 0
}

// The views must converge after members join, after most of them are killed, after these are restarted, and after a split of
// the cluster into halves has ended. During the split each view must contain exactly the members of its half.
func TestClusterConvergesAfterJoinKillRestartAndSplit(t *testing.T) {
	for _, n := range []int{2, 5, 16, 64} {
		s := New(testOptions(n, 1))
		joined := s.waitConverged(t, "joining", 5*time.Second)
		killed := n * 6 / 10
		for i := range killed {
			s.Kill(n - 1 - i)
		}
		detected := s.waitConverged(t, "kill of 60 %", time.Duration(5+n/32)*time.Second) // the suspicion timeout grows with more than 32 members
		for i := range killed {
			s.Restart(n - 1 - i)
		}
		rejoined := s.waitConverged(t, "restart", 5*time.Second)
		for i := range n {
			for j := range n {
				s.Cut(i, j, i%2 != j%2)
			}
		}
		s.Run(8 * time.Second)
		for i := range n {
			for j := range n {
				if s.HasMember(i, j) != (i%2 == j%2) {
					t.Fatalf("%d members: during the split the view of member %d is %v, want exactly its half", n, i, s.Node(i).Core.View().Members)
				}
			}
		}
		s.Run(22 * time.Second)
		s.Heal()
		t.Logf("%d members: joined in %v, detected the kill of 60 %% in %v, rejoined in %v, converged after the split in %v", n, joined, detected,
			rejoined, s.waitConverged(t, "end of the split", 5*time.Second))
	}
}
