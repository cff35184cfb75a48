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
	Expected       time.Duration // by SWIM's formula, see ExpectedDetection
	FalsePositives float64       // live members removed from another's view, for each member in an hour
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
	detection := Detection{Options: o, Kills: kills, Expected: ExpectedDetection(o)}
	took := make([]time.Duration, kills)
	removed := make([]int, kills)
	each(kills, func(i int) {
		own := o
		own.Seed = o.Seed + uint64(i)
		own.Introduced = true
		s := New(own)
		s.Run(5 * time.Second)
		removed[i] = s.falseRemovals(rand.New(rand.NewPCG(own.Seed, 11)))
		took[i] = s.detectKill()
	})
	slices.Sort(took)
	all := 0
	for _, n := range removed {
		all += n
	}
	memberHours := float64(kills) * noFailures.Hours() * float64(o.Members)
	detection.P50 = took[kills/2]
	detection.P99 = took[min(kills-1, kills*99/100)]
	detection.FalsePositives = float64(all) / memberHours
	return detection
}

// noFailures is how long each cluster is observed before its failure.
const noFailures = 60 * time.Second

// falseRemovals counts how often a view loses a live member while members are suspended for up to a second, each about
// twice a minute.
func (s *Sim) falseRemovals(rng *rand.Rand) int {
	n := len(s.nodes)
	removals := 0
	wasOut := make([]bool, n*n)
	until := make([]time.Duration, n)
	for end := s.Now() + noFailures; s.Now() < end; s.Run(50 * time.Millisecond) {
		for j := range n {
			if s.Running(j) && rng.IntN(600) == 0 {
				s.Suspend(j)
				until[j] = s.Now() + time.Duration(rng.Int64N(int64(time.Second)))
			} else if !s.Running(j) && s.Now() >= until[j] {
				s.Resume(j)
			}
			for k := range n {
				isOut := s.Running(k) && !s.HasMember(k, j)
				if isOut && !wasOut[k*n+j] {
					removals++
				}
				wasOut[k*n+j] = isOut
			}
		}
	}
	return removals
}

// detectKill kills a member and returns how long it takes until every view lacks it, a minute at most.
func (s *Sim) detectKill() time.Duration {
	for j := range s.nodes {
		s.Resume(j)
	}
	s.Run(5 * time.Second)
	s.Kill(len(s.nodes) - 1)
	began := s.Now()
	for !s.Converged() && s.Now()-began < time.Minute {
		s.Run(25 * time.Millisecond)
	}
	return s.Now() - began
}

// Cost is what a member sends, and what its core computes on one CPU of this machine.
type Cost struct {
	Members          int
	SteadyBytes      float64       // bytes a second for each member
	MassFailureBytes float64       // the same in the ten seconds after six in ten members fail, for each that is left
	CPU              float64       // share of a CPU for each member without failures, the simulated network included
	DetectedAfter    time.Duration // until all views are right after six in ten failed
	Datagrams        float64       // a second for each member without failures
	Largest          int           // datagram, in bytes
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
