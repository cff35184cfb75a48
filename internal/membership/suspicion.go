package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSuspicionFactor is the ratio of the suspicion timeout without any confirmation to its minimum. Each confirmation shortens the
	// timeout (Lifeguard's suspicion).
	maxSuspicionFactor = 1.6

	// requiredConfirmations is the number of confirmations that shorten the suspicion timeout to its minimum.
	requiredConfirmations = 3

	// suspicionBaseMembers is the cluster size up to which SuspicionTimeout applies as configured. In a larger cluster the timeout
	// grows with the logarithm of the size, as does the number of gossip rounds in which an update reaches all members.
	suspicionBaseMembers = 32

	// maxContradictedTimeouts is how long, in suspicion timeouts, a heard-from report prevents this process from suspecting a member that
	// does not answer it. Without a later report the member is then suspected.
	maxContradictedTimeouts = 4

	// maxUndampedLosses is how many times a member may become unreachable, each time within flapWindow of the previous one, and still
	// return to the view at once. After each further loss it is kept out of the view on its return, twice as long each time.
	maxUndampedLosses = 2

	// flapWindow is the longest time between two losses of a member that are counted together.
	flapWindow = time.Minute

	// maxDamping is the longest time for which a member is kept out of the view after its return.
	maxDamping = 30 * time.Second

	// updatesPerMessage is the number of updates that fit into a datagram, however long the members' names are.
	updatesPerMessage = 5
)

// logScale returns the factor, at least 1, by which gossip repeats and suspicion timeouts grow with the logarithm of the cluster size.
func logScale(members, baseMembers int) float64 {
	return max(1, math.Log(float64(members)+1)/math.Log(float64(baseMembers)+1))
}

// suspicionTimeout returns how long a member with the given number of confirmations is suspect before it becomes unreachable.
func (c *Core) suspicionTimeout(confirmations int) time.Duration {
	minTimeout := float64(c.options.SuspicionTimeout) * logScale(c.viewSize(), suspicionBaseMembers) * (1 + float64(c.localHealth)/8)
	missingFraction := 0.0 // fraction of the possible confirmations that is missing, on a log scale; 0 if no other member could confirm
	if possible := min(requiredConfirmations, c.viewSize()-2); possible > 0 {
		counted := max(0, min(confirmations, possible))
		missingFraction = 1 - math.Log(float64(counted)+1)/math.Log(float64(possible)+1)
	}
	return time.Duration(minTimeout * (1 + (maxSuspicionFactor-1)*missingFraction))
}

// ownSuspicion returns an update which reports that this process suspects a member, with the age of the suspicion.
func (c *Core) ownSuspicion(p *peer) Update {
	u := p.update(Suspect, c.options.Name)
	u.Age = clampMillis(c.now - p.suspectedAt)
	return u
}

// suspect records that the reporter has been missing answers from a member since the given time.
func (c *Core) suspect(p *peer, reporter string, since time.Duration) {
	if p.state != Suspect {
		p.setState(Suspect, c.now)
		p.suspectedAt = since
		p.suspicionSent = false
		clear(p.suspectedBy)
		// Some random members probe the suspect themselves, to confirm or contradict the suspicion. Their mean number is four
		// (requiredConfirmations+1) at any cluster size, enough to shorten the suspicion timeout to its minimum.
		check := reporter != c.options.Name && c.rand.Float64() < float64(requiredConfirmations+1)/float64(c.viewSize())
		if check {
			c.ping(p)
		}
	}
	p.suspectedBy[reporter] = since
}

// expireSuspicions sends out suspicions after half of their timeout, and marks members as unreachable after the whole timeout. An
// isolated process removes them only from its own view and gossips nothing about it.
func (c *Core) expireSuspicions() {
	if c.mayBeIsolated() {
		return
	}
	var halfExpired []*peer
	for _, p := range c.peers.sorted() {
		if p.state != Suspect {
			continue
		}
		timeout := c.suspicionTimeout(p.confirmations())
		suspectFor := c.now - p.suspectedAt
		if suspectFor > timeout/2 && !p.suspicionSent {
			p.suspicionSent = true
			halfExpired = append(halfExpired, p)
		}
		if suspectFor >= timeout {
			c.markUnreachable(p)
		}
	}
	c.sendSuspicions(halfExpired)
}

// mayBeIsolated reports whether this process may be isolated without having detected it yet. Until this is clear, it must not mark any
// member as unreachable.
func (c *Core) mayBeIsolated() bool {
	silenceLimit := c.options.SuspicionTimeout / 2
	silent := c.now-c.lastAcked > silenceLimit || c.now-c.lastReceived > silenceLimit
	return c.connectivity == Connected && silent
}

// markUnreachable removes a member from the view and gossips this unless this process is isolated.
func (c *Core) markUnreachable(p *peer) {
	p.setState(Unreachable, c.now)
	if c.now-p.lastLost > flapWindow {
		p.losses = 0
	}
	p.losses++
	p.lastLost = c.now
	c.markViewChanged()
	if !c.connectivity.Isolated() {
		c.enqueue(p.update(Unreachable, c.options.Name), p.suspectedAt)
	}
}

// sendSuspicions sends suspicions to the suspects themselves and to some random members before the timeout. A member with newer
// evidence answers at once. With gossip alone, if many links are cut, some suspicions would expire before they reach a member that
// still receives the suspect's messages, and a few live members would become unreachable.
func (c *Core) sendSuspicions(suspects []*peer) {
	var suspicions []Update
	for _, p := range suspects {
		u := c.ownSuspicion(p)
		c.send(p, Message{Kind: Gossip, Updates: []Update{u}})
		suspicions = append(suspicions, u)
	}
	for batch := range slices.Chunk(suspicions, updatesPerMessage) {
		alive := c.chooseRandom(requiredConfirmations+1, func(p *peer) bool { return p.state == Alive })
		for _, p := range alive {
			c.send(p, Message{Kind: Gossip, Updates: slices.Clone(batch)})
		}
	}
}

// recordAlive records that a member was heard from at seenAt. A suspect or unreachable member becomes alive if this is new evidence.
func (c *Core) recordAlive(p *peer, seenAt time.Duration) {
	p.lastSeen = max(p.lastSeen, seenAt)
	switch p.state {
	case Suspect:
		if seenAt <= p.suspectedAt {
			return
		}
	case Unreachable:
		if seenAt <= p.stateSince {
			return
		}
		if p.losses > maxUndampedLosses {
			p.dampedUntil = c.now + min(maxDamping, c.options.SuspicionTimeout<<(p.losses-maxUndampedLosses))
		}
	case Joining:
	default:
		return
	}
	if _, suspectedBySelf := p.suspectedBy[c.options.Name]; suspectedBySelf {
		p.contradicted = true
	}
	wasInView := p.state.inView()
	p.setState(Alive, c.now)
	clear(p.suspectedBy)
	if !wasInView {
		c.markViewChanged()
	}
}

// recordHeardBy records that the reporter received a message from a member at heardAt.
func (c *Core) recordHeardBy(p *peer, reporter string, heardAt time.Duration) {
	last, known := p.heardBy[reporter]
	if heardAt > last || last == 0 {
		if !known && len(p.heardBy) >= maxHeardBy {
			clear(p.heardBy) // only the latest reports matter
		}
		p.heardBy[reporter] = heardAt
	}
	c.recordAlive(p, heardAt)
}

// latestReporter returns the member that received the latest message from p. If several members received one at the same time, it
// returns the first by name.
func (c *Core) latestReporter(p *peer) string {
	reporter, latest := c.options.Name, p.lastReceived
	for name, at := range p.heardBy {
		if at > latest || at == latest && name < reporter {
			reporter, latest = name, at
		}
	}
	return reporter
}

// clampMillis converts a duration to the milliseconds of a message field: not negative, and at most about 49 days.
func clampMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
