package overload

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReporters limits the number of members whose rates are used. The admission depends only on ratios, and those of two dozen
	// nodes represent a fleet.
	maxReporters = 24

	// maxMedianMultiple limits the request rate that one member may report, as a multiple of the median of all members. Front ends
	// distribute requests unevenly, so some nodes see several times the mean; a node that reports more is faulty or reports false
	// counts.
	maxMedianMultiple = 4
)

// FleetRates are the rates per second on which a decision is based, summed over the reporters heard from.
type FleetRates struct {
	Members   int // number of reporters heard from within maxSummaryAge
	Requested []float64
	Accepted  []float64
	Shed      float64
	Attempts  float64
	Successes float64
	Limit     float64 // admitted requests per second; 0: no limit
	Coverage  float64 // fraction of the reporters that were heard from
}

// Reporters returns the members whose rates are used: all of them, or maxReporters selected by the hash of their names. The result is
// the same at every node.
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

// processRates are the rates of one process, per second.
type processRates struct {
	requested, accepted []float64
	totalRequested      float64
	shed                float64
	attempts            float64
	successes           float64
}

// rates returns the process's rates over the window. ok is false if there is only one sample.
func (s *source) rates() (r processRates, ok bool) {
	oldest, newest := s.samples[0], s.latest()
	seconds := (newest.countedAt - oldest.countedAt).Seconds()
	if seconds <= 0 {
		return r, false
	}
	perSecond := func(from, to uint64) float64 { return float64(to-from) / seconds }
	r.shed = perSecond(oldest.counts.Shed, newest.counts.Shed)
	r.attempts = perSecond(oldest.counts.Attempts, newest.counts.Attempts)
	r.successes = perSecond(oldest.counts.Successes, newest.counts.Successes)
	for i := range newest.counts.Requested {
		r.requested = append(r.requested, perSecond(oldest.counts.Requested[i], newest.counts.Requested[i]))
		r.accepted = append(r.accepted, perSecond(oldest.counts.Accepted[i], newest.counts.Accepted[i]))
	}
	r.totalRequested = sum(r.requested)
	return r, true
}

// measureFleetRates sums the rates of the reporters, and removes sources that have been silent for sourceRetention.
func (c *Controller) measureFleetRates(now time.Duration) FleetRates {
	classes := len(c.options.Classes)
	out := FleetRates{Requested: make([]float64, classes), Accepted: make([]float64, classes)}
	var all []processRates
	for name, s := range c.sources {
		silentFor := now - s.latest().localCountedAt
		if silentFor >= sourceRetention {
			delete(c.sources, name)
		}
		if silentFor >= maxSummaryAge || !slices.Contains(c.reporters, name) {
			continue
		}
		out.Members++
		if r, ok := s.rates(); ok {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b processRates) int { return cmp.Compare(a.totalRequested, b.totalRequested) })
	for _, r := range all {
		out.add(r, reporterWeight(r, all))
	}
	out.Coverage = min(1, float64(out.Members)/float64(max(1, len(c.reporters))))
	return out
}

// reporterWeight returns the factor for a process's rates, given the rates of all processes in ascending order of requests. It is 1, or
// less for a process that reports more than maxMedianMultiple times the median.
func reporterWeight(r processRates, sorted []processRates) float64 {
	limit := maxMedianMultiple * sorted[len(sorted)/2].totalRequested
	if len(sorted) > 2 && r.totalRequested > limit && limit > 0 {
		return limit / r.totalRequested
	}
	return 1
}

// add adds the rates of a process, multiplied by a factor.
func (f *FleetRates) add(r processRates, factor float64) {
	for i := range r.requested {
		f.Requested[i] += r.requested[i] * factor
		f.Accepted[i] += r.accepted[i] * factor
	}
	f.Shed += r.shed * factor
	f.Attempts += r.attempts * factor
	f.Successes += r.successes * factor
}
