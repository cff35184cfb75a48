package membership

import "time"

// Receive handles a message. TakeOutput returns the replies; the reply to a SyncRequest must be sent on the request's stream.
func (c *Core) Receive(now time.Duration, m *Message) {
	c.advance(now)
	if !c.active() || !c.accepts(m) {
		return
	}
	if m.From == c.options.Name {
		if m.Generation != c.options.Generation {
			c.handleSelfUpdate(Update{Name: m.From, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive}, nil)
		}
		return
	}
	p := c.senderOf(m)
	if p == nil {
		return
	}
	c.lastReceived = c.now
	c.everReceived = true
	c.highestViewNumber = max(c.highestViewNumber, m.ViewNumber)
	c.recordReceived(p, m)
	for _, u := range m.Updates {
		c.handleUpdate(u, p)
	}
	switch m.Kind {
	case Ping:
		c.answerPing(p, m)
	case Ack:
		c.handleAck(p, m)
	case PingRequest:
		c.relayPing(m)
	case SyncRequest:
		c.sendStream(p, Message{Kind: SyncReply})
	case SyncReply:
		c.lastAcked = c.now
		if c.state == Joining {
			c.becomeAlive()
		}
	}
}

// accepts reports whether a message belongs to this cluster, names its sender and has a format that this version can read.
func (c *Core) accepts(m *Message) bool {
	return m.ClusterHash == c.options.ClusterHash && m.MinVersion <= WireVersion && m.From != ""
}

// senderOf returns the member that sent a message and adds it if it is new. It returns nil if the message must be ignored.
func (c *Core) senderOf(m *Message) *peer {
	p := c.peers.byName[m.From]
	sender := Update{Name: m.From, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive, Address: m.Address}
	switch {
	case p == nil:
		if m.Address == "" || !c.ensureCapacity() {
			return nil
		}
		return c.addPeer(sender, c.now)
	case m.Generation < p.generation: // the sender has been replaced and has not been notified yet
		c.sendTo(p.name, m.Address, Message{Kind: Gossip, Updates: []Update{p.aliveUpdate()}}, false)
		return nil
	case m.Generation > p.generation:
		next := c.replacePeer(p, sender)
		if p.state == Unreachable { // each side has missed updates from the other
			c.sendStream(next, Message{Kind: SyncRequest})
		}
		return next
	case p.state == Left:
		return nil
	}
	return p
}

// recordReceived records that a message from the member itself has arrived.
func (c *Core) recordReceived(p *peer, m *Message) {
	p.connectivity = Connectivity(m.Connectivity)
	if m.Address != "" {
		p.address = m.Address
	}
	wasSuspect := p.state == Suspect
	wasUnreachable := p.state == Unreachable
	p.lastReceived = c.now
	p.incarnation = max(p.incarnation, m.Incarnation)
	c.recordAlive(p, c.now)
	if wasSuspect || wasUnreachable {
		c.enqueue(p.update(HeardFrom, c.options.Name), c.now)
	}
	if wasUnreachable { // each side has missed updates from the other
		c.sendStream(p, Message{Kind: SyncRequest})
	}
}

// handleUpdate handles one update. In SWIM a higher incarnation overrides a lower one, and at the same incarnation the worse state
// overrides the better one. Here another member's report of a worse state only starts or confirms a suspicion, and this process
// removes the member from its view when that suspicion expires. A single mistaken member therefore cannot remove a live member
// from the views of the others.
func (c *Core) handleUpdate(u Update, from *peer) {
	if u.Name == c.options.Name {
		c.handleSelfUpdate(u, from)
		return
	}
	if u.Name == "" || u.State < Joining || u.State > HeardFrom || u.State == Replaced {
		return
	}
	observedAt := c.now - time.Duration(u.Age)*time.Millisecond
	p := c.peers.byName[u.Name]
	switch {
	case p == nil:
		if u.Address != "" && u.State != HeardFrom && c.ensureCapacity() {
			c.addPeer(u, observedAt)
		}
	case u.Generation < p.generation: // about an earlier process
	case u.Generation > p.generation:
		if u.State != HeardFrom && u.State != Suspect {
			c.replacePeer(p, u)
		}
	case p.state == Left:
	default:
		c.applyUpdate(p, u, observedAt, from)
	}
}

// applyUpdate handles an update about a member's current process.
func (c *Core) applyUpdate(p *peer, u Update, observedAt time.Duration, from *peer) {
	switch u.State {
	case Left:
		p.setState(Left, c.now)
		c.enqueue(u, observedAt)
		c.markViewChanged()
	case Alive, Joining:
		c.handleAlive(p, u, observedAt)
	case Suspect, Unreachable:
		c.handleSuspicion(p, u, observedAt, from)
	case HeardFrom:
		if u.Reporter == "" {
			return
		}
		isNewEvidence := observedAt > p.lastSeen+c.options.ProbeInterval
		c.recordHeardBy(p, u.Reporter, observedAt)
		if isNewEvidence {
			c.enqueue(u, observedAt)
		}
	}
}

// handleAlive handles an update that a member is alive. A higher incarnation means that the member has refuted a suspicion.
func (c *Core) handleAlive(p *peer, u Update, observedAt time.Duration) {
	if u.Incarnation <= p.incarnation {
		if u.State == Alive && p.state == Joining {
			c.recordAlive(p, c.now)
		}
		return
	}
	p.incarnation = u.Incarnation
	c.recordAlive(p, observedAt)
	if p.state == Suspect || p.state == Unreachable { // different clocks do not show the order reliably, so the refutation takes precedence
		c.recordAlive(p, c.now)
	}
	c.enqueue(u, observedAt)
}

// handleSuspicion handles another member's report that a member is Suspect or Unreachable.
func (c *Core) handleSuspicion(p *peer, u Update, observedAt time.Duration, from *peer) {
	if u.Reporter == "" {
		return
	}
	// If the reporter itself sent the message, it gets the answer at once and does not depend on gossip.
	direct := from != nil && from.name == u.Reporter
	if u.Incarnation < p.incarnation {
		if direct && p.state == Alive {
			refutation := p.aliveUpdate()
			refutation.Age = clampMillis(c.now - max(p.lastSeen, p.stateSince))
			c.send(from, Message{Kind: Gossip, Updates: []Update{refutation}})
		}
		return
	}
	p.incarnation = u.Incarnation
	switch p.state {
	case Alive, Joining:
		if p.lastSeen > observedAt {
			c.contradictSuspicion(p, u, from, direct)
			return
		}
		if u.State == Unreachable { // leave the member at least half of the timeout to refute
			observedAt = max(observedAt, c.now-c.suspicionTimeout(requiredConfirmations)/2)
		}
		c.suspect(p, u.Reporter, observedAt)
		c.enqueue(u, observedAt)
	case Suspect:
		c.confirmSuspicion(p, u, observedAt)
	}
}

// contradictSuspicion gossips that a member has been heard from since another member began to suspect it. If the suspicion came
// directly from its reporter, contradictSuspicion also answers the reporter.
func (c *Core) contradictSuspicion(p *peer, suspicion Update, reporter *peer, direct bool) {
	if suspicion.Reporter == c.options.Name {
		return
	}
	u := p.update(HeardFrom, c.latestReporter(p))
	c.enqueue(u, p.lastSeen)
	if direct {
		u.Age = clampMillis(c.now - p.lastSeen)
		c.send(reporter, Message{Kind: Gossip, Updates: []Update{u}})
	}
}

// confirmSuspicion records one more member that suspects a suspect.
func (c *Core) confirmSuspicion(p *peer, u Update, observedAt time.Duration) {
	_, known := p.suspectedBy[u.Reporter]
	if known || len(p.suspectedBy) >= c.options.MaxMembers {
		return
	}
	p.suspectedBy[u.Reporter] = observedAt
	if p.confirmations() <= requiredConfirmations { // further ones do not shorten the timeout
		c.enqueue(u, observedAt)
	}
}

// handleSelfUpdate refutes an update that is wrong about this process, and ends the membership if a later process uses its name.
func (c *Core) handleSelfUpdate(u Update, from *peer) {
	switch {
	case u.State == HeardFrom:
	case u.Generation > c.options.Generation && c.state == Joining: // the predecessor's clock was ahead
		c.options.Generation = u.Generation + 1
	case u.Generation > c.options.Generation:
		c.becomeReplaced(u)
	case u.Generation < c.options.Generation:
		if u.State != Left {
			c.enqueue(c.selfUpdate(), c.now)
		}
	case (u.State == Suspect || u.State == Unreachable) && u.Incarnation >= c.incarnation:
		c.refute(u, from)
	case u.State == Left:
		c.incarnation = max(c.incarnation, u.Incarnation) + 1
	}
}

// becomeReplaced ends this process's membership because a later process uses its name.
func (c *Core) becomeReplaced(u Update) {
	c.state = Replaced
	c.connectivity = Superseded
	c.updates = updateQueue{}
	c.emit(EventSuperseded, "another process uses this process's name; this process takes no part in the cluster until it is restarted",
		"own_start", c.options.Generation, "its_start", u.Generation)
}

// refute raises the incarnation, which overrides the suspicion at every member. The new incarnation is sent to the member that sent
// the suspicion, and gossiped at once instead of with the next ping.
func (c *Core) refute(u Update, from *peer) {
	c.incarnation = u.Incarnation + 1
	c.adjustLocalHealth(1)
	c.enqueue(c.selfUpdate(), c.now)
	if from != nil {
		c.send(from, Message{Kind: Gossip})
	}
	if c.now-c.lastRefuted >= c.options.ProbeInterval {
		c.lastRefuted = c.now
		c.due.gossip = c.now
		c.gossip()
	}
}
