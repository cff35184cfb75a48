package balancer

const (
	// gossipInterval, in ms, is the least time between two messages of a node: they are under way
	// for about as long.
	gossipInterval = 10.0
	// outcomeGossipInterval, in ms, is the time between two messages about outcomes: a window of
	// ten seconds changes slowly.
	outcomeGossipInterval = 2000.0
	// gossipBudgetFraction is the share of all priority weight that messages may cost, each reader
	// counted.
	gossipBudgetFraction = 0.006
	// gossipBurst bounds the saved budget, in requests: a message to a hundred nodes is paid for by
	// some ten requests.
	gossipBurst = 50.0
	// gossipReadCost, in microseconds, is what a message costs each reader.
	gossipReadCost = 1.0
	// minGossipTimeout, in ms: a node that isn't heard for so long is gone or cut off ...
	minGossipTimeout = 3000.0
	// ... or, where messages are rare, one that isn't heard for so many intervals.
	gossipTimeoutIntervals = 3
	// gossipRefreshInterval, in ms: a message about loads is sent so often even if nothing has changed.
	gossipRefreshInterval = 1000.0
)

// gossipState is what this node has sent to and heard from the other nodes.
type gossipState struct {
	tokens         tokenBucket // priority weight that messages may cost
	changed        bool        // since the last message about loads
	sentAt         Millis
	outcomesSentAt Millis

	heardAt      Millis // the last message of any node; 0: none yet
	heardFrom    map[int]Millis
	interval     Millis // usual time between two messages of a node
	isolated     bool   // no other node is heard any more, and the log says so
	serversByTag map[uint16]*server
	reportedBy   map[gossipSource][]*server // the servers that a node's latest message named
}

// broadcastGossip reports to the other nodes what this one has in flight at each server and how its
// attempts there ended, as often as may be paid for. Where reading a message costs all nodes
// together more CPU than a request may, nothing is sent.
func (b *Balancer) broadcastGossip() {
	if !b.settings.GossipAllowed || b.fleet.size < 2 {
		return
	}
	if b.gossip.tokens.left <= 0 || b.now < b.gossip.sentAt+gossipInterval {
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
	b.gossip.tokens.left -= b.settings.Prices.Gossip * readers * float64(len(body)) / MaxGossipBytes
	b.gossip.sentAt = b.now
	b.emit(BroadcastGossip{body})
}

// nextGossip is the message that is due: about outcomes if there are failures to report, else about
// loads if they have changed or the last one is old. Nil: none.
func (b *Balancer) nextGossip() []byte {
	if b.now >= b.gossip.outcomesSentAt+outcomeGossipInterval {
		b.gossip.outcomesSentAt = b.now
		if body := b.encodeGossip(gossipOutcomes); len(body) > 1 {
			return body
		}
	}
	recent := b.now < b.gossip.sentAt+gossipRefreshInterval
	if !b.gossip.changed && recent {
		return nil
	}
	b.gossip.changed = false
	return b.encodeGossip(gossipLoads)
}

// earnGossip adds what one first attempt allows to spend on messages.
func (b *Balancer) earnGossip() {
	b.gossip.tokens.earn(gossipBudgetFraction, gossipBurst*gossipBudgetFraction)
}

// gossipAlive reports whether the other nodes can be heard. That they no longer can is logged once.
func (b *Balancer) gossipAlive() bool {
	if b.gossip.heardAt == 0 {
		return false
	}
	silent := b.now >= b.gossip.heardAt+b.gossipTimeout()
	if silent && !b.gossip.isolated {
		b.logf("no other node heard for %.0f ms: deciding by reports and own outcomes", b.now-b.gossip.heardAt)
	}
	b.gossip.isolated = silent
	return !silent
}

// gossipTimeout is how long what a node sent is believed, in ms.
func (b *Balancer) gossipTimeout() Millis {
	return max(minGossipTimeout, gossipTimeoutIntervals*b.gossip.interval)
}
