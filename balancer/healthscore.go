package balancer

import (
	"math"
	"sort"
)

// This file scores the health of servers, zones and classes from the outcomes of attempts.

// runScores scores each ready server from 0 to 1 and renews the typical unit time.
func (l *Balancer) runScores() {
	l.scoredAt = l.now
	l.tellZones()
	var units []float64
	best := math.Inf(1)
	for _, s := range l.list {
		if s.seen && l.now < s.outcomeAt+staleAfter+staleDecay { // those shunned would hold the typical up
			u := s.unit * l.pace
			if l.set.CapacitiesListed && s.Capacity > 0 {
				u *= s.Capacity
			}
			units = append(units, u)
		}
		best = min(best, l.effectiveLatency(s))
	}
	if len(units) > 0 {
		sort.Float64s(units)
		l.unit = units[len(units)/2]
	}
	for _, s := range l.list {
		if s.recentLen == 0 {
			continue // a newcomer keeps the others' mean
		}
		good := weightLatency*best/l.effectiveLatency(s) + weightErrors*(1-s.errorRate(l.now))
		s.score = (good + weightRecent*s.recentRate()) / (weightLatency + weightErrors + weightRecent)
	}
}

// effectiveLatency is the smoothed latency, raised at once by attempts that stay out longer: silence counts
// before the outcome arrives. Evidence that nothing renews fades toward the typical.
func (l *Balancer) effectiveLatency(s *server) Millis {
	return max(1e-3, l.fade(s, s.latency), l.overdue(s, false))
}

// smoothUnit is the time a server takes for each request in its hands.
func (l *Balancer) smoothUnit(s *server) Millis {
	unit := l.fade(s, s.unit*l.pace)
	if !s.seen {
		unit = l.typicalUnit(s) // not the guess of its first moment
	}
	return max(1e-3, max(herdFloor*l.typicalUnit(s), unit)/l.speed(s), l.overdue(s, true))
}

// observe books an attempt's outcome to its server's health.
func (l *Balancer) observe(s *server, r *request, a *attempt, result Outcome, elapsed Millis) {
	if result == NotSent || (result == Cancelled && elapsed < a.expected) {
		return // tells nothing of the server
	}
	good := result == OK
	l.noteZone(s, result, elapsed)
	if l.noteClass(s, r.class, result) && !good {
		return
	}
	if result != Cancelled {
		s.note(l.now, good)
	}
	felt := elapsed
	if !good { // a quick error must not look like a quick answer, a lost one not like a long queue
		felt = r.class.LatencyObjective
	}
	gain := 1 - (1-latencyGain)*math.Exp(-(l.now-s.outcomeAt)/staleDecay) // an old record counts for less
	if !s.seen {
		gain = 1 // the first outcome replaces the guess
	}
	s.latency += gain * (felt - s.latency)
	// What slows all down shows in all answers, long before each server's own record.
	unit := l.warmed(s, elapsed/a.queueRounds, good)
	if good && s.seen {
		l.pace += paceGain*(min(paceMost, max(1/paceMost, unit/max(1e-3, s.unit)))-l.pace) + paceRest*(1-l.pace)
	}
	unit /= l.pace
	if good || (result == TimedOut || result == Cancelled) && unit > s.unit && !s.passed(a) {
		s.unit += gain * (unit - s.unit)
	}
	if s.seen = s.seen || good; good {
		s.answeredTo = max(s.answeredTo, a.sentAt)
	}
	s.outcomeAt = l.now
	l.ejectOrKeep(s, result, a.sentAt)
}

// noteClass books an outcome to its class and tells whether the fault is the class's own at this server: it
// fails there while another class is served well. Such failures, and such silence, say nothing about the
// server; counting them would shun a server that is good for all the rest.
func (l *Balancer) noteClass(s *server, c *classState, result Outcome) bool {
	if result == Overloaded || result == Cancelled {
		return false
	}
	h := s.class(c)
	h.bad, h.tried = l.classBad(s, c), true
	if h.at = l.now; result == OK {
		h.bad -= classGood * h.bad
		return false
	}
	h.bad += classWorse * (1 - h.bad)
	return l.classFault(s, c)
}

func (l *Balancer) classFault(s *server, c *classState) bool {
	if l.classBad(s, c) < classFaulty {
		return false
	}
	for i := range s.classes {
		if h := &s.classes[i]; i != c.index && h.tried && h.bad < classFaulty/3 {
			return true
		}
	}
	return false
}

// zoneFault is a zone's share of sends with nothing back, 0 but where another zone answers: it is lost or cut
// off from here. A node that meets each server once in seconds would else wait for every one there in turn.
func (l *Balancer) zoneFault(zone *classHealth) float64 {
	if zone.bad < zoneSilent {
		return 0
	}
	bad := l.zoneBad(zone)
	for _, h := range l.zones {
		if bad >= zoneSilent/2 && h.tried && l.zoneBad(h) < bad/3 {
			return bad
		}
	}
	return 0
}
