package balancer

const (
	// The error window covers ten seconds (docs/design.md): outcomeBucketCount buckets of
	// outcomeBucketLength ms each.
	outcomeBucketCount  = 10
	outcomeBucketLength = 1000.0
	// recentOutcomeCount is the number of latest outcomes that the recent success rate covers
	// (docs/design.md).
	recentOutcomeCount = 10
)

// outcomeBucket counts the outcomes of one bucket of the error window.
type outcomeBucket struct {
	index               int64 // start time of the bucket divided by outcomeBucketLength
	successes, failures int
}

// outcomeWindow holds a server's outcome counts of the last ten seconds and its last ten outcomes.
type outcomeWindow struct {
	buckets   [outcomeBucketCount]outcomeBucket
	recent    [recentOutcomeCount]bool // ring buffer; true is a success
	recentLen int
	recentPos int    // index of the next write
	failedAt  Millis // when the last failure was recorded
}

// record adds an outcome to the error window and to the recent outcomes.
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

// reset clears all outcomes. It keeps failedAt.
func (w *outcomeWindow) reset() {
	w.buckets = [outcomeBucketCount]outcomeBucket{}
	w.recentLen = 0
	w.recentPos = 0
}

// oldestFirst returns the recent outcomes in the order in which they were recorded.
func (w *outcomeWindow) oldestFirst() []bool {
	var out []bool
	for i := range w.recentLen {
		out = append(out, w.recent[(w.recentPos-w.recentLen+i+recentOutcomeCount)%recentOutcomeCount])
	}
	return out
}

// outcomeCounts returns the numbers of successes and failures in the error window.
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

// errorRate returns the fraction of failures in the error window.
func (s *server) errorRate(now Millis) float64 {
	successes, failures := s.outcomeCounts(now)
	return float64(failures) / max(1, float64(successes+failures))
}

// recentSuccessRate returns the fraction of successes among the recent outcomes, or 1 if there are none.
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
