package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// A suspicion lasts slowestSuspicion times its least before anybody confirms it. Each confirmation shortens it, and
	// fullConfirmations of them bring it to its least (Lifeguard's suspicion).
	slowestSuspicion  = 1.6
	fullConfirmations = 3

	// suspicionMembers is the number of members at which SuspicionTimeout holds as configured. Beyond it the span grows with
	// the logarithm, since updates take that many rounds to reach all.
	suspicionMembers = 32

	// contradictedSuspicions is how many suspicion timeouts this process relies on others that hear a member which it misses
	// itself. Then somebody must hear from it anew.
	contradictedSuspicions = 4

	// A member may become unreachable flapsAllowed times, each within flapWindow of the one before, and come back at once.
	// Then it is kept out of the view after its return, twice as long each time, at most maxDamping.
	flapsAllowed = 2
	flapWindow   = time.Minute
	maxDamping   = 30 * time.Second

	// updatesPerMessage fit a datagram whatever the members' names are.
	updatesPerMessage = 5
)

// growth is the logarithm by which rounds of gossip and suspicions grow with the members, at least 1.
func growth(members, base int) float64 {
	return max(1, math.Log(float64(members)+1)/math.Log(float64(base)+1))
}

// suspicionTimeout returns how long a member with so many confirmations is suspect before it becomes unreachable.
func (c *Core) suspicionTimeout(confirmations int) time.Duration {
	least := float64(c.options.SuspicionTimeout) * growth(c.viewSize(), suspicionMembers) * (1 + float64(c.localHealth)/8)
	unconfirmed := 0.0 // the part of the possible confirmations that is missing; none where nobody else could confirm
	if possible := min(fullConfirmations, c.viewSize()-2); possible > 0 {
		counted := max(0, min(confirmations, possible))
		unconfirmed = 1 - math.Log(float64(counted)+1)/math.Log(float64(possible)+1)
	}
	return time.Duration(least * (1 + (slowestSuspicion-1)*unconfirmed))
}

// ownSuspicion says that this process suspects a member, and since when.
func (c *Core) ownSuspicion(p *peer) Update {
	u := p.update(Suspect, c.options.Name)
	u.Age = clampMillis(c.now - p.suspectedAt)
	return u
}

// suspect records that a member misses another's answers since a moment.
func (c *Core) suspect(p *peer, reporter string, since time.Duration) {
	if p.state != Suspect {
		p.setState(Suspect, c.now)
		p.suspectedAt = since
		p.askedOthers = false
		clear(p.suspectedBy)
		// Some members check for themselves, so that one confirms the suspicion or vouches for the suspect. They are four in
		// the mean, whatever the number of members: as many as the suspicion waits for.
		check := reporter != c.options.Name && c.rand.Float64() < float64(fullConfirmations+1)/float64(c.viewSize())
		if check {
			c.ping(p)
		}
	}
	p.suspectedBy[reporter] = since
}

// expireSuspicions makes members unreachable whose suspicion has lasted. An isolated process judges for itself alone.
func (c *Core) expireSuspicions() {
	if c.mayBeIsolated() {
		return
	}
	var unsure []*peer
	for _, p := range c.peers.sorted() {
		if p.state != Suspect {
			continue
		}
		timeout := c.suspicionTimeout(p.confirmations())
		suspectFor := c.now - p.suspectedAt
		if suspectFor > timeout/2 && !p.askedOthers {
			p.askedOthers = true
			unsure = append(unsure, p)
		}
		if suspectFor >= timeout {
			c.markUnreachable(p)
		}
	}
	c.askOthers(unsure)
}

// mayBeIsolated reports whether this process is about to find out that it is isolated. Until then it must judge nobody.
func (c *Core) mayBeIsolated() bool {
	doubtAfter := c.options.SuspicionTimeout / 2
	silent := c.now-c.lastAcked > doubtAfter || c.now-c.lastReceived > doubtAfter
	return c.connectivity == Connected && silent
}

// markUnreachable takes a member out of the view.
func (c *Core) markUnreachable(p *peer) {
	p.setState(Unreachable, c.now)
	if c.now-p.lastLost > flapWindow {
		p.losses = 0
	}
	p.losses++
	p.lastLost = c.now
	c.viewChanged()
	if !c.connectivity.Isolated() {
		c.enqueue(p.update(Unreachable, c.options.Name), p.suspectedAt)
	}
}

// askOthers asks the suspects themselves and some members whether they hear from them, while there is time; a member that knows
// better answers at once. With gossip alone a few live members would become unreachable where many links are cut, since nobody
// who hears them learns of the suspicion in time.
func (c *Core) askOthers(suspects []*peer) {
	var suspicions []Update
	for _, p := range suspects {
		u := c.ownSuspicion(p)
		c.send(p, Message{Kind: Gossip, Updates: []Update{u}})
		suspicions = append(suspicions, u)
	}
	for part := range slices.Chunk(suspicions, updatesPerMessage) {
		alive := c.choose(fullConfirmations+1, func(p *peer) bool { return p.state == Alive })
		for _, p := range alive {
			c.send(p, Message{Kind: Gossip, Updates: slices.Clone(part)})
		}
	}
}

// seenAlive brings a member back that somebody heard from at a moment.
func (c *Core) seenAlive(p *peer, at time.Duration) {
	p.lastSeen = max(p.lastSeen, at)
	switch p.state {
	case Suspect:
		if at <= p.suspectedAt {
			return
		}
	case Unreachable:
		if at <= p.stateSince {
			return
		}
		if p.losses > flapsAllowed {
			p.dampedUntil = c.now + min(maxDamping, c.options.SuspicionTimeout<<(p.losses-flapsAllowed))
		}
	case Joining:
	default:
		return
	}
	if _, own := p.suspectedBy[c.options.Name]; own {
		p.contradicted = true
	}
	wasInView := p.state.inView()
	p.setState(Alive, c.now)
	clear(p.suspectedBy)
	if !wasInView {
		c.viewChanged()
	}
}

// recordHeardBy records that a member received a message of another's at a moment.
func (c *Core) recordHeardBy(p *peer, reporter string, at time.Duration) {
	last, known := p.heardBy[reporter]
	if at > last || last == 0 {
		if !known && len(p.heardBy) >= maxHeardBy {
			clear(p.heardBy) // the latest are what counts
		}
		p.heardBy[reporter] = at
	}
	c.seenAlive(p, at)
}

// latestHearer returns who heard from a member last; of several the first by name.
func (c *Core) latestHearer(p *peer) string {
	reporter, latest := c.options.Name, p.lastReceived
	for name, at := range p.heardBy {
		if at > latest || at == latest && name < reporter {
			reporter, latest = name, at
		}
	}
	return reporter
}

// clampMillis returns a span in milliseconds as messages hold it: not negative, and at most some 49 days.
func clampMillis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
