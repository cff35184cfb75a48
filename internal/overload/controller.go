// Package overload implements admission control for a whole fleet. When the servers are overloaded, all nodes shed the same classes
// of requests: each node reports how many requests it received and how many were accepted, by class, and each computes the same
// admission from the same rates.
//
// The package does no I/O: the caller passes in counts, summaries and the time, and gets an admission back. It does not depend on a
// correct view of the members: a node that receives summaries from few others sheds less, and a node that receives none relies on
// its own admission control. docs/overload.md explains the design.
package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overloadRatio is the fraction of rejected requests above which a decision counts as overloaded. At lower fractions each node's
	// own admission by priority works equally well, and shedding by the fleet would only reject more requests.
	overloadRatio = 0.08

	// overloadDecisions is the number of consecutive overloaded decisions after which an overload starts.
	overloadDecisions = 2

	// recoveryDecisions is the number of consecutive decisions, each with a limit that covers all requests, after which an overload
	// ends.
	recoveryDecisions = 8

	// The limit in requests per second is the accepted rate times a growth factor. The factor depends on the accepted ratio: accepted
	// requests divided by admitted requests, relative to the same ratio before the overload. Up to saturatedAcceptedRatio the factor
	// is saturatedGrowth, which keeps a short queue at the servers. From unsaturatedAcceptedRatio on it is unsaturatedGrowth, which
	// doubles the limit in about three rate windows. In between it is interpolated linearly.
	saturatedGrowth          = 1.04
	unsaturatedGrowth        = 1.35
	saturatedAcceptedRatio   = 0.94
	unsaturatedAcceptedRatio = 0.99

	// admissionSmoothing is the weight of the latest decision in the exponentially smoothed admission. The rates of one window have
	// a few percent of noise that differs between nodes, and the fraction of the class that is partly admitted varies by several
	// times that.
	admissionSmoothing = 0.5

	// minAdmitted is the least fraction of all requests that is admitted, so that badly wrong rates cannot make a fleet reject
	// everything.
	minAdmitted = 0.2

	// minClassAdmitted is the least fraction of each class that is admitted, so that no class starves.
	minClassAdmitted = 0.02

	// While the ratio of failed attempts grows from noReductionFailureRatio to fullReductionFailureRatio, the reduction of the retry
	// budget grows from 0 to 1: at high ratios retries mostly add failures.
	noReductionFailureRatio   = 0.2
	fullReductionFailureRatio = 0.5

	// retryRecoveryPerDecision is the fraction of the retry budget that is restored per decision. The whole budget takes about three
	// seconds, since servers that have just recovered could not handle a burst of retries.
	retryRecoveryPerDecision = 0.08

	// minAttemptRate is the rate in attempts per second below which the failure ratio is ignored.
	minAttemptRate = 5

	// fullEffectCoverage is the fraction of the reporters that must have been heard from for a decision to take full effect. At half
	// of it or less a decision has no effect.
	fullEffectCoverage = 0.75
)

// Class is a class of requests. All requests are assumed to cost the servers the same work.
type Class struct {
	Name     string
	Priority float64 // classes with a higher priority are admitted first
}

// Options configure one process.
type Options struct {
	Name       string
	Generation uint64 // generation of this process
	Classes    []Class
}

// Admission determines which fractions of the requests and retries a node admits.
type Admission struct {
	Active               bool
	Fractions            []float64 // admitted fraction of each class, from 0 to 1
	RetryBudgetReduction float64   // fraction of the retry budget that is withheld
}

// Controller detects an overload of the fleet and computes the admission of one process. It is not safe for concurrent use.
type Controller struct {
	options    Options
	sources    map[string]*source
	byPriority []int // indices of the classes, highest priority first
	reporters  []string

	active                bool
	consecutiveOverloaded int       // decisions in a row with a rejected fraction above overloadRatio
	consecutiveRecovered  int       // decisions in a row whose limit covers all requests
	admittedFraction      float64   // smoothed fraction of all requests; 0: none computed yet in this overload
	baselineAcceptedRatio float64   // fraction of all requests that were accepted before the overload
	fractions             []float64 // admitted fraction of each class
	retryBudgetReduction  float64
	rates                 FleetRates
}

// New returns a Controller that has received no summaries yet.
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

// Rates returns the rates of the last decision.
func (c *Controller) Rates() FleetRates { return c.rates }

// Decide computes the admission from the summaries received so far and the members in the current view. It must be called a few
// times a second. The result's Fractions are valid until the next call.
func (c *Controller) Decide(now time.Duration, members []string) Admission {
	c.reporters = Reporters(members)
	rates := c.measureFleetRates(now)
	c.updateRetryBudgetReduction(rates)
	for i := range c.fractions {
		c.fractions[i] = 1
	}
	requested := sum(rates.Requested)
	accepted := sum(rates.Accepted)
	if requested > 0 {
		c.detectOverload(requested, accepted)
	} else {
		c.active = false
		c.consecutiveOverloaded = 0
		c.consecutiveRecovered = 0
	}
	if c.active {
		rates.Limit = c.updateLimit(rates, requested, accepted)
		c.detectRecovery(rates.Limit, requested)
		c.admitByPriority(rates)
	}
	c.rates = rates
	return Admission{Active: c.active, Fractions: c.fractions, RetryBudgetReduction: c.retryBudgetReduction}
}

// detectOverload starts an overload after overloadDecisions overloaded decisions in a row. Outside of an overload it records the
// accepted ratio as the baseline.
func (c *Controller) detectOverload(requested, accepted float64) {
	c.consecutiveOverloaded++
	if accepted >= (1-overloadRatio)*requested {
		c.consecutiveOverloaded = 0
	}
	switch {
	case c.active:
	case c.consecutiveOverloaded >= overloadDecisions:
		c.active = true
		c.consecutiveRecovered = 0
		c.admittedFraction = 0
	case c.consecutiveOverloaded == 0:
		c.baselineAcceptedRatio = accepted / requested
	}
}

// detectRecovery ends the overload after recoveryDecisions decisions in a row whose limit covers all requests.
func (c *Controller) detectRecovery(limit, requested float64) {
	c.consecutiveRecovered++
	if limit < requested {
		c.consecutiveRecovered = 0
	}
	if c.consecutiveRecovered >= recoveryDecisions {
		c.active = false
	}
}

// updateLimit moves the smoothed admitted fraction towards the latest decision and returns the number of requests to admit per
// second. The limit exceeds the accepted rate a little, so that it follows the capacity of the servers when that grows.
func (c *Controller) updateLimit(rates FleetRates, requested, accepted float64) float64 {
	const epsilon = 1e-9 // avoids a division by zero
	admittedRate := max(epsilon, requested-rates.Shed)
	acceptedRatio := min(1, accepted/admittedRate/c.baselineAcceptedRatio)
	growthWeight := min(1, max(0, acceptedRatio-saturatedAcceptedRatio)/(unsaturatedAcceptedRatio-saturatedAcceptedRatio))
	growth := saturatedGrowth + (unsaturatedGrowth-saturatedGrowth)*growthWeight
	next := max(minAdmitted, growth*accepted/c.baselineAcceptedRatio/requested)
	if c.admittedFraction == 0 {
		c.admittedFraction = next
	}
	c.admittedFraction += admissionSmoothing * (next - c.admittedFraction)
	return c.admittedFraction * requested
}

// updateRetryBudgetReduction reduces the retry budget at once when many attempts fail, and restores it gradually.
func (c *Controller) updateRetryBudgetReduction(rates FleetRates) {
	target := 0.0
	if rates.Attempts >= minAttemptRate {
		failureRatio := 1 - rates.Successes/rates.Attempts
		target = min(1, max(0, failureRatio-noReductionFailureRatio)/(fullReductionFailureRatio-noReductionFailureRatio))
	}
	c.retryBudgetReduction = max(target*coverageWeight(rates), c.retryBudgetReduction-retryRecoveryPerDecision)
}

// coverageWeight returns the weight of a decision from 0 to 1, which is lower if summaries of some reporters are missing.
func coverageWeight(rates FleetRates) float64 {
	return min(1, max(0, 2*rates.Coverage/fullEffectCoverage-1))
}

// admitByPriority admits minClassAdmitted of every class, and distributes the rest of the limit to the classes in the order of their
// priority.
func (c *Controller) admitByPriority(rates FleetRates) {
	remaining := rates.Limit
	for _, requested := range rates.Requested {
		remaining -= minClassAdmitted * requested
	}
	weight := coverageWeight(rates)
	for _, i := range c.byPriority {
		requested := rates.Requested[i]
		admitted := min(requested*(1-minClassAdmitted), max(0, remaining))
		remaining -= admitted
		if requested > 0 {
			c.fractions[i] = 1 - weight*(1-minClassAdmitted-admitted/requested)
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
