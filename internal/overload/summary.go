package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// window is the time over which rates are taken: long enough for a few hundred requests, short enough to follow servers that
	// come back within seconds.
	window = 1200 * time.Millisecond

	// maxAge is the age from which on a summary no longer counts.
	maxAge = 3 * time.Second

	// retention is how long a process's summaries are kept after its last one.
	retention = 20 * maxAge
)

// Counts are what one process has counted since its start.
type Counts struct {
	Shed      uint64   // requests rejected by the admission
	Attempts  uint64   // attempts that have ended
	Successes uint64   // of these, the ones that were served
	Requested []uint64 // requests that have ended, by class
	Accepted  []uint64 // of these, the ones that were not rejected; failed ones took the servers' time too
}

// Summary is a process's counts at a moment. A later one of the same process replaces an earlier, so that loss, duplicates and
// reordering count nothing twice. A process that restarts begins from nothing.
type Summary struct {
	Name       string
	Generation uint64        // of the process
	At         time.Duration // when it was counted, by the process's own clock
	Age        time.Duration // since then, on the way
	Counts
}

// sample is a summary as it was received.
type sample struct {
	at         time.Duration // by the process's own clock
	receivedAt time.Duration // by this process's clock, the age subtracted
	counts     Counts
}

// source is one process that reports.
type source struct {
	generation uint64
	samples    []sample // of the window, the latest last
	sent       int      // times that the latest was passed on
}

func (s *source) latest() sample { return s.samples[len(s.samples)-1] }

// accepts reports whether counts are later ones of the same process. Others are ignored until they make sense again.
func (s *source) accepts(m Summary) bool {
	if len(s.samples) == 0 {
		return true
	}
	return m.At > s.latest().at && s.latest().counts.mayBecome(m.Counts)
}

// add adds a sample, and drops those that the window does not need.
func (s *source) add(next sample) {
	s.samples = append(s.samples, next)
	s.sent = 0
	for len(s.samples) > 2 && next.at-s.samples[1].at >= window {
		s.samples = s.samples[1:]
	}
}

// mayBecome reports whether later counts can be those of the same process: none has fallen, and no more requests were accepted than
// came.
func (c Counts) mayBecome(later Counts) bool {
	for i := range c.Requested {
		fallen := later.Requested[i] < c.Requested[i] || later.Accepted[i] < c.Accepted[i]
		if fallen || later.Accepted[i] > later.Requested[i] {
			return false
		}
	}
	return later.Shed >= c.Shed && later.Attempts >= c.Attempts && later.Successes >= c.Successes
}

// Observe takes this process's own counts, at a moment since its start.
func (c *Controller) Observe(now, at time.Duration, counts Counts) {
	c.Merge(now, Summary{Name: c.options.Name, Generation: c.options.Generation, At: at, Counts: counts})
}

// Merge takes a summary, and reports whether it was new. Summaries may come in any order and any number of times.
func (c *Controller) Merge(now time.Duration, m Summary) bool {
	sameClasses := len(m.Requested) == len(c.options.Classes) && len(m.Accepted) == len(c.options.Classes)
	if !sameClasses || m.Age > maxAge {
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
	s.add(sample{at: m.At, receivedAt: now - m.Age, counts: m.Counts})
	return true
}

// NextSummaries returns up to n summaries to pass on: this process's own, and those of others that have been passed on least.
func (c *Controller) NextSummaries(now time.Duration, n int) []Summary {
	names := make([]string, 0, len(c.sources))
	for name, s := range c.sources {
		if now-s.latest().receivedAt < maxAge && slices.Contains(c.reporters, name) {
			names = append(names, name)
		}
	}
	isOther := func(name string) int {
		if name == c.options.Name {
			return 0
		}
		return 1
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(isOther(a)-isOther(b), c.sources[a].sent-c.sources[b].sent, cmp.Compare(a, b))
	})
	var out []Summary
	for _, name := range names[:min(n, len(names))] {
		s := c.sources[name]
		s.sent++
		latest := s.latest()
		out = append(out, Summary{Name: name, Generation: s.generation, At: latest.at, Age: now - latest.receivedAt, Counts: latest.counts})
	}
	return out
}
