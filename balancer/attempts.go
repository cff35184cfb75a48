package balancer

// This file takes in how attempts ended.

func (l *Balancer) attemptEnd(e AttemptCompleted) {
	r := l.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := &r.attempts[e.Attempt]
	s := a.server
	l.settle(a)
	a.open, l.changed = false, true
	r.open--
	l.outstanding--
	s.inflight--
	s.connection(e.Outcome)
	s.lookedAt = -1
	if a.lost {
		s.lost--
	}
	s.drop(r)
	l.report(s, e.Report)
	if e.Outcome == OK { // a report that missed it was older than it
		l.lag += lagGain * (a.missed - l.lag)
	}
	l.observe(s, r, a, e.Outcome, e.Elapsed)
	if e.Outcome != Overloaded && e.Outcome != Unreachable && e.Outcome != NotSent {
		r.ran(a)
	}
	switch {
	case r.done:
		l.forget(r)
	case e.Closed || e.Outcome == OK:
		if e.Outcome == OK && l.now <= r.aimAt {
			l.book(r, func(s *share, w float64) { s.served += w })
		}
		l.finish(r)
	case r.open > 0 || r.held:
	default:
		l.again(r, e.Outcome)
	}
	l.dispatch()
}
