package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// gossipFanout members receive fresh updates in each probe interval.
	gossipFanout = 3

	// An update is passed on gossipRepeats times in a cluster of gossipMembers, and more often with the logarithm of the
	// members beyond.
	gossipRepeats = 4
	gossipMembers = 9

	// syncIntervals is how many probe intervals pass between two exchanges of full states, and between pings of the seeds.
	syncIntervals = 40

	// MaxDatagramBytes is what a datagram may hold, in bytes: every usual link carries that in one packet.
	MaxDatagramBytes = 1200

	// What a message takes besides its updates, and what an update takes besides its texts, at most and in bytes.
	maxHeaderBytes = 160
	maxUpdateBytes = 48
)

// updateKey names the place of an update in the queue: a later one with the same key replaces it.
type updateKey struct {
	name      string
	heardFrom bool
	reporter  string // of a suspicion: those of several members confirm one another
}

func keyOf(u Update) updateKey {
	if u.State == Suspect {
		return updateKey{name: u.Name, reporter: u.Reporter}
	}
	return updateKey{name: u.Name, heardFrom: u.State == HeardFrom}
}

// queuedUpdate is an update that is passed on.
type queuedUpdate struct {
	update Update
	at     time.Duration // when it was so, by this process's clock
	sent   int
}

// updateQueue holds the updates that are passed on.
type updateQueue map[updateKey]*queuedUpdate

// dropSuspicions removes all suspicions of a member.
func (q updateQueue) dropSuspicions(name string) {
	for key := range q {
		if key.name == name && key.reporter != "" {
			delete(q, key)
		}
	}
}

// ordered returns the queue in the order in which updates are sent to a member: first what concerns the member itself, then what
// has been sent least.
func (q updateQueue) ordered(receiver string) []*queuedUpdate {
	concernsOthers := func(u *queuedUpdate) int {
		if u.update.Name == receiver {
			return 0
		}
		return 1
	}
	out := make([]*queuedUpdate, 0, len(q))
	for _, u := range q {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b *queuedUpdate) int {
		return cmp.Or(
			concernsOthers(a)-concernsOthers(b),
			a.sent-b.sent,
			cmp.Compare(a.update.Name, b.update.Name),
			int(a.update.State)-int(b.update.State),
			cmp.Compare(a.update.Reporter, b.update.Reporter),
		)
	})
	return out
}

// enqueue begins to pass an update on that was so at a moment.
func (c *Core) enqueue(u Update, at time.Duration) {
	if u.State == Alive || u.State == Left { // earlier suspicions are out of date
		c.updates.dropSuspicions(u.Name)
	}
	c.updates[keyOf(u)] = &queuedUpdate{update: u, at: at}
}

// withQueued adds queued updates to those of a message, as many as a datagram holds.
func (c *Core) withQueued(receiver string, updates []Update) []Update {
	if len(c.updates) == 0 {
		return updates
	}
	room := MaxDatagramBytes - maxHeaderBytes
	for _, u := range updates {
		room -= sizeOf(u)
	}
	repeats := c.repeats()
	for _, queued := range c.updates.ordered(receiver) {
		room -= sizeOf(queued.update)
		if room < 0 {
			break
		}
		u := queued.update
		u.Age = clampMillis(c.now - queued.at)
		updates = append(updates, u)
		queued.sent++
		if queued.sent >= repeats {
			delete(c.updates, keyOf(u))
		}
	}
	return updates
}

// repeats is how often an update is passed on.
func (c *Core) repeats() int {
	return int(math.Ceil(gossipRepeats * growth(c.viewSize(), gossipMembers)))
}

// sizeOf is the most bytes that an update takes in a message.
func sizeOf(u Update) int {
	return maxUpdateBytes + len(u.Name) + len(u.Reporter) + len(u.Address)
}

// gossip sends updates in messages of their own, since other messages may be too few.
func (c *Core) gossip() {
	if len(c.updates) == 0 || c.now < c.due.gossip {
		return
	}
	c.due.gossip = c.now + c.options.ProbeInterval
	for _, p := range c.choose(gossipFanout, isInView) {
		c.send(p, Message{Kind: Gossip})
	}
}

// syncNext exchanges full states with one member, so that an update that was lost on every way is made up for (anti-entropy).
// The interval grows with the members, as the size of a full state does.
func (c *Core) syncNext() {
	if c.now < c.due.sync {
		return
	}
	intervals := syncIntervals * max(1, float64(c.viewSize())/suspicionMembers)
	c.due.sync = c.now + time.Duration(intervals*float64(c.options.ProbeInterval))
	for _, p := range c.choose(1, isReachable) {
		c.sendStream(p, Message{Kind: SyncRequest})
	}
}

// fullState is all that this process knows. Its own verdicts are left out while it is isolated.
func (c *Core) fullState() []Update {
	out := []Update{c.selfUpdate()}
	for _, p := range c.peers.sorted() {
		u := Update{Name: p.name, Generation: p.generation, Incarnation: p.incarnation, State: p.state, Address: p.address,
			Age: clampMillis(c.now - p.stateSince)}
		if p.state == Suspect || p.state == Unreachable {
			if c.connectivity.Isolated() {
				u.State = Alive
			}
			u.Reporter = c.options.Name
			u.Age = clampMillis(c.now - p.suspectedAt)
		}
		out = append(out, u)
	}
	return out
}
