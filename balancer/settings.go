package balancer

import (
	"errors"
	"fmt"
)

// Millis is a time on the node's monotonic clock, or a span of it, in milliseconds.
type Millis = float64

// Settings are what a node is configured with, at its start. New says which of them make deciding
// impossible.
type Settings struct {
	Node    int // this node's number, from 0
	Nodes   int // size of the fleet, at least 1
	Zone    string
	Classes []Class
	Tenants []Tenant
	Goal    GoalWeights

	OverQuotaFraction  float64 // part of its weight that a request beyond its tenant's quota keeps, from 0 to 1
	WeightByWork       bool    // a request's weight is multiplied by its work
	ClientsMarkRetries bool    // otherwise a retry is recognized by its key
	KeyAffinity        bool    // a server that met a request's key lately does less work for it

	// WatchEndpoints has the balancer ask for the endpoint list; without it the discovery client polls by
	// itself.
	WatchEndpoints   bool
	MaxPollInterval  Millis // longest time between two polls; 0: no limit
	CapacitiesListed bool   // the list's capacities compare the servers
	DrainGrace       Millis // after a server is reported as draining, attempts to it may still begin for so long

	LoadReports           bool // answers or probe results carry load reports
	ReportsFromProbesOnly bool // only probe results do
	ProbesAllowed         bool
	GossipAllowed         bool // nodes may send messages to one another

	SlowStart SlowStart

	MaxAttempts       int // for each request, at least 1
	CancelAllowed     bool
	RetryAfterAllowed bool
	MaxRetryAfter     Millis
	ConnectTimeout    Millis
	Tick              Millis // how often a node looks at events; 0: at once

	Prices        Prices
	CPUPerRequest float64 // microseconds that a request and all that comes with it may cost; 0: no limit
}

// SlowStart says what a server that has just started can bear.
type SlowStart struct {
	InitialCapacity float64 // share of its capacity at its start, from 0 to 1
	Duration        Millis  // after which it has its whole capacity; between the two the share grows evenly
	// A server is overloaded by more than OverloadFactor times what it can serve in OverloadWindow,
	// from all nodes together.
	OverloadFactor float64
	OverloadWindow Millis
}

// Prices are what the operator charges, as fractions of all priority weight.
type Prices struct {
	CrossZone float64 // if every first attempt went to another zone
	Probe     float64 // if one load probe were sent for each first attempt
	Handshake float64 // if one connection to a server were opened for each first attempt
	Gossip    float64 // if one message of full length were received for each first attempt
}

// Class is one class of request.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope // with IdempotentWithKey
	DedupWindow      Millis     // how long repeats are dropped, from the first attempt that may have run
	LatencyObjective Millis     // an answer within it earns the full priority weight
	ObjectivePerWork float64    // the objective grows by this multiple of the time of the request's own work
	TotalTimeout     Millis     // a client's wait over all its attempts
	PriorityWeight   float64
	LateFraction     float64 // part of the weight that an answer after the objective still earns, from 0 to 1
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all nodes together; 0: no quota
}

// GoalWeights are the weights of the parts of the operator's goal.
type GoalWeights struct {
	Overall      float64 // the share of all weight that is served in time
	WorstWindow  float64 // ... in the worst stretch of time
	WorstClass   float64 // ... of the worst served class
	WorstTenant  float64 // ... of the worst served tenant
	TailLatency  float64 // over 0: no more of the time to the objective is used where late answers still earn
	Availability float64 // counts like Overall
}

// Idempotency reports whether a class of request may run more than once.
type Idempotency int

// The kinds of classes, from the least harm that a repeat does to the most.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected freely
	IdempotentWithKey                    // repeats are dropped inside a dedup scope for a window
	NonIdempotent                        // must never run twice
)

// DedupScope is the set of servers that drop the repeats of a request with an idempotency key.
type DedupScope int

// The scopes.
const (
	DedupAcrossFleet DedupScope = iota
	DedupWithinZone             // the servers of one zone
	DedupWithinCell             // the servers of one cell
)

const (
	// minShare and minPrice keep quotients finite.
	minShare = 1e-9
	minPrice = 1e-9
)

// validate names the setting that makes deciding impossible, in the words of the settings object:
// its keys are what an operator can change.
func validate(s Settings) error {
	switch {
	case s.Nodes < 1:
		return errors.New("number of nodes must be at least 1")
	case len(s.Classes) == 0:
		return errors.New("no classes of request")
	case s.MaxAttempts < 1:
		return errors.New("attempts per request must be at least 1")
	case s.SlowStart.InitialCapacity < 0 || s.SlowStart.InitialCapacity > 1:
		return errors.New("cold starting share must lie in 0 to 1")
	case s.SlowStart.Duration < 0 || s.SlowStart.OverloadWindow < 0 || s.SlowStart.OverloadFactor <= 0:
		return errors.New("cold server figures must be positive")
	case s.DrainGrace < 0:
		return errors.New("drain grace must not be negative")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.TotalTimeout <= 0 {
			return fmt.Errorf("class %q: aim and hard limit must be positive", c.Name)
		}
		if c.Idempotency == IdempotentWithKey && c.DedupWindow <= 0 {
			return fmt.Errorf("class %q: a keyed class needs a window", c.Name)
		}
	}
	return nil
}
