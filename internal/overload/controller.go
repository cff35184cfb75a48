// Package overload has the nodes of a fleet shed the same work when there is more than the servers can do: each reports what it was
// asked for and what was served of it, by class, and each decides the same admission from the same rates.
//
// The package does no I/O: counts, summaries and the time come in, an admission goes out. It does not rely on any view of the
// members being right: a node that hears from few others sheds less, and one that hears from none decides alone as before.
// docs/overload.md says why it is built so.
package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Overload begins when more than overloadRatio of the requests are rejected in overloadDecisions decisions in a row. Below
	// that each node's own order does as well, and shedding would only cost.
	overloadRatio     = 0.08
	overloadDecisions = 2

	// recoveryDecisions in a row must have capacity for everything before the overload ends.
	recoveryDecisions = 8

	// The limit is the accepted rate times a growth factor. Relative to before the overload: if at most lowAccepted of the
	// admitted requests are accepted, the factor is fullGrowth, which keeps a short queue at the servers; from highAccepted on it
	// is spareGrowth, which doubles the limit in about three windows; in between it is interpolated.
	fullGrowth   = 1.04
	spareGrowth  = 1.35
	lowAccepted  = 0.94
	highAccepted = 0.99

	// smoothing is how far the admission follows each decision. The rates of a window have a few per cent of noise, which
	// differs by node, and the marginal class's fraction moves by several times that.
	smoothing = 0.5

	// minAdmitted is the least fraction of all requests that is admitted, so that rates that are badly wrong do not close a
	// fleet, and minClassAdmitted that of each class, so that no class starves.
	minAdmitted      = 0.2
	minClassAdmitted = 0.02

	// As the ratio of failed attempts grows from fewFailures to manyFailures, the retry budget falls from whole to nothing: there
	// each retry only adds to what fails. It comes back by retryRecovery a decision, in three seconds, since servers that have
	// just come back would not stand a storm of retries. From fewer than minAttemptRate attempts a second nothing is concluded.
	fewFailures    = 0.2
	manyFailures   = 0.5
	retryRecovery  = 0.08
	minAttemptRate = 5

	// fullCoverage is the fraction of the reporters that must be heard from for a decision to have its full effect. At half of it
	// a decision has none.
	fullCoverage = 0.75
)

// Class is a class of requests. Each request counts as the same work.
type Class struct {
	Name     string
	Priority float64 // a higher one is admitted first
}

// Options configure one process.
type Options struct {
	Name       string
	Generation uint64 // of this process
	Classes    []Class
}

// Admission is what a node admits.
type Admission struct {
	Active        bool
	Fractions     []float64 // of each class, from 0 to 1
	RetryHoldback float64   // fraction of the retry budget that is withheld
}

// Controller is the state of one process. It is not safe for concurrent use.
type Controller struct {
	options    Options
	sources    map[string]*source
	byPriority []int // indices of the classes, the highest priority first
	reporters  []string

	active                bool
	overloadedFor         int     // decisions in a row with more rejections than overloadRatio
	recoveredFor          int     // decisions in a row with capacity for everything
	admitted              float64 // fraction of all requests; 0: not decided in this overload
	baselineAcceptedRatio float64 // fraction of all requests that was accepted before the overload
	fractions             []float64
	retryHoldback         float64
	rates                 FleetRates
}

// New returns the state of a process that knows of no load.
func New(options Options) *Controller {
	c := &Controller{
		options:               options,
		sources:               map[string]*source{},
		fractions:             make([]float64, len(options.Classes)),
		baselineAcceptedRatio: 1,
	}
	for i := range options.Classes {
		c.byPriority = append(c.byPriority, i)
		c.fractions[i] = 1
	}
	slices.SortStableFunc(c.byPriority, func(a, b int) int {
		return cmp.Compare(options.Classes[b].Priority, options.Classes[a].Priority)
	})
	return c
}

// Rates returns those of the last decision.
func (c *Controller) Rates() FleetRates { return c.rates }

// Decide decides the admission from what is known, with these members in the view. It is called a few times a second. The
// result's Fractions are valid until the next call.
func (c *Controller) Decide(now time.Duration, members []string) Admission {
	c.reporters = Reporters(members)
	rates := c.measure(now)
	c.updateRetryHoldback(rates)
	for i := range c.fractions {
		c.fractions[i] = 1
	}
	requested := sum(rates.Requested)
	accepted := sum(rates.Accepted)
	if requested > 0 {
		c.detectOverload(requested, accepted)
	} else {
		c.active = false
		c.overloadedFor = 0
		c.recoveredFor = 0
	}
	if c.active {
		rates.Limit = c.updateLimit(rates, requested, accepted)
		c.detectRecovery(rates.Limit, requested)
		c.admitByPriority(rates)
	}
	c.rates = rates
	return Admission{Active: c.active, Fractions: c.fractions, RetryHoldback: c.retryHoldback}
}

// detectOverload begins an overload, or records what is normal without one.
func (c *Controller) detectOverload(requested, accepted float64) {
	c.overloadedFor++
	if accepted >= (1-overloadRatio)*requested {
		c.overloadedFor = 0
	}
	switch {
	case c.active:
	case c.overloadedFor >= overloadDecisions:
		c.active = true
		c.recoveredFor = 0
		c.admitted = 0
	case c.overloadedFor == 0:
		c.baselineAcceptedRatio = accepted / requested
	}
}

// detectRecovery ends an overload.
func (c *Controller) detectRecovery(limit, requested float64) {
	c.recoveredFor++
	if limit < requested {
		c.recoveredFor = 0
	}
	if c.recoveredFor >= recoveryDecisions {
		c.active = false
	}
}

// updateLimit smooths the admitted fraction towards the latest decision and returns the requests admitted per second: what was
// accepted, and somewhat more so that the limit finds the capacity of the servers.
func (c *Controller) updateLimit(rates FleetRates, requested, accepted float64) float64 {
	const epsilon = 1e-9 // avoids a division by zero
	admittedBefore := max(epsilon, requested-rates.Shed)
	acceptedRatio := min(1, accepted/admittedBefore/c.baselineAcceptedRatio)
	spare := min(1, max(0, acceptedRatio-lowAccepted)/(highAccepted-lowAccepted))
	growth := fullGrowth + (spareGrowth-fullGrowth)*spare
	next := max(minAdmitted, growth*accepted/c.baselineAcceptedRatio/requested)
	if c.admitted == 0 {
		c.admitted = next
	}
	c.admitted += smoothing * (next - c.admitted)
	return c.admitted * requested
}

// updateRetryHoldback withholds retries at once when attempts fail, and gives them back gradually.
func (c *Controller) updateRetryHoldback(rates FleetRates) {
	wanted := 0.0
	if rates.Attempts >= minAttemptRate {
		failures := 1 - rates.Successes/rates.Attempts
		wanted = min(1, max(0, failures-fewFailures)/(manyFailures-fewFailures))
	}
	c.retryHoldback = max(wanted*coverageWeight(rates), c.retryHoldback-retryRecovery)
}

// coverageWeight is the effect that a decision has, from 0 to 1: with part of the fleet unheard of it is less.
func coverageWeight(rates FleetRates) float64 {
	return min(1, max(0, 2*rates.Coverage/fullCoverage-1))
}

// admitByPriority admits the least of every class, and of the rest the highest priorities first until the limit is reached.
func (c *Controller) admitByPriority(rates FleetRates) {
	left := rates.Limit
	for _, requested := range rates.Requested {
		left -= minClassAdmitted * requested
	}
	effect := coverageWeight(rates)
	for _, i := range c.byPriority {
		requested := rates.Requested[i]
		admitted := min(requested*(1-minClassAdmitted), max(0, left))
		left -= admitted
		if requested > 0 {
			c.fractions[i] = 1 - effect*(1-minClassAdmitted-admitted/requested)
		}
	}
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
