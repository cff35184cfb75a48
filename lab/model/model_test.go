package model

import (
	"math"
	"math/rand/v2"
	"testing"
)

// meanWait simulates a queue with Poisson arrivals and returns the mean time between arrival and start.
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
			t.Fatalf("verdict = %v, want %v", v, Accepted)
		}
	}
	return sum / float64(n)
}

// The mean wait must match the Pollaczek-Khinchine formula: rho/(1-rho) for M/M/1 and half of it for M/D/1, in units of the mean
// work.
func TestMeanWaitMatchesPollaczekKhinchine(t *testing.T) {
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
				t.Errorf("%s at rho = %.1f: mean wait = %.4f, want %.4f", c.name, rho, got, c.want)
			}
		}
	}
}

// A server starts at a fraction of its speed, which must increase linearly to full speed during the slow start.
func TestServerSpeedIncreasesDuringSlowStart(t *testing.T) {
	p := Params{Cores: 1, Speed: 1, InitialSpeed: 0.25, SlowStartDuration: 4000, CollapseMultiple: 3, CollapseWindow: 1000}
	s := NewServer(p, NewPod(0, 0), 1000)
	for at, want := range map[float64]float64{1000: 0.25, 3000: 0.625, 5000: 1, 9000: 1} {
		if got := s.SlowStartFactor(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("slow start factor at %v ms = %v, want %v", at, got, want)
		}
	}
	s.Arrive(1000, Request{Work: 10})
	if d := s.Advance(1040); len(d) != 1 || d[0].At != 1040 {
		t.Errorf("10 ms of work at a quarter of the speed: completions = %+v, want one at 1040 ms", d)
	}
}

// During its slow start a server must not crash while the arriving work stays below CollapseMultiple times its capacity, and
// must crash soon after CollapseWindow if the work exceeds that.
func TestServerCollapsesOnlyUnderOverloadDuringSlowStart(t *testing.T) {
	for _, c := range []struct {
		times     float64
		collapses bool
	}{{2.7, false}, {3.6, true}} {
		p := Params{Cores: 1, Speed: 1, InitialSpeed: 0.25, SlowStartDuration: 4000, CollapseMultiple: 3, CollapseWindow: 1000}
		s := NewServer(p, NewPod(0, 0), 0)
		collapsedAt := math.NaN()
		for now := 0.0; now < 3900; now += 10 {
			s.Advance(now)
			if s.Arrive(now, Request{Work: 10 * c.times * s.SlowStartFactor(now)}) == NotRunning {
				collapsedAt = now
				break
			}
		}
		if s.Collapsed() != c.collapses {
			t.Errorf("offered %v times its capacity: collapsed = %v at %v ms, want collapsed = %v", c.times, s.Collapsed(), collapsedAt, c.collapses)
		}
		if c.collapses && (collapsedAt < 1000 || collapsedAt > 1200) {
			t.Errorf("collapsed at %v ms, want between 1000 and 1200 ms", collapsedAt)
		}
	}
}

// A long queue must start slow mode after SlowdownDelay, and an empty queue must end it after SlowdownRecovery.
func TestSlowModeStartsWithLongQueueAndEndsWithEmptyQueue(t *testing.T) {
	p := Params{Cores: 1, Speed: 1, SlowdownQueueDepth: 2, SlowdownDelay: 100, SlowdownFactor: 3, SlowdownRecovery: 50}
	s := NewServer(p, NewPod(0, 0), math.Inf(-1))
	for i := range 6 {
		s.Arrive(0, Request{ID: uint64(i), Work: 60})
	}
	s.Advance(99)
	if s.Slow() {
		t.Error("slow mode started before the queue had been long for 100 ms")
	}
	s.Advance(121) // at 120 ms four requests are queued: the queue has been too long since 0 ms
	if !s.Slow() {
		t.Fatal("slow mode did not start after 120 ms of a long queue")
	}
	if at, _ := s.NextCompletion(); at != 180 && at != 300 {
		t.Errorf("next completion at %v ms, want 180 or 300 ms", at)
	}
	s.Advance(5000) // all requests were completed long before, and the queue has been empty since
	s.Advance(5100)
	if s.Slow() {
		t.Error("slow mode did not end after the queue was empty for 50 ms")
	}
}

// Every server of a pod must drop a request with a remembered key until the window of the key has passed.
func TestPodDropsRepeatedKeyWithinWindow(t *testing.T) {
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
			t.Errorf("verdict at %v ms = %v, want %v", c.at, v, c.want)
		}
	}
}

// Requests beyond the limit of the queue or the pod must be rejected. A suspension must keep the requests in flight, and a crash
// must drop them. A crashed or draining server must accept nothing.
func TestServerLimitsSuspensionAndCrash(t *testing.T) {
	pod := NewPod(3, 0)
	a := NewServer(Params{Cores: 1, Speed: 1, QueueMax: 1}, pod, math.Inf(-1))
	b := NewServer(Params{Cores: 1, Speed: 1}, pod, math.Inf(-1))
	verdicts := []Verdict{a.Arrive(0, Request{Work: 10}), a.Arrive(0, Request{Work: 10}), a.Arrive(0, Request{Work: 10}),
		b.Arrive(0, Request{Work: 10}), b.Arrive(0, Request{Work: 10})}
	for i, want := range []Verdict{Accepted, Accepted, QueueFull, Accepted, PodLimited} {
		if verdicts[i] != want {
			t.Errorf("arrival %d: verdict = %v, want %v", i, verdicts[i], want)
		}
	}
	a.SetSuspended(4, true)
	if d := a.Advance(100); len(d) != 0 {
		t.Errorf("suspended server: completions = %v, want none", d)
	}
	a.SetSuspended(100, false)
	if d := a.Advance(106); len(d) != 1 || d[0].At != 106 {
		t.Errorf("after the suspension: completions = %+v, want one at 106 ms", d)
	}
	if n := a.Crash(); n != 1 {
		t.Errorf("requests dropped by the crash = %d, want 1", n)
	}
	if a.Arrive(200, Request{}) != NotRunning {
		t.Error("crashed server: verdict of a request is not NotRunning")
	}
	b.SetDraining(true)
	if b.Arrive(200, Request{}) != Draining {
		t.Error("draining server: verdict of a request is not Draining")
	}
	b.Advance(200)
	if pod.inFlight != 0 {
		t.Errorf("requests in flight in the pod = %d, want 0", pod.inFlight)
	}
}
