package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// gossipFanout is the number of random members that receive gossip messages in each probe interval.
	gossipFanout = 3

	// gossipRepeats is how many times each update is sent in a cluster of up to gossipBaseMembers members.
	gossipRepeats = 4

	// gossipBaseMembers is the cluster size above which the number of repeats grows with the logarithm of the size.
	gossipBaseMembers = 9

	// syncIntervals is the number of probe intervals between two exchanges of full states, and between two pings of the seeds
	// unless this process is alone in its view.
	syncIntervals = 40

	// MaxDatagramBytes is the maximum size of a datagram. It is small enough that common networks do not fragment the datagram.
	MaxDatagramBytes = 1200

	// maxHeaderBytes is the maximum encoded size of a message without its updates.
	maxHeaderBytes = 160

	// maxUpdateOverheadBytes is the maximum encoded size of an update without the contents of its strings.
	maxUpdateOverheadBytes = 48
)

// updateKey identifies an update in the queue. A later update with the same key replaces the earlier one.
type updateKey struct {
	name      string
	heardFrom bool
	reporter  string // set only for suspicions: those of several reporters confirm one another, so each is queued
}

func keyOf(u Update) updateKey {
	if u.State == Suspect {
		return updateKey{name: u.Name, reporter: u.Reporter}
	}
	return updateKey{name: u.Name, heardFrom: u.State == HeardFrom}
}

// queuedUpdate is an update that is being gossiped.
type queuedUpdate struct {
	update     Update
	observedAt time.Duration // when the reported state was observed, by this process's clock
	sendCount  int
}

// updateQueue holds the updates that are being gossiped.
type updateQueue map[updateKey]*queuedUpdate

// dropSuspicions removes all suspicions about a member.
func (q updateQueue) dropSuspicions(name string) {
	for key := range q {
		if key.name == name && key.reporter != "" {
			delete(q, key)
		}
	}
}

// ordered returns the queue in the order in which updates are sent to a member: updates about the receiver come first, then those
// that have been sent least often.
func (q updateQueue) ordered(receiver string) []*queuedUpdate {
	receiverFirst := func(u *queuedUpdate) int {
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
			receiverFirst(a)-receiverFirst(b),
			a.sendCount-b.sendCount,
			cmp.Compare(a.update.Name, b.update.Name),
			int(a.update.State)-int(b.update.State),
			cmp.Compare(a.update.Reporter, b.update.Reporter),
		)
	})
	return out
}

// enqueue queues an update to be gossiped. observedAt is the time at which the state in the update was observed.
func (c *Core) enqueue(u Update, observedAt time.Duration) {
	if u.State == Alive || u.State == Left { // earlier suspicions are out of date
		c.updates.dropSuspicions(u.Name)
	}
	c.updates[keyOf(u)] = &queuedUpdate{update: u, observedAt: observedAt}
}

// appendQueuedUpdates appends queued updates to those of a message, as many as fit into a datagram. It removes updates that have now
// been sent often enough from the queue.
func (c *Core) appendQueuedUpdates(receiver string, updates []Update) []Update {
	if len(c.updates) == 0 {
		return updates
	}
	remainingBytes := MaxDatagramBytes - maxHeaderBytes
	for _, u := range updates {
		remainingBytes -= sizeOf(u)
	}
	repeats := c.repeats()
	for _, queued := range c.updates.ordered(receiver) {
		remainingBytes -= sizeOf(queued.update)
		if remainingBytes < 0 {
			break
		}
		u := queued.update
		u.Age = clampMillis(c.now - queued.observedAt)
		updates = append(updates, u)
		queued.sendCount++
		if queued.sendCount >= repeats {
			delete(c.updates, keyOf(u))
		}
	}
	return updates
}

// repeats returns how many times an update is sent at the current cluster size.
func (c *Core) repeats() int {
	return int(math.Ceil(gossipRepeats * logScale(c.viewSize(), gossipBaseMembers)))
}

// sizeOf returns the maximum encoded size of an update in bytes.
func sizeOf(u Update) int {
	return maxUpdateOverheadBytes + len(u.Name) + len(u.Reporter) + len(u.Address)
}

// gossip sends queued updates in separate messages, since there may be too few other messages to include them all.
func (c *Core) gossip() {
	if len(c.updates) == 0 || c.now < c.due.gossip {
		return
	}
	c.due.gossip = c.now + c.options.ProbeInterval
	for _, p := range c.chooseRandom(gossipFanout, isInView) {
		c.send(p, Message{Kind: Gossip})
	}
}

// syncNext exchanges full states with one random member, so that both get the updates that gossip has not delivered to them
// (anti-entropy). The interval grows with the number of members, since the size of a full state does.
func (c *Core) syncNext() {
	if c.now < c.due.sync {
		return
	}
	intervals := syncIntervals * max(1, float64(c.viewSize())/suspicionBaseMembers)
	c.due.sync = c.now + time.Duration(intervals*float64(c.options.ProbeInterval))
	for _, p := range c.chooseRandom(1, isReachable) {
		c.sendStream(p, Message{Kind: SyncRequest})
	}
}

// fullState returns updates about this process and all known members. While this process is isolated, it reports the members that
// it considers suspect or unreachable as alive.
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
