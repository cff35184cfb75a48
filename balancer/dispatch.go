package balancer

import (
	"math"
	"slices"
	"sort"
)

// This file decides which of the waiting requests go on now, and which have no chance any more.

// dispatch sends what can make its aim, most valuable first, and gives up at once on what cannot.
func (l *Balancer) dispatch() {
	if len(l.heldQueue) == 0 {
		return
	}
	if l.now >= l.scoredAt+cycle { // when a request needs it: most cycles of a node may see none
		l.runScores()
	}
	queue := l.heldQueue
	l.heldQueue = nil
	for _, r := range queue {
		r.value = l.marginalWorth(r)
	}
	sort.SliceStable(queue, func(i, j int) bool { return queue[i].value > queue[j].value })
	ahead := 0.0
	if l.missedAt != l.now { // one that found no place at this time need not look again for each event
		l.missedAt, l.misses = l.now, 0
	}
	probing := slices.ContainsFunc(l.list, func(s *server) bool { return s.probeOut })
	for _, r := range queue {
		if r.done {
			continue
		}
		if probing && l.now < r.probing {
			l.heldQueue = append(l.heldQueue, r)
			continue
		}
		if l.misses < missLimit {
			if s := l.pick(r); s != nil {
				l.send(r, s)
				continue
			}
			if !r.mayRun { // one bound to a lost group must not keep the rest from being looked at
				l.misses++
			}
		}
		if l.cannotFinish(r, ahead) {
			l.giveUp(r, NoCapacity)
			continue
		}
		if l.now > r.probing+askAgain*l.unit {
			l.askLoad(r)
		}
		ahead += r.cost
		l.heldQueue = append(l.heldQueue, r)
	}
	l.wakeSweep()
}

// cannotFinish says that a held request cannot make its aim: refusing early spares servers and clients.
func (l *Balancer) cannotFinish(r *request, ahead float64) bool {
	best, n := math.Inf(1), 0
	for _, s := range l.list {
		if !r.mayRun && l.quickestAt == l.now { // the same for all that are free to go anywhere
			best, n = l.quickest*r.cost, len(l.list)
			break
		}
		if l.allowed(r, s) && !(r.mayRun && (s.excluded || r.tried(s))) { // its group may be lost as a whole
			best = min(best, l.feltUnit(s)*r.cost)
			n++
		}
	}
	if n == 0 {
		return true
	}
	if !r.mayRun {
		l.quickest, l.quickestAt = best/r.cost, l.now
	}
	wait := ahead * l.unit * float64(l.set.Nodes) / float64(n) / math.Round(l.width)
	return wait+best > min(l.idleTolerance()*l.timeLeft(r), idleShare*r.class.guard)
}
