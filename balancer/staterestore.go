package balancer

// A transferred state may come from a process of any version and with a different clock. Invalid values are
// replaced by the current values of this process, because a NaN would persist in all later calculations.
// Times of measurements that lie in the future are replaced by now, because such records would not decay
// until this process's clock reaches these times.

const (
	// maxRestoredTime, in ms, limits restored durations.
	maxRestoredTime Millis = 3600e3
	// maxRestoredCount limits restored requests, tokens, work and scores.
	maxRestoredCount = 1e6
	// maxRestoredWeight limits the restored requested and served weights.
	maxRestoredWeight = 1e12
	// maxRestoredAge, in ms, limits the age of restored times. All records have decayed by then.
	maxRestoredAge Millis = 24 * 3600e3
)

// inRangeOr returns the value if it lies between lowest and highest, and the fallback otherwise or for NaN.
func inRangeOr(value, lowest, highest, fallback float64) float64 {
	if value >= lowest && value <= highest {
		return value
	}
	return fallback
}

// restoredTime limits a restored time to the range from maxRestoredAge ago to now.
func (b *Balancer) restoredTime(at Millis) Millis {
	return max(b.now-maxRestoredAge, min(b.now, at))
}

// restore replaces this process's state with a transferred one. It skips servers that have restarted
// since, and servers, classes and tenants that aren't in this process's endpoint list or settings.
func (b *Balancer) restore(state State) {
	e := &b.estimate
	b.setTypicalUnitTime(inRangeOr(state.UnitTime, 0, maxRestoredTime, e.unitTime))
	e.slowdownFactor = inRangeOr(state.SlowdownFactor, 1/maxSlowdownSample, maxSlowdownSample, e.slowdownFactor)
	e.parallelism = inRangeOr(state.Parallelism, 1, maxRestoredCount, e.parallelism)
	e.reportLag = inRangeOr(state.ReportLag, 0, maxRestoredTime, e.reportLag)
	e.meanWorkHint = inRangeOr(state.MeanWorkHint, 0, maxRestoredCount, e.meanWorkHint)
	e.othersLoad = inRangeOr(state.OthersLoad, 0, maxRestoredCount, e.othersLoad)
	b.probing.roundTrip = inRangeOr(state.ProbeRoundTrip, 0, maxRestoredTime, b.probing.roundTrip)
	b.probing.acceptance = inRangeOr(state.Acceptance, 0, 1, b.probing.acceptance)
	b.probing.tokens.available = inRangeOr(state.ProbeTokens, -maxRestoredCount, maxRestoredCount,
		b.probing.tokens.available)
	b.retryBudget.available = inRangeOr(state.RetryTokens, 0, retryBurst, b.retryBudget.available)
	for name, record := range state.Classes {
		if c := b.classes[name]; c != nil {
			c.servedFraction = b.restoredServedFraction(record.Requested, record.Served, record.At)
			c.longestTimeout = inRangeOr(record.LongestTimeout, 0, maxRestoredTime, c.longestTimeout)
		}
	}
	for name, record := range state.Tenants {
		if t := b.tenants[name]; t != nil {
			t.servedFraction = b.restoredServedFraction(record.Requested, record.Served, record.At)
			t.rate = inRangeOr(record.Rate, 0, maxRestoredCount, t.rate)
			t.rateAt = b.restoredTime(record.RateAt)
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

// restoredServedFraction returns a served fraction in which 0 replaces each invalid weight.
func (b *Balancer) restoredServedFraction(requested, served float64, updatedAt Millis) servedFraction {
	return servedFraction{
		inRangeOr(requested, 0, maxRestoredWeight, 0),
		inRangeOr(served, 0, maxRestoredWeight, 0),
		b.restoredTime(updatedAt),
	}
}

// restoredBucket returns a token bucket. An invalid number of tokens is replaced by that of the fallback.
func (b *Balancer) restoredBucket(tokens float64, refilledAt Millis, fallback tokenBucket) tokenBucket {
	return tokenBucket{
		inRangeOr(tokens, -maxRestoredCount, maxRestoredCount, fallback.available),
		b.restoredTime(refilledAt),
	}
}

func (b *Balancer) restoreServer(s *server, record ServerRecord) {
	s.score = inRangeOr(record.Score, 0, maxRestoredCount, s.score)
	s.timing = serverTiming{
		latency:   inRangeOr(record.Latency, 0, maxRestoredTime, s.timing.latency),
		unitTime:  inRangeOr(record.UnitTime, 0, maxRestoredTime, s.timing.unitTime),
		measured:  record.Measured,
		outcomeAt: b.restoredTime(record.OutcomeAt),
	}
	s.outlier = ejectionState{
		consecutiveFailures: max(0, record.ConsecutiveFailures),
		ejected:             record.Ejected,
		trialAt:             max(b.now-maxRestoredAge, min(b.now+ejectionTime, record.TrialAt)),
	}
	s.load.others = inRangeOr(record.OthersLoad, -maxRestoredCount, maxRestoredCount, s.load.others)
	s.load.othersAverage = inRangeOr(record.OthersAverage, -maxRestoredCount, maxRestoredCount,
		s.load.othersAverage)
	s.load.reportedAt = 0
	if record.ReportedAt != 0 {
		s.load.reportedAt = b.restoredTime(record.ReportedAt)
	}
	s.slowStart.budget = b.restoredBucket(record.Budget, record.BudgetAt, s.slowStart.budget)
	s.estimate.computedAt = estimateOutdated
	s.outcomes.restore(record, b.now)
	s.outcomes.failedAt = b.restoredTime(record.FailedAt)
	for name, classRate := range record.ClassFailures {
		if c := b.classes[name]; c != nil {
			*s.classFailure(c) = failureRate{
				rate:      inRangeOr(classRate, 0, 1, 0),
				observed:  true,
				updatedAt: b.restoredTime(record.ClassFailureAt[name]),
			}
		}
	}
}

// restore replaces the outcomes with transferred ones. Outcomes with a time in the future count as recorded
// now.
func (w *outcomeWindow) restore(record ServerRecord, now Millis) {
	newest := int64(now / outcomeBucketLength)
	for i := range min(len(record.Successes), len(record.Failures), len(record.Buckets), outcomeBucketCount) {
		w.buckets[i] = outcomeBucket{
			min(newest, record.Buckets[i]),
			restoredOutcomeCount(record.Successes[i]),
			restoredOutcomeCount(record.Failures[i]),
		}
	}
	w.recentLen = 0
	w.recentPos = 0
	for _, success := range record.Recent[:min(len(record.Recent), recentOutcomeCount)] {
		w.pushRecent(success)
	}
}

// restoredOutcomeCount limits a number of outcomes to the range from 0 to maxRestoredCount.
func restoredOutcomeCount(n int) int { return max(0, min(maxRestoredCount, n)) }
