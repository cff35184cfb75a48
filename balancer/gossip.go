package balancer

import "math"

// This file decides what nodes tell one another and what of it counts.

// tell lets the other nodes know what this one has at each server and how its sends there ended, as often as
// may be paid for. Where reading a message costs them all more than a request may, nothing is told.
func (l *Balancer) tell() {
	if !l.set.GossipAllowed || l.set.Nodes < 2 || l.tellings.left <= 0 || l.now < l.toldAt+tellEvery {
		return
	}
	readers := float64(l.set.Nodes - 1)
	if l.set.CPUPerRequest > 0 && readers*readCost > l.set.CPUPerRequest {
		return
	}
	var body []byte
	if l.now >= l.toldOutcomesAt+outcomesEvery {
		body, l.toldOutcomesAt = l.message(tellOutcomes), l.now
	}
	if len(body) <= 1 { // no failures to tell of
		if !l.changed && l.now < l.toldAt+toldOld/3 {
			return
		}
		body, l.changed = l.message(tellLoads), false
	}
	l.tellings.left -= l.set.GossipPrice * readers * float64(len(body)) / MaxGossipBytes
	l.toldAt = l.now
	l.do(BroadcastGossip{body})
}

// badShare is a server's failure share by what this node saw and the others told, those counting half.
func (l *Balancer) badShare(s *server) float64 {
	if !l.set.GossipAllowed || len(s.told) == 0 && s.failedAt < l.now-bucketCount*bucketLen {
		return 0
	}
	ok, fail := s.window(l.now)
	bad, all := float64(fail), float64(ok+fail)+badPrior
	for _, t := range s.told {
		if t.kind == tellOutcomes && l.now < t.at+3*outcomesEvery {
			bad, all = bad+t.b/2, all+(t.a+t.b)/2
		}
	}
	row := (1 - math.Pow(0.5, float64(s.failures))) * math.Exp(-(l.now-s.outcomeAt)/staleDecay)
	return max(row, bad/all) // what just failed here in a row is likelier to fail than its long record says
}
