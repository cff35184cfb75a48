package balancer

const (
	// gossipInterval, in ms, is the minimum time between two messages from a node. It is about the time
	// that a message takes to arrive.
	gossipInterval = 10.0
	// outcomeGossipInterval, in ms, is the time between two messages about outcomes. It is long because
	// the error window of ten seconds changes slowly.
	outcomeGossipInterval = 2000.0
	// gossipBudgetFraction is the maximum cost of the messages, summed over all receivers, as a fraction
	// of all priority weight.
	gossipBudgetFraction = 0.006
	// gossipBurst is the number of first attempts whose credits fill the budget. The credits of about ten
	// first attempts cover one message to a hundred nodes.
	gossipBurst = 50.0
	// gossipReadCost, in microseconds, is the CPU time that each receiver spends on a message.
	gossipReadCost = 1.0
	// minGossipTimeout, in ms, is the minimum time without messages after which the other nodes count as
	// gone or unreachable.
	minGossipTimeout = 3000.0
	// gossipTimeoutIntervals is the gossip timeout as a multiple of the smoothed interval between
	// messages. It applies if it results in a longer time than minGossipTimeout.
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

	heardAt      Millis // when a load message last arrived from any node; 0: never
	heardFrom    map[int]Millis
	interval     Millis // smoothed time between two load messages from a node
	isolated     bool   // no messages arrive, and this has been logged
	serversByTag map[uint16]*server
	reportedBy   map[gossipSource][]*server // the servers in a node's latest message
}

// broadcastGossip sends a message to the other nodes, as often as the budget allows: either the number of
// this node's requests in flight at each server, or the outcomes of its attempts. It sends nothing if all
// receivers together would spend more CPU time on a message than CPUPerRequest.
func (b *Balancer) broadcastGossip() {
	if !b.settings.GossipAllowed || b.fleet.size < 2 {
		return
	}
	if b.gossip.tokens.available <= 0 || b.now < b.gossip.sentAt+gossipInterval {
		return
	}
	receivers := float64(b.fleet.size - 1)
	if b.settings.CPUPerRequest > 0 && receivers*gossipReadCost > b.settings.CPUPerRequest {
		return
	}
	body := b.nextGossip()
	if body == nil {
		return
	}
	b.gossip.tokens.available -= b.settings.Prices.Gossip * receivers * float64(len(body)) / MaxGossipBytes
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
		b.logf("no gossip from other nodes for %.0f ms: using only load reports and this node's outcomes",
			b.now-b.gossip.heardAt)
	}
	b.gossip.isolated = silent
	return !silent
}

// gossipTimeout returns the time without messages after which gossip is no longer used, in ms.
func (b *Balancer) gossipTimeout() Millis {
	return max(minGossipTimeout, gossipTimeoutIntervals*b.gossip.interval)
}
