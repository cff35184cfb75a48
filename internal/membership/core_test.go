package membership

import (
	"slices"
	"testing"
	"time"
)

// newCore returns a member that has met nobody and knows one seed.
func newCore(name string, generation uint64) *Core {
	return New(Options{Name: name, Address: "10.0.0.1:7946", ClusterHash: 1, Generation: generation, RandSeed: 1, ProbeInterval: 250 * time.Millisecond,
		ProbeTimeout: 150 * time.Millisecond, SuspicionTimeout: 2500 * time.Millisecond, MaxMembers: 8, SeedAddresses: []string{"10.0.0.9:7946"}}, 0)
}

// from returns a message of a member, whose address follows from its name.
func from(name string, generation uint64, kind Kind, updates ...Update) *Message {
	return &Message{Kind: kind, Version: WireVersion, ClusterHash: 1, From: name, Generation: generation, Address: "10.0.1." + name[1:] + ":7946", Updates: updates}
}

// run ticks from one moment to another, and returns what was sent and logged.
func run(c *Core, from, to time.Duration) (out []OutgoingMessage, events []Event) {
	for ; from <= to; from += 50 * time.Millisecond {
		c.Tick(from)
		s, n := c.TakeOutput()
		out, events = append(out, s...), append(events, n...)
	}
	return out, events
}

func hasEvent(events []Event, code EventCode) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return e.Code == code })
}

func TestMessagesOfOthersAreNotTaken(t *testing.T) {
	c := newCore("a1", 5)
	foreign := from("b2", 1, Ping)
	foreign.ClusterHash = 2
	later := from("b3", 1, Ping)
	later.MinVersion = WireVersion + 1
	nameless := from("b4", 1, Gossip)
	nameless.From = ""
	for _, m := range []*Message{foreign, later, nameless} {
		c.Receive(0, m)
	}
	if out, _ := c.TakeOutput(); len(out) > 0 || len(c.peers.byName) > 0 {
		t.Errorf("answered %v, knows %v", out, c.peers.byName)
	}
}

// Nodes of two versions run in one cluster during an upgrade. A message of the later one may have kinds, states and keys that the
// earlier does not know; it must use the rest.
func TestLaterVersionsAreUnderstoodInPart(t *testing.T) {
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
		t.Fatalf("%d bytes left, %v", len(rest), err)
	}
	c.Receive(0, got)
	if c.peers.byName["b2"] == nil || c.peers.byName["d4"] == nil || c.peers.byName["c3"] != nil {
		t.Errorf("knows %v", c.peers.byName)
	}
}

// A message of a few bytes may claim millions of updates. The reader must not allocate for them.
func TestClaimedLengthsAreBounded(t *testing.T) {
	raw := []byte{0x81, 0xa1, 'e', 0xdd, 0xff, 0xff, 0xff, 0xff}
	if _, err := (&Message{}).UnmarshalMsg(raw); err == nil {
		t.Error("four thousand million updates were accepted")
	}
}

// Two processes with one name, such as one started by mistake on a second machine: the one with the higher generation wins, and
// the other logs it and falls silent. A generation is a start time, so after the clock was set back a new process may have a
// lower one than its predecessor; while joining it goes above the one that the others know.
func TestTwoProcessesOfOneName(t *testing.T) {
	old := newCore("a1", 5)
	old.Receive(0, from("b2", 1, Ping))
	run(old, 0, 2*time.Second)
	old.Receive(2*time.Second, from("b2", 1, Ping, Update{Name: "a1", Generation: 6, State: Alive, Address: "10.0.0.7:7946"}))
	_, events := old.TakeOutput()
	if old.state != Replaced || !hasEvent(events, EventSuperseded) || !old.Connectivity().Isolated() {
		t.Errorf("state %v, events %v", old.state, events)
	}
	if out, _ := run(old, 2*time.Second, 5*time.Second); len(out) > 0 {
		t.Errorf("a superseded process sends %v", out)
	}
	back := newCore("a1", 3) // its clock was set back
	back.Receive(0, from("b2", 1, SyncReply, Update{Name: "a1", Generation: 5, State: Alive, Address: "10.0.0.1:7946"}))
	if back.options.Generation != 6 || back.state != Alive {
		t.Errorf("generation %d, state %v", back.options.Generation, back.state)
	}
	other := newCore("b2", 1)
	other.Receive(0, from("a1", 5, Ping))
	other.Receive(0, from("a1", 6, Ping))
	other.TakeOutput()
	other.Receive(0, from("a1", 5, Ping)) // the earlier one does not know yet
	out, _ := other.TakeOutput()
	if len(out) != 1 || out[0].Message.Kind != Gossip || !slices.ContainsFunc(out[0].Message.Updates, func(i Update) bool { return i.Name == "a1" && i.Generation == 6 }) {
		t.Errorf("sent to the earlier process: %+v", out)
	}
}

// A later process of an unreachable member sends its first message. It has to count for that process: recorded at the entry that was
// replaced, it leaves the process unheard, and the answer tells the process that it is suspected under the earlier one's generation.
func TestFirstMessageOfALaterProcessCounts(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, SyncReply))
	run(c, 0, 10*time.Second)
	if s := c.peers.byName["b2"].state; s != Unreachable {
		t.Fatalf("the earlier process is %v", s)
	}
	m := from("b2", 2, Ping)
	m.Connectivity = uint8(InboundLost)
	c.Receive(10*time.Second, m)
	p := c.peers.byName["b2"]
	if p.generation != 2 || p.lastReceived != 10*time.Second || p.lastSeen != 10*time.Second || p.connectivity != InboundLost {
		t.Errorf("generation %d, received at %v, seen at %v, its connectivity %v", p.generation, p.lastReceived, p.lastSeen, p.connectivity)
	}
	out, _ := c.TakeOutput()
	if !slices.ContainsFunc(out, func(o OutgoingMessage) bool { return o.Message.Kind == SyncRequest }) {
		t.Error("no full state is exchanged with a member that was found again")
	}
	for _, o := range out {
		for _, u := range o.Message.Updates {
			if u.Name == "b2" && u.Generation != 2 {
				t.Errorf("%v tells %+v of the earlier process", o.Message.Kind, u)
			}
		}
	}
}

// A member refutes a suspicion by a higher incarnation. One that left stays out, whatever others still say of it, until its name
// has a new process.
func TestRefutationAndGoodbye(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, Ping, Update{Name: "a1", Generation: 5, Incarnation: 3, State: Suspect, Reporter: "c3"}))
	if c.incarnation != 4 {
		t.Errorf("incarnation %d", c.incarnation)
	}
	run(c, 0, time.Second)
	c.Receive(time.Second, from("b2", 1, Gossip, Update{Name: "b2", Generation: 1, State: Left}))
	c.Receive(time.Second, from("c3", 1, Gossip, Update{Name: "b2", Generation: 1, Incarnation: 9, State: Alive, Address: "10.0.1.2:7946"}))
	if s := c.peers.byName["b2"].state; s != Left {
		t.Errorf("the leaving was undone: %v", s)
	}
	c.Receive(time.Second, from("b2", 2, Ping)) // its next process
	if s := c.peers.byName["b2"].state; s != Alive {
		t.Errorf("the next process is %v", s)
	}
}

// The table is bounded. In a full one the member that has been unreachable for longest makes room, and rejections are logged once.
func TestMembersAreBounded(t *testing.T) {
	c := newCore("a1", 5)
	for i := range 20 {
		c.Receive(0, from("b"+string(rune('A'+i)), 1, Ping))
	}
	_, events := c.TakeOutput()
	if len(c.peers.byName) != 7 || c.rejected != 13 || !hasEvent(events, EventFull) {
		t.Errorf("%d known, %d rejected", len(c.peers.byName), c.rejected)
	}
	c.peers.byName["bA"].state, c.peers.byName["bA"].stateSince = Unreachable, 0
	c.Receive(0, from("bZ", 1, Ping))
	if c.peers.byName["bZ"] == nil || c.peers.byName["bA"] != nil {
		t.Error("the unreachable one did not make room")
	}
}

// A process that was stopped for half a minute has received nothing in that time. It must not take the others out of its view for
// that, and must be slower to suspect them afterwards.
func TestStandstillDrawsNoConclusions(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, Ping))
	_, _ = run(c, 0, time.Second)
	c.Receive(time.Second, from("b2", 1, Ping))
	c.Tick(30 * time.Second)
	_, events := c.TakeOutput()
	if !hasEvent(events, EventPause) || c.peers.byName["b2"].state != Alive || c.Connectivity() != Connected || c.localHealth == 0 {
		t.Errorf("state %v, connectivity %v, events %v", c.peers.byName["b2"].state, c.Connectivity(), events)
	}
	if _, events = run(c, 30*time.Second, 32*time.Second); c.peers.byName["b2"].state == Unreachable || !slices.Contains(c.View().Members, "b2") {
		t.Errorf("it left the view two seconds after: %v", events)
	}
}

// FuzzReceive hands a member whatever can be read as messages: it must not panic, and keeps its bounds.
func FuzzReceive(f *testing.F) {
	seed, _ := from("b2", 1, Ping, Update{Name: "a1", Generation: 5, State: Suspect, Reporter: "c3"}).MarshalMsg(nil)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, now, last := newCore("a1", 5), time.Duration(0), uint64(0)
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
			if len(c.peers.byName) > 8 || c.View().Number < last {
				t.Fatalf("%d known, view %d after %d", len(c.peers.byName), c.View().Number, last)
			}
			last = c.View().Number
			if len(raw) == 0 {
				raw = []byte{0x80}
			}
		}
	})
}

// A member that comes and goes would change the view each time. After its third loss within a minute it stays out of the view for
// two suspicion timeouts after its return.
func TestFlappingIsDamped(t *testing.T) {
	c := newCore("a1", 5)
	c.Receive(0, from("b2", 1, Ping))
	run(c, 0, time.Second)
	lose := func(at time.Duration, losses int) {
		p := c.peers.byName["b2"]
		p.setState(Unreachable, at)
		p.losses = losses
		p.lastLost = at
		c.viewChanged()
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
		t.Error("kept out at the second loss")
	}
	lose(4*time.Second, 3)
	if inView(4600*time.Millisecond, 9400*time.Millisecond) {
		t.Error("back at once after the third loss")
	}
	if !inView(9500*time.Millisecond, 10500*time.Millisecond) {
		t.Error("not back after two suspicions")
	}
}
