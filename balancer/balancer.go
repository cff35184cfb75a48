package balancer

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// seedMix is combined with the seed to form the second word of the generator's seed.
	seedMix = 0x9e3779b97f4a7c15
	// unitTimesPerObjective divides the shortest latency objective. The quotient is the unit time that is
	// assumed before the first measurement.
	unitTimesPerObjective = 4
	// initialCapacityEstimate is the initial value of fleetEstimate.extraCapacity, the estimated fraction
	// of the capacity above its minimum that a server in slow start has. Answers of such servers change it.
	initialCapacityEstimate = 0.5
)

// Balancer makes the decisions of one node. Step passes in the time, and all random numbers derive from
// the seed given to New. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	now      Millis   // time of the event that is being handled
	actions  []Action // emitted for this event so far
	started  bool

	randomSource *rand.PCG // copied by Clone
	rng          *rand.Rand

	servers  serverSet
	polling  endpointPolling
	scoredAt Millis
	estimate fleetEstimate
	probing  loadProbing
	outliers outlierDetector
	zones    map[string]*failureRate

	classes            map[string]*classState
	tenants            map[string]*tenantState
	meanPriorityWeight float64 // mean over the classes

	requests         map[RequestID]*request
	queue            requestQueue
	openAttempts     int
	candidateBuffer  []*server // reused by candidates to avoid allocations
	retryBudget      tokenBucket
	explorations     tokenBucket
	recentRejections map[requestIdentity]rejection

	gossip gossipState
	fleet  fleetLimits
}

// New returns the balancer of one node. The error names the invalid setting.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := validate(settings); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, seed^seedMix)
	b := &Balancer{
		settings:         settings,
		randomSource:     source,
		rng:              rand.New(source),
		servers:          serverSet{byID: map[ServerID]*server{}},
		polling:          endpointPolling{staleSince: math.Inf(1), backoff: initialPollBackoff},
		estimate:         initialEstimate(),
		probing:          loadProbing{tokens: tokenBucket{available: probesPerRequest}, acceptance: 1},
		outliers:         outlierDetector{trialIdempotency: NonIdempotent},
		zones:            map[string]*failureRate{},
		classes:          map[string]*classState{},
		tenants:          map[string]*tenantState{},
		requests:         map[RequestID]*request{},
		retryBudget:      tokenBucket{available: retryBurst},
		recentRejections: map[requestIdentity]rejection{},
		gossip:           gossipState{heardFrom: map[int]Millis{}, reportedBy: map[gossipSource][]*server{}},
		fleet:            fleetLimits{processes: 1, size: settings.Nodes},
	}
	b.explorations.available = b.rng.Float64()
	for i, class := range settings.Classes {
		b.addClass(class, i)
	}
	b.estimate.initialUnitTime = b.estimate.unitTime
	for _, tenant := range settings.Tenants {
		b.tenants[tenant.Name] = &tenantState{Tenant: tenant}
	}
	return b, nil
}

// initialEstimate returns the estimate before the first answer. addClass lowers its unit time, which
// starts at +Inf.
func initialEstimate() fleetEstimate {
	return fleetEstimate{
		unitTime:       math.Inf(1),
		slowdownFactor: 1,
		parallelism:    1,
		extraCapacity:  initialCapacityEstimate,
	}
}

func (b *Balancer) addClass(class Class, index int) {
	protected := shortestMoreUrgentObjective(b.settings, class)
	b.classes[class.Name] = &classState{Class: class, index: index, protectedObjective: protected}
	b.estimate.unitTime = min(b.estimate.unitTime, class.LatencyObjective/unitTimesPerObjective)
	b.outliers.trialIdempotency = min(b.outliers.trialIdempotency, class.Idempotency)
	b.meanPriorityWeight += class.PriorityWeight / float64(len(b.settings.Classes))
}

// Step handles one event at the given time and returns the actions to carry out, in order.
func (b *Balancer) Step(now Millis, event Event) []Action {
	b.now = now
	b.actions = nil
	if !b.started {
		b.begin()
	}
	switch e := event.(type) {
	case Arrival:
		b.handleArrival(e)
	case BodyReceived:
		b.handleBodyReceived(e)
	case ClientCancelled:
		b.handleClientCancelled(e)
	case AttemptCompleted:
		b.handleAttemptCompleted(e)
	case LoadProbeCompleted:
		b.handleLoadProbeCompleted(e)
	case ConnectionClosed:
		b.handleConnectionClosed(e)
	case TimerFired:
		b.handleTimer(e.Token)
	case EndpointUpdate:
		b.handleEndpointUpdate(e)
	case GossipReceived:
		b.handleGossip(e)
	case FleetQuota:
		b.fleet.quota = &e
	case FleetAdmission:
		b.fleet.admittedFraction = e.AdmittedFraction
		b.fleet.retryReduction = e.RetryReduction
	case SiblingProcesses:
		b.setProcesses(e.Count)
	case StateTransferred:
		b.restore(e.State)
	case ResponseStarted: // ignored: no decision depends on it
	}
	b.broadcastGossip()
	return b.actions
}

func (b *Balancer) begin() {
	b.started = true
	b.explorations.refilledAt = b.now
	b.startPolling()
}

func (b *Balancer) handleTimer(token string) {
	switch token {
	case timerSweep:
		b.queue.sweepScheduled = false
		b.dispatchQueue()
	case timerProbes:
		b.dispatchQueue()
	case timerPoll:
		b.handlePollTimer()
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) logf(format string, args ...any) { b.emit(Log{fmt.Sprintf(format, args...)}) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
