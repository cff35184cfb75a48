package balancer

import (
	"math"
	"slices"
)

const (
	// initialPollBackoff, in ms, is the backoff after a first failed poll: one failure may be chance.
	initialPollBackoff = 200.0
	// pollSpreadPerNode, in ms, spreads the first calls of nodes that start together: a hundred
	// calls a second in all.
	pollSpreadPerNode = 10.0
	// pollBackoffPerNode, in ms, is the least backoff for each other node: forty polls a second in all.
	pollBackoffPerNode = 25.0
	// maxPollBackoffBase, in ms, is the longest backoff before jitter, and jitter is what a backoff
	// is multiplied by: from minPollJitter to minPollJitter+1.
	maxPollBackoffBase = 2000.0
	minPollJitter      = 0.5
	// MaxPollBackoff, in ms, is the longest that the balancer waits from a failed call for the
	// endpoint list to the next one. What else a call waits for has to fit with it into the time
	// within which a change of the list must be known.
	MaxPollBackoff = (minPollJitter + 1) * maxPollBackoffBase
	// pollAnswerTimeout, in ms, is when the answer to a poll is taken to be lost.
	pollAnswerTimeout = 5000
)

// endpointPolling is how this node follows the endpoint list.
type endpointPolling struct {
	listReceived bool   // discovery has sent the list since the start
	staleSince   Millis // since when changes of the list may be missing; +Inf: the list is current
	backoff      Millis // before jitter
	nextAt       Millis // time of the next poll
	pending      bool   // a poll is out
	watching     bool   // a poll was answered, and changes come by themselves
}

// stale reports whether changes of the list may be missing, as an UpdateStale said.
func (p *endpointPolling) stale() bool { return !math.IsInf(p.staleSince, 1) }

// startPolling schedules the first call for the list. Nodes that start together must not all call
// at once: most calls would fail.
func (b *Balancer) startPolling() {
	if !b.settings.WatchEndpoints {
		return
	}
	spread := min(pollSpreadPerNode*float64(b.fleet.size-1), b.pollInterval(), MaxPollBackoff)
	b.schedulePoll(b.now + b.rng.Float64()*spread)
}

func (b *Balancer) schedulePoll(at Millis) {
	b.polling.nextAt = at
	b.emit(SetTimer{timerPoll, at})
}

// handlePollTimer polls the list, if a poll is due and no watch is open.
func (b *Balancer) handlePollTimer() {
	if b.settings.WatchEndpoints && !b.polling.watching && b.now >= b.polling.nextAt {
		b.pollEndpoints()
	}
}

// pollEndpoints polls the list; the answer may become a watch. If the answer is lost, the next call
// follows well before this node counts as informed.
func (b *Balancer) pollEndpoints() {
	b.polling.pending = true
	b.emit(WatchEndpoints{})
	b.schedulePoll(b.now + b.pollInterval())
}

// pollInterval is the longest time between two polls, in ms.
func (b *Balancer) pollInterval() Millis {
	if b.settings.MaxPollInterval > 0 {
		return min(pollAnswerTimeout, b.settings.MaxPollInterval/2)
	}
	return pollAnswerTimeout
}

func (b *Balancer) handleEndpointUpdate(e EndpointUpdate) {
	// A change in a list that was followed without a gap is news: a server that it reports as
	// started has just started.
	live := e.Kind == DeltaUpdate && b.polling.listReceived && !b.polling.stale()
	switch e.Kind {
	case UpdateFailed:
		b.handleUpdateFailed()
		return
	case UpdateStale:
		b.polling.staleSince = b.now
		b.logf("endpoint list: changes may be missing, preferring servers that just answered")
		return
	case FullUpdate, DeltaUpdate:
		b.handleListReceived()
	}
	b.applyEndpoints(e, live)
	b.forgetRemovedServers()
	b.assignGossipTags()
	b.servers.version++
	b.updateScores()
	b.dispatchQueue()
}

func (b *Balancer) handleListReceived() {
	b.polling.staleSince = math.Inf(1)
	b.polling.listReceived = true
	if b.polling.pending {
		b.polling.pending = false
		b.polling.watching = true
		b.polling.backoff = initialPollBackoff
	}
}

// applyEndpoints takes the entries in. What a complete list doesn't name has been removed.
func (b *Balancer) applyEndpoints(e EndpointUpdate, live bool) {
	named := map[ServerID]bool{}
	for _, entry := range e.Endpoints {
		named[entry.ID] = true
		b.addEndpoint(entry, live)
	}
	b.servers.ready = b.servers.ready[:0]
	for _, s := range b.servers.known {
		if e.Kind != DeltaUpdate && !named[s.ID] {
			s.State = Removed
		}
		if s.State == Ready {
			b.servers.ready = append(b.servers.ready, s)
		}
	}
}

// addEndpoint takes in one entry. A server that has restarted, or moved to another zone or cell,
// begins without a record.
func (b *Balancer) addEndpoint(entry Endpoint, live bool) {
	s := b.servers.byID[entry.ID]
	if s != nil && (entry.State != Ready || sameProcess(s.Endpoint, entry)) {
		// Zone and cell stay: an entry of a removed server may lack them, and what ran there stays
		// in its dedup scope.
		s.State = entry.State
		s.Capacity = entry.Capacity
		return
	}
	fresh := b.newServer(entry, live)
	b.servers.byID[entry.ID] = fresh
	if s == nil {
		b.servers.known = append(b.servers.known, fresh)
		return
	}
	b.servers.known[slices.Index(b.servers.known, s)] = fresh
}

// sameProcess reports whether two entries of one server name the same process at the same place.
func sameProcess(a, b Endpoint) bool {
	return a.Started == b.Started && a.Zone == b.Zone && a.Cell == b.Cell
}

func (b *Balancer) newServer(entry Endpoint, live bool) *server {
	s := &server{Endpoint: entry, zoneFailures: b.zoneRecord(entry.Zone)}
	s.slowStart.since = b.slowStartBegin(entry.Started, live)
	// Each node is in a random phase of its budget, so that their first requests don't come at once.
	s.slowStart.budget = tokenBucket{left: b.rng.Float64(), refilledAt: b.now}
	s.timing.outcomeAt = b.now
	s.timing.unitTime = b.typicalUnitTime(s)
	s.timing.latency = s.timing.unitTime
	b.setInitialScore(s)
	return s
}

// handleUpdateFailed schedules the next poll after a backoff with jitter, which is longer the more
// nodes there are: all lose discovery together, and polls that all came back at once would keep it
// overloaded.
func (b *Balancer) handleUpdateFailed() {
	b.polling.pending = false
	b.polling.watching = false
	if !b.settings.WatchEndpoints {
		return
	}
	if b.polling.backoff == initialPollBackoff { // the first of a row
		b.logf("endpoint list: call failed, keeping %d servers, retrying", len(b.servers.ready))
	}
	least := pollBackoffPerNode * float64(b.fleet.size-1)
	backoff := min(maxPollBackoffBase, max(b.polling.backoff, least))
	nextAt := b.now + backoff*(minPollJitter+b.rng.Float64())
	b.polling.backoff = min(backoff*2, maxPollBackoffBase)
	b.schedulePoll(nextAt)
}

// mayBeDraining reports whether a server may have been told to drain without this node's knowing: the
// list is overdue by more than half the drain grace, and for as long no attempt there was answered.
// A server that drains takes nothing new.
func (b *Balancer) mayBeDraining(s *server) bool {
	return b.now > max(b.polling.staleSince, s.attempts.latestAnswered)+b.settings.DrainGrace/2
}

// logZoneChanges logs once when a zone begins to be avoided, and once when nearly all attempts
// there are answered again. In between it logs nothing.
func (b *Balancer) logZoneChanges() {
	for _, name := range sortedKeys(b.zones) {
		switch record := b.zones[name]; {
		case !record.logged && b.zoneFailureShare(record) > 0:
			record.logged = true
			b.logf("zone %s: %.0f%% of the attempts there stay unanswered and another zone answers, preferring that",
				name, 100*b.zoneUnansweredShare(record))
		case record.logged && b.zoneUnansweredShare(record) < successGain:
			record.logged = false
			b.logf("zone %s: as good as the others again, or not tried for long", name)
		}
	}
}
