package balancer

import "math"

// During an upgrade, the old process of a node transfers its state to the new one. The JSON names must
// never change, because the two processes may have different versions.

// State is the measured state of a node. Times are those of the node's clock, in Unix milliseconds.
type State struct {
	UnitTime       Millis  `json:"Unit"`
	SlowdownFactor float64 `json:"Pace"`
	Parallelism    float64 `json:"Width"`
	ReportLag      Millis  `json:"Lag"`
	MeanWorkHint   Millis  `json:"HintMean"`
	OthersLoad     float64 `json:"Crowd"`
	ProbeRoundTrip Millis  `json:"ProbeTook"`
	Acceptance     float64 `json:"Ease"` // fraction of load probes that servers accept
	RetryTokens    float64 `json:"Retries"`
	ProbeTokens    float64 `json:"Probes"`

	Servers []ServerRecord          `json:"Servers"`
	Classes map[string]ClassRecord  `json:"Classes"`
	Tenants map[string]TenantRecord `json:"Tenants"`
}

// ServerRecord is the measured state of one server.
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
	Successes           []int              `json:"Ok"`      // successes in each bucket of the error window
	Failures            []int              `json:"Fail"`    // failures in each bucket
	Buckets             []int64            `json:"Seconds"` // index of each bucket
	Recent              []bool             `json:"Recent"`  // oldest first
	Budget              float64            `json:"Budget"`  // slow start budget
	BudgetAt            Millis             `json:"BudgetAt"`
	ClassFailures       map[string]float64 `json:"Bad"`
	ClassFailureAt      map[string]Millis  `json:"BadAt"`
}

// ClassRecord is the requested and the served priority weight of a class, and its longest client timeout.
type ClassRecord struct {
	Requested      float64 `json:"Asked"`
	Served         float64 `json:"Served"`
	At             Millis  `json:"At"`
	LongestTimeout Millis  `json:"LongestTry"`
}

// TenantRecord is the requested and the served priority weight of a tenant, and its request rate.
type TenantRecord struct {
	Requested float64 `json:"Asked"`
	Served    float64 `json:"Served"`
	At        Millis  `json:"At"`
	Rate      float64 `json:"Rate"` // first attempts per second
	RateAt    Millis  `json:"RateAt"`
	Quota     float64 `json:"Quota"` // available tokens
	QuotaAt   Millis  `json:"QuotaAt"`
}

// Snapshot returns the state to transfer. After a SiblingProcesses event with two processes it contains
// only half of the slow start budgets, so that the two processes can't spend the same budget twice.
func (b *Balancer) Snapshot() State {
	state := State{
		UnitTime:       b.estimate.unitTime,
		SlowdownFactor: b.estimate.slowdownFactor,
		Parallelism:    b.estimate.parallelism,
		ReportLag:      b.estimate.reportLag,
		MeanWorkHint:   b.estimate.meanWorkHint,
		OthersLoad:     b.estimate.othersLoad,
		ProbeRoundTrip: b.probing.roundTrip,
		Acceptance:     b.probing.acceptance,
		RetryTokens:    b.retryBudget.available,
		ProbeTokens:    b.probing.tokens.available,
		Classes:        map[string]ClassRecord{},
		Tenants:        map[string]TenantRecord{},
	}
	for name, c := range b.classes {
		state.Classes[name] = ClassRecord{Requested: c.requested, Served: c.served, At: c.updatedAt,
			LongestTimeout: c.longestTimeout}
	}
	for name, t := range b.tenants {
		state.Tenants[name] = TenantRecord{Requested: t.requested, Served: t.served, At: t.updatedAt, Rate: t.rate,
			RateAt: t.rateAt, Quota: t.quota.available, QuotaAt: t.quota.refilledAt}
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
		Budget:              s.slowStart.budget.available,
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
			record.ClassFailures[name] = failure.rate
			record.ClassFailureAt[name] = failure.updatedAt
		}
	}
	return record
}

// Shift adds a duration to all times: the difference by which the clock of the receiving process is ahead
// of the sender's. Start times of servers come from discovery and stay unchanged.
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
