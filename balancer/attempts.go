package balancer

// startAttempt sends a request to a server and updates the state of both.
func (b *Balancer) startAttempt(r *request, s *server) {
	s.slowStart.budget.available -= r.work // the budget has no effect outside slow start
	b.gossip.loadsChanged = true
	if r.bodyPending {
		s.attempts.awaitingBody++
	}
	r.attempts = append(r.attempts, attempt{
		server:           s,
		group:            s.dedupGroup(r.class),
		sentAt:           b.attemptStart(r),
		serviceRounds:    max(1, b.serviceRounds(b.estimatedRequests(s), r.work)),
		expectedDuration: b.expectedTime(s, r),
		open:             true,
	})
	r.queued = false
	r.openAttempts++
	s.attempts.inFlight++
	s.attempts.requests = append(s.attempts.requests, r)
	s.idleConnections = max(0, s.idleConnections-1)
	s.estimate.computedAt = estimateOutdated
	b.openAttempts++
	b.emit(StartAttempt{
		ID:            r.id,
		Server:        s.ID,
		Group:         s.dedupGroup(r.class),
		Deadline:      r.deadline,
		WriteDeadline: r.dedup.until,
	})
	b.scheduleSweep()
}

func (b *Balancer) handleAttemptCompleted(e AttemptCompleted) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := &r.attempts[e.Attempt]
	s := a.server
	b.closeAttempt(r, a, e.Outcome)
	b.recordLoadReport(s, e.Report)
	// A successful attempt was at the server, so a load report that omitted it was outdated by missingAfter.
	if e.Outcome == OK {
		b.estimate.reportLag += reportLagSmoothing * (a.missingAfter - b.estimate.reportLag)
	}
	b.recordAttemptOutcome(s, r, a, e.Outcome, e.Elapsed)
	if e.Outcome.mayHaveRun() {
		r.markMayHaveRun(a)
	}
	switch {
	case r.finished:
		b.removeIfNoOpenAttempts(r)
	case e.RequestFinished || e.Outcome == OK:
		if e.Outcome == OK && b.now <= r.objectiveAt {
			b.addToServedFractions(r, func(s *servedFraction, weight float64) { s.served += weight })
		}
		b.finishRequest(r)
	case r.openAttempts == 0 && !r.queued && e.Undeliverable:
		b.rejectOrFail(r, AttemptsExhausted)
	case r.openAttempts == 0 && !r.queued:
		b.retryOrGiveUp(r, e.Outcome)
	}
	b.dispatchQueue()
}

// closeAttempt marks an attempt as ended and removes it from the counts of its request and its server.
func (b *Balancer) closeAttempt(r *request, a *attempt, outcome Outcome) {
	s := a.server
	b.markBodyDelivered(a)
	a.open = false
	r.openAttempts--
	b.openAttempts--
	b.gossip.loadsChanged = true
	s.attempts.inFlight--
	s.recordConnection(outcome)
	s.estimate.computedAt = estimateOutdated
	if a.missing {
		s.attempts.missing--
	}
	s.removeRequest(r)
}

// mayHaveRun reports whether the server may have started to process the request.
func (o Outcome) mayHaveRun() bool {
	return o != Overloaded && o != Unreachable && o != NotSent
}
