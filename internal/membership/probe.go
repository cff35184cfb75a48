package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// probeIntervals is how many probe intervals a probe lasts, the way over helpers included; ProbeTimeout is for the direct
	// way alone.
	probeIntervals = 2

	// probeHelpers members are asked to ping a member that has not answered. By SWIM's analysis three of them keep the false
	// suspicions at a loss of 10% under one in a thousand.
	probeHelpers = 3

	// extraProbes members are probed beside the next one while somebody is suspected.
	extraProbes = 2

	// From recheckMisses probes without an answer on, a member that others hear is probed in every interval; at
	// brokenLinkMisses its link counts as broken. At a loss of 30% one probe in two has no answer, and five in a row one in
	// thirty.
	recheckMisses    = 2
	brokenLinkMisses = 5

	// retryIntervals is how many probe intervals pass between pings of unreachable members.
	retryIntervals = 4
)

// probe is a ping that waits for its answer.
type probe struct {
	target     *peer
	generation uint64 // of the target when it was sent
	seq        uint32
	sentAt     time.Duration
	indirect   bool // helpers have been asked
}

// relayedPing is a ping on behalf of another member.
type relayedPing struct {
	seq          uint32
	requesterSeq uint32
	requester    string
	target       string
	sentAt       time.Duration
}

// prober holds the health checks under way.
type prober struct {
	order  []*peer // still to be probed in this round
	probes []*probe
	relays []relayedPing
	seq    uint32
}

// nextSeq returns a number for a ping.
func (p *prober) nextSeq() uint32 {
	p.seq++
	return p.seq
}

// abandon forgets the pings under way.
func (p *prober) abandon() {
	p.probes = nil
	p.relays = nil
}

// patience stretches a span while this process doubts itself.
func (c *Core) patience(d time.Duration) time.Duration {
	return d + d*time.Duration(c.localHealth)/2
}

// probeNext pings the next member in turn, those that nobody has heard from while somebody is suspected, and one whose link may
// be broken.
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
	for _, p := range c.choose(1, mayBeBroken) {
		c.ping(p)
	}
}

// nextInTurn returns each member once before any comes again, which bounds the time until a loss is noticed (SWIM, 4.3); nil if
// there is nobody.
func (c *Core) nextInTurn() *peer {
	probed := func(p *peer) bool { return p.state.inView() || p.state == Joining }
	for range 2 {
		for len(c.probing.order) > 0 {
			p := c.probing.order[0]
			c.probing.order = c.probing.order[1:]
			if c.peers.current(p) && probed(p) {
				return p
			}
		}
		c.probing.order = c.choose(len(c.peers.byName), probed)
	}
	return nil
}

// leastRecentlySeen returns the members that nobody has heard from for longest, while somebody is suspected. Losses seldom come
// alone, and those that are found together make one change of the view.
func (c *Core) leastRecentlySeen() []*peer {
	var out []*peer
	anySuspect := false
	for _, p := range c.peers.sorted() {
		anySuspect = anySuspect || p.state == Suspect
		if p.state.inView() && c.now-p.lastProbed > probeIntervals*c.options.ProbeInterval {
			out = append(out, p)
		}
	}
	if !anySuspect {
		return nil
	}
	slices.SortStableFunc(out, func(a, b *peer) int { return cmp.Compare(a.lastSeen, b.lastSeen) })
	return out[:min(extraProbes, len(out))]
}

// ping sends a health check. A suspect is told of the suspicion, so that it can refute it at once (Lifeguard's buddy system).
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

// checkProbes asks helpers where a direct answer is missing, and draws the conclusion where no answer has come at all.
func (c *Core) checkProbes() {
	expiry := c.patience(probeIntervals * c.options.ProbeInterval)
	c.probing.relays = slices.DeleteFunc(c.probing.relays, func(r relayedPing) bool { return c.now-r.sentAt > expiry })
	waiting := c.probing.probes[:0]
	for _, pr := range c.probing.probes {
		p := pr.target
		if !c.peers.current(p) || p.generation != pr.generation || p.state == Left {
			continue
		}
		// Patience is computed anew for each probe: a miss may raise the local health score, and so lengthen it.
		waited := c.now - pr.sentAt
		if waited >= c.patience(probeIntervals*c.options.ProbeInterval) {
			c.probeMissed(pr)
			continue
		}
		if !pr.indirect && waited >= c.patience(c.options.ProbeTimeout) {
			pr.indirect = true
			c.probeIndirectly(pr)
		}
		waiting = append(waiting, pr)
	}
	c.probing.probes = waiting
}

// probeIndirectly asks helpers to ping a member (SWIM's ping-req).
func (c *Core) probeIndirectly(pr *probe) {
	helpers := c.choose(probeHelpers, func(p *peer) bool { return p != pr.target && isReachable(p) })
	for _, helper := range helpers {
		c.send(helper, Message{Kind: PingRequest, Seq: pr.seq, Target: pr.target.name})
	}
}

// probeMissed handles a probe without any answer. A process that meanwhile heard from nobody doubts itself first, and passes no
// suspicion on while it is isolated.
func (c *Core) probeMissed(pr *probe) {
	p := pr.target
	if c.lastReceived < pr.sentAt {
		c.adjustLocalHealth(1)
	}
	if p.state == Joining && c.now-p.stateSince > c.options.SuspicionTimeout { // heard of, and never met
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
	acceptSeenSince := pr.sentAt
	if p.contradicted { // others are known to hear from it
		acceptSeenSince = c.now - contradictedSuspicions*c.suspicionTimeout(0)
	}
	if p.lastSeen > acceptSeenSince {
		p.contradicted = true
		return
	}
	answerDue := pr.sentAt + c.options.ProbeTimeout
	c.suspect(p, c.options.Name, answerDue)
	if !c.connectivity.Isolated() {
		c.enqueue(p.update(Suspect, c.options.Name), answerDue)
	}
}

// answerPing answers a health check. A sender whom this process suspects learns of it, so that it can refute.
func (c *Core) answerPing(p *peer, m *Message) {
	reply := Message{Kind: Ack, Seq: m.Seq}
	if p.state == Suspect || p.state == Unreachable {
		reply.Updates = []Update{p.update(Suspect, c.options.Name)}
	}
	c.send(p, reply)
}

// relayPing pings a member on behalf of another.
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

// handleAck takes the answer to a ping of this process, or to one that it relayed.
func (c *Core) handleAck(p *peer, m *Message) {
	c.lastAcked = c.now
	if c.forwardRelayedAck(p, m) || c.completeProbe(p, m) || m.Target != "" {
		return
	}
	switch {
	case c.state == Joining: // a seed has answered
		c.sendStream(p, Message{Kind: SyncRequest})
	case p.lastReceived == c.now: // the answer came late, and shows all the same that the link works
		c.markLinkWorking(p)
	}
}

// forwardRelayedAck passes the answer to a relayed ping on to the member that asked for it.
func (c *Core) forwardRelayedAck(p *peer, m *Message) bool {
	at := slices.IndexFunc(c.probing.relays, func(r relayedPing) bool {
		return r.seq == m.Seq && r.target == p.name && m.Target == ""
	})
	if at < 0 {
		return false
	}
	relayed := c.probing.relays[at]
	c.probing.relays = slices.Delete(c.probing.relays, at, at+1)
	if requester := c.peers.byName[relayed.requester]; requester != nil {
		c.send(requester, Message{Kind: Ack, Seq: relayed.requesterSeq, Target: p.name})
	}
	return true
}

// completeProbe ends the probe that a message answers. It reports whether the message belongs to one, also where its sender is
// not the member that was to answer.
func (c *Core) completeProbe(from *peer, m *Message) bool {
	at := slices.IndexFunc(c.probing.probes, func(pr *probe) bool { return pr.seq == m.Seq })
	if at < 0 {
		return false
	}
	pr := c.probing.probes[at]
	switch {
	case m.Target == "" && pr.target == from:
		c.markLinkWorking(from)
	case m.Target != "" && m.Target == pr.target.name: // a helper reached it
		c.recordHeardBy(pr.target, from.name, pr.sentAt)
		pr.target.missedProbes++
		if pr.target.missedProbes >= brokenLinkMisses {
			c.markLinkBroken(pr.target)
		}
	default:
		return true
	}
	c.probing.probes = slices.Delete(c.probing.probes, at, at+1)
	c.adjustLocalHealth(-1)
	return true
}

// markLinkBroken records that this process does not reach a member although others hear it.
func (c *Core) markLinkBroken(p *peer) {
	if p.linkBroken() {
		return
	}
	p.linkBrokenAt = c.now
	c.emit(EventLinkBroken, "others hear a member that this one does not reach", "member", p.name, "heard_ms_ago", clampMillis(c.now-p.lastReceived))
}

// markLinkWorking records that a member has answered this process.
func (c *Core) markLinkWorking(p *peer) {
	p.lastAcked = c.now
	p.missedProbes = 0
	p.contradicted = false
	if p.linkBroken() {
		c.emit(EventLinkRestored, "a member is reached again", "member", p.name, "after_ms", clampMillis(c.now-p.linkBrokenAt))
		p.linkBrokenAt = -1
	}
}

// retryUnreachable pings one member that is unreachable, and now and then the seeds, so that parts of a cluster that were cut
// from each other meet again.
func (c *Core) retryUnreachable() {
	if c.now < c.due.retry {
		return
	}
	c.due.retry = c.now + retryIntervals*c.options.ProbeInterval
	// One that left may have come back as a process that has found no seed.
	for _, p := range c.choose(1, func(p *peer) bool { return p.state == Unreachable || p.state == Left }) {
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

// pingSeeds pings some seeds that are not in the view.
func (c *Core) pingSeeds() {
	pinged := 0
	for _, i := range c.rand.Perm(len(c.options.SeedAddresses)) {
		seed := c.options.SeedAddresses[i]
		if seed == c.options.Address || c.peers.hasInView(seed) {
			continue
		}
		c.sendTo("", seed, Message{Kind: Ping, Seq: c.probing.nextSeq()}, false)
		pinged++
		if pinged == gossipFanout {
			return
		}
	}
}
