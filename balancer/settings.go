package balancer

import (
	"errors"
	"fmt"
)

// Millis is a time of the node's monotonic clock or a duration, in milliseconds.
type Millis = float64

// Settings is the configuration of a node, which is fixed at its start. New rejects invalid settings.
type Settings struct {
	Node    int // number of this node, from 0
	Nodes   int // size of the fleet, at least 1
	Zone    string
	Classes []Class
	Tenants []Tenant
	Goal    GoalWeights

	OverQuotaFraction  float64 // factor for the weight of requests over their tenant's quota, from 0 to 1
	WeightByWork       bool    // multiply the weight of a request by its work
	ClientsMarkRetries bool    // if false, a retry is detected by its idempotency key
	KeyAffinity        bool    // requests cost a server less work if it recently served their key

	// WatchEndpoints makes the balancer request the endpoint list. If it is false, the discovery client
	// decides when to poll.
	WatchEndpoints   bool
	MaxPollInterval  Millis // longest time between two polls; 0: no limit
	CapacitiesListed bool   // the endpoint list contains comparable capacities
	DrainGrace       Millis // time in which attempts may start after a server is reported as draining

	LoadReports           bool // responses or probe results contain load reports
	ReportsFromProbesOnly bool // only probe results contain load reports
	ProbesAllowed         bool
	GossipAllowed         bool // nodes may send gossip to each other

	SlowStart SlowStart

	MaxAttempts       int // for each request, at least 1
	CancelAllowed     bool
	RetryAfterAllowed bool
	MaxRetryAfter     Millis
	ConnectTimeout    Millis
	Tick              Millis // interval at which a node handles events; 0: immediately

	Prices        Prices
	CPUPerRequest float64 // limit of the CPU time for a request and all work it causes, in µs; 0: none
}

// SlowStart describes the capacity of a server that has just started.
type SlowStart struct {
	InitialCapacity float64 // fraction of the capacity at the start, from 0 to 1
	Duration        Millis  // time to full capacity; the fraction grows linearly
	// A server in slow start is overloaded if all nodes together send it more than OverloadFactor times
	// the work that it can serve within OverloadWindow.
	OverloadFactor float64
	OverloadWindow Millis
}

// Prices are the costs that the operator assigns, as fractions of all priority weight.
type Prices struct {
	CrossZone float64 // cost if every first attempt went to another zone
	Probe     float64 // cost if one load probe were sent for each first attempt
	Handshake float64 // cost if one connection to a server were opened for each first attempt
	Gossip    float64 // cost if one message of maximum length were received for each first attempt
}

// Class is the configuration of one class of request.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope // only for IdempotentWithKey
	DedupWindow      Millis     // how long servers drop repeats, from the first attempt that may have run
	LatencyObjective Millis     // an answer within this time has the full priority weight
	ObjectivePerWork float64    // multiple of the expected time of the request's work, added to the objective
	TotalTimeout     Millis     // total time that a client waits, over all its attempts
	PriorityWeight   float64
	LateFraction     float64 // fraction of the weight for an answer after the objective, from 0 to 1
}

// Tenant is the configuration of one tenant, a customer.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all nodes; 0: no quota
}

// GoalWeights are the weights of the terms of the operator's goal.
type GoalWeights struct {
	Overall      float64 // fraction of all priority weight that is served in time
	WorstWindow  float64 // the same fraction in the worst time window
	WorstClass   float64 // the same fraction for the worst served class
	WorstTenant  float64 // the same fraction for the worst served tenant
	TailLatency  float64 // added to Overall; if above 0, LateFraction doesn't raise the accepted response time
	Availability float64 // added to Overall
}

// Idempotency describes whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency, ordered by the harm that a repeat does, least first.
const (
	Idempotent        Idempotency = iota // may be repeated and rejected freely
	IdempotentWithKey                    // servers of a dedup scope drop repeats for a time window
	NonIdempotent                        // must never run twice
)

// DedupScope is the set of servers that detect and drop repeats of a request with an idempotency key.
type DedupScope int

// The scopes.
const (
	DedupAcrossFleet DedupScope = iota
	DedupWithinZone             // the servers of one zone
	DedupWithinCell             // the servers of one cell
)

const (
	// minRequestedWeight and minPrice are lower bounds for divisors, which prevent a division by zero.
	minRequestedWeight = 1e-9
	minPrice           = 1e-9
)

// validate returns an error that describes the first invalid setting. The messages use the terms of the
// settings object, such as "cold" and "aim", because these are the keys that an operator can change.
func validate(s Settings) error {
	switch {
	case s.Nodes < 1:
		return fmt.Errorf("number of nodes must be at least 1, got %d", s.Nodes)
	case len(s.Classes) == 0:
		return errors.New("no classes of request: at least one is required")
	case s.MaxAttempts < 1:
		return fmt.Errorf("attempts per request must be at least 1, got %d", s.MaxAttempts)
	case s.SlowStart.InitialCapacity < 0 || s.SlowStart.InitialCapacity > 1:
		return fmt.Errorf("cold starting share must be from 0 to 1, got %v", s.SlowStart.InitialCapacity)
	case s.SlowStart.Duration < 0 || s.SlowStart.OverloadWindow < 0 || s.SlowStart.OverloadFactor <= 0:
		return fmt.Errorf("cold server settings must be positive, got cold_ms %v, fall_ms %v and fall_multiple %v",
			s.SlowStart.Duration, s.SlowStart.OverloadWindow, s.SlowStart.OverloadFactor)
	case s.DrainGrace < 0:
		return fmt.Errorf("drain grace must not be negative, got %v ms", s.DrainGrace)
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.TotalTimeout <= 0 {
			return fmt.Errorf("class %q: aim and hard limit must be positive, got %v ms and %v ms",
				c.Name, c.LatencyObjective, c.TotalTimeout)
		}
		if c.Idempotency == IdempotentWithKey && c.DedupWindow <= 0 {
			return fmt.Errorf("class %q: a keyed class needs a window above 0, got %v ms", c.Name, c.DedupWindow)
		}
	}
	return nil
}
