package balancer

// This file takes new requests in: their aims, and the load reports asked for them.

func (l *Logic) arrive(e Arrival) {
	c := l.classes[e.Class]
	if l.requests[e.ID] != nil {
		return
	}
	if c == nil {
		l.do(Refuse{ID: e.ID, Why: NoClass})
		return
	}
	r := &request{id: e.ID, class: c, tenant: l.tenants[e.Tenant], arrived: l.now, expires: e.Expires, cost: 1}
	if l.set.WarmKeys && e.Key != "" {
		r.key = hash(e.Key)
	}
	if e.Hint > 0 {
		r.cost = l.hintCost(e.Hint)
	}
	l.requests[r.id] = r
	r.subject = subject{e.Key, c}
	l.setAim(r, e.Retry)
	l.upload(r, e.Uploading)
	if back, ok := l.refused[r.subject]; ok && l.now < back.until { // not marked, but surely the same again
		delete(l.refused, r.subject)
		r.aimAt, r.late = back.aimAt, back.aimAt <= l.now
	}
	l.countArrival(r, e.Retry)
	if r.late && c.LateShare <= 0 { // worth nothing by now: work on it would make others late as well
		l.giveUp(r, Stale)
		return
	}
	if l.cut(c, e.Mark) {
		l.giveUp(r, FleetCut)
		return
	}
	l.hold(r)
	l.askLoad(r)
	l.dispatch()
}

// setAim dates the aim. A try shorter than the longest seen is cut by the client's total wait, so its first
// try began a hard limit before it expires.
func (l *Logic) setAim(r *request, retry bool) {
	c := r.class
	left := r.expires - l.now
	c.longestTry = max(c.longestTry, left)
	aim := c.Aim + c.AimStretch*r.cost*l.unit
	r.aimAt = l.now + aim
	if retry && left < c.longestTry-1 {
		r.aimAt = min(r.aimAt, r.expires-c.HardLimit+aim)
	} else if retry { // somewhere between just now and the earliest that would have cut it
		r.aimAt -= min((c.HardLimit-c.longestTry)/2, retryAge*aim)
	}
	r.late = r.aimAt <= l.now
}

// askLoad probes a few servers, drawn by score, of unknown load.
func (l *Logic) askLoad(r *request) {
	if !l.set.MayProbe || !l.set.Reports || len(l.list) < 2 {
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
		l.do(Probe{s.ID})
		asked++
	}
	if asked > 0 && l.probeTook <= l.probeWait() { // else their answers come too late for it
		r.probing = l.now + l.probeWait()
		l.do(SetTimer{"probes", r.probing})
	}
}
