package membership

import (
	"slices"
	"strings"
	"time"
)

// maxHeardBy bounds the number of heard-from reports that are kept for one member.
const maxHeardBy = 16

// peer is another member, with the evidence for its state.
type peer struct {
	name               string
	address            string
	generation         uint64
	previousGeneration uint64 // of the process that this one replaced; 0 if none
	incarnation        uint32
	state              State
	stateSince         time.Duration
	connectivity       Connectivity // as reported by the member itself

	lastReceived time.Duration            // when its latest message arrived at this process
	lastAcked    time.Duration            // when it last answered this process
	lastSeen     time.Duration            // latest time at which any member is known to have received a message from it
	heardBy      map[string]time.Duration // latest heard-from report of each member

	suspectedAt   time.Duration            // when the first missing answer was due
	suspectedBy   map[string]time.Duration // when each reporter's missing answer was due, while the member is Suspect or Unreachable
	suspicionSent bool                     // whether the current suspicion has been sent to the member and some others

	lastProbed   time.Duration
	missedProbes int           // consecutive probes by this process that the member itself did not answer
	contradicted bool          // some member received its messages while this process missed its answers; reset by its next answer
	linkBrokenAt time.Duration // when linkBroken became true; -1 if it is false

	losses      int           // times it became unreachable, each within flapWindow of the previous one
	lastLost    time.Duration // when it last became unreachable
	dampedUntil time.Duration // end of the time in which it is kept out of the view, because it became unreachable too often
}

// linkBroken reports whether the member does not answer this process, but some member still receives its messages.
func (p *peer) linkBroken() bool { return p.linkBrokenAt >= 0 }

// confirmations returns how many members suspect it in addition to the first one.
func (p *peer) confirmations() int { return len(p.suspectedBy) - 1 }

// setState sets the state and the time of the change.
func (p *peer) setState(s State, now time.Duration) {
	p.state = s
	p.stateSince = now
}

// update returns an update that the member is in state s. The reporter is empty if the member itself reports it.
func (p *peer) update(s State, reporter string) Update {
	return Update{Name: p.name, Generation: p.generation, Incarnation: p.incarnation, State: s, Reporter: reporter}
}

// aliveUpdate returns an update that the member is alive at its address.
func (p *peer) aliveUpdate() Update {
	u := p.update(Alive, "")
	u.Address = p.address
	return u
}

// Conditions for chooseRandom.
func isInView(p *peer) bool    { return p.state.inView() }
func isReachable(p *peer) bool { return p.state == Alive && !p.linkBroken() }

// peerTable holds the other members.
type peerTable struct {
	byName map[string]*peer
	cached []*peer // sorted by name; nil after a change of byName
}

// sorted returns all peers by name, so that decisions do not depend on the order of the map.
func (t *peerTable) sorted() []*peer {
	if t.cached != nil {
		return t.cached
	}
	t.cached = make([]*peer, 0, len(t.byName))
	for _, p := range t.byName {
		t.cached = append(t.cached, p)
	}
	slices.SortFunc(t.cached, func(a, b *peer) int { return strings.Compare(a.name, b.name) })
	return t.cached
}

func (t *peerTable) put(p *peer) {
	t.byName[p.name] = p
	t.cached = nil
}

func (t *peerTable) remove(p *peer) {
	delete(t.byName, p.name)
	t.cached = nil
}

// isCurrent reports whether a peer is still in the table. A later process with the same name has a new entry.
func (t *peerTable) isCurrent(p *peer) bool { return t.byName[p.name] == p }

// anyExpected reports whether any other member is expected to be running: neither left nor replaced.
func (t *peerTable) anyExpected() bool {
	for _, p := range t.byName {
		if p.state != Left && p.state != Replaced {
			return true
		}
	}
	return false
}

// hasAddressInView reports whether a member of the view has the given address.
func (t *peerTable) hasAddressInView(address string) bool {
	for _, p := range t.sorted() {
		if p.address == address && p.state.inView() {
			return true
		}
	}
	return false
}

// chooseRandom returns up to n random peers that meet a condition.
func (c *Core) chooseRandom(n int, condition func(*peer) bool) []*peer {
	var out []*peer
	for _, p := range c.peers.sorted() {
		if condition(p) {
			out = append(out, p)
		}
	}
	c.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// addPeer adds the member that an update describes. The update's state was observed at observedAt.
func (c *Core) addPeer(u Update, observedAt time.Duration) *peer {
	p := &peer{
		name:         u.Name,
		address:      u.Address,
		generation:   u.Generation,
		incarnation:  u.Incarnation,
		state:        u.State,
		stateSince:   c.now,
		lastReceived: never,
		lastAcked:    never,
		lastSeen:     never,
		lastProbed:   never,
		lastLost:     never,
		linkBrokenAt: -1,
		heardBy:      map[string]time.Duration{},
		suspectedBy:  map[string]time.Duration{},
	}
	c.peers.put(p)
	// The position is random (SWIM, 4.3). If new members were probed in the order of a full state, all members would probe the same
	// one at the same time.
	c.probing.order = slices.Insert(c.probing.order, c.rand.IntN(len(c.probing.order)+1), p)
	if u.State == Suspect || u.State == Unreachable {
		p.suspectedAt = observedAt
	}
	if u.State != Suspect { // do not gossip another member's suspicion: this process has none of its own
		c.enqueue(u, observedAt)
	}
	c.markViewChanged()
	return p
}

// replacePeer replaces a member's entry by one for a later process with the same name, and returns the new entry.
func (c *Core) replacePeer(old *peer, u Update) *peer {
	c.emit(EventReplaced, "another process uses a member's name", "member", old.name, "was", old.generation, "is", u.Generation,
		"state", old.state.String())
	c.peers.remove(old)
	if u.Address == "" {
		u.Address = old.address
	}
	p := c.addPeer(u, c.now)
	p.losses = old.losses
	p.lastLost = old.lastLost
	if old.state != Left {
		p.previousGeneration = old.generation
	}
	return p
}

// ensureCapacity reports whether one more member can be added. If the table is full, it removes the member that has been out of the
// view for longest.
func (c *Core) ensureCapacity() bool {
	if len(c.peers.byName) < c.options.MaxMembers-1 {
		return true
	}
	var oldest *peer
	for _, p := range c.peers.sorted() {
		removable := !p.state.inView() && p.state != Joining
		if removable && (oldest == nil || p.stateSince < oldest.stateSince) {
			oldest = p
		}
	}
	if oldest != nil {
		c.peers.remove(oldest)
		return true
	}
	c.rejected++
	if c.rejected == 1 {
		c.emit(EventTableFull, "the member table is full; further members are rejected", "most", c.options.MaxMembers)
	}
	return false
}

// removeLeft removes members that left more than leftRetention ago.
func (c *Core) removeLeft() {
	for _, p := range c.peers.sorted() {
		if p.state == Left && c.now-p.stateSince > leftRetention {
			c.peers.remove(p)
		}
	}
}
