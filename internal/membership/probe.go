package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// probeExpiryIntervals is how many probe intervals a probe may take, including indirect pings. ProbeTimeout applies only to the
	// direct ping.
	probeExpiryIntervals = 2

	// indirectProbes is the number of members that are asked to ping a member that has not answered. By SWIM's analysis three of
	// them keep false suspicions below one in a thousand at a packet loss of 10%.
	indirectProbes = 3

	// extraProbes is the number of additional members that are probed in each interval while any member is suspected.
	extraProbes = 2

	// recheckMisses is the number of consecutive unanswered probes after which the link to a member may be broken. In each interval,
	// one such member of the view is probed in addition.
	recheckMisses = 2

	// brokenLinkMisses is the number of consecutive unanswered probes after which the link to a member counts as broken if some
	// member still receives its messages. At a packet loss of 30% half of the probes are not answered, and the probability of five
	// unanswered probes in a row is about 1/30.
	brokenLinkMisses = 5

	// retryIntervals is the number of probe intervals between two pings of unreachable members.
	retryIntervals = 4
)

// probe is a ping in flight.
type probe struct {
	target     *peer
	generation uint64 // of the target when the ping was sent
	seq        uint32
	sentAt     time.Duration
	indirect   bool // other members have been asked to ping the target
}

// relayedPing is a ping in flight on behalf of another member.
type relayedPing struct {
	seq          uint32
	requesterSeq uint32
	requester    string
	target       string
	sentAt       time.Duration
}

// prober holds the order of the probes and the pings in flight.
type prober struct {
	order  []*peer // members that have not been probed in this round yet
	probes []*probe
	relays []relayedPing
	seq    uint32
}

// nextSeq returns a new sequence number for a ping.
func (p *prober) nextSeq() uint32 {
	p.seq++
	return p.seq
}

// abandon drops the pings in flight.
func (p *prober) abandon() {
	p.probes = nil
	p.relays = nil
}

// scaleByLocalHealth lengthens a timeout by 50% for each point of the local health score.
func (c *Core) scaleByLocalHealth(d time.Duration) time.Duration {
	return d + d*time.Duration(c.localHealth)/2
}

// probeNext pings the next member in turn, some of the least recently seen members while any member is suspected, and one member
// whose link may be broken.
func (c *Core) probeNext() {
	if c.now < c.due.probe {
		return
	}
	c.due.probe = max(c.due.probe+c.options.ProbeInterval, c.now)
	if p := c.nextInTurn(); p != nil {
		c.ping(p)
	}
	for _, p := range c.leastRecentlySeen() {
		c.ping(p)
	}
	mayBeBroken := func(p *peer) bool {
		return !p.linkBroken() && p.missedProbes >= recheckMisses && p.state.inView()
	}
	for _, p := range c.chooseRandom(1, mayBeBroken) {
		c.ping(p)
	}
}

// nextInTurn returns the next member to probe, or nil if there is none. Each member is returned once per round, which bounds the
// time until a loss is detected (SWIM, 4.3).
func (c *Core) nextInTurn() *peer {
	needsProbe := func(p *peer) bool { return p.state.inView() || p.state == Joining }
	for range 2 {
		for len(c.probing.order) > 0 {
			p := c.probing.order[0]
			c.probing.order = c.probing.order[1:]
			if c.peers.isCurrent(p) && needsProbe(p) {
				return p
			}
		}
		c.probing.order = c.chooseRandom(len(c.peers.byName), needsProbe)
	}
	return nil
}

// leastRecentlySeen returns up to extraProbes members to probe while any member is suspected, and otherwise nil. It returns those
// from which no member has received a message for the longest time, and skips members that were probed recently. Several members are
// often lost at once, and losses that are detected together are published in one view.
func (c *Core) leastRecentlySeen() []*peer {
	var out []*peer
	anySuspect := false
	for _, p := range c.peers.sorted() {
		anySuspect = anySuspect || p.state == Suspect
		if p.state.inView() && c.now-p.lastProbed > probeExpiryIntervals*c.options.ProbeInterval {
			out = append(out, p)
		}
	}
	if !anySuspect {
		return nil
	}
	slices.SortStableFunc(out, func(a, b *peer) int { return cmp.Compare(a.lastSeen, b.lastSeen) })
	return out[:min(extraProbes, len(out))]
}

// ping probes a member. The ping to a suspect includes the suspicion, so that the suspect can refute it at once (Lifeguard's buddy
// system).
func (c *Core) ping(p *peer) {
	seq := c.probing.nextSeq()
	p.lastProbed = c.now
	c.probing.probes = append(c.probing.probes, &probe{target: p, generation: p.generation, seq: seq, sentAt: c.now})
	m := Message{Kind: Ping, Seq: seq}
	if p.state == Suspect || p.state == Unreachable {
		m.Updates = []Update{c.ownSuspicion(p)}
	}
	c.send(p, m)
}

// checkProbes starts indirect pings for probes without a direct answer, and handles the probes that have expired.
func (c *Core) checkProbes() {
	expiry := c.scaleByLocalHealth(probeExpiryIntervals * c.options.ProbeInterval)
	c.probing.relays = slices.DeleteFunc(c.probing.relays, func(r relayedPing) bool { return c.now-r.sentAt > expiry })
	waiting := c.probing.probes[:0]
	for _, pr := range c.probing.probes {
		p := pr.target
		if !c.peers.isCurrent(p) || p.generation != pr.generation || p.state == Left {
			continue
		}
		// The timeout is computed again for each probe, since handleMissedProbe may raise the local health score, which lengthens it.
		waited := c.now - pr.sentAt
		if waited >= c.scaleByLocalHealth(probeExpiryIntervals*c.options.ProbeInterval) {
			c.handleMissedProbe(pr)
			continue
		}
		if !pr.indirect && waited >= c.scaleByLocalHealth(c.options.ProbeTimeout) {
			pr.indirect = true
			c.probeIndirectly(pr)
		}
		waiting = append(waiting, pr)
	}
	c.probing.probes = waiting
}

// probeIndirectly asks random members to ping the target of a probe (SWIM's ping-req).
func (c *Core) probeIndirectly(pr *probe) {
	relays := c.chooseRandom(indirectProbes, func(p *peer) bool { return p != pr.target && isReachable(p) })
	for _, relay := range relays {
		c.send(relay, Message{Kind: PingRequest, Seq: pr.seq, Target: pr.target.name})
	}
}

// handleMissedProbe handles a probe without a direct or indirect answer. If this process has received nothing since it sent the
// probe, it raises its local health score. While it is isolated, it does not gossip the suspicion.
func (c *Core) handleMissedProbe(pr *probe) {
	p := pr.target
	if c.lastReceived < pr.sentAt {
		c.adjustLocalHealth(1)
	}
	if p.state == Joining && c.now-p.stateSince > c.options.SuspicionTimeout { // known only from other members' updates
		p.setState(Unreachable, c.now)
		p.suspectedAt = c.now
	}
	if !p.state.inView() {
		return
	}
	p.missedProbes++
	if p.missedProbes >= brokenLinkMisses && p.lastSeen > pr.sentAt {
		c.markLinkBroken(p)
	}
	earliestEvidence := pr.sentAt
	if p.contradicted { // some member received its messages after this process missed its answers
		earliestEvidence = c.now - maxContradictedTimeouts*c.suspicionTimeout(0)
	}
	if p.lastSeen > earliestEvidence {
		p.contradicted = true
		return
	}
	answerDue := pr.sentAt + c.options.ProbeTimeout
	c.suspect(p, c.options.Name, answerDue)
	if !c.connectivity.Isolated() {
		c.enqueue(p.update(Suspect, c.options.Name), answerDue)
	}
}

// answerPing answers a ping. If this process suspects the sender, the answer includes the suspicion, so that the sender can refute it.
func (c *Core) answerPing(p *peer, m *Message) {
	reply := Message{Kind: Ack, Seq: m.Seq}
	if p.state == Suspect || p.state == Unreachable {
		reply.Updates = []Update{p.update(Suspect, c.options.Name)}
	}
	c.send(p, reply)
}

// relayPing pings a member on behalf of another member.
func (c *Core) relayPing(m *Message) {
	target := c.peers.byName[m.Target]
	if target == nil || len(c.probing.relays) >= c.options.MaxMembers {
		return
	}
	seq := c.probing.nextSeq()
	c.probing.relays = append(c.probing.relays,
		relayedPing{seq: seq, requesterSeq: m.Seq, requester: m.From, target: m.Target, sentAt: c.now})
	c.send(target, Message{Kind: Ping, Seq: seq})
}

// handleAck handles the answer to a ping that this process sent for itself or relayed.
func (c *Core) handleAck(p *peer, m *Message) {
	c.lastAcked = c.now
	if c.forwardRelayedAck(p, m) || c.completeProbe(p, m) || m.Target != "" {
		return
	}
	switch {
	case c.state == Joining: // a seed has answered
		c.sendStream(p, Message{Kind: SyncRequest})
	case p.lastReceived == c.now: // the answer is late but shows that the link works
		c.markLinkWorking(p)
	}
}

// forwardRelayedAck forwards the answer to a relayed ping to the member that requested the ping. It reports whether the message is
// such an answer.
func (c *Core) forwardRelayedAck(p *peer, m *Message) bool {
	index := slices.IndexFunc(c.probing.relays, func(r relayedPing) bool {
		return r.seq == m.Seq && r.target == p.name && m.Target == ""
	})
	if index < 0 {
		return false
	}
	relayed := c.probing.relays[index]
	c.probing.relays = slices.Delete(c.probing.relays, index, index+1)
	if requester := c.peers.byName[relayed.requester]; requester != nil {
		c.send(requester, Message{Kind: Ack, Seq: relayed.requesterSeq, Target: p.name})
	}
	return true
}

// completeProbe ends the probe that a message answers. It reports whether the message has the sequence number of a probe, even if
// it is not the answer of that probe's target.
func (c *Core) completeProbe(from *peer, m *Message) bool {
	index := slices.IndexFunc(c.probing.probes, func(pr *probe) bool { return pr.seq == m.Seq })
	if index < 0 {
		return false
	}
	pr := c.probing.probes[index]
	switch {
	case m.Target == "" && pr.target == from:
		c.markLinkWorking(from)
	case m.Target != "" && m.Target == pr.target.name: // a relay received the target's answer
		c.recordHeardBy(pr.target, from.name, pr.sentAt)
		pr.target.missedProbes++
		if pr.target.missedProbes >= brokenLinkMisses {
			c.markLinkBroken(pr.target)
		}
	default:
		return true
	}
	c.probing.probes = slices.Delete(c.probing.probes, index, index+1)
	c.adjustLocalHealth(-1)
	return true
}

// markLinkBroken records that a member does not answer this process, but some member still receives its messages.
func (c *Core) markLinkBroken(p *peer) {
	if p.linkBroken() {
		return
	}
	p.linkBrokenAt = c.now
	c.emit(EventLinkBroken, "a member does not answer this process, but some member still receives its messages", "member", p.name,
		"heard_ms_ago", clampMillis(c.now-p.lastReceived))
}

// markLinkWorking records that a member has answered this process.
func (c *Core) markLinkWorking(p *peer) {
	p.lastAcked = c.now
	p.missedProbes = 0
	p.contradicted = false
	if p.linkBroken() {
		c.emit(EventLinkRestored, "a member answers this process again", "member", p.name, "after_ms", clampMillis(c.now-p.linkBrokenAt))
		p.linkBrokenAt = -1
	}
}

// retryUnreachable pings one member that is unreachable or left, and the seeds (at longer intervals unless this process is alone in
// its view), so that the parts of a partitioned cluster merge again.
func (c *Core) retryUnreachable() {
	if c.now < c.due.retry {
		return
	}
	c.due.retry = c.now + retryIntervals*c.options.ProbeInterval
	// A member that left may have restarted as a process that cannot reach any seed.
	for _, p := range c.chooseRandom(1, func(p *peer) bool { return p.state == Unreachable || p.state == Left }) {
		c.ping(p)
	}
	if len(c.options.SeedAddresses) == 0 {
		return
	}
	if c.viewSize() > 1 && c.now < c.due.contact {
		return
	}
	c.due.contact = c.now + syncIntervals*c.options.ProbeInterval
	c.pingSeeds()
}

// pingSeeds pings up to gossipFanout random seeds that are not in the view.
func (c *Core) pingSeeds() {
	pinged := 0
	for _, i := range c.rand.Perm(len(c.options.SeedAddresses)) {
		seed := c.options.SeedAddresses[i]
		if seed == c.options.Address || c.peers.hasAddressInView(seed) {
			continue
		}
		c.sendTo("", seed, Message{Kind: Ping, Seq: c.probing.nextSeq()}, false)
		pinged++
		if pinged == gossipFanout {
			return
		}
	}
}
