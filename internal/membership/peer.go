package membership

import (
	"slices"
	"strings"
	"time"
)

// maxHeardBy bounds the members that are recorded as having heard from one member.
const maxHeardBy = 16

// peer is another member, with the evidence for its state.
type peer struct {
	name               string
	address            string
	generation         uint64
	previousGeneration uint64 // of the process that this one replaced; 0: none
	incarnation        uint32
	state              State
	stateSince         time.Duration
	connectivity       Connectivity // as the member judges itself

	lastReceived time.Duration // when a message of it came to this process
	lastAcked    time.Duration // when it answered this process
	lastSeen     time.Duration // when anybody is known to have heard from it
	heardBy      map[string]time.Duration

	suspectedAt time.Duration            // when the missing answer was due
	suspectedBy map[string]time.Duration // who misses its answers, while it is Suspect or Unreachable
	askedOthers bool                     // whether they hear from it, in this suspicion

	lastProbed   time.Duration
	missedProbes int           // probes of this process in a row without an answer of the member's own
	contradicted bool          // somebody heard from it while this process missed it, and it has not answered since
	linkBrokenAt time.Duration // since when this process does not reach it although others hear it; -1: it does

	losses      int           // times it became unreachable, each within flapWindow of the one before
	lastLost    time.Duration // the latest of them
	dampedUntil time.Duration // it stays out of the view until then, since it was lost too often
}

// linkBroken reports whether this process does not reach the member although others hear it.
func (p *peer) linkBroken() bool { return p.linkBrokenAt >= 0 }

// confirmations is how many members besides the first suspect it.
func (p *peer) confirmations() int { return len(p.suspectedBy) - 1 }

// setState changes the state and its time.
func (p *peer) setState(s State, now time.Duration) {
	p.state = s
	p.stateSince = now
}

// update says that the member is in a state; reporter is the member that says so, empty for the member itself.
func (p *peer) update(s State, reporter string) Update {
	return Update{Name: p.name, Generation: p.generation, Incarnation: p.incarnation, State: s, Reporter: reporter}
}

// aliveUpdate says that the member is alive, and where.
func (p *peer) aliveUpdate() Update {
	u := p.update(Alive, "")
	u.Address = p.address
	return u
}

// Conditions for choose.
func isInView(p *peer) bool    { return p.state.inView() }
func isReachable(p *peer) bool { return p.state == Alive && !p.linkBroken() }

// peerTable holds the other members.
type peerTable struct {
	byName map[string]*peer
	cached []*peer // by name; nil: to be sorted again
}

// sorted returns all peers by name, so that a run does not depend on the order of the map.
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

// current reports whether a peer is still in the table; a later process of the name has another entry.
func (t *peerTable) current(p *peer) bool { return t.byName[p.name] == p }

// anyExpected reports whether some other member should be there.
func (t *peerTable) anyExpected() bool {
	for _, p := range t.byName {
		if p.state != Left && p.state != Replaced {
			return true
		}
	}
	return false
}

// hasInView reports whether a member of the view has an address.
func (t *peerTable) hasInView(address string) bool {
	for _, p := range t.sorted() {
		if p.address == address && p.state.inView() {
			return true
		}
	}
	return false
}

// choose returns up to n random peers for which a condition holds.
func (c *Core) choose(n int, condition func(*peer) bool) []*peer {
	var out []*peer
	for _, p := range c.peers.sorted() {
		if condition(p) {
			out = append(out, p)
		}
	}
	c.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// addPeer adds a member that was heard of at a moment.
func (c *Core) addPeer(u Update, at time.Duration) *peer {
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
	// At a random place (SWIM, 4.3): in the order of a full state all members would probe the same one at once.
	c.probing.order = slices.Insert(c.probing.order, c.rand.IntN(len(c.probing.order)+1), p)
	if u.State == Suspect || u.State == Unreachable {
		p.suspectedAt = at
	}
	if u.State != Suspect { // this process has no suspicion of its own to pass on
		c.enqueue(u, at)
	}
	c.viewChanged()
	return p
}

// replacePeer records that a later process has a member's name, and returns its entry.
func (c *Core) replacePeer(old *peer, u Update) *peer {
	c.emit(EventReplaced, "another process has a member's name now", "member", old.name, "was", old.generation, "is", u.Generation,
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

// makeRoom reports whether one more member can be added. In a full table the member that has been gone for longest is removed.
func (c *Core) makeRoom() bool {
	if len(c.peers.byName) < c.options.MaxMembers-1 {
		return true
	}
	var oldest *peer
	for _, p := range c.peers.sorted() {
		gone := !p.state.inView() && p.state != Joining
		if gone && (oldest == nil || p.stateSince < oldest.stateSince) {
			oldest = p
		}
	}
	if oldest != nil {
		c.peers.remove(oldest)
		return true
	}
	c.rejected++
	if c.rejected == 1 {
		c.emit(EventFull, "there are as many members as may be, further ones are rejected", "most", c.options.MaxMembers)
	}
	return false
}

// forgetLeft removes members that left some time ago.
func (c *Core) forgetLeft() {
	for _, p := range c.peers.sorted() {
		if p.state == Left && c.now-p.stateSince > leftRetention {
			c.peers.remove(p)
		}
	}
}
