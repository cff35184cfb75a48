package balancer

// What two processes that are one node during an upgrade hand over. The JSON names are the form
// between versions: a process of an old version hands over to one of a new version, so they never
// change.

// State is what a node knows. Times are the node's clock's, in Unix milliseconds.
type State struct {
	UnitTime       Millis  `json:"Unit"`
	Pace           float64 `json:"Pace"`
	Parallelism    float64 `json:"Width"`
	ReportLag      Millis  `json:"Lag"`
	MeanWorkHint   Millis  `json:"HintMean"`
	OthersLoad     float64 `json:"Crowd"`
	ProbeRoundTrip Millis  `json:"ProbeTook"`
	Acceptance     float64 `json:"Ease"` // of load probes
	RetryTokens    float64 `json:"Retries"`
	ProbeTokens    float64 `json:"Probes"`

	Servers []ServerRecord          `json:"Servers"`
	Classes map[string]ClassRecord  `json:"Classes"`
	Tenants map[string]TenantRecord `json:"Tenants"`
}

// ServerRecord is what a node knows of one server.
type ServerRecord struct {
	ID                  ServerID           `json:"ID"`
	Started             Millis             `json:"Started"`
	Latency             Millis             `json:"Latency"`
	UnitTime            Millis             `json:"Unit"`
	OutcomeAt           Millis             `json:"OutcomeAt"`
	FailedAt            Millis             `json:"FailedAt"`
	Measured            bool               `json:"Seen"`
	Ejected             bool               `json:"Excluded"`
	TrialAt             Millis             `json:"TrialAt"`
	Score               float64            `json:"Score"`
	OthersLoad          float64            `json:"Others"`
	OthersAverage       float64            `json:"OthersAvg"`
	ReportedAt          Millis             `json:"ReportAt"`
	ConsecutiveFailures int                `json:"Failures"`
	Successes           []int              `json:"Ok"` // by bucket of the error window
	Failures            []int              `json:"Fail"`
	Buckets             []int64            `json:"Seconds"` // the buckets' indexes
	Recent              []bool             `json:"Recent"`  // oldest first
	Budget              float64            `json:"Budget"`  // of its slow start
	BudgetAt            Millis             `json:"BudgetAt"`
	ClassFailures       map[string]float64 `json:"Bad"`
	ClassFailureAt      map[string]Millis  `json:"BadAt"`
}

// ClassRecord is what was asked for and served of a class.
type ClassRecord struct {
	Asked          float64 `json:"Asked"`
	Served         float64 `json:"Served"`
	At             Millis  `json:"At"`
	LongestTimeout Millis  `json:"LongestTry"`
}

// TenantRecord is what was asked for and served of a tenant, and its rate.
type TenantRecord struct {
	Asked   float64 `json:"Asked"`
	Served  float64 `json:"Served"`
	At      Millis  `json:"At"`
	Rate    float64 `json:"Rate"` // first attempts a second
	RateAt  Millis  `json:"RateAt"`
	Quota   float64 `json:"Quota"` // tokens left
	QuotaAt Millis  `json:"QuotaAt"`
}

// Snapshot is what the node knows. What is left of the slow start budgets is split between the two
// processes once SiblingProcesses has told of both, so that they can't spend it twice.
func (b *Balancer) Snapshot() State {
	state := State{
		UnitTime:       b.estimate.unitTime,
		Pace:           b.estimate.pace,
		Parallelism:    b.estimate.parallelism,
		ReportLag:      b.estimate.reportLag,
		MeanWorkHint:   b.estimate.meanWorkHint,
		OthersLoad:     b.estimate.othersLoad,
		ProbeRoundTrip: b.probing.roundTrip,
		Acceptance:     b.probing.acceptance,
		RetryTokens:    b.retryBudget.left,
		ProbeTokens:    b.probing.tokens.left,
		Classes:        map[string]ClassRecord{},
		Tenants:        map[string]TenantRecord{},
	}
	for name, c := range b.classes {
		state.Classes[name] = ClassRecord{Asked: c.asked, Served: c.served, At: c.at, LongestTimeout: c.longestTimeout}
	}
	for name, t := range b.tenants {
		state.Tenants[name] = TenantRecord{Asked: t.asked, Served: t.served, At: t.at, Rate: t.rate, RateAt: t.rateAt,
			Quota: t.quota.left, QuotaAt: t.quota.refilledAt}
	}
	for _, s := range b.servers.known {
		state.Servers = append(state.Servers, b.serverRecord(s))
	}
	return state
}

func (b *Balancer) serverRecord(s *server) ServerRecord {
	record := ServerRecord{
		ID:                  s.ID,
		Started:             s.Started,
		Latency:             s.timing.latency,
		UnitTime:            s.timing.unitTime,
		OutcomeAt:           s.timing.outcomeAt,
		FailedAt:            s.outcomes.failedAt,
		Measured:            s.timing.measured,
		Ejected:             s.outlier.ejected,
		TrialAt:             s.outlier.trialAt,
		Score:               s.score,
		OthersLoad:          s.load.others,
		OthersAverage:       s.load.othersAverage,
		ReportedAt:          s.load.reportedAt,
		ConsecutiveFailures: s.outlier.consecutiveFailures,
		Recent:              s.outcomes.oldestFirst(),
		Budget:              s.slowStart.budget.left,
		BudgetAt:            s.slowStart.budget.refilledAt,
		ClassFailures:       map[string]float64{},
		ClassFailureAt:      map[string]Millis{},
	}
	for _, bucket := range s.outcomes.buckets {
		record.Successes = append(record.Successes, bucket.successes)
		record.Failures = append(record.Failures, bucket.failures)
		record.Buckets = append(record.Buckets, bucket.index)
	}
	for name, c := range b.classes {
		if failure := s.classFailure(c); failure.observed {
			record.ClassFailures[name] = failure.share
			record.ClassFailureAt[name] = failure.updatedAt
		}
	}
	return record
}

// restore takes over what is known of servers that have not started anew since.
func (b *Balancer) restore(state State) {
	b.setTypicalUnitTime(state.UnitTime)
	b.estimate.pace = state.Pace
	b.estimate.parallelism = state.Parallelism
	b.estimate.reportLag = state.ReportLag
	b.estimate.meanWorkHint = state.MeanWorkHint
	b.estimate.othersLoad = state.OthersLoad
	b.probing.roundTrip = state.ProbeRoundTrip
	b.probing.acceptance = state.Acceptance
	b.probing.tokens.left = state.ProbeTokens
	b.retryBudget.left = state.RetryTokens
	for name, record := range state.Classes {
		if c := b.classes[name]; c != nil {
			c.servedShare = servedShare{record.Asked, record.Served, record.At}
			c.longestTimeout = record.LongestTimeout
		}
	}
	for name, record := range state.Tenants {
		if t := b.tenants[name]; t != nil {
			t.servedShare = servedShare{record.Asked, record.Served, record.At}
			t.rate = record.Rate
			t.rateAt = record.RateAt
			t.quota = tokenBucket{record.Quota, record.QuotaAt}
		}
	}
	for _, record := range state.Servers {
		s := b.servers.byID[record.ID]
		if s != nil && s.Started == record.Started {
			b.restoreServer(s, record)
		}
	}
	b.servers.version++
}

func (b *Balancer) restoreServer(s *server, record ServerRecord) {
	s.score = record.Score
	s.timing = serverTiming{
		latency:   record.Latency,
		unitTime:  record.UnitTime,
		measured:  record.Measured,
		outcomeAt: record.OutcomeAt,
	}
	s.outlier = ejectionState{
		consecutiveFailures: record.ConsecutiveFailures,
		ejected:             record.Ejected,
		trialAt:             record.TrialAt,
	}
	s.load.others = record.OthersLoad
	s.load.othersAverage = record.OthersAverage
	s.load.reportedAt = record.ReportedAt
	s.slowStart.budget = tokenBucket{record.Budget, record.BudgetAt}
	s.estimate.at = estimateOutdated
	s.outcomes.restore(record)
	for name, share := range record.ClassFailures {
		if c := b.classes[name]; c != nil {
			*s.classFailure(c) = failureRate{share: share, observed: true, updatedAt: record.ClassFailureAt[name]}
		}
	}
}

func (w *outcomeWindow) restore(record ServerRecord) {
	w.failedAt = record.FailedAt
	for i := range min(len(record.Successes), len(record.Failures), len(record.Buckets), outcomeBucketCount) {
		w.buckets[i] = outcomeBucket{record.Buckets[i], record.Successes[i], record.Failures[i]}
	}
	w.recentLen = 0
	w.recentPos = 0
	for _, success := range record.Recent[:min(len(record.Recent), recentOutcomeCount)] {
		w.pushRecent(success)
	}
}
