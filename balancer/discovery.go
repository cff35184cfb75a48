package balancer

import (
	"math"
	"slices"
)

// This file follows the list of servers that discovery tells.

// ask subscribes. A lost answer is asked for again well before this node is deemed informed.
func (l *Logic) ask() {
	l.asking = true
	l.do(Watch{})
	l.askAt = l.now + l.askWait()
	l.do(SetTimer{"ask", l.askAt})
}

func (l *Logic) serverList(e ServerList) {
	live := e.Form == ListDelta && l.informed && math.IsInf(l.lateAt, 1)
	switch e.Form {
	case ListFailed:
		l.listFailed()
		return
	case ListLate:
		l.lateAt = l.now
		l.logf("server list: news may be late, preferring servers that just took requests of ours")
		return
	case ListFull, ListDelta:
		l.lateAt, l.informed = math.Inf(1), true
		if l.asking {
			l.asking, l.subscribe, l.askDelay = false, true, askFirstWait
		}
	}
	named := map[ServerID]bool{}
	for _, entry := range e.Entries {
		named[entry.ID] = true
		l.learn(entry, live)
	}
	l.list = l.list[:0]
	for _, s := range l.known {
		if e.Form != ListDelta && !named[s.ID] {
			s.State = Gone
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
func (l *Logic) listFailed() {
	l.asking, l.subscribe = false, false
	if !l.set.Subscribe {
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
func (l *Logic) learn(e ServerEntry, live bool) {
	s := l.servers[e.ID]
	if s != nil && (e.State != Ready || e.Started == s.Started && e.Zone == s.Zone && e.Cell == s.Cell) {
		s.State, s.Size = e.State, e.Size // what ran there stays in its group, which an entry of one gone may lack
		return
	}
	fresh := &server{ServerEntry: e, coldSince: l.slowStart(e.Started, live), outcomeAt: l.now,
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
