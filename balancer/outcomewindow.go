package balancer

const (
	// The error window (ten seconds: docs/design.md) is outcomeBucketCount buckets of
	// outcomeBucketLength ms.
	outcomeBucketCount  = 10
	outcomeBucketLength = 1000.0
	// recentOutcomeCount outcomes make the recent success rate (docs/design.md).
	recentOutcomeCount = 10
)

// outcomeBucket counts the outcomes of one bucket of the error window.
type outcomeBucket struct {
	index               int64 // buckets since the clock's zero
	successes, failures int
}

// outcomeWindow keeps a server's outcomes of the last ten seconds, and its last ten.
type outcomeWindow struct {
	buckets   [outcomeBucketCount]outcomeBucket
	recent    [recentOutcomeCount]bool // a ring: true is a success
	recentLen int
	recentPos int
	failedAt  Millis // when the last failure was recorded
}

// record adds an outcome.
func (w *outcomeWindow) record(now Millis, success bool) {
	index := int64(now / outcomeBucketLength)
	bucket := &w.buckets[((index%outcomeBucketCount)+outcomeBucketCount)%outcomeBucketCount]
	if bucket.index != index {
		*bucket = outcomeBucket{index: index}
	}
	if success {
		bucket.successes++
	} else {
		bucket.failures++
		w.failedAt = now
	}
	w.pushRecent(success)
}

func (w *outcomeWindow) pushRecent(success bool) {
	w.recent[w.recentPos] = success
	w.recentPos = (w.recentPos + 1) % recentOutcomeCount
	w.recentLen = min(w.recentLen+1, recentOutcomeCount)
}

// reset forgets all outcomes, but not when the last failure was.
func (w *outcomeWindow) reset() {
	w.buckets = [outcomeBucketCount]outcomeBucket{}
	w.recentLen = 0
	w.recentPos = 0
}

// oldestFirst are the recent outcomes in the order in which they came.
func (w *outcomeWindow) oldestFirst() []bool {
	var out []bool
	for i := range w.recentLen {
		out = append(out, w.recent[(w.recentPos-w.recentLen+i+recentOutcomeCount)%recentOutcomeCount])
	}
	return out
}

// outcomeCounts are the outcomes in the error window.
func (s *server) outcomeCounts(now Millis) (successes, failures int) {
	index := int64(now / outcomeBucketLength)
	for _, bucket := range s.outcomes.buckets {
		if index-bucket.index < outcomeBucketCount {
			successes += bucket.successes
			failures += bucket.failures
		}
	}
	return successes, failures
}

// errorRate is the share of failures in the error window.
func (s *server) errorRate(now Millis) float64 {
	successes, failures := s.outcomeCounts(now)
	return float64(failures) / max(1, float64(successes+failures))
}

// recentSuccessRate is the share of successes among the last outcomes; 1 without any.
func (s *server) recentSuccessRate() float64 {
	if s.outcomes.recentLen == 0 {
		return 1
	}
	successes := 0
	for i := range s.outcomes.recentLen {
		if s.outcomes.recent[i] {
			successes++
		}
	}
	return float64(successes) / float64(s.outcomes.recentLen)
}
