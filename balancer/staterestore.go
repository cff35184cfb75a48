package balancer

// A state comes from a process of any version, whose clock may have been another one. What cannot be is
// replaced by what this process knows: a figure that is no number would stay one, and a time in the
// future would hold a record for as long as the clocks differ.

const (
	// maxRestoredTime, in ms, bounds spans that are taken over.
	maxRestoredTime Millis = 3600e3
	// maxRestoredCount bounds requests, tokens, work and scores that are taken over.
	maxRestoredCount = 1e6
	// maxRestoredShare bounds the weights that were asked for and served.
	maxRestoredShare = 1e12
	// maxRestoredAge, in ms, is how long ago a time that is taken over can lie: by then all records
	// have faded.
	maxRestoredAge Millis = 24 * 3600e3
)

// inRange is a value that is taken over; another one where it lies outside its range or is no number.
func inRange(value, least, most, otherwise float64) float64 {
	if value >= least && value <= most {
		return value
	}
	return otherwise
}

// restoredAt is a time that is taken over, at the latest now.
func (b *Balancer) restoredAt(at Millis) Millis {
	return max(b.now-maxRestoredAge, min(b.now, at))
}

// restore takes over what is known of servers that have not started anew since.
func (b *Balancer) restore(state State) {
	e := &b.estimate
	b.setTypicalUnitTime(inRange(state.UnitTime, 0, maxRestoredTime, e.unitTime))
	e.pace = inRange(state.Pace, 1/maxPaceSample, maxPaceSample, e.pace)
	e.parallelism = inRange(state.Parallelism, 1, maxRestoredCount, e.parallelism)
	e.reportLag = inRange(state.ReportLag, 0, maxRestoredTime, e.reportLag)
	e.meanWorkHint = inRange(state.MeanWorkHint, 0, maxRestoredCount, e.meanWorkHint)
	e.othersLoad = inRange(state.OthersLoad, 0, maxRestoredCount, e.othersLoad)
	b.probing.roundTrip = inRange(state.ProbeRoundTrip, 0, maxRestoredTime, b.probing.roundTrip)
	b.probing.acceptance = inRange(state.Acceptance, 0, 1, b.probing.acceptance)
	b.probing.tokens.left = inRange(state.ProbeTokens, -maxRestoredCount, maxRestoredCount, b.probing.tokens.left)
	b.retryBudget.left = inRange(state.RetryTokens, 0, retryBurst, b.retryBudget.left)
	for name, record := range state.Classes {
		if c := b.classes[name]; c != nil {
			c.servedShare = b.restoredShare(record.Asked, record.Served, record.At)
			c.longestTimeout = inRange(record.LongestTimeout, 0, maxRestoredTime, c.longestTimeout)
		}
	}
	for name, record := range state.Tenants {
		if t := b.tenants[name]; t != nil {
			t.servedShare = b.restoredShare(record.Asked, record.Served, record.At)
			t.rate = inRange(record.Rate, 0, maxRestoredCount, t.rate)
			t.rateAt = b.restoredAt(record.RateAt)
			t.quota = b.restoredBucket(record.Quota, record.QuotaAt, t.quota)
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

// restoredShare is a served share that is taken over.
func (b *Balancer) restoredShare(asked, served float64, at Millis) servedShare {
	return servedShare{inRange(asked, 0, maxRestoredShare, 0), inRange(served, 0, maxRestoredShare, 0), b.restoredAt(at)}
}

// restoredBucket is a token bucket that is taken over.
func (b *Balancer) restoredBucket(left float64, refilledAt Millis, otherwise tokenBucket) tokenBucket {
	return tokenBucket{inRange(left, -maxRestoredCount, maxRestoredCount, otherwise.left), b.restoredAt(refilledAt)}
}

func (b *Balancer) restoreServer(s *server, record ServerRecord) {
	s.score = inRange(record.Score, 0, maxRestoredCount, s.score)
	s.timing = serverTiming{
		latency:   inRange(record.Latency, 0, maxRestoredTime, s.timing.latency),
		unitTime:  inRange(record.UnitTime, 0, maxRestoredTime, s.timing.unitTime),
		measured:  record.Measured,
		outcomeAt: b.restoredAt(record.OutcomeAt),
	}
	s.outlier = ejectionState{
		consecutiveFailures: max(0, record.ConsecutiveFailures),
		ejected:             record.Ejected,
		trialAt:             max(b.now-maxRestoredAge, min(b.now+ejectionTime, record.TrialAt)),
	}
	s.load.others = inRange(record.OthersLoad, -maxRestoredCount, maxRestoredCount, s.load.others)
	s.load.othersAverage = inRange(record.OthersAverage, -maxRestoredCount, maxRestoredCount, s.load.othersAverage)
	s.load.reportedAt = 0
	if record.ReportedAt != 0 {
		s.load.reportedAt = b.restoredAt(record.ReportedAt)
	}
	s.slowStart.budget = b.restoredBucket(record.Budget, record.BudgetAt, s.slowStart.budget)
	s.estimate.at = estimateOutdated
	s.outcomes.restore(record, b.now)
	s.outcomes.failedAt = b.restoredAt(record.FailedAt)
	for name, share := range record.ClassFailures {
		if c := b.classes[name]; c != nil {
			*s.classFailure(c) = failureRate{
				share:     inRange(share, 0, 1, 0),
				observed:  true,
				updatedAt: b.restoredAt(record.ClassFailureAt[name]),
			}
		}
	}
}

// restore takes over outcomes, those of the future as ones of now.
func (w *outcomeWindow) restore(record ServerRecord, now Millis) {
	newest := int64(now / outcomeBucketLength)
	for i := range min(len(record.Successes), len(record.Failures), len(record.Buckets), outcomeBucketCount) {
		w.buckets[i] = outcomeBucket{min(newest, record.Buckets[i]), restoredOutcomes(record.Successes[i]), restoredOutcomes(record.Failures[i])}
	}
	w.recentLen = 0
	w.recentPos = 0
	for _, success := range record.Recent[:min(len(record.Recent), recentOutcomeCount)] {
		w.pushRecent(success)
	}
}

// restoredOutcomes is a number of outcomes that is taken over.
func restoredOutcomes(n int) int { return max(0, min(maxRestoredCount, n)) }
