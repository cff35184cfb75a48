package balancer

import (
	"math"
	"slices"
)

// This file follows the list of servers that discovery tells.

// ask subscribes. A lost answer is asked for again well before this node is deemed informed.
func (l *Balancer) ask() {
	l.asking = true
	l.do(WatchEndpoints{})
	l.askAt = l.now + l.askWait()
	l.do(SetTimer{"ask", l.askAt})
}

func (l *Balancer) serverList(e EndpointUpdate) {
	live := e.Kind == DeltaUpdate && l.informed && math.IsInf(l.lateAt, 1)
	switch e.Kind {
	case UpdateFailed:
		l.listFailed()
		return
	case UpdateOverdue:
		l.lateAt = l.now
		l.logf("server list: news may be late, preferring servers that just took requests of ours")
		return
	case FullUpdate, DeltaUpdate:
		l.lateAt, l.informed = math.Inf(1), true
		if l.asking {
			l.asking, l.subscribe, l.askDelay = false, true, askFirstWait
		}
	}
	named := map[ServerID]bool{}
	for _, entry := range e.Endpoints {
		named[entry.ID] = true
		l.learn(entry, live)
	}
	l.list = l.list[:0]
	for _, s := range l.known {
		if e.Kind != DeltaUpdate && !named[s.ID] {
			s.State = Removed
		}
		if s.State == Ready {
			l.list = append(l.list, s)
		}
	}
	l.forgetGone()
	l.nameServers()
	l.listed++
	l.runScores()
	l.dispatch()
}

// listFailed retries with jittered pauses that grow, and are longer the more nodes there are: all lose
// discovery together, and a call turned away costs it as much. 80 that came back at once kept it full.
func (l *Balancer) listFailed() {
	l.asking, l.subscribe = false, false
	if !l.set.WatchEndpoints {
		return
	}
	if l.askDelay == askFirstWait { // the first of a row: hundreds of nodes lose it together
		l.logf("server list: call failed, keeping %d servers, asking again", len(l.list))
	}
	l.askDelay = min(askLongest, max(l.askDelay, askEach*float64(l.set.Nodes-1)))
	l.askAt = l.now + l.askDelay*(0.5+l.rng.Float64())
	l.askDelay = min(l.askDelay*2, askLongest)
	l.do(SetTimer{"ask", l.askAt})
}

// learn takes in one entry. A server that started anew, or has another place, begins without a past.
func (l *Balancer) learn(e Endpoint, live bool) {
	s := l.servers[e.ID]
	if s != nil && (e.State != Ready || e.Started == s.Started && e.Zone == s.Zone && e.Cell == s.Cell) {
		// What ran there stays in its group, which the entry of a removed server may lack.
		s.State, s.Capacity = e.State, e.Capacity
		return
	}
	fresh := &server{Endpoint: e, coldSince: l.slowStart(e.Started, live), outcomeAt: l.now,
		budget: tokens{left: l.rng.Float64(), at: l.now},
		reach:  l.zone(e.Zone)}
	fresh.unit = l.typicalUnit(fresh)
	fresh.latency = fresh.unit
	l.newcomer(fresh)
	if l.servers[e.ID] = fresh; s == nil {
		l.known = append(l.known, fresh)
		return
	}
	l.known[slices.Index(l.known, s)] = fresh
}
