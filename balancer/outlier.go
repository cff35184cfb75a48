package balancer

import "math"

// This file ejects servers that fail and readmits them after a trial.

// ejectOrKeep applies the exclusion triggers and the trial. Refusals because a server is full are load, not a
// fault: excluding for them would topple the next. Where a share of all fails a short row is but chance.
func (l *Balancer) ejectOrKeep(s *server, result Outcome, sentAt Millis) {
	switch {
	case s.excluded && sentAt < s.trialAt:
		return // sent before the exclusion: not the trial
	case result == OK:
		s.failures = 0
		if s.excluded {
			l.readmit(s)
		}
		return
	case result == Overloaded || result == Cancelled:
		return
	}
	if sentAt >= s.answeredTo { // in the order of sending: answers to later sends have ended the row
		s.failures++
	}
	if s.excluded {
		s.trialAt = l.now + cooldown
		return
	}
	ok, fail := s.window(l.now)
	before := float64(max(0, fail-s.failures)) / float64(max(1, ok+fail-s.failures))
	row := s.failures >= tripFailures && math.Pow(before, float64(s.failures)) <= tripChance
	if !row && (ok+fail < tripMinimum || float64(fail) < tripRate*float64(ok+fail)) {
		return
	}
	if !l.othersHealthy(s) {
		if !l.shared {
			l.shared = true
			l.logf("no server is well: a shared cause or this node; excluding no more")
		}
		return
	}
	s.excluded, s.trialAt = true, l.now+cooldown
	l.listed++
	l.logf("excluded %s: %d failures in a row, %d of %d in the window", s.ID, s.failures, fail, ok+fail)
}

// othersHealthy says that servers remain that clearly fail less. Where few do the cause is shared, or is this
// node, and excluding one after the other would only heap the load on the last.
func (l *Balancer) othersHealthy(s *server) bool {
	well, left := 0.0, 0.0
	for _, o := range l.list {
		if o != s && !o.excluded && o.recentLen > 0 { // of those never heard of nothing is known
			left++
			if 1-o.recentRate() <= healthyRate*(1-s.recentRate()) {
				well++
			}
		}
	}
	return well > 0 && well >= healthyShare*left
}

func (l *Balancer) readmit(s *server) {
	s.excluded, l.shared = false, false
	s.buckets, s.recentLen, s.recentPos = [bucketCount]bucket{}, 0, 0
	l.newcomer(s)
	l.listed++
	l.logf("readmitted %s after its trial", s.ID)
}
