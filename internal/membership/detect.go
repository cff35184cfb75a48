package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// probe is a ping that waits for its answer.
type probe struct {
	e     *entry
	start uint64
	seq   uint32
	at    time.Duration
	asked bool // helpers have been
}

// relay is a ping for somebody else.
type relay struct {
	seq, forSeq uint32
	asker       string
	target      string
	at          time.Duration
}

// patience is what an own probe is given, longer while this process distrusts itself.
func (c *Core) patience(d time.Duration) time.Duration { return d + d*time.Duration(c.health)/2 }

// probeNext pings the next member in turn, and while somebody is suspected also the one that nobody heard for longest.
func (c *Core) probeNext() {
	if c.now < c.nextProbe {
		return
	}
	c.nextProbe = max(c.nextProbe+c.o.ProbeInterval, c.now)
	c.ping(c.inTurn())
	for _, e := range c.mostMissed() {
		c.ping(e)
	}
	for _, e := range c.pick(1, func(e *entry) bool { return e.broken < 0 && e.misses >= missesAsk && e.state.in() }) {
		c.ping(e) // is the link broken?
	}
}

// inTurn takes each member once before any comes again: that bounds the time until a loss is noticed (SWIM, 4.3).
func (c *Core) inTurn() *entry {
	for range 2 {
		for len(c.order) > 0 {
			e := c.order[0]
			c.order = c.order[1:]
			if c.known[e.name] == e && (e.state.in() || e.state == Joining) {
				return e
			}
		}
		c.order = c.pick(len(c.known), func(e *entry) bool { return e.state.in() || e.state == Joining })
	}
	return nil
}

// mostMissed are the members that nobody has heard for longest, while somebody is suspected: losses seldom come alone, and
// those that are found together are one change of the view.
func (c *Core) mostMissed() []*entry {
	var out []*entry
	suspects := false
	for _, e := range c.sorted() {
		suspects = suspects || e.state == Suspect
		if e.state.in() && c.now-e.probed > probeOf*c.o.ProbeInterval {
			out = append(out, e)
		}
	}
	if !suspects {
		return nil
	}
	slices.SortStableFunc(out, func(a, b *entry) int { return cmp.Compare(a.seen, b.seen) })
	return out[:min(hurry, len(out))]
}

func (c *Core) ping(e *entry) {
	if e == nil {
		return
	}
	c.seq++
	e.probed = c.now
	c.probes = append(c.probes, &probe{e: e, start: e.start, seq: c.seq, at: c.now})
	m := Message{Kind: Ping, Seq: c.seq}
	if e.state == Suspect || e.state == Unreachable { // so that it can refute (Lifeguard's buddy)
		m.Updates = append(m.Updates, Update{Name: e.name, Generation: e.start, Incarnation: e.inc, State: Suspect, Reporter: c.o.Name, Age: age(c.now - e.suspectAt)})
	}
	c.send(e, m, false)
}

// checkProbes asks helpers where a direct answer is missing, and draws the conclusion where none has come at all.
func (c *Core) checkProbes() {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return c.now-r.at > c.patience(probeOf*c.o.ProbeInterval) })
	left := c.probes[:0]
	for _, p := range c.probes {
		switch {
		case c.known[p.e.name] != p.e || p.e.start != p.start || p.e.state == Left:
			continue
		case c.now-p.at >= c.patience(probeOf*c.o.ProbeInterval):
			c.missed(p)
			continue
		case !p.asked && c.now-p.at >= c.patience(c.o.ProbeTimeout):
			p.asked = true
			for _, h := range c.pick(helpers, func(h *entry) bool { return h != p.e && h.state == Alive && h.broken < 0 }) {
				c.send(h, Message{Kind: PingRequest, Seq: p.seq, Target: p.e.name}, false)
			}
		}
		left = append(left, p)
	}
	c.probes = left
}

// missed is a probe without any answer. Who hears nobody meanwhile doubts itself first, and accuses nobody aloud once it
// holds itself for cut off.
func (c *Core) missed(p *probe) {
	e := p.e
	if c.heardAny < p.at {
		c.distrust(1)
	}
	if e.state == Joining && c.now-e.since > c.o.SuspicionTimeout { // told of, and never met
		e.state, e.since, e.suspectAt = Unreachable, c.now, c.now
	}
	if !e.state.in() {
		return
	}
	grace := p.at
	if e.misses++; e.misses >= missesBroken && e.seen > p.at {
		c.linkBroken(e)
	}
	if e.doubted { // others are known to hear it
		grace = c.now - grudgeOf*c.suspicion(0)
	}
	if e.seen > grace {
		e.doubted = true
		return
	}
	at := p.at + c.o.ProbeTimeout // an answer was due by then
	c.suspect(e, c.o.Name, at)
	if !c.cond.Isolated() {
		c.rumour(Update{Name: e.name, Generation: e.start, Incarnation: e.inc, State: Suspect, Reporter: c.o.Name}, at)
	}
}

// linkBroken notes that this process and a member do not reach each other, though others hear it.
func (c *Core) linkBroken(e *entry) {
	if e.broken < 0 {
		e.broken = c.now
		c.note("link", "others hear a member that this one does not reach", "member", e.name, "heard_ms_ago", age(c.now-e.heard))
	}
}

func (c *Core) linkWhole(e *entry) {
	e.reached, e.misses, e.doubted = c.now, 0, false
	if e.broken >= 0 {
		c.note("link_whole", "a member is reached again", "member", e.name, "after_ms", age(c.now-e.broken))
		e.broken = -1
	}
}

// suspicion is how long a member with so many confirmations is suspect before it is taken out.
func (c *Core) suspicion(confirmed int) time.Duration {
	least := float64(c.o.SuspicionTimeout) * logOf(float64(c.size()), sizeKnown) * (1 + float64(c.health)/8)
	open := 0.0 // nobody else could confirm it
	if want := min(confirmers, c.size()-2); want > 0 {
		open = 1 - math.Log(float64(max(0, min(confirmed, want)))+1)/math.Log(float64(want)+1)
	}
	return time.Duration(least * (1 + (shyOf-1)*open))
}

// suspect holds a member for missing since at, by what somebody says.
func (c *Core) suspect(e *entry, by string, at time.Duration) {
	if e.state != Suspect {
		e.state, e.since, e.suspectAt, e.asked = Suspect, c.now, at, false
		clear(e.accusers)
		// Some look for themselves, so that it is confirmed or somebody can vouch for it. Four in all, whatever the
		// number of members: they are what the suspicion waits for.
		if by != c.o.Name && c.rng.Float64() < float64(confirmers+1)/float64(c.size()) {
			c.ping(e)
		}
	}
	e.accusers[by] = at
}

// verdicts takes out those whose suspicion has lasted. A member that hears nobody judges for itself alone.
func (c *Core) verdicts() {
	if doubt := c.o.SuspicionTimeout / 2; c.cond == Connected && (c.now-c.ackAny > doubt || c.now-c.heardAny > doubt) {
		return // whether this process is cut off itself is about to be seen
	}
	var ask []*entry
	defer func() { c.askAgain(ask) }()
	for _, e := range c.sorted() {
		if e.state != Suspect {
			continue
		}
		span, is := c.suspicion(len(e.accusers)-1), c.now-e.suspectAt
		if is > span/2 && !e.asked {
			e.asked = true
			ask = append(ask, e)
		}
		if is < span {
			continue
		}
		e.state, e.since = Unreachable, c.now
		if c.now-e.outAt > flapSpan {
			e.outs = 0
		}
		e.outs, e.outAt = e.outs+1, c.now
		c.changed()
		if !c.cond.Isolated() {
			c.rumour(Update{Name: e.name, Generation: e.start, Incarnation: e.inc, State: Unreachable, Reporter: c.o.Name}, e.suspectAt)
		}
	}
}

// askAgain has some members say whether they hear suspects, while there is time: who knows better answers at once. Gossip
// alone leaves one holder in a thousand out at a quarter of the links cut.
func (c *Core) askAgain(suspects []*entry) {
	var items []Update
	for _, e := range suspects {
		i := Update{Name: e.name, Generation: e.start, Incarnation: e.inc, State: Suspect, Reporter: c.o.Name, Age: age(c.now - e.suspectAt)}
		c.send(e, Message{Kind: Gossip, Updates: []Update{i}}, false)
		items = append(items, i)
	}
	for part := range slices.Chunk(items, newsEach) {
		for _, h := range c.pick(confirmers+1, func(h *entry) bool { return h.state == Alive }) {
			c.send(h, Message{Kind: Gossip, Updates: slices.Clone(part)}, false)
		}
	}
}

// newsEach pieces of news fit a datagram whatever the names are.
const newsEach = 5

// lives brings a member back that was heard at a moment, by this process or by another.
func (c *Core) lives(e *entry, at time.Duration) {
	e.seen = max(e.seen, at)
	switch e.state {
	case Suspect:
		if at <= e.suspectAt {
			return
		}
	case Unreachable:
		if at <= e.since {
			return
		}
		if e.outs > flapsFree {
			e.backAt = c.now + min(flapLongest, c.o.SuspicionTimeout<<(e.outs-flapsFree))
		}
	case Joining:
	default:
		return
	}
	if _, mine := e.accusers[c.o.Name]; mine {
		e.doubted = true
	}
	was := e.state
	e.state, e.since = Alive, c.now
	clear(e.accusers)
	if was != Suspect {
		c.changed()
	}
}

// tryLost pings one that was lost, and seeds while nobody is there or now and then: halves find each other again.
func (c *Core) tryLost() {
	if c.now < c.nextTry {
		return
	}
	c.nextTry = c.now + tryEvery*c.o.ProbeInterval
	// Who left may have come back as a process that has found no seed.
	for _, e := range c.pick(1, func(e *entry) bool { return e.state == Unreachable || e.state == Left }) {
		c.ping(e)
	}
	if c.size() > 1 && c.now < c.nextSeed || len(c.o.SeedAddresses) == 0 {
		return
	}
	c.nextSeed = c.now + syncEvery*c.o.ProbeInterval
	tried := 0
	for _, i := range c.rng.Perm(len(c.o.SeedAddresses)) {
		seed := c.o.SeedAddresses[i]
		if seed == c.o.Address || c.isIn(seed) {
			continue
		}
		c.seq++
		c.sendTo("", seed, Message{Kind: Ping, Seq: c.seq}, false)
		if tried++; tried == fanout {
			return
		}
	}
}

func (c *Core) isIn(address string) bool {
	for _, e := range c.sorted() {
		if e.address == address && e.state.in() {
			return true
		}
	}
	return false
}

// sync exchanges everything with one member.
func (c *Core) sync() {
	if c.now < c.nextSync {
		return
	}
	c.nextSync = c.now + time.Duration(syncEvery*max(1, float64(c.size())/sizeKnown)*float64(c.o.ProbeInterval)) // its size grows with the members
	for _, e := range c.pick(1, func(e *entry) bool { return e.state == Alive && e.broken < 0 }) {
		c.send(e, Message{Kind: SyncRequest}, true)
	}
}

// judgeSelf finds out whether this process is heard and hears.
func (c *Core) judgeSelf() {
	// A dozen pings go out in that time: that nobody answered one of them is no chance.
	patience := c.o.SuspicionTimeout
	next := Connected
	switch {
	case !c.met:
		next = NoPeers
	case c.now-c.heardAny > patience:
		next = InboundLost
	case c.now-c.ackAny > patience*3/2:
		next = OutboundLost
	}
	if next != Connected && !c.anyOther() { // all others said goodbye
		next = NoPeers
	}
	if next != c.cond {
		c.note("condition", "this process's own place among the members", "was", c.cond.String(), "is", next.String())
		c.cond = next
	}
}

// anyOther tells whether somebody else should be there.
func (c *Core) anyOther() bool {
	for _, e := range c.known {
		if e.state != Left && e.state != Replaced {
			return true
		}
	}
	return false
}
