package membership

import "time"

// Receive handles a message. What is to be sent in return is in TakeOutput; the reply to a SyncRequest belongs on its stream.
func (c *Core) Receive(now time.Duration, m *Message) {
	c.advance(now)
	if !c.active() || !c.understands(m) {
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
	c.metAnyone = true
	c.highestView = max(c.highestView, m.ViewNumber)
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

// understands reports whether a message is of this cluster and of a form that this version can read.
func (c *Core) understands(m *Message) bool {
	return m.ClusterHash == c.options.ClusterHash && m.MinVersion <= WireVersion && m.From != ""
}

// senderOf returns the member that sent a message, a new one included; nil if the message is to be ignored.
func (c *Core) senderOf(m *Message) *peer {
	p := c.peers.byName[m.From]
	sender := Update{Name: m.From, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive, Address: m.Address}
	switch {
	case p == nil:
		if m.Address == "" || !c.makeRoom() {
			return nil
		}
		return c.addPeer(sender, c.now)
	case m.Generation < p.generation: // a process that has been replaced and does not know
		c.sendTo(p.name, m.Address, Message{Kind: Gossip, Updates: []Update{p.aliveUpdate()}}, false)
		return nil
	case m.Generation > p.generation:
		next := c.replacePeer(p, sender)
		if p.state == Unreachable { // each side has missed what the other learned
			c.sendStream(next, Message{Kind: SyncRequest})
		}
		return next
	case p.state == Left:
		return nil
	}
	return p
}

// recordReceived records that a member's own message has come.
func (c *Core) recordReceived(p *peer, m *Message) {
	p.connectivity = Connectivity(m.Connectivity)
	if m.Address != "" {
		p.address = m.Address
	}
	wasSuspect := p.state == Suspect
	wasUnreachable := p.state == Unreachable
	p.lastReceived = c.now
	p.incarnation = max(p.incarnation, m.Incarnation)
	c.seenAlive(p, c.now)
	if wasSuspect || wasUnreachable {
		c.enqueue(p.update(HeardFrom, c.options.Name), c.now)
	}
	if wasUnreachable { // each side has missed what the other learned
		c.sendStream(p, Message{Kind: SyncRequest})
	}
}

// handleUpdate takes one update. In SWIM a higher incarnation overrides a lower one, and at the same incarnation the worse state
// overrides the better. Here a verdict of another member is an accusation only: this process waits for its own suspicion to
// expire before it takes a member out of its view. So a single mistaken member takes nobody out of the others' views.
func (c *Core) handleUpdate(u Update, from *peer) {
	if u.Name == c.options.Name {
		c.handleSelfUpdate(u, from)
		return
	}
	if u.Name == "" || u.State < Joining || u.State > HeardFrom || u.State == Replaced {
		return
	}
	at := c.now - time.Duration(u.Age)*time.Millisecond
	p := c.peers.byName[u.Name]
	switch {
	case p == nil:
		if u.Address != "" && u.State != HeardFrom && c.makeRoom() {
			c.addPeer(u, at)
		}
	case u.Generation < p.generation: // of an earlier process
	case u.Generation > p.generation:
		if u.State != HeardFrom && u.State != Suspect {
			c.replacePeer(p, u)
		}
	case p.state == Left:
	default:
		c.applyUpdate(p, u, at, from)
	}
}

// applyUpdate takes an update about a member's present process.
func (c *Core) applyUpdate(p *peer, u Update, at time.Duration, from *peer) {
	switch u.State {
	case Left:
		p.setState(Left, c.now)
		c.enqueue(u, at)
		c.viewChanged()
	case Alive, Joining:
		c.handleAlive(p, u, at)
	case Suspect, Unreachable:
		c.handleAccusation(p, u, at, from)
	case HeardFrom:
		if u.Reporter == "" {
			return
		}
		isNews := at > p.lastSeen+c.options.ProbeInterval
		c.recordHeardBy(p, u.Reporter, at)
		if isNews {
			c.enqueue(u, at)
		}
	}
}

// handleAlive takes an update that a member is alive. With a higher incarnation the member has refuted a suspicion.
func (c *Core) handleAlive(p *peer, u Update, at time.Duration) {
	if u.Incarnation <= p.incarnation {
		if u.State == Alive && p.state == Joining {
			c.seenAlive(p, c.now)
		}
		return
	}
	p.incarnation = u.Incarnation
	c.seenAlive(p, at)
	if p.state == Suspect || p.state == Unreachable { // its clock and ours differ on what came first: it knows better
		c.seenAlive(p, c.now)
	}
	c.enqueue(u, at)
}

// handleAccusation takes another member's verdict that one is Suspect or Unreachable.
func (c *Core) handleAccusation(p *peer, u Update, at time.Duration, from *peer) {
	if u.Reporter == "" {
		return
	}
	// The accuser's own message is answered at once, so that gossip need not find it.
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
		if p.lastSeen > at {
			c.vouchFor(p, u, from, direct)
			return
		}
		if u.State == Unreachable { // half of the span is left for it to refute
			at = max(at, c.now-c.suspicionTimeout(fullConfirmations)/2)
		}
		c.suspect(p, u.Reporter, at)
		c.enqueue(u, at)
	case Suspect:
		c.confirmSuspicion(p, u, at)
	}
}

// vouchFor contradicts an accusation: somebody has heard from the member since.
func (c *Core) vouchFor(p *peer, accusation Update, accuser *peer, direct bool) {
	if accusation.Reporter == c.options.Name {
		return
	}
	u := p.update(HeardFrom, c.latestHearer(p))
	c.enqueue(u, p.lastSeen)
	if direct {
		u.Age = clampMillis(c.now - p.lastSeen)
		c.send(accuser, Message{Kind: Gossip, Updates: []Update{u}})
	}
}

// confirmSuspicion counts one more member that suspects a suspect.
func (c *Core) confirmSuspicion(p *peer, u Update, at time.Duration) {
	_, known := p.suspectedBy[u.Reporter]
	if known || len(p.suspectedBy) >= c.options.MaxMembers {
		return
	}
	p.suspectedBy[u.Reporter] = at
	if p.confirmations() <= fullConfirmations { // more of them shorten nothing
		c.enqueue(u, at)
	}
}

// handleSelfUpdate refutes what is wrong about this process, and gives way to a later process of its name.
func (c *Core) handleSelfUpdate(u Update, from *peer) {
	switch {
	case u.State == HeardFrom:
	case u.Generation > c.options.Generation && c.state == Joining: // the process before had a clock that was ahead
		c.options.Generation = u.Generation + 1
	case u.Generation > c.options.Generation:
		c.giveWay(u)
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

// giveWay ends this process's part in the cluster.
func (c *Core) giveWay(u Update) {
	c.state = Replaced
	c.connectivity = Superseded
	c.updates = updateQueue{}
	c.emit(EventSuperseded, "another process has this one's name; this one takes no part in the cluster any more, until it is restarted",
		"own_start", c.options.Generation, "its_start", u.Generation)
}

// refute raises the incarnation, which overrides the suspicion everywhere. It is sent to the accuser and gossiped at once, not
// with the next ping.
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
