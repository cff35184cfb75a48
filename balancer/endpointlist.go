package balancer

import (
	"math"
	"slices"
)

const (
	// initialPollBackoff, in ms, is the backoff after the first failed poll. It is short because a single
	// failure may be accidental.
	initialPollBackoff = 200.0
	// pollSpreadPerNode, in ms, is multiplied by the number of other nodes to give the range over which
	// the first polls of nodes that start together are spread: 100 polls per second from the fleet.
	pollSpreadPerNode = 10.0
	// pollBackoffPerNode, in ms, is multiplied by the number of other nodes to give the minimum backoff:
	// 40 polls per second from the fleet.
	pollBackoffPerNode = 25.0
	// maxPollBackoffBase, in ms, is the longest backoff before jitter.
	maxPollBackoffBase = 2000.0
	// minPollJitter is the lowest factor by which jitter multiplies a backoff. The highest factor is
	// minPollJitter+1.
	minPollJitter = 0.5
	// MaxPollBackoff, in ms, is the longest time from a failed poll to the next one. Together with all
	// other delays of a poll, it must not exceed the time within which a node must receive a change of
	// the list.
	MaxPollBackoff = (minPollJitter + 1) * maxPollBackoffBase
	// pollAnswerTimeout, in ms, is the time after which the answer to a poll counts as lost.
	pollAnswerTimeout = 5000
)

// endpointPolling is the state of this node's polls and watch of the endpoint list.
type endpointPolling struct {
	listReceived bool   // discovery has sent the list since this process started
	staleSince   Millis // changes may have been missed since then; +Inf: the list is current
	backoff      Millis // before jitter
	nextAt       Millis // time of the next poll
	pending      bool   // a poll is waiting for its answer
	watching     bool   // a poll was answered and became a watch, which delivers changes
}

// stale reports whether changes of the list may have been missed: an UpdateStale has arrived, and no delta
// or full update since.
func (p *endpointPolling) stale() bool { return !math.IsInf(p.staleSince, 1) }

// startPolling schedules the first poll at a random time. If nodes that start together all polled at
// once, most polls would fail.
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

// handlePollTimer polls the list if a poll is due and no watch is active.
func (b *Balancer) handlePollTimer() {
	if b.settings.WatchEndpoints && !b.polling.watching && b.now >= b.polling.nextAt {
		b.pollEndpoints()
	}
}

// pollEndpoints polls the list; the answer may start a watch. It also schedules the next poll in case the
// answer is lost, early enough to receive changes within MaxPollInterval.
func (b *Balancer) pollEndpoints() {
	b.polling.pending = true
	b.emit(WatchEndpoints{})
	b.schedulePoll(b.now + b.pollInterval())
}

// pollInterval returns the time after which a poll without an answer is repeated, in ms.
func (b *Balancer) pollInterval() Millis {
	if b.settings.MaxPollInterval > 0 {
		return min(pollAnswerTimeout, b.settings.MaxPollInterval/2)
	}
	return pollAnswerTimeout
}

func (b *Balancer) handleEndpointUpdate(e EndpointUpdate) {
	// If no change has been missed, a server that a delta update reports as started has just started.
	noChangeMissed := e.Kind == DeltaUpdate && b.polling.listReceived && !b.polling.stale()
	switch e.Kind {
	case UpdateFailed:
		b.handleUpdateFailed()
		return
	case UpdateStale:
		b.polling.staleSince = b.now
		b.logf("endpoint list is stale, changes may be missing: preferring servers that answered recently")
		return
	case FullUpdate, DeltaUpdate:
		b.handleListReceived()
	}
	b.applyEndpoints(e, noChangeMissed)
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

// applyEndpoints updates the servers from the entries. It marks the servers that a complete list omits
// as removed.
func (b *Balancer) applyEndpoints(e EndpointUpdate, noChangeMissed bool) {
	named := map[ServerID]bool{}
	for _, entry := range e.Endpoints {
		named[entry.ID] = true
		b.addEndpoint(entry, noChangeMissed)
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

// addEndpoint adds or updates one server. A server that has restarted, or moved to another zone, starts
// without its previous state. One that has moved to another cell of its zone keeps it.
func (b *Balancer) addEndpoint(entry Endpoint, noChangeMissed bool) {
	s := b.servers.byID[entry.ID]
	if s != nil && (entry.State != Ready || sameProcess(s.Endpoint, entry)) {
		b.updateEndpoint(s, entry)
		return
	}
	fresh := b.newServer(entry, noChangeMissed)
	b.servers.byID[entry.ID] = fresh
	if s == nil {
		b.servers.known = append(b.servers.known, fresh)
		return
	}
	fresh.inheritMembership(s, b.now)
	b.servers.known[slices.Index(b.servers.known, s)] = fresh
}

// sameProcess reports whether two entries of one server describe the same process in the same zone.
func sameProcess(a, b Endpoint) bool { return a.Started == b.Started && a.Zone == b.Zone }

// updateEndpoint updates a server whose process is the same. Its cell is updated only if it is ready:
// the entry of a removed server may lack it.
func (b *Balancer) updateEndpoint(s *server, entry Endpoint) {
	if entry.State == Ready {
		s.changeCell(entry.Cell, b.now)
	}
	s.State = entry.State
	s.Capacity = entry.Capacity
}

func (b *Balancer) newServer(entry Endpoint, noChangeMissed bool) *server {
	s := &server{Endpoint: entry, zoneFailures: b.zoneRecord(entry.Zone)}
	s.slowStart.since = b.slowStartBegin(entry.Started, noChangeMissed)
	// Each node starts with a random fraction of a token, so that the nodes do not all send their first
	// request to the server at the same time.
	s.slowStart.budget = tokenBucket{available: b.rng.Float64(), refilledAt: b.now}
	s.timing.outcomeAt = b.now
	s.timing.unitTime = b.typicalUnitTime(s)
	s.timing.latency = s.timing.unitTime
	b.setInitialScore(s)
	return s
}

// handleUpdateFailed schedules the next poll after a backoff with jitter. The backoff grows with the
// number of nodes: all nodes lose discovery at the same time, and simultaneous polls of all nodes would
// keep it overloaded.
func (b *Balancer) handleUpdateFailed() {
	b.polling.pending = false
	b.polling.watching = false
	if !b.settings.WatchEndpoints {
		return
	}
	if b.polling.backoff == initialPollBackoff { // first failure after a success
		b.logf("endpoint list: poll or watch failed, keeping %d ready servers and retrying", len(b.servers.ready))
	}
	minimum := pollBackoffPerNode * float64(b.fleet.size-1)
	backoff := min(maxPollBackoffBase, max(b.polling.backoff, minimum))
	nextAt := b.now + backoff*(minPollJitter+b.rng.Float64())
	b.polling.backoff = min(backoff*2, maxPollBackoffBase)
	b.schedulePoll(nextAt)
}

// mayBeDraining reports whether a server may be draining although the stale list does not say so: the list
// has been stale for more than half of the drain grace, and no attempt that was sent to the server in that
// time has succeeded. A success shows that the server is not draining, because a draining server accepts no
// new requests.
func (b *Balancer) mayBeDraining(s *server) bool {
	return b.now > max(b.polling.staleSince, s.attempts.latestAnswered)+b.settings.DrainGrace/2
}

// logZoneChanges logs one line when the balancer starts to avoid a zone, and one when the rate of
// unanswered attempts to the zone is low again, because attempts are answered or the failures are old.
func (b *Balancer) logZoneChanges() {
	for _, name := range sortedKeys(b.zones) {
		switch record := b.zones[name]; {
		case !record.logged && b.zoneFailureRate(record) > 0:
			record.logged = true
			b.logf("zone %s: %.0f%% of the attempts are unanswered while another zone answers, preferring other zones",
				name, 100*b.zoneUnansweredRate(record))
		case record.logged && b.zoneUnansweredRate(record) < successGain:
			record.logged = false
			b.logf("zone %s: no longer avoided, attempts are answered again or the failures are old", name)
		}
	}
}
