package balancer

// This file takes new requests in: their aims, and the load reports asked for them.

func (l *Balancer) arrive(e Arrival) {
	c := l.classes[e.Class]
	if l.requests[e.ID] != nil {
		return
	}
	if c == nil {
		l.do(Reject{ID: e.ID, Reason: UnknownClass})
		return
	}
	r := &request{id: e.ID, class: c, tenant: l.tenants[e.Tenant], arrived: l.now, expires: e.Deadline, cost: 1}
	if l.set.KeyAffinity && e.Key != "" {
		r.key = hash(e.Key)
	}
	if e.WorkHint > 0 {
		r.cost = l.hintCost(e.WorkHint)
	}
	l.requests[r.id] = r
	r.subject = subject{e.Key, c}
	l.setAim(r, e.IsRetry)
	l.upload(r, e.UploadTimeout)
	if back, ok := l.refused[r.subject]; ok && l.now < back.until { // not marked, but surely the same again
		delete(l.refused, r.subject)
		r.aimAt, r.late = back.aimAt, back.aimAt <= l.now
	}
	l.countArrival(r, e.IsRetry)
	if r.late && c.LateFraction <= 0 { // worth nothing by now: work on it would make others late as well
		l.giveUp(r, LateRetry)
		return
	}
	if l.cut(c, e.SamplingMark) {
		l.giveUp(r, FleetOverload)
		return
	}
	l.hold(r)
	l.askLoad(r)
	l.dispatch()
}

// setAim dates the aim. A try shorter than the longest seen is cut by the client's total wait, so its first
// try began a hard limit before it expires.
func (l *Balancer) setAim(r *request, retry bool) {
	c := r.class
	left := r.expires - l.now
	c.longestTry = max(c.longestTry, left)
	aim := c.LatencyObjective + c.ObjectivePerWork*r.cost*l.unit
	r.aimAt = l.now + aim
	if retry && left < c.longestTry-1 {
		r.aimAt = min(r.aimAt, r.expires-c.TotalTimeout+aim)
	} else if retry { // somewhere between just now and the earliest that would have cut it
		r.aimAt -= min((c.TotalTimeout-c.longestTry)/2, retryAge*aim)
	}
	r.late = r.aimAt <= l.now
}

// askLoad probes a few servers, drawn by score, of unknown load.
func (l *Balancer) askLoad(r *request) {
	if !l.set.ProbesAllowed || !l.set.LoadReports || len(l.list) < 2 {
		return
	}
	asked, open := 0, l.candidates(r)
	first, second := l.homes(r)
	for i := 0; i < probeWidth; i++ {
		s := l.draw(open)
		if i < 2 && first != nil {
			s = []*server{first, second}[i]
		}
		dear := s != nil && s.idle < 1 && l.set.HandshakePrice > l.set.ProbePrice/2 // it costs a connection as well
		if s == nil || dear || s.probeOut || l.now-s.reportAt < reportFresh || !l.probes.take() {
			continue
		}
		s.probeOut, s.idle = true, max(0, s.idle-1)
		l.do(ProbeLoad{s.ID})
		asked++
	}
	if asked > 0 && l.probeTook <= l.probeWait() { // else their answers come too late for it
		r.probing = l.now + l.probeWait()
		l.do(SetTimer{"probes", r.probing})
	}
}
