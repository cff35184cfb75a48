package balancer

import (
	"math"
	"slices"
)

// This file estimates what a server has in hand and how long a send to it would take.

// findLost marks the attempts out at a server that its report does not hold, oldest first, of those that
// an answer to a later send has passed or that take far longer than expected. They are no load, and their
// silence says nothing of its speed. One that may be repeated is sent elsewhere while it is in time, at no
// cost to the budget: no server has work of it.
func (l *Balancer) findLost(s *server, load LoadReport) {
	missing := -load.InFlight
	for _, r := range s.open {
		if l.now-r.at(s).sentAt > reportFresh {
			missing++
		}
	}
	s.lost = 0
	for _, r := range slices.Clone(s.open) {
		a := r.at(s)
		if a.sentAt > l.now { // no server has it yet
			continue
		}
		out, known := l.now-a.sentAt, a.lost
		if missing >= 1 && a.missed == 0 {
			a.missed = out
		}
		a.lost = missing >= 1 && out > reportFresh+2*l.lag &&
			(a.sentAt < s.answeredTo || out > lostAfter*a.expected)
		if !a.lost {
			continue
		}
		missing--
		s.lost++
		if !known && l.set.CancelAllowed && !r.done && r.class.Idempotency != NonIdempotent && l.now < r.aimAt {
			l.do(CancelAttempt{r.id, r.number(a)})
		}
	}
}

// estimatedLoad estimates the requests a server has in hand. Reports age toward their mean.
func (l *Balancer) estimatedLoad(s *server) float64 {
	own := float64(s.inflight - s.lost - s.ahead)
	if s.doubt = 0; !l.set.LoadReports {
		return own
	}
	s.doubt = 1
	usual := l.usualOthers(s)
	usual += l.news() * math.Sqrt(usual) // one standard deviation more than the mean, where others are known
	if l.hearing() {
		trust := math.Exp(-l.hearGap / (4 * max(1, l.unit))) // half a gap old in the mean
		usual += trust * (s.toldLoad() - usual)
		s.doubt -= trust
	}
	if s.reportAt == 0 {
		return own + usual
	}
	known := math.Exp(-(l.now - s.reportAt + l.lag) / (2 * max(1, l.unit)))
	s.doubt *= 1 - known
	return own + usual + (s.others-usual)*known
}

// queueRounds is how many requests' times pass until a server that holds so many is done with one more: it
// works on several at once, as the reports of queues show, and only what is beyond them waits.
func (l *Balancer) queueRounds(ahead, cost float64) float64 {
	width := math.Round(l.width)
	return cost + max(0, ahead+1-width)/width
}

func (l *Balancer) probeEnd(e LoadProbeCompleted) {
	s := l.servers[e.Server]
	if s == nil {
		return
	}
	s.probeOut = false
	s.connection(e.Outcome)
	l.ease = min(1, l.ease+probeEase/10)
	switch e.Outcome {
	case OK:
		l.probeTook += widthGain * (e.Elapsed - l.probeTook)
		l.report(s, e.Report)
	case Overloaded:
		l.ease *= 1 - probeEase
	case TimedOut:
		l.ease *= 1 - probeEase
		l.probeTook += widthGain * (e.Elapsed - l.probeTook)
		if l.set.ReportsFromProbesOnly && e.Elapsed <= lostAfter*l.probeTook {
			break // probes wait there like requests: this one shows a queue
		}
		fallthrough
	case Errored, Unreachable, ConnectionLost: // what does not even answer a probe serves nothing
		s.note(l.now, false)
		l.ejectOrKeep(s, e.Outcome, l.now-e.Elapsed)
	}
	l.dispatch()
}
