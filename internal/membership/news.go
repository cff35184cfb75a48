package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// slot names the place of a piece of news in the queue: a later one of the same slot takes it.
type slot struct {
	name  string
	vouch bool
	by    string // of a suspicion: those of several members confirm one another
}

func slotOf(i Update) slot {
	if i.State == Suspect {
		return slot{name: i.Name, by: i.Reporter}
	}
	return slot{name: i.Name, vouch: i.State == HeardFrom}
}

// rumour is news that is passed on.
type rumour struct {
	item Update
	at   time.Duration // it was so, by this process's clock
	sent int
}

const (
	// packetMost is what a datagram may hold: it passes every usual link whole.
	packetMost = 1200

	// headMost is what a message takes besides its news, and itemMost what one piece takes besides its texts.
	headMost, itemMost = 160, 48
)

func age(d time.Duration) uint32 { return uint32(min(max(0, d.Milliseconds()), math.MaxUint32)) }

// rumour begins to pass news on.
func (c *Core) rumour(item Update, at time.Duration) {
	if item.State == Alive || item.State == Left { // what was suspected before is out of date
		for s := range c.queue {
			if s.name == item.Name && s.by != "" {
				delete(c.queue, s)
			}
		}
	}
	c.queue[slotOf(item)] = &rumour{item: item, at: at}
}

// fresh are the news for a message: what is said already, what concerns the receiver, what has been told least.
func (c *Core) fresh(to string, said []Update) []Update {
	if len(c.queue) == 0 {
		return said
	}
	room := packetMost - headMost
	for _, i := range said {
		room -= size(i)
	}
	waiting := make([]*rumour, 0, len(c.queue))
	for _, r := range c.queue {
		waiting = append(waiting, r)
	}
	slices.SortFunc(waiting, func(a, b *rumour) int {
		own := func(r *rumour) int {
			if r.item.Name == to {
				return 0
			}
			return 1
		}
		return cmp.Or(own(a)-own(b), a.sent-b.sent, cmp.Compare(a.item.Name, b.item.Name), int(a.item.State)-int(b.item.State),
			cmp.Compare(a.item.Reporter, b.item.Reporter))
	})
	most := c.sendings()
	for _, r := range waiting {
		if room -= size(r.item); room < 0 {
			break
		}
		item := r.item
		item.Age = age(c.now - r.at)
		said = append(said, item)
		if r.sent++; r.sent >= most {
			delete(c.queue, slotOf(item))
		}
	}
	return said
}

// sendings is how often a piece of news is passed on.
func (c *Core) sendings() int { return int(math.Ceil(sendings * logOf(float64(c.size()), 9))) }

func size(i Update) int { return itemMost + len(i.Name) + len(i.Reporter) + len(i.Address) }

// tell spreads news for which there is no other message.
func (c *Core) tell() {
	if len(c.queue) == 0 || c.now < c.nextNews {
		return
	}
	c.nextNews = c.now + c.o.ProbeInterval
	for _, e := range c.pick(fanout, func(e *entry) bool { return e.state.in() }) {
		c.send(e, Message{Kind: Gossip}, false)
	}
}

// everything is all that is known, for an exchange of full states.
func (c *Core) everything() []Update {
	out := []Update{c.selfItem()}
	for _, e := range c.sorted() {
		i := Update{Name: e.name, Generation: e.start, Incarnation: e.inc, State: e.state, Address: e.address, Age: age(c.now - e.since)}
		if e.state == Suspect || e.state == Unreachable {
			if c.cond.Isolated() { // its verdicts are for itself alone
				i.State = Alive
			}
			i.Reporter, i.Age = c.o.Name, age(c.now-e.suspectAt)
		}
		out = append(out, i)
	}
	return out
}

// Receive takes a message in. What it brings about is in Take; the reply to a Full is there for its stream.
func (c *Core) Receive(now time.Duration, m *Message) {
	c.advance(now)
	if c.state == Left || c.state == Replaced || m.ClusterHash != c.o.ClusterHash || m.MinVersion > WireVersion || m.From == "" {
		return
	}
	if m.From == c.o.Name {
		if m.Generation != c.o.Generation {
			c.aboutMe(Update{Name: m.From, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive}, nil)
		}
		return
	}
	e := c.speaker(m)
	if e == nil {
		return
	}
	c.heardAny, c.met = c.now, true
	c.highest = max(c.highest, m.ViewNumber)
	c.heard(e, m)
	for _, i := range m.Updates {
		c.learn(i, e)
	}
	switch m.Kind {
	case Ping:
		reply := Message{Kind: Ack, Seq: m.Seq}
		if e.state == Suspect || e.state == Unreachable {
			reply.Updates = []Update{{Name: e.name, Generation: e.start, Incarnation: e.inc, State: Suspect, Reporter: c.o.Name}}
		}
		c.send(e, reply, false)
	case Ack:
		c.acked(e, m)
	case PingRequest:
		if t := c.known[m.Target]; t != nil && len(c.relays) < c.o.MaxMembers {
			c.seq++
			c.relays = append(c.relays, relay{c.seq, m.Seq, m.From, m.Target, c.now})
			c.send(t, Message{Kind: Ping, Seq: c.seq}, false)
		}
	case SyncRequest:
		c.send(e, Message{Kind: SyncReply}, true)
	case SyncReply:
		c.ackAny = c.now
		c.entered()
	}
}

// speaker finds who sent a message; nil where it is not to be listened to.
func (c *Core) speaker(m *Message) *entry {
	e := c.known[m.From]
	switch {
	case e == nil:
		if m.Address == "" || !c.room() {
			return nil
		}
		e = c.add(Update{Name: m.From, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive, Address: m.Address}, c.now)
	case m.Generation < e.start: // a process that has been replaced and does not know
		c.sendTo(e.name, m.Address, Message{Kind: Gossip, Updates: []Update{{Name: e.name, Generation: e.start, Incarnation: e.inc, State: Alive, Address: e.address}}}, false)
		return nil
	case m.Generation > e.start:
		c.replace(e, Update{Name: m.From, Generation: m.Generation, Incarnation: m.Incarnation, State: Alive, Address: m.Address})
	case e.state == Left:
		return nil
	}
	return e
}

// add takes a new member in.
func (c *Core) add(i Update, at time.Duration) *entry {
	e := &entry{name: i.Name, address: i.Address, start: i.Generation, inc: i.Incarnation, state: i.State, since: c.now, heard: never, seen: never,
		reached: never, broken: -1, probed: never, outAt: never, witness: map[string]time.Duration{}, accusers: map[string]time.Duration{}}
	c.known[i.Name], c.list = e, nil
	// At a random place (SWIM, 4.3): in the order of a full state everybody would probe the same member at once.
	c.order = slices.Insert(c.order, c.rng.IntN(len(c.order)+1), e)
	if i.State == Suspect || i.State == Unreachable {
		e.suspectAt = at
	}
	if i.State != Suspect { // whom others suspect is theirs to judge, or to be met
		c.rumour(i, at)
	}
	c.changed()
	return e
}

// replace lets a new process have its name.
func (c *Core) replace(e *entry, i Update) {
	c.note("replaced", "another process has a member's name now", "member", e.name, "was", e.start, "is", i.Generation, "state", e.state.String())
	former, outs, outAt, state := e.start, e.outs, e.outAt, e.state
	c.drop(e)
	if i.Address == "" {
		i.Address = e.address
	}
	n := c.add(i, c.now)
	n.outs, n.outAt = outs, outAt
	if state != Left {
		n.former = former
	}
}

// heard notes that a member's own message has come.
func (c *Core) heard(e *entry, m *Message) {
	e.self = Connectivity(m.Connectivity)
	if m.Address != "" {
		e.address = m.Address
	}
	suspect, lost := e.state == Suspect, e.state == Unreachable
	e.heard = c.now
	if m.Incarnation > e.inc {
		e.inc = m.Incarnation
	}
	c.lives(e, c.now)
	if suspect || lost {
		c.rumour(Update{Name: e.name, Generation: e.start, Incarnation: e.inc, State: HeardFrom, Reporter: c.o.Name}, c.now)
	}
	if lost { // what each side missed
		c.send(e, Message{Kind: SyncRequest}, true)
	}
}

// acked is an answer to an own ping, or to one made for another.
func (c *Core) acked(e *entry, m *Message) {
	c.ackAny = c.now
	for at, r := range c.relays {
		if r.seq == m.Seq && r.target == e.name && m.Target == "" {
			c.relays = slices.Delete(c.relays, at, at+1)
			if a := c.known[r.asker]; a != nil {
				c.send(a, Message{Kind: Ack, Seq: r.forSeq, Target: e.name}, false)
			}
			return
		}
	}
	for at, p := range c.probes {
		if p.seq != m.Seq {
			continue
		}
		switch m.Target {
		case "":
			if p.e != e {
				return
			}
			c.linkWhole(e)
		case p.e.name: // a helper reached it
			c.witnessed(p.e, e.name, p.at)
			if p.e.misses++; p.e.misses >= missesBroken {
				c.linkBroken(p.e)
			}
		default:
			return
		}
		c.probes = slices.Delete(c.probes, at, at+1)
		c.distrust(-1)
		return
	}
	if m.Target == "" && c.state == Joining { // a seed has answered
		c.send(e, Message{Kind: SyncRequest}, true)
	} else if m.Target == "" && e.heard == c.now {
		c.linkWhole(e) // late, and an answer all the same
	}
}

// witnessed notes that somebody heard a member.
func (c *Core) witnessed(e *entry, by string, at time.Duration) {
	if at > e.witness[by] || e.witness[by] == 0 {
		if _, known := e.witness[by]; !known && len(e.witness) >= witnesses {
			clear(e.witness) // the latest are what counts
		}
		e.witness[by] = at
	}
	c.lives(e, at)
}

// witnesses of one member that are kept, for whoever asks why it stays in.
const witnesses = 16

// entered notes that this process has been taken in.
func (c *Core) entered() {
	if c.state == Joining {
		c.joined()
	}
}

// learn takes one piece of news in. By SWIM a higher incarnation goes before a lower, and at the same one the worse state
// goes first; here others' verdicts are accusations: each member waits its own suspicion out before it takes one out of its view.
func (c *Core) learn(i Update, from *entry) {
	at := c.now - time.Duration(i.Age)*time.Millisecond
	if i.Name == c.o.Name {
		c.aboutMe(i, from)
		return
	}
	e := c.known[i.Name]
	switch {
	case i.Name == "" || i.State < Joining || i.State > HeardFrom || i.State == Replaced:
		return
	case e == nil:
		if i.Address == "" || i.State == HeardFrom || !c.room() {
			return
		}
		c.add(i, at)
		return
	case i.Generation < e.start:
		return
	case i.Generation > e.start:
		if i.State != HeardFrom && i.State != Suspect {
			c.replace(e, i)
		}
		return
	case e.state == Left:
		return
	}
	switch i.State {
	case Left:
		e.state, e.since = Left, c.now
		c.rumour(i, at)
		c.changed()
	case Alive, Joining:
		if i.Incarnation > e.inc { // it refuted, at that moment or later
			e.inc = i.Incarnation
			c.lives(e, at)
			if e.state == Suspect || e.state == Unreachable { // its clock and ours differ on what came first: it knows better
				c.lives(e, c.now)
			}
			c.rumour(i, at)
		} else if i.State == Alive && e.state == Joining {
			c.lives(e, c.now)
		}
	case Suspect, Unreachable:
		c.accused(e, i, at, from)
	case HeardFrom:
		if news := at > e.seen+c.o.ProbeInterval; i.Reporter != "" {
			c.witnessed(e, i.Reporter, at)
			if news {
				c.rumour(i, at)
			}
		}
	}
}

// accused weighs what another member says against one.
func (c *Core) accused(e *entry, i Update, at time.Duration, from *entry) {
	if i.Reporter == "" {
		return
	}
	itself := from != nil && from.name == i.Reporter // then it is answered, so that no gossip has to find it
	if i.Incarnation < e.inc {
		if itself && e.state == Alive {
			c.send(from, Message{Kind: Gossip, Updates: []Update{{Name: e.name, Generation: e.start, Incarnation: e.inc, State: Alive, Address: e.address,
				Age: age(c.now - max(e.seen, e.since))}}}, false)
		}
		return
	}
	e.inc = i.Incarnation
	switch e.state {
	case Alive, Joining:
		if e.seen > at { // somebody has heard it since
			if i.Reporter != c.o.Name {
				by := c.o.Name
				when := e.heard
				for w, t := range e.witness {
					if t > when || t == when && w < by {
						by, when = w, t
					}
				}
				vouch := Update{Name: e.name, Generation: e.start, Incarnation: e.inc, State: HeardFrom, Reporter: by}
				c.rumour(vouch, e.seen)
				if vouch.Age = age(c.now - e.seen); itself {
					c.send(from, Message{Kind: Gossip, Updates: []Update{vouch}}, false)
				}
			}
			return
		}
		if i.State == Unreachable { // half of the span is left for it to refute
			at = max(at, c.now-c.suspicion(confirmers)/2)
		}
		c.suspect(e, i.Reporter, at)
		c.rumour(i, at)
	case Suspect:
		if _, known := e.accusers[i.Reporter]; !known && len(e.accusers) < c.o.MaxMembers {
			e.accusers[i.Reporter] = at
			if len(e.accusers) <= confirmers+1 {
				c.rumour(i, at)
			}
		}
	}
}

// aboutMe refutes what is wrong about this process, and gives way to a later one of its name.
func (c *Core) aboutMe(i Update, from *entry) {
	switch {
	case i.State == HeardFrom:
	case i.Generation > c.o.Generation && c.state == Joining: // the one before us had a clock that was ahead
		c.o.Generation = i.Generation + 1
	case i.Generation > c.o.Generation:
		c.state, c.cond = Replaced, Superseded
		c.queue = map[slot]*rumour{}
		c.note("outdated", "another process has this one's name; this one takes no part in the cluster any more, until it is restarted",
			"own_start", c.o.Generation, "its_start", i.Generation)
	case i.Generation < c.o.Generation:
		if i.State != Left {
			c.rumour(c.selfItem(), c.now)
		}
	case (i.State == Suspect || i.State == Unreachable) && i.Incarnation >= c.inc:
		c.inc = i.Incarnation + 1
		c.distrust(1)
		c.rumour(c.selfItem(), c.now)
		if from != nil {
			c.send(from, Message{Kind: Gossip}, false)
		}
		if c.now-c.refuted >= c.o.ProbeInterval { // at once, not with the next ping
			c.refuted, c.nextNews = c.now, c.now
			c.tell()
		}
	case i.State == Left:
		c.inc = max(c.inc, i.Incarnation) + 1
	}
}
