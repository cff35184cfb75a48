package membersim

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/membership"
)

// playRandomSchedule runs a random sequence of all faults, ends them, and returns an error if the views do not converge or a
// view number decreases.
func playRandomSchedule(n int, seed uint64) error {
	s := New(testOptions(n, seed))
	rng := rand.New(rand.NewPCG(seed, 3))
	s.Run(5 * time.Second)
	if rng.IntN(2) == 0 {
		s.Impair(rng.Float64()*0.3, time.Duration(rng.IntN(100))*time.Millisecond+1, 0.1)
	}
	viewNumbers, cores := make([]uint64, n), make([]*membership.Core, n)
	checkViewNumbers := func() error {
		for i := range n {
			c, v := s.Node(i).Core, s.Node(i).Core.View().Number
			if c == cores[i] && v < viewNumbers[i] {
				return fmt.Errorf("view number of member %d went from %d back to %d", i, viewNumbers[i], v)
			}
			cores[i], viewNumbers[i] = c, v
		}
		return nil
	}
	for range 12 {
		i, j := rng.IntN(n), rng.IntN(n)
		switch rng.IntN(9) {
		case 0:
			s.Kill(i)
		case 1:
			s.Leave(i)
		case 2, 3:
			s.Restart(i)
		case 4, 5:
			s.Suspend(i)
		case 6:
			s.Resume(i)
		case 7: // one-way cuts of a fifth of the links
			for k := range n {
				for l := range n {
					s.Cut(k, l, k != l && rng.IntN(5) == 0)
				}
			}
		case 8: // split into two parts
			for k := range n {
				for l := range n {
					s.Cut(k, l, (k < j) != (l < j))
				}
			}
		}
		for range 4 {
			s.Run(time.Duration(rng.IntN(700)) * time.Millisecond)
			if err := checkViewNumbers(); err != nil {
				return err
			}
		}
	}
	s.Heal()
	for i := range n {
		s.Resume(i)
	}
	if !s.Running(0) && !s.Running(1) { // a new process can join only through a running seed
		s.Restart(0)
	}
	// A member that was removed three times within a minute is readmitted only 30 s after its return.
	for end := s.Now() + 50*time.Second; !s.Converged(); s.Run(200 * time.Millisecond) {
		if s.Now() > end {
			return fmt.Errorf("views did not converge within 50 s after all faults had ended")
		}
		if err := checkViewNumbers(); err != nil {
			return err
		}
	}
	s.Run(8 * time.Second)
	for i := range n {
		if c := s.Node(i).Core.Connectivity(); s.Running(i) && c != membership.Connected && len(s.Node(i).Core.View().Members) > 1 {
			return fmt.Errorf("connectivity of member %d after all faults had ended = %v, want %v", i, c, membership.Connected)
		}
	}
	if !s.Converged() {
		return fmt.Errorf("views diverged again within 8 s after they had converged")
	}
	return nil
}

// Thousands of random schedules mix all faults. After all faults have ended, every view must contain exactly the live members,
// and a view number must never decrease.
func TestClusterConvergesAfterRandomFaults(t *testing.T) {
	for n, count := range map[int]int{5: 2000, 50: 16} {
		if testing.Short() || raceEnabled {
			count = count/40 + 1
		}
		seeds := make(chan uint64)
		var workers sync.WaitGroup
		for range runtime.GOMAXPROCS(0) {
			workers.Go(func() {
				for seed := range seeds {
					if err := playRandomSchedule(n, seed); err != nil {
						t.Errorf("%d members, seed %d: %v", n, seed, err)
					}
				}
			})
		}
		for seed := range uint64(count) {
			if t.Failed() {
				break
			}
			seeds <- seed
		}
		close(seeds)
		workers.Wait()
	}
}

// countWronglyRemoved counts the pairs in which the view of a running, not isolated member lacks a live member whose messages
// the majority receives.
func (s *Sim) countWronglyRemoved() int {
	n, count := len(s.nodes), 0
	for i := range n {
		for j := range n {
			receivers := 0
			for k := range n {
				if k != j && !s.IsCut(j, k) {
					receivers++
				}
			}
			if 2*receivers > n && s.Running(i) && s.nodes[j].up && !s.HasMember(i, j) && !s.nodes[i].Core.Connectivity().Isolated() {
				count++
			}
		}
	}
	return count
}

// Members are suspended for 2 s or starved of CPU, messages are lost, and links are cut in one direction. No live member whose
// messages the majority receives may be removed from any view.
func TestNoLiveMemberIsRemoved(t *testing.T) {
	faults := map[string]func(*Sim, *rand.Rand){
		"loss": func(s *Sim, _ *rand.Rand) { s.Impair(0.2, 50*time.Millisecond, 0.05) },
		"much": func(s *Sim, _ *rand.Rand) { s.Impair(0.3, 100*time.Millisecond, 0.05) },
		"ring": func(s *Sim, _ *rand.Rand) { // each member receives from all except its predecessor
			for i := range s.nodes {
				s.Cut(i, (i+1)%len(s.nodes), true)
			}
		},
		"one-way": func(s *Sim, rng *rand.Rand) {
			for i := range s.nodes {
				for j := range s.nodes {
					s.Cut(i, j, i != j && rng.IntN(4) == 0)
				}
			}
		},
		"pauses":  nil,
		"starved": nil, // a fifth of the members run in only a third of the 50 ms steps
	}
	for faultName, fault := range faults {
		for _, n := range []int{5, 16} {
			for seed := range uint64(3) {
				s, rng := New(testOptions(n, seed)), rand.New(rand.NewPCG(seed, 5))
				s.Run(10 * time.Second)
				if fault != nil {
					fault(s, rng)
				}
				resumeAt := make([]time.Duration, n)
				for s.Now() < 50*time.Second {
					for i := range n {
						if faultName == "starved" {
							if s.Resume(i); i < max(1, n/5) && rng.IntN(3) > 0 {
								s.Suspend(i)
							}
							continue
						}
						if fault == nil && s.Running(i) && rng.IntN(160) == 0 {
							s.Suspend(i)
							resumeAt[i] = s.Now() + 2*time.Second
						} else if !s.Running(i) && s.Now() >= resumeAt[i] {
							s.Resume(i)
						}
					}
					s.Run(50 * time.Millisecond)
					if s.countWronglyRemoved() > 0 {
						t.Fatalf("%s, %d members, seed %d: a live member was removed from a view at %v", faultName, n, seed, s.Now())
					}
				}
			}
		}
	}
}

// Members are suspended for up to 20 s. The others must not remove them before the suspicion timeout and must remove them
// after it. After they resume, the views must converge within 4 s, and the resumed members must not remove each other.
func TestSuspendedMemberIsRemovedAndReturns(t *testing.T) {
	const n = 9
	for _, suspendedCount := range []int{1, 3, n - 1} {
		for _, span := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
			s := New(testOptions(n, uint64(span)))
			s.Run(10 * time.Second)
			for i := range suspendedCount {
				s.Suspend(i)
			}
			s.Run(min(span, 2400*time.Millisecond))
			for i := range suspendedCount {
				if !s.HasMember(n-1, i) {
					t.Fatalf("%d members suspended for %v: member %d was removed within 2.4 s", suspendedCount, span, i)
				}
			}
			s.Run(span - min(span, 2400*time.Millisecond))
			switch {
			case span < 5*time.Second:
			case suspendedCount == n-1: // the remaining member reports itself as isolated instead of detecting the suspensions
				if c := s.Node(n - 1).Core.Connectivity(); c != membership.InboundLost {
					t.Errorf("connectivity of the only running member = %v, want %v", c, membership.InboundLost)
				}
			case s.HasMember(n-1, 0):
				t.Errorf("%d members suspended for %v: member 0 was not removed", suspendedCount, span)
			}
			for i := range suspendedCount {
				s.Resume(i)
				if i > 0 && !s.HasMember(0, i) {
					t.Errorf("%d members suspended for %v: a resumed member removed another", suspendedCount, span)
				}
			}
			s.waitConverged(t, fmt.Sprintf("%d members resumed after %v", suspendedCount, span), 4*time.Second)
		}
	}
}

// All links from the other members to member 0, or all links from member 0 to the others, are cut. Member 0 must detect this
// and report it as its connectivity. In the first case it stays in the views, because the others receive its messages.
func TestIsolatedMemberDetectsOneWayCut(t *testing.T) {
	const n = 7
	for _, inboundCut := range []bool{true, false} {
		s := New(testOptions(n, 4))
		s.Run(10 * time.Second)
		for i := 1; i < n; i++ {
			if inboundCut {
				s.Cut(i, 0, true)
			} else {
				s.Cut(0, i, true)
			}
		}
		s.Run(8 * time.Second)
		want := membership.OutboundLost
		if inboundCut {
			want = membership.InboundLost
		}
		if c := s.Node(0).Core.Connectivity(); c != want {
			t.Errorf("inbound cut %v: connectivity = %v, want %v", inboundCut, c, want)
		}
		for i := 1; i < n; i++ {
			if s.HasMember(i, 0) != inboundCut {
				t.Errorf("inbound cut %v: view of member %d = %v, member 0 must be in it only if its inbound links are cut", inboundCut, i,
					s.Node(i).Core.View().Members)
			}
			for j := 1; j < n; j++ {
				if !s.HasMember(i, j) {
					t.Errorf("inbound cut %v: member %d removed member %d, whose links are not cut", inboundCut, i, j)
				}
			}
		}
		s.Heal()
		s.waitConverged(t, "healed", 3*time.Second)
	}
}

// The traffic per member must not grow with the cluster size: a member sends at most 1000 bytes per second without failures. A
// datagram must fit into a packet, and the failure of 60 % of the members must be detected.
func TestTrafficPerMemberStaysBounded(t *testing.T) {
	for _, n := range []int{5, 16, 64, 300} {
		cost := Costs(testOptions(n, 2))
		t.Logf("%+v", cost)
		if cost.SteadyBytes > 1000 || cost.LargestDatagram > 1200 || cost.DetectedAfter == 0 {
			t.Errorf("costs = %+v, want at most 1000 bytes/s, datagrams of at most 1200 bytes, and the failure detected", cost)
		}
	}
}
