package membersim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Detection is how long failures take to be detected, and how often a live member is removed, at one setting.
type Detection struct {
	Options
	Kills          int
	P50, P99       time.Duration // from a kill until it is out of every other view
	Expected       time.Duration // by SWIM's formula, see Foretell
	FalsePositives float64       // live members taken out of somebody's view, for each member in an hour
}

// ExpectedDetection is the mean time by SWIM's analysis (Das and others, 2002, section 3): each member is probed by
// some other in a period with a chance of 1-1/e, so the first probe of a failed one comes after e/(e-1) periods; then
// the probe's timeout, the suspicion with all confirmations, and a period until the view is made.
func ExpectedDetection(o Options) time.Duration {
	first := float64(o.Period) * math.E / (math.E - 1)
	return time.Duration(first) + o.Timeout + o.Suspicion + o.Period
}

// Detect plays clusters in which one member is killed, each after a minute without failures in which members are
// suspended for up to a second, on all cores. The same options give the same figures.
func Detect(o Options, kills int) Detection {
	out := Detection{Options: o, Kills: kills, Expected: ExpectedDetection(o)}
	took := make([]time.Duration, kills)
	var mu sync.Mutex
	lost, hours := 0, 0.0
	each(kills, func(i int) {
		q := o
		q.Seed, q.Introduced = o.Seed+uint64(i), true
		s, rng := New(q), rand.New(rand.NewPCG(q.Seed, 11))
		s.Run(5 * time.Second)
		gone, was := 0, make([]bool, q.Members*q.Members)
		until := make([]time.Duration, q.Members)
		const calm = 60 * time.Second
		for end := s.Now() + calm; s.Now() < end; s.Run(50 * time.Millisecond) {
			for j := range q.Members {
				if s.Running(j) && rng.IntN(600) == 0 { // each is suspended twice a minute
					s.Suspend(j)
					until[j] = s.Now() + time.Duration(rng.Int64N(int64(time.Second)))
				} else if !s.Running(j) && s.Now() >= until[j] {
					s.Resume(j)
				}
				for k := range q.Members {
					out := s.Running(k) && !s.HasMember(k, j)
					if out && !was[k*q.Members+j] {
						gone++
					}
					was[k*q.Members+j] = out
				}
			}
		}
		for j := range q.Members {
			s.Resume(j)
		}
		s.Run(5 * time.Second)
		s.Kill(q.Members - 1)
		began := s.Now()
		for !s.Converged() && s.Now()-began < time.Minute {
			s.Run(25 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		took[i] = s.Now() - began
		lost += gone
		hours += calm.Hours() * float64(q.Members)
	})
	slices.Sort(took)
	out.P50, out.P99, out.FalsePositives = took[kills/2], took[min(kills-1, kills*99/100)], float64(lost)/hours
	return out
}

// Cost is what a member sends, and what its core computes on one CPU of this machine.
type Cost struct {
	Members          int
	SteadyBytes      float64 // bytes a second for each member
	MassFailureBytes float64 // the same in the ten seconds after six in ten are lost, for each that is left
	CPU              float64 // share of a core for each member while calm, the simulated network included
	DetectedAfter    time.Duration
	Datagrams        float64 // a second for each member while calm
	Largest          int     // datagram, in bytes
}

// Costs measures one size of cluster.
func Costs(o Options) Cost {
	o.Introduced = true
	s := New(o)
	s.Run(15 * time.Second)
	s.ResetTraffic()
	const calm = 10 * time.Second
	began := time.Now()
	s.Run(calm)
	n := float64(o.Members)
	c := Cost{Members: o.Members, SteadyBytes: float64(s.Bytes) / calm.Seconds() / n, Datagrams: float64(s.Sent) / calm.Seconds() / n,
		CPU: time.Since(began).Seconds() / calm.Seconds() / n}
	killed := o.Members * 6 / 10
	for i := range killed {
		s.Kill(o.Members - 1 - i)
	}
	s.ResetTraffic()
	at := s.Now()
	for s.Now()-at < 10*time.Second {
		s.Run(50 * time.Millisecond)
		if c.DetectedAfter == 0 && s.Converged() {
			c.DetectedAfter = s.Now() - at
		}
	}
	c.Largest = s.Largest
	c.MassFailureBytes = float64(s.Bytes) / 10 / (n - float64(killed))
	return c
}

// each does something n times on all CPUs.
func each(n int, do func(int)) {
	work := make(chan int)
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := range work {
				do(i)
			}
		})
	}
	for i := range n {
		work <- i
	}
	close(work)
	all.Wait()
}

// String is one line of a table.
func (d Detection) String() string {
	return fmt.Sprintf("| %d | %v | %v | %.0f%%, %v | %.2f s | %.2f s | %.2f s | %.2f |", d.Members, d.Period, d.Suspicion, d.Loss*100, d.Jitter,
		d.P50.Seconds(), d.P99.Seconds(), d.Expected.Seconds(), d.FalsePositives)
}
