package model

import (
	"math"
	"math/rand/v2"
	"testing"
)

// meanWait plays a queue with Poisson arrivals and gives the mean wait before the work begins.
func meanWait(t *testing.T, rho float64, work func(*rand.Rand) float64) float64 {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 11))
	s := NewServer(Params{Cores: 1, Speed: 1}, NewPod(0, 0), math.Inf(-1))
	now, sum, n := 0.0, 0.0, 0
	for i := range 1_000_000 {
		now += rng.ExpFloat64() / rho
		for _, d := range s.Advance(now) {
			sum += d.Started - d.Arrived
			n++
		}
		if v := s.Arrive(now, Request{ID: uint64(i), Work: work(rng)}); v != Accepted {
			t.Fatalf("verdict %v", v)
		}
	}
	return sum / float64(n)
}

// The Pollaczek-Khinchine formula gives the mean wait of M/M/1 as rho/(1-rho) and of M/D/1 as half of it, in units of
// the mean work.
func TestMeanWaitsMatchTheory(t *testing.T) {
	for _, rho := range []float64{0.3, 0.7} {
		mm1 := rho / (1 - rho)
		for _, c := range []struct {
			name string
			want float64
			work func(*rand.Rand) float64
		}{
			{"M/M/1", mm1, func(r *rand.Rand) float64 { return r.ExpFloat64() }},
			{"M/D/1", mm1 / 2, func(*rand.Rand) float64 { return 1 }},
		} {
			got := meanWait(t, rho, c.work)
			if math.Abs(got-c.want)/c.want > 0.03 {
				t.Errorf("%s at %.1f: mean wait %.4f, theory says %.4f", c.name, rho, got, c.want)
			}
		}
	}
}

// A cold server starts at a part of its speed and warms up linearly.
func TestColdServer(t *testing.T) {
	p := Params{Cores: 1, Speed: 1, ColdSpeed: 0.25, ColdFor: 4000, CollapseMultiple: 3, CollapseWindow: 1000}
	s := NewServer(p, NewPod(0, 0), 1000)
	for at, want := range map[float64]float64{1000: 0.25, 3000: 0.625, 5000: 1, 9000: 1} {
		if got := s.WarmupFactor(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("warmth at %v is %v, want %v", at, got, want)
		}
	}
	s.Arrive(1000, Request{Work: 10})
	if d := s.Advance(1040); len(d) != 1 || d[0].At != 1040 {
		t.Errorf("ten units at a quarter of the speed: %+v, want done at 1040", d)
	}
}

// A cold server bears just under the multiple of its capacity for ever, and collapses within the stated time above it.
func TestColdServerCollapsesOnlyUnderOverload(t *testing.T) {
	for _, c := range []struct {
		times float64
		falls bool
	}{{2.7, false}, {3.6, true}} {
		p := Params{Cores: 1, Speed: 1, ColdSpeed: 0.25, ColdFor: 4000, CollapseMultiple: 3, CollapseWindow: 1000}
		s := NewServer(p, NewPod(0, 0), 0)
		fell := math.NaN()
		for now := 0.0; now < 3900; now += 10 {
			s.Advance(now)
			if s.Arrive(now, Request{Work: 10 * c.times * s.WarmupFactor(now)}) == NotRunning {
				fell = now
				break
			}
		}
		if s.Collapsed() != c.falls {
			t.Errorf("offered %v times its capacity: fell %v at %v", c.times, s.Collapsed(), fell)
		}
		if c.falls && (fell < 1000 || fell > 1200) {
			t.Errorf("fell at %v, want soon after the stated second", fell)
		}
	}
}

// A long crowd makes a server slow, and a long rest ends that.
func TestSlowModeAfterCrowd(t *testing.T) {
	p := Params{Cores: 1, Speed: 1, CrowdDepth: 2, CrowdFor: 100, SlowFactor: 3, RestFor: 50}
	s := NewServer(p, NewPod(0, 0), math.Inf(-1))
	for i := range 6 {
		s.Arrive(0, Request{ID: uint64(i), Work: 60})
	}
	s.Advance(99)
	if s.Slow() {
		t.Error("slow before the crowd had stood its time")
	}
	s.Advance(121) // at 120 four still wait: the crowd has stood since 0
	if !s.Slow() {
		t.Fatal("not slow after the crowd")
	}
	if at, _ := s.NextCompletion(); at != 180 && at != 300 {
		t.Errorf("next end at %v", at)
	}
	s.Advance(5000) // all done long ago, nothing waited since
	s.Advance(5100)
	if s.Slow() {
		t.Error("still slow after its rest")
	}
}

// A pod drops a duplicate key at each of its servers until its window is over.
func TestPodDropsDuplicatesWithinWindow(t *testing.T) {
	pod := NewPod(0, 500)
	a := NewServer(Params{Cores: 1, Speed: 1}, pod, math.Inf(-1))
	b := NewServer(Params{Cores: 1, Speed: 1}, pod, math.Inf(-1))
	other := NewServer(Params{Cores: 1, Speed: 1}, NewPod(0, 500), math.Inf(-1))
	for _, c := range []struct {
		at   Millis
		s    *Server
		want Verdict
	}{{0, a, Accepted}, {400, b, Duplicate}, {450, other, Accepted}, {600, b, Accepted}, {650, a, Duplicate}} {
		c.s.Advance(c.at)
		if v := c.s.Arrive(c.at, Request{Work: 1, Key: "k"}); v != c.want {
			t.Errorf("at %v: %v, want %v", c.at, v, c.want)
		}
	}
}

// The queue and the pod have limits; a suspension keeps what is in flight, and a crash loses it. A crashed or draining server
// accepts nothing.
func TestLimitsSuspensionAndCrash(t *testing.T) {
	pod := NewPod(3, 0)
	a := NewServer(Params{Cores: 1, Speed: 1, QueueMax: 1}, pod, math.Inf(-1))
	b := NewServer(Params{Cores: 1, Speed: 1}, pod, math.Inf(-1))
	verdicts := []Verdict{a.Arrive(0, Request{Work: 10}), a.Arrive(0, Request{Work: 10}), a.Arrive(0, Request{Work: 10}),
		b.Arrive(0, Request{Work: 10}), b.Arrive(0, Request{Work: 10})}
	for i, want := range []Verdict{Accepted, Accepted, QueueFull, Accepted, PodLimited} {
		if verdicts[i] != want {
			t.Errorf("arrival %d: %v, want %v", i, verdicts[i], want)
		}
	}
	a.SetSuspended(4, true)
	if d := a.Advance(100); len(d) != 0 {
		t.Errorf("a suspended server completed %v", d)
	}
	a.SetSuspended(100, false)
	if d := a.Advance(106); len(d) != 1 || d[0].At != 106 {
		t.Errorf("after the suspension: %+v, want one done at 106", d)
	}
	if n := a.Crash(); n != 1 {
		t.Errorf("the crash lost %d, want 1", n)
	}
	if a.Arrive(200, Request{}) != NotRunning {
		t.Error("a crashed server accepted a request")
	}
	b.SetDraining(true)
	if b.Arrive(200, Request{}) != Draining {
		t.Error("a draining server accepted a request")
	}
	b.Advance(200)
	if pod.inFlight != 0 {
		t.Errorf("the pod still counts %d in flight", pod.inFlight)
	}
}
