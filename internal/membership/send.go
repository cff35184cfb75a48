package membership

// WithSender returns a message with this process as its sender. It is for callers that send a message without the queue of Core.
func (c *Core) WithSender(m Message) Message {
	m.Version = WireVersion
	m.ClusterHash = c.options.ClusterHash
	m.From = c.options.Name
	m.Generation = c.options.Generation
	m.Incarnation = c.incarnation
	m.Address = c.options.Address
	return m
}

// SendToMember queues another subsystem's message to a member. It ignores unknown members.
func (c *Core) SendToMember(name string, m Message) {
	p := c.peers.byName[name]
	if p != nil && c.state == Alive {
		c.send(p, m)
	}
}

// SendToAll queues another subsystem's message to all members of the view.
func (c *Core) SendToAll(m Message) {
	if c.state != Alive {
		return
	}
	for _, p := range c.peers.sorted() {
		if p.state.inView() {
			c.send(p, m)
		}
	}
}

// SendToRandomMembers queues another subsystem's message to a few random members of the view.
func (c *Core) SendToRandomMembers(m Message) {
	if c.state != Alive {
		return
	}
	for _, p := range c.chooseRandom(gossipFanout, isInView) {
		c.send(p, m)
	}
}

// send queues a message to be sent as a datagram.
func (c *Core) send(p *peer, m Message) { c.sendTo(p.name, p.address, m, false) }

// sendStream queues a message to be sent over a connection.
func (c *Core) sendStream(p *peer, m Message) { c.sendTo(p.name, p.address, m, true) }

// sendTo queues a message. A SyncRequest or SyncReply gets the full state, and another message as many queued updates as fit. The
// name is empty if only the address is known.
func (c *Core) sendTo(name, address string, m Message, stream bool) {
	m = c.WithSender(m)
	m.Connectivity = uint8(c.connectivity)
	m.ViewNumber = c.view.Number
	switch m.Kind {
	case SyncRequest, SyncReply:
		m.Updates = c.fullState()
	default:
		m.Updates = c.appendQueuedUpdates(name, m.Updates)
	}
	c.outgoing = append(c.outgoing, OutgoingMessage{To: name, Address: address, Stream: stream, Message: m})
}
