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

// schedule plays one random mixture of all faults, heals everything, and tells what did not hold.
func schedule(n int, seed uint64) error {
	s := New(options(n, seed))
	rng := rand.New(rand.NewPCG(seed, 3))
	s.Run(5 * time.Second)
	if rng.IntN(2) == 0 {
		s.Impair(rng.Float64()*0.3, time.Duration(rng.IntN(100))*time.Millisecond+1, 0.1)
	}
	numbers, cores := make([]uint64, n), make([]*membership.Core, n)
	backward := func() error {
		for i := range n {
			c, v := s.Node(i).Core, s.Node(i).Core.View().Number
			if c == cores[i] && v < numbers[i] {
				return fmt.Errorf("member %d's view went from %d back to %d", i, numbers[i], v)
			}
			cores[i], numbers[i] = c, v
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
		case 7: // one-sided, a fifth of all
			for k := range n {
				for l := range n {
					s.Cut(k, l, k != l && rng.IntN(5) == 0)
				}
			}
		case 8: // two parts
			for k := range n {
				for l := range n {
					s.Cut(k, l, (k < j) != (l < j))
				}
			}
		}
		for range 4 {
			s.Run(time.Duration(rng.IntN(700)) * time.Millisecond)
			if err := backward(); err != nil {
				return err
			}
		}
	}
	s.Heal()
	for i := range n {
		s.Resume(i)
	}
	if !s.Running(0) && !s.Running(1) { // without a seed a new process has no way in
		s.Restart(0)
	}
	// Those that were lost three times within a minute stay out for 30 s after their return.
	for end := s.Now() + 50*time.Second; !s.Converged(); s.Run(200 * time.Millisecond) {
		if s.Now() > end {
			return fmt.Errorf("no agreement 50 s after all was healed")
		}
		if err := backward(); err != nil {
			return err
		}
	}
	s.Run(8 * time.Second)
	for i := range n {
		if c := s.Node(i).Core.Connectivity(); s.Running(i) && c != membership.Connected && len(s.Node(i).Core.View().Members) > 1 {
			return fmt.Errorf("member %d holds itself for %v once all is whole", i, c)
		}
	}
	if !s.Converged() {
		return fmt.Errorf("agreement did not last")
	}
	return nil
}

// Thousands of schedules mix all faults. Once the links are whole there must be no lasting disagreement, every live
// member must be in, and a view's number may never go back.
func TestRandomFaultSchedules(t *testing.T) {
	for n, count := range map[int]int{5: 2000, 50: 16} {
		if testing.Short() || raceEnabled {
			count = count/40 + 1
		}
		seeds := make(chan uint64)
		var all sync.WaitGroup
		for range runtime.GOMAXPROCS(0) {
			all.Go(func() {
				for seed := range seeds {
					if err := schedule(n, seed); err != nil {
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
		all.Wait()
	}
}

// lost counts the samples in which some whole member's view lacked a live one that most can hear.
func (s *Sim) lost() int {
	n, out := len(s.nodes), 0
	for i := range n {
		for j := range n {
			hears := 0
			for k := range n {
				if k != j && !s.IsCut(j, k) {
					hears++
				}
			}
			if 2*hears > n && s.Running(i) && s.nodes[j].up && !s.HasMember(i, j) && !s.nodes[i].Core.Connectivity().Isolated() {
				out++
			}
		}
	}
	return out
}

// Members are suspended for 2 s, messages are lost, and links are cut one way. No live member that most can hear may be
// removed from any view.
func TestNoLiveMemberIsRemoved(t *testing.T) {
	faults := map[string]func(*Sim, *rand.Rand){
		"loss": func(s *Sim, _ *rand.Rand) { s.Impair(0.2, 50*time.Millisecond, 0.05) },
		"much": func(s *Sim, _ *rand.Rand) { s.Impair(0.3, 100*time.Millisecond, 0.05) },
		"ring": func(s *Sim, _ *rand.Rand) { // each hears all but the one before it
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
		"starved": nil, // a fifth of the members run for a tenth of a second now and then
	}
	for what, fault := range faults {
		for _, n := range []int{5, 16} {
			for seed := range uint64(3) {
				s, rng := New(options(n, seed)), rand.New(rand.NewPCG(seed, 5))
				s.Run(10 * time.Second)
				if fault != nil {
					fault(s, rng)
				}
				until := make([]time.Duration, n)
				for s.Now() < 50*time.Second {
					for i := range n {
						if what == "starved" {
							if s.Resume(i); i < max(1, n/5) && rng.IntN(3) > 0 {
								s.Suspend(i)
							}
							continue
						}
						if fault == nil && s.Running(i) && rng.IntN(160) == 0 {
							s.Suspend(i)
							until[i] = s.Now() + 2*time.Second
						} else if !s.Running(i) && s.Now() >= until[i] {
							s.Resume(i)
						}
					}
					s.Run(50 * time.Millisecond)
					if s.lost() > 0 {
						t.Fatalf("%s, %d members, seed %d: at %v somebody alive was taken out", what, n, seed, s.Now())
					}
				}
			}
		}
	}
}

// A member is suspended for longer than the suspicion timeout. All must remove it after that time and not before, and
// it must be back within a second of resuming, without removing anyone itself.
func TestLongSuspension(t *testing.T) {
	const n = 9
	for _, stopped := range []int{1, 3, n - 1} {
		for _, span := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
			s := New(options(n, uint64(span)))
			s.Run(10 * time.Second)
			for i := range stopped {
				s.Suspend(i)
			}
			s.Run(min(span, 2400*time.Millisecond))
			for i := range stopped {
				if !s.HasMember(n-1, i) {
					t.Fatalf("%d stopped for %v: %d is out after 2.4 s", stopped, span, i)
				}
			}
			s.Run(span - min(span, 2400*time.Millisecond))
			switch {
			case span < 5*time.Second:
			case stopped == n-1: // the one that is left cannot tell: it holds itself for cut off
				if c := s.Node(n - 1).Core.Connectivity(); c != membership.InboundLost {
					t.Errorf("the only one that goes on holds itself for %v", c)
				}
			case s.HasMember(n-1, 0):
				t.Errorf("%d stopped for %v: still in the view", stopped, span)
			}
			for i := range stopped {
				s.Resume(i)
				if i > 0 && !s.HasMember(0, i) {
					t.Errorf("%d stopped for %v: one woken took another out", stopped, span)
				}
			}
			s.agree(t, fmt.Sprintf("%d woken after %v", stopped, span), 4*time.Second)
		}
	}
}

// One member hears nobody, and another is heard by nobody. Each must find that out and report it; the first stays in
// the views, since all hear it.
func TestOneWayIsolation(t *testing.T) {
	const n = 7
	for _, deaf := range []bool{true, false} {
		s := New(options(n, 4))
		s.Run(10 * time.Second)
		for i := 1; i < n; i++ {
			if deaf {
				s.Cut(i, 0, true)
			} else {
				s.Cut(0, i, true)
			}
		}
		s.Run(8 * time.Second)
		want := membership.OutboundLost
		if deaf {
			want = membership.InboundLost
		}
		if c := s.Node(0).Core.Connectivity(); c != want {
			t.Errorf("deaf %v: it holds itself for %v", deaf, c)
		}
		for i := 1; i < n; i++ {
			if s.HasMember(i, 0) != deaf {
				t.Errorf("deaf %v: member %d holds %v", deaf, i, s.Node(i).Core.View().Members)
			}
			for j := 1; j < n; j++ {
				if !s.HasMember(i, j) {
					t.Errorf("deaf %v: member %d lost %d, which is whole", deaf, i, j)
				}
			}
		}
		s.Heal()
		s.agree(t, "healed", 3*time.Second)
	}
}

// Traffic for each member does not grow with their number, and a datagram fits into a packet.
func TestCosts(t *testing.T) {
	for _, n := range []int{5, 16, 64, 300} {
		c := Costs(options(n, 2))
		t.Logf("%+v", c)
		if c.SteadyBytes > 1000 || c.Largest > 1200 || c.DetectedAfter == 0 {
			t.Errorf("%+v", c)
		}
	}
}
