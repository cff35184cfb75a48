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

// Detection holds the detection times and the rate of false positives for one set of options.
type Detection struct {
	Options
	Kills          int           // number of simulated clusters, in each of which one member is killed
	P50, P99       time.Duration // from the kill until no view contains the member
	Expected       time.Duration // mean by SWIM's formula, see ExpectedDetection
	FalsePositives float64       // live members removed from a view, per member and hour
}

// ExpectedDetection returns the mean detection time by SWIM's analysis (Das and others, 2002, section 3). In each period a
// member is probed by at least one other with probability 1-1/e, so the first probe of a failed member is expected after
// e/(e-1) periods. The probe timeout, the suspicion timeout with all confirmations, and one period until the view changes
// are added.
func ExpectedDetection(o Options) time.Duration {
	firstProbe := float64(o.Period) * math.E / (math.E - 1)
	return time.Duration(firstProbe) + o.Timeout + o.Suspicion + o.Period
}

// Detect simulates clusters in parallel on all CPUs. In each it suspends members for up to a second during one minute, to
// count false positives, and then kills one member, to measure the detection time. The same options give the same figures.
func Detect(o Options, kills int) Detection {
	detection := Detection{Options: o, Kills: kills, Expected: ExpectedDetection(o)}
	detectionTimes := make([]time.Duration, kills)
	removed := make([]int, kills)
	forEachParallel(kills, func(i int) {
		clusterOptions := o
		clusterOptions.Seed = o.Seed + uint64(i)
		clusterOptions.AllJoined = true
		s := New(clusterOptions)
		s.Run(5 * time.Second)
		removed[i] = s.countFalseRemovals(rand.New(rand.NewPCG(clusterOptions.Seed, 11)))
		detectionTimes[i] = s.detectKill()
	})
	slices.Sort(detectionTimes)
	totalRemoved := 0
	for _, n := range removed {
		totalRemoved += n
	}
	memberHours := float64(kills) * observationTime.Hours() * float64(o.Members)
	detection.P50 = detectionTimes[kills/2]
	detection.P99 = detectionTimes[min(kills-1, kills*99/100)]
	detection.FalsePositives = float64(totalRemoved) / memberHours
	return detection
}

// observationTime is how long false positives are counted in each cluster before a member is killed.
const observationTime = 60 * time.Second

// countFalseRemovals counts how often a live member is removed from a view while members are suspended for up to a second,
// each about twice a minute.
func (s *Sim) countFalseRemovals(rng *rand.Rand) int {
	n := len(s.nodes)
	removals := 0
	wasMissing := make([]bool, n*n)
	resumeAt := make([]time.Duration, n)
	for end := s.Now() + observationTime; s.Now() < end; s.Run(50 * time.Millisecond) {
		for j := range n {
			if s.Running(j) && rng.IntN(600) == 0 {
				s.Suspend(j)
				resumeAt[j] = s.Now() + time.Duration(rng.Int64N(int64(time.Second)))
			} else if !s.Running(j) && s.Now() >= resumeAt[j] {
				s.Resume(j)
			}
			for k := range n {
				isMissing := s.Running(k) && !s.HasMember(k, j)
				if isMissing && !wasMissing[k*n+j] {
					removals++
				}
				wasMissing[k*n+j] = isMissing
			}
		}
	}
	return removals
}

// detectKill kills a member and returns the time until no view contains it, or one minute if that takes longer.
func (s *Sim) detectKill() time.Duration {
	for j := range s.nodes {
		s.Resume(j)
	}
	s.Run(5 * time.Second)
	s.Kill(len(s.nodes) - 1)
	killedAt := s.Now()
	for !s.Converged() && s.Now()-killedAt < time.Minute {
		s.Run(25 * time.Millisecond)
	}
	return s.Now() - killedAt
}

// Cost is the traffic and CPU usage of a member for one cluster size.
type Cost struct {
	Members          int
	SteadyBytes      float64       // sent per second and member
	MassFailureBytes float64       // sent per second and remaining member, in the 10 s after 60 % of the members failed
	CPU              float64       // fraction of one CPU of this machine per member without failures, including the simulated network
	DetectedAfter    time.Duration // from the failure of 60 % of the members until all views are correct; 0: not within 10 s
	Datagrams        float64       // sent per second and member, without failures
	LargestDatagram  int           // size of the largest datagram, in bytes
}

// Costs measures the costs for one cluster size.
func Costs(o Options) Cost {
	o.AllJoined = true
	s := New(o)
	s.Run(15 * time.Second)
	s.ResetTraffic()
	const steadyTime = 10 * time.Second
	began := time.Now()
	s.Run(steadyTime)
	n := float64(o.Members)
	cost := Cost{Members: o.Members, SteadyBytes: float64(s.SentBytes) / steadyTime.Seconds() / n,
		Datagrams: float64(s.Sent) / steadyTime.Seconds() / n, CPU: time.Since(began).Seconds() / steadyTime.Seconds() / n}
	killed := o.Members * 6 / 10
	for i := range killed {
		s.Kill(o.Members - 1 - i)
	}
	s.ResetTraffic()
	failedAt := s.Now()
	for s.Now()-failedAt < 10*time.Second {
		s.Run(50 * time.Millisecond)
		if cost.DetectedAfter == 0 && s.Converged() {
			cost.DetectedAfter = s.Now() - failedAt
		}
	}
	cost.LargestDatagram = s.LargestDatagram
	cost.MassFailureBytes = float64(s.SentBytes) / 10 / (n - float64(killed))
	return cost
}

// forEachParallel calls do with 0 to n-1, in parallel on all CPUs.
func forEachParallel(n int, do func(int)) {
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range indexes {
				do(i)
			}
		})
	}
	for i := range n {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
}

// String returns the detection times as one row of a Markdown table.
func (d Detection) String() string {
	return fmt.Sprintf("| %d | %v | %v | %.0f%%, %v | %.2f s | %.2f s | %.2f s | %.2f |", d.Members, d.Period, d.Suspicion, d.Loss*100,
		d.Jitter, d.P50.Seconds(), d.P99.Seconds(), d.Expected.Seconds(), d.FalsePositives)
}
