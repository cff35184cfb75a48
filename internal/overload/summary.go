package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which rates are measured: long enough for a few hundred requests, and short enough to follow
	// servers that recover within seconds.
	rateWindow = 1200 * time.Millisecond

	// maxSummaryAge is the age from which on a summary is not used any more.
	maxSummaryAge = 3 * time.Second

	// sourceRetention is how long a source is kept after its latest summary.
	sourceRetention = 20 * maxSummaryAge
)

// Counts are the counters of one process since its start.
type Counts struct {
	Shed      uint64   // requests rejected by the admission
	Attempts  uint64   // attempts that have ended
	Successes uint64   // ended attempts that were served
	Requested []uint64 // requests that have ended, by class
	Accepted  []uint64 // ended requests that were not rejected, by class; includes failed ones, which used server time too
}

// Summary is a snapshot of a process's counts. Counts are cumulative and a later summary replaces an earlier one of the same process,
// so lost, repeated or reordered summaries do not count anything twice. A restarted process starts from zero.
type Summary struct {
	Name       string
	Generation uint64        // generation of the process
	CountedAt  time.Duration // time of the snapshot, by the process's own clock
	Age        time.Duration // time since the snapshot, including time in transit
	Counts
}

// sample is a received summary.
type sample struct {
	countedAt      time.Duration // time of the snapshot by the clock of the reporting process
	localCountedAt time.Duration // the same time by this process's clock: the time of receipt minus the summary's age
	counts         Counts
}

// source holds the samples of one reporting process.
type source struct {
	generation uint64
	samples    []sample // samples within rateWindow, oldest first
	timesSent  int      // how often the latest sample has been passed on
}

func (s *source) latest() sample { return s.samples[len(s.samples)-1] }

// accepts reports whether a summary is later than the latest sample and consistent with it. Inconsistent ones are ignored until
// they are consistent again.
func (s *source) accepts(m Summary) bool {
	if len(s.samples) == 0 {
		return true
	}
	return m.CountedAt > s.latest().countedAt && s.latest().counts.canPrecede(m.Counts)
}

// add appends a sample and drops samples that are no longer needed to cover rateWindow.
func (s *source) add(next sample) {
	s.samples = append(s.samples, next)
	s.timesSent = 0
	for len(s.samples) > 2 && next.countedAt-s.samples[1].countedAt >= rateWindow {
		s.samples = s.samples[1:]
	}
}

// canPrecede reports whether later can be a later snapshot of the same process: no counter has decreased, and no class has more
// accepted than ended requests.
func (c Counts) canPrecede(later Counts) bool {
	for i := range c.Requested {
		decreased := later.Requested[i] < c.Requested[i] || later.Accepted[i] < c.Accepted[i]
		if decreased || later.Accepted[i] > later.Requested[i] {
			return false
		}
	}
	return later.Shed >= c.Shed && later.Attempts >= c.Attempts && later.Successes >= c.Successes
}

// Observe records this process's own counts. countedAt is the time of the snapshot since the start of the process.
func (c *Controller) Observe(now, countedAt time.Duration, counts Counts) {
	c.Merge(now, Summary{Name: c.options.Name, Generation: c.options.Generation, CountedAt: countedAt, Counts: counts})
}

// Merge records a summary and reports whether it was new. Summaries may arrive in any order and more than once.
func (c *Controller) Merge(now time.Duration, m Summary) bool {
	sameClasses := len(m.Requested) == len(c.options.Classes) && len(m.Accepted) == len(c.options.Classes)
	if !sameClasses || m.Age > maxSummaryAge {
		return false
	}
	s := c.sources[m.Name]
	if s == nil || m.Generation > s.generation {
		s = &source{generation: m.Generation}
		c.sources[m.Name] = s
	}
	if m.Generation < s.generation || !s.accepts(m) {
		return false
	}
	s.add(sample{countedAt: m.CountedAt, localCountedAt: now - m.Age, counts: m.Counts})
	return true
}

// NextSummaries returns up to n summaries to pass on: first this process's own, then those that have been passed on least often.
func (c *Controller) NextSummaries(now time.Duration, n int) []Summary {
	names := make([]string, 0, len(c.sources))
	for name, s := range c.sources {
		if now-s.latest().localCountedAt < maxSummaryAge && slices.Contains(c.reporters, name) {
			names = append(names, name)
		}
	}
	ownFirst := func(name string) int {
		if name == c.options.Name {
			return 0
		}
		return 1
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(ownFirst(a)-ownFirst(b), c.sources[a].timesSent-c.sources[b].timesSent, cmp.Compare(a, b))
	})
	var out []Summary
	for _, name := range names[:min(n, len(names))] {
		s := c.sources[name]
		s.timesSent++
		latest := s.latest()
		out = append(out, Summary{Name: name, Generation: s.generation, CountedAt: latest.countedAt, Age: now - latest.localCountedAt, Counts: latest.counts})
	}
	return out
}
