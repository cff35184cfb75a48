package balancer

// This file takes in how attempts ended.

func (l *Logic) attemptEnd(e AttemptEnd) {
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
	s.connection(e.Result)
	s.lookedAt = -1
	if a.lost {
		s.lost--
	}
	s.drop(r)
	l.report(s, e.Load)
	if e.Result == OK { // a report that missed it was older than it
		l.lag += lagGain * (a.missed - l.lag)
	}
	l.observe(s, r, a, e.Result, e.Elapsed)
	if e.Result != Overloaded && e.Result != Unreachable && e.Result != Void {
		r.ran(a)
	}
	switch {
	case r.done:
		l.forget(r)
	case e.Closed || e.Result == OK:
		if e.Result == OK && l.now <= r.aimAt {
			l.book(r, func(s *share, w float64) { s.served += w })
		}
		l.finish(r)
	case r.open > 0 || r.held:
	default:
		l.again(r, e.Result)
	}
	l.dispatch()
}
