package balancer

import (
	"math"
	"slices"
)

// This file picks the server of a request: candidates, draw by score, and whether there is room.

// allowed says whether the rules let this request go to this server at all.
func (l *Balancer) allowed(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	if !r.mayRun || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == NonIdempotent || l.now >= r.boundTo {
		return false
	}
	switch r.class.DedupScope {
	case DedupWithinZone:
		return s.Zone == r.anchor.Zone
	case DedupWithinCell:
		return s.Cell == r.anchor.Cell
	}
	return true
}

// candidates are the servers a request may be drawn to: allowed, with cold budget left, not excluded, not
// tried. An excluded server gets one trial after its cooldown, by a request that can bear a failure. When
// all are excluded, all are candidates.
func (l *Balancer) candidates(r *request) []*server {
	open := l.pool[:0]
	all := !slices.ContainsFunc(l.list, func(s *server) bool { return !s.excluded })
	for _, s := range l.list {
		if !l.allowed(r, s) || !l.coldRoom(s, r.cost) || r.tried(s) {
			continue
		}
		trial := l.now >= s.trialAt && s.inflight == 0 && r.class.Idempotency == l.trialBy && len(r.attempts) == 0
		if all || !s.excluded || trial {
			open = append(open, s)
		}
	}
	l.pool = open
	if !math.IsInf(l.lateAt, 1) {
		if sure := slices.DeleteFunc(slices.Clone(open), l.uncertain); len(sure) > 0 {
			return sure
		}
	}
	return open
}

// uncertain says that a server may have been told to drain without this node's knowing: its list is late
// by more than half the grace, and so long no request sent there was taken; one that drains takes none.
// Where none is surely taking requests all are open: a lost discovery must not stop the service.
func (l *Balancer) uncertain(s *server) bool {
	return l.now > max(l.lateAt, s.answeredTo)+l.set.DrainGrace/2
}

// draw takes one of the servers in proportion to score.
func (l *Balancer) draw(from []*server) *server {
	sum := 0.0
	for _, s := range from {
		sum += s.score
	}
	at := l.rng.Float64() * sum
	for i, s := range from {
		if at -= s.score; at < 0 || i == len(from)-1 {
			return s
		}
	}
	return nil
}

// idleTolerance is the expected share of the time left at which a server with nothing in hand may still be
// tried: heavy requests too while much of the fleet is idle, since hints are rough and nothing else is
// held up.
func (l *Balancer) idleTolerance() float64 {
	if !l.set.LoadReports {
		return idleShare
	}
	return max(idleShare, fitShare+spareRisk*(1-l.crowd))
}

// pick draws a server and redraws while the drawn one is crowded: when a request there would take much
// longer than at the best. Nil when none would answer in time.
func (l *Balancer) pick(r *request) *server {
	first, second := l.homes(r)
	most := saturated * math.Round(l.width) * (l.room(r.class, fitShare) / fitShare)
	limit := min(l.room(r.class, fitShare)*(min(r.aimAt, r.expires)-r.arrived),
		l.room(r.class, heldShare)*l.timeLeft(r))
	blind := max(0, l.timeLeft(r)-limit) * (1 - l.news()) // beyond the limit, where nothing is known of the load
	if r.late {
		limit, blind = heldShare*l.timeLeft(r), 0
		most = math.Round(l.width) // what is late must make nothing else late
	}
	limit = min(limit, fitShare*r.class.guard) // spares servers for what is worth more and has less time
	best, open := math.Inf(1), l.candidates(r)
	risk := min(l.idleTolerance()*l.timeLeft(r), idleShare*r.class.guard)
	fit := open[:0]
	// A request's weight, expressed as time.
	whole := r.class.LatencyObjective * l.meanWorth / max(1e-3, r.class.PriorityWeight)
	for _, s := range open {
		cost := r.cost
		if s == first || s == second {
			cost *= 1 - warmGain
		}
		s.expect = l.feltUnit(s) * l.queueRounds(l.occupancy(s), cost)
		if l.occupancy(s) < most && s.expect <= limit+s.doubt*blind ||
			!r.late && l.occupancy(s) < idle && s.expect <= risk {
			s.price = s.expect + (s.bad+l.zoneFault(s.reach))*r.class.LatencyObjective
			if s.Zone != l.set.Zone {
				s.price += l.set.CrossZonePrice * whole
			}
			if s.idle < 1 {
				s.price += l.set.HandshakePrice * whole
			}
			if l.classFault(s, r.class) {
				s.price += l.classBad(s, r.class) * r.class.LatencyObjective
			}
			best = min(best, s.price)
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 && !r.late && l.outstanding == 0 && l.timeLeft(r) > 0 && l.takeExploration() {
		return l.draw(open)
	}
	// To redraw until one is not crowded is to draw among those that are not: each has its part of their scores.
	fit = slices.DeleteFunc(fit, func(s *server) bool { return s.price > best*redrawFactor })
	for _, home := range []*server{first, second} { // a key's homes come before the draw
		if home != nil && slices.Contains(fit, home) {
			return home
		}
	}
	return l.draw(fit)
}

// news is the chance that a request held back hears of a free server: the probes that may be spent on each.
// Where they are dear and nodes many nothing is known of nearly all servers, and waiting tells nothing. To
// hold that against each of them, and to keep time in reserve, refused a fifth while servers had room.
func (l *Balancer) news() float64 {
	if !l.set.ProbesAllowed {
		return 0
	}
	return l.ease * min(1, probeSpend/max(1e-9, l.set.ProbePrice))
}

// room widens a share of the time left where a late answer still earns something: less is lost by a wrong
// guess. But where the goal has a tail, more is.
func (l *Balancer) room(c *classState, share float64) float64 {
	if l.set.Goal.TailLatency > 0 {
		return share
	}
	return share + (1-share)*c.LateFraction
}

// takeExploration rations requests sent where nothing fits: never refuse all on old evidence. One always
// out from each node would hold a crowded fleet down for good where nodes outnumber servers, so the nodes'
// sum is kept to a share of the servers' capacity, in a random phase.
func (l *Balancer) takeExploration() bool {
	rate := explorationShare * float64(len(l.list)) / min(l.unit, l.guess) / float64(l.set.Nodes)
	l.explorations.refill(l.now, rate, 1)
	return l.explorations.take()
}

func (l *Balancer) send(r *request, s *server) {
	s.budget.left -= r.cost
	l.changed = true
	a := attempt{server: s, sentAt: l.begun(r, s), queueRounds: max(1, l.queueRounds(l.occupancy(s), r.cost)),
		expected: l.expected(s, r), open: true}
	r.attempts = append(r.attempts, a)
	r.held, r.open = false, r.open+1
	s.inflight, s.idle = s.inflight+1, max(0, s.idle-1)
	s.lookedAt = -1
	s.open = append(s.open, r)
	l.outstanding++
	l.do(StartAttempt{ID: r.id, Server: s.ID, Deadline: r.expires, WriteDeadline: r.boundTo})
	l.wakeSweep()
}
