package membership

import (
	"slices"
	"testing"
	"time"
)

// newCore returns a member with one seed that has not received any message.
func newCore(name string, generation uint64) *Core {
	return New(Options{Name: name, Address: "10.0.0.1:7946", ClusterHash: 1, Generation: generation, RandSeed: 1, ProbeInterval: 250 * time.Millisecond,
		ProbeTimeout: 150 * time.Millisecond, SuspicionTimeout: 2500 * time.Millisecond, MaxMembers: 8, SeedAddresses: []string{"10.0.0.9:7946"}}, 0)
}

// from returns a message from a member, whose address is derived from its name.
func from(name string, generation uint64, kind Kind, updates ...Update) *Message {
	return &Message{Kind: kind, Version: WireVersion, ClusterHash: 1, From: name, Generation: generation, Address: "10.0.1." + name[1:] + ":7946", Updates: updates}
}

// run calls Tick every 50 ms between two times, and returns the messages and events.
func run(c *Core, from, to time.Duration) (out []OutgoingMessage, events []Event) {
	for ; from <= to; from += 50 * time.Millisecond {
		c.Tick(from)
		newMessages, newEvents := c.TakeOutput()
		out, events = append(out, newMessages...), append(events, newEvents...)
	}
	return out, events
}

func hasEvent(events []Event, code EventCode) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return e.Code == code })
}

// A message of another cluster, in an unreadable version or without a sender must neither be answered nor add a member.
func TestReceiveIgnoresUnacceptableMessages(t *testing.T) {
	c := newCore("a1", 5)
	otherCluster := from("b2", 1, Ping)
	otherCluster.ClusterHash = 2
	laterVersion := from("b3", 1, Ping)
	laterVersion.MinVersion = WireVersion + 1
	nameless := from("b4", 1, Gossip)
	nameless.From = ""
	for _, m := range []*Message{otherCluster, laterVersion, nameless} {
		c.Receive(0, m)
	}
	if out, _ := c.TakeOutput(); len(out) > 0 || len(c.peers.byName) > 0 {
		t.Errorf("replies = %v, members = %v, want none", out, c.peers.byName)
	}
}

// During an upgrade, nodes of two versions run in one cluster. A message of the later version may contain kinds, states and keys that
// are unknown to the earlier one, which must still use the rest of the message.
func TestReceiveSkipsUnknownPartsOfMessage(t *testing.T) {
	c := newCore("a1", 5)
	m := from("b2", 1, 99, Update{Name: "c3", Generation: 1, State: 77, Address: "10.0.1.3:7946"}, Update{Name: "d4", Generation: 1, State: Alive, Address: "10.0.1.4:7946"})
	m.Version = 9
	raw, err := m.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	raw[0]++                                 // one more key in the map
	raw = append(raw, 0xa1, 'y', 0x92, 1, 2) // "y": [1, 2]
	got := &Message{}
	if rest, err := got.UnmarshalMsg(raw); err != nil || len(rest) > 0 {
		t.Fatalf("%d bytes left after the message, want 0; %v", len(rest), err)
	}
	c.Receive(0, got)
	if c.peers.byName["b2"] == nil || c.peers.byName["d4"] == nil || c.peers.byName["c3"] != nil {
		t.Errorf("members = %v, want b2 and d4 without c3", c.peers.byName)
	}
}

// The header of a short message may declare millions of updates. The decoder must reject it without allocating memory for them.
func TestUnmarshalRejectsExcessiveUpdateCount(t *testing.T) {
	raw := []byte{0x81, 0xa1, 'e', 0xdd, 0xff, 0xff, 0xff, 0xff}
	if _, err := (&Message{}).UnmarshalMsg(raw); err == nil {
		t.Error("a message that declares 4294967295 updates was decoded, want an error")
	}
}

// Two processes may have one name, for example if one is started by mistake on a second machine. The one with the higher generation
// wins; the other logs this and stops sending. A generation is a start time, so after the clock was set back a new process may have a
// lower generation than its predecessor. While joining, it raises its generation above the one that the others know.
func TestProcessWithHigherGenerationReplacesOther(t *testing.T) {
	old := newCore("a1", 5)
	old.Receive(0, from("b2", 1, Ping))
	run(old, 0, 2*time.Second)
	old.Receive(2*time.Second, from("b2", 1, Ping, Update{Name: "a1", Generation: 6, State: Alive, Address: "10.0.0.7:7946"}))
	_, events := old.TakeOutput()
	if old.state != Replaced || !hasEvent(events, EventSuperseded) || !old.Connectivity().Isolated() {
		t.Errorf("state = %v, events = %v, want state replaced, event outdated and an isolated process", old.state, events)
	}
	if out, _ := run(old, 2*time.Second, 5*time.Second); len(out) > 0 {
		t.Errorf("a replaced process sends %v, want nothing", out)
	}
	restarted := newCore("a1", 3) // after the clock was set back
	restarted.Receive(0, from("b2", 1, SyncReply, Update{Name: "a1", Generation: 5, State: Alive, Address: "10.0.0.1:7946"}))
	if restarted.options.Generation != 6 || restarted.state != Alive {
		t.Errorf("generation = %d, state = %v, want 6, alive", restarted.options.Generation, restarted.state)
	}
	other := newCore("b2", 1)
	other.Receive(0, from("a1", 5, Ping))
	other.Receive(0, from("a1", 6, Ping))
	other.TakeOutput()
	other.Receive(0, from("a1", 5, Ping)) // the replaced process has not been notified yet
	out, _ := other.TakeOutput()
	if len(out) != 1 || out[0].Message.Kind != Gossip || !slices.ContainsFunc(out[0].Message.Updates, func(u Update) bool { return u.Name == "a1" && u.Generation == 6 }) {
		t.Errorf("messages to the replaced process = %+v, want one Gossip with a1 at generation 6", out)
	}
}

// The first message of a later process of an unreachable member must be recorded at the new entry. If it were recorded at the replaced
// entry, the process would count as not heard from, and the reply would contain a suspicion with the earlier generation.
func TestFirstMessageOfLaterProcessIsRecordedAtNewEntry(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, SyncReply))
	run(c, 0, 10*time.Second)
	if s := c.peers.byName["b2"].state; s != Unreachable {
		t.Fatalf("state of the earlier process = %v, want unreachable", s)
	}
	m := from("b2", 2, Ping)
	m.Connectivity = uint8(InboundLost)
	c.Receive(10*time.Second, m)
	p := c.peers.byName["b2"]
	if p.generation != 2 || p.lastReceived != 10*time.Second || p.lastSeen != 10*time.Second || p.connectivity != InboundLost {
		t.Errorf("generation = %d, received at %v, seen at %v, connectivity = %v, want 2, 10s, 10s, hears nobody",
			p.generation, p.lastReceived, p.lastSeen, p.connectivity)
	}
	out, _ := c.TakeOutput()
	if !slices.ContainsFunc(out, func(o OutgoingMessage) bool { return o.Message.Kind == SyncRequest }) {
		t.Error("no SyncRequest is sent to a member that is reachable again")
	}
	for _, o := range out {
		for _, u := range o.Message.Updates {
			if u.Name == "b2" && u.Generation != 2 {
				t.Errorf("message of kind %v contains %+v, want generation 2", o.Message.Kind, u)
			}
		}
	}
}

// A member refutes a suspicion with a higher incarnation. A member that left stays out of the view, even if other members still report
// it alive, until a new process with its name starts.
func TestSuspicionIsRefutedAndLeaveIsFinal(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, Ping, Update{Name: "a1", Generation: 5, Incarnation: 3, State: Suspect, Reporter: "c3"}))
	if c.incarnation != 4 {
		t.Errorf("incarnation = %d, want 4", c.incarnation)
	}
	run(c, 0, time.Second)
	c.Receive(time.Second, from("b2", 1, Gossip, Update{Name: "b2", Generation: 1, State: Left}))
	c.Receive(time.Second, from("c3", 1, Gossip, Update{Name: "b2", Generation: 1, Incarnation: 9, State: Alive, Address: "10.0.1.2:7946"}))
	if s := c.peers.byName["b2"].state; s != Left {
		t.Errorf("state after leaving = %v, want left", s)
	}
	c.Receive(time.Second, from("b2", 2, Ping)) // its next process
	if s := c.peers.byName["b2"].state; s != Alive {
		t.Errorf("state of the next process = %v, want alive", s)
	}
}

// The member table is bounded. If it is full, a new member replaces the one that has been unreachable for longest. If none is
// unreachable, the new member is rejected; only the first rejection is logged.
func TestFullMemberTableRejectsNewMembers(t *testing.T) {
	c := newCore("a1", 5)
	for i := range 20 {
		c.Receive(0, from("b"+string(rune('A'+i)), 1, Ping))
	}
	_, events := c.TakeOutput()
	if len(c.peers.byName) != 7 || c.rejected != 13 || !hasEvent(events, EventTableFull) {
		t.Errorf("members = %d, rejected = %d, events = %v, want 7, 13 and a table full event", len(c.peers.byName), c.rejected, events)
	}
	c.peers.byName["bA"].state, c.peers.byName["bA"].stateSince = Unreachable, 0
	c.Receive(0, from("bZ", 1, Ping))
	if c.peers.byName["bZ"] == nil || c.peers.byName["bA"] != nil {
		t.Error("the new member bZ did not replace the unreachable member bA")
	}
}

// A process that was paused for half a minute has received no messages in that time. It must not remove the others from its view
// because of that, and must be slower to suspect them afterwards.
func TestPausedProcessKeepsMembersInView(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, Ping))
	_, _ = run(c, 0, time.Second)
	c.Receive(time.Second, from("b2", 1, Ping))
	c.Tick(30 * time.Second)
	_, events := c.TakeOutput()
	if !hasEvent(events, EventPause) || c.peers.byName["b2"].state != Alive || c.Connectivity() != Connected || c.localHealth == 0 {
		t.Errorf("state = %v, connectivity = %v, local health = %d, events = %v, want alive, whole, above 0 and a pause event",
			c.peers.byName["b2"].state, c.Connectivity(), c.localHealth, events)
	}
	if _, events = run(c, 30*time.Second, 32*time.Second); c.peers.byName["b2"].state == Unreachable || !slices.Contains(c.View().Members, "b2") {
		t.Errorf("b2 is not in the view two seconds after the pause, want it kept: events = %v", events)
	}
}

// FuzzReceive passes arbitrary decodable messages to a member, which must not panic or exceed the bound of its table.
func FuzzReceive(f *testing.F) {
	seed, _ := from("b2", 1, Ping, Update{Name: "a1", Generation: 5, State: Suspect, Reporter: "c3"}).MarshalMsg(nil)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, now, lastView := newCore("a1", 5), time.Duration(0), uint64(0)
		for range 8 {
			m := &Message{}
			rest, err := m.UnmarshalMsg(raw)
			if err != nil {
				return
			}
			m.ClusterHash, raw = 1, rest
			c.Receive(now, m)
			now += 300 * time.Millisecond
			c.Tick(now)
			c.TakeOutput()
			if len(c.peers.byName) > 8 || c.View().Number < lastView {
				t.Fatalf("members = %d, want at most 8; view number = %d, want at least %d", len(c.peers.byName), c.View().Number, lastView)
			}
			lastView = c.View().Number
			if len(raw) == 0 {
				raw = []byte{0x80}
			}
		}
	})
}

// A member that repeatedly becomes unreachable and returns would change the view each time. After its third loss within a minute it is
// kept out of the view for two suspicion timeouts after its return.
func TestFlappingMemberIsKeptOutOfView(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, Ping))
	run(c, 0, time.Second)
	lose := func(at time.Duration, losses int) {
		p := c.peers.byName["b2"]
		p.setState(Unreachable, at)
		p.losses = losses
		p.lastLost = at
		c.markViewChanged()
		run(c, at, at+500*time.Millisecond)
		c.Receive(at+550*time.Millisecond, from("b2", 1, Ping))
	}
	inView := func(from, to time.Duration) bool {
		seen := false
		for ; from <= to; from += 100 * time.Millisecond {
			c.Receive(from, &Message{Kind: Ping, Version: 1, ClusterHash: 1, From: "b2", Generation: 1, Address: "10.0.1.2:7946"})
			c.Tick(from)
			seen = seen || slices.Contains(c.View().Members, "b2")
		}
		return seen
	}
	lose(2*time.Second, 2)
	if !inView(2600*time.Millisecond, 3200*time.Millisecond) {
		t.Error("b2 is not in the view after its second loss, want it back at once")
	}
	lose(4*time.Second, 3)
	if inView(4600*time.Millisecond, 9400*time.Millisecond) {
		t.Error("b2 is in the view within two suspicion timeouts after its third loss, want it kept out")
	}
	if !inView(9500*time.Millisecond, 10500*time.Millisecond) {
		t.Error("b2 is not in the view two suspicion timeouts after its return, want it back")
	}
}
