package balancer

import "math"

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

// Shift moves all times by a span: the clock of the process that takes the state over is ahead of the
// other one's by so much. Start times are discovery's and stay.
func (s *State) Shift(by Millis) {
	buckets := int64(math.Round(by / outcomeBucketLength))
	for i := range s.Servers {
		record := &s.Servers[i]
		record.OutcomeAt += by
		record.FailedAt += by
		record.TrialAt += by
		record.BudgetAt += by
		if record.ReportedAt != 0 { // 0: no report
			record.ReportedAt += by
		}
		for j := range record.Buckets {
			record.Buckets[j] += buckets
		}
		for name := range record.ClassFailureAt {
			record.ClassFailureAt[name] += by
		}
	}
	for name, record := range s.Classes {
		record.At += by
		s.Classes[name] = record
	}
	for name, record := range s.Tenants {
		record.At += by
		record.RateAt += by
		record.QuotaAt += by
		s.Tenants[name] = record
	}
}
