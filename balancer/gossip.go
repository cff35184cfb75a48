package balancer

const (
	// gossipInterval, in ms, is the minimum time between two messages of a node. It is about the time
	// that a message takes to arrive.
	gossipInterval = 10.0
	// outcomeGossipInterval, in ms, is the time between two messages about outcomes. It is long because
	// the outcome window of ten seconds changes slowly.
	outcomeGossipInterval = 2000.0
	// gossipBudgetFraction is the fraction of all priority weight that messages may cost, summed over all
	// receivers.
	gossipBudgetFraction = 0.006
	// gossipBurst is the maximum unspent budget, in requests. About ten requests pay for a message to a
	// hundred nodes.
	gossipBurst = 50.0
	// gossipReadCost, in microseconds, is the CPU time that each receiver spends on a message.
	gossipReadCost = 1.0
	// minGossipTimeout, in ms, is the minimum time without messages after which the other nodes count as
	// gone or unreachable.
	minGossipTimeout = 3000.0
	// gossipTimeoutIntervals is the same time as a multiple of the usual interval between messages. It
	// applies if messages are rare.
	gossipTimeoutIntervals = 3
	// gossipRefreshInterval, in ms, is the maximum time between two messages about loads, even if nothing
	// has changed.
	gossipRefreshInterval = 1000.0
)

// gossipState is the state of the gossip that this node sends and receives.
type gossipState struct {
	tokens         tokenBucket // unspent budget, in priority weight
	loadsChanged   bool        // loads have changed since the last message about them
	sentAt         Millis
	outcomesSentAt Millis

	heardAt      Millis // time of the last message from any node; 0: none yet
	heardFrom    map[int]Millis
	interval     Millis // smoothed time between two messages of a node
	isolated     bool   // no messages arrive, and this has been logged
	serversByTag map[uint16]*server
	reportedBy   map[gossipSource][]*server // the servers in a node's latest message
}

// broadcastGossip sends the other nodes this node's requests in flight at each server, or the outcomes of
// its attempts, as often as the budget allows. It sends nothing if a message costs the receivers more CPU
// time in total than CPUPerRequest.
func (b *Balancer) broadcastGossip() {
	if !b.settings.GossipAllowed || b.fleet.size < 2 {
		return
	}
	if b.gossip.tokens.available <= 0 || b.now < b.gossip.sentAt+gossipInterval {
		return
	}
	readers := float64(b.fleet.size - 1)
	if b.settings.CPUPerRequest > 0 && readers*gossipReadCost > b.settings.CPUPerRequest {
		return
	}
	body := b.nextGossip()
	if body == nil {
		return
	}
	b.gossip.tokens.available -= b.settings.Prices.Gossip * readers * float64(len(body)) / MaxGossipBytes
	b.gossip.sentAt = b.now
	b.emit(BroadcastGossip{body})
}

// nextGossip returns the message that is due: about outcomes if there are failures to report, otherwise
// about loads if they have changed or the last message is old. It returns nil if none is due.
func (b *Balancer) nextGossip() []byte {
	if b.now >= b.gossip.outcomesSentAt+outcomeGossipInterval {
		b.gossip.outcomesSentAt = b.now
		if body := b.encodeGossip(gossipOutcomes); len(body) > 1 {
			return body
		}
	}
	recent := b.now < b.gossip.sentAt+gossipRefreshInterval
	if !b.gossip.loadsChanged && recent {
		return nil
	}
	b.gossip.loadsChanged = false
	return b.encodeGossip(gossipLoads)
}

// creditGossipBudget adds the gossip budget that one first attempt allows.
func (b *Balancer) creditGossipBudget() {
	b.gossip.tokens.credit(gossipBudgetFraction, gossipBurst*gossipBudgetFraction)
}

// gossipAlive reports whether messages from other nodes still arrive. It logs once when they stop.
func (b *Balancer) gossipAlive() bool {
	if b.gossip.heardAt == 0 {
		return false
	}
	silent := b.now >= b.gossip.heardAt+b.gossipTimeout()
	if silent && !b.gossip.isolated {
		b.logf("no gossip from other nodes for %.0f ms: using only load reports and own outcomes",
			b.now-b.gossip.heardAt)
	}
	b.gossip.isolated = silent
	return !silent
}

// gossipTimeout returns the time without messages after which gossip is no longer used, in ms.
func (b *Balancer) gossipTimeout() Millis {
	return max(minGossipTimeout, gossipTimeoutIntervals*b.gossip.interval)
}
