package overload

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReporters members' rates count. The admission rests on fractions, and those of two dozen nodes are a fleet's.
	maxReporters = 24

	// maxOfMedian is how many times the median of all members one may claim to have been asked. Front ends spread unevenly, so
	// some nodes see several times the mean; a node that claims more is mistaken or lies.
	maxOfMedian = 4
)

// FleetRates are the rates that a decision rests on, in a second, over the members heard from.
type FleetRates struct {
	Members   int // heard from lately
	Requested []float64
	Accepted  []float64
	Shed      float64
	Attempts  float64
	Successes float64
	Limit     float64 // requests that may be admitted; 0: all
	Coverage  float64 // fraction of the reporters that have been heard from
}

// Reporters returns the members whose rates count: all, or maxReporters by the hash of their names, the same at every node.
func Reporters(members []string) []string {
	if len(members) <= maxReporters {
		return members
	}
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return out[:maxReporters]
}

// processRates are what one process counts in a second.
type processRates struct {
	requested, accepted []float64
	allRequested        float64
	shed                float64
	attempts            float64
	successes           float64
}

// rates returns what the process counted a second over the window; ok is false with one sample alone.
func (s *source) rates() (r processRates, ok bool) {
	first, last := s.samples[0], s.latest()
	seconds := (last.at - first.at).Seconds()
	if seconds <= 0 {
		return r, false
	}
	perSecond := func(from, to uint64) float64 { return float64(to-from) / seconds }
	r.shed = perSecond(first.counts.Shed, last.counts.Shed)
	r.attempts = perSecond(first.counts.Attempts, last.counts.Attempts)
	r.successes = perSecond(first.counts.Successes, last.counts.Successes)
	for i := range last.counts.Requested {
		r.requested = append(r.requested, perSecond(first.counts.Requested[i], last.counts.Requested[i]))
		r.accepted = append(r.accepted, perSecond(first.counts.Accepted[i], last.counts.Accepted[i]))
	}
	r.allRequested = sum(r.requested)
	return r, true
}

// measure adds the reporters' rates up, and forgets processes that have been silent for long.
func (c *Controller) measure(now time.Duration) FleetRates {
	classes := len(c.options.Classes)
	out := FleetRates{Requested: make([]float64, classes), Accepted: make([]float64, classes)}
	var all []processRates
	for name, s := range c.sources {
		silentFor := now - s.latest().receivedAt
		if silentFor >= retention {
			delete(c.sources, name)
		}
		if silentFor >= maxAge || !slices.Contains(c.reporters, name) {
			continue
		}
		out.Members++
		if r, ok := s.rates(); ok {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b processRates) int { return cmp.Compare(a.allRequested, b.allRequested) })
	for _, r := range all {
		out.add(r, reporterWeight(r, all))
	}
	out.Coverage = min(1, float64(out.Members)/float64(max(1, len(c.reporters))))
	return out
}

// reporterWeight is the factor by which a process's rates count, given all of them in the order of their requests: 1, or less for one
// that claims more than maxOfMedian times the median.
func reporterWeight(r processRates, sorted []processRates) float64 {
	limit := maxOfMedian * sorted[len(sorted)/2].allRequested
	if len(sorted) > 2 && r.allRequested > limit && limit > 0 {
		return limit / r.allRequested
	}
	return 1
}

// add adds a process's rates times a factor.
func (f *FleetRates) add(r processRates, factor float64) {
	for i := range r.requested {
		f.Requested[i] += r.requested[i] * factor
		f.Accepted[i] += r.accepted[i] * factor
	}
	f.Shed += r.shed * factor
	f.Attempts += r.attempts * factor
	f.Successes += r.successes * factor
}
