package membership

import (
	"slices"
	"testing"
	"time"
)

func core(name string, start uint64) *Core {
	return New(Options{Name: name, Address: "10.0.0.1:7946", ClusterHash: 1, Generation: start, RandSeed: 1, ProbeInterval: 250 * time.Millisecond,
		ProbeTimeout: 150 * time.Millisecond, SuspicionTimeout: 2500 * time.Millisecond, MaxMembers: 8, SeedAddresses: []string{"10.0.0.9:7946"}}, 0)
}

// from is a message of a member; its address is its name's.
func from(name string, start uint64, kind Kind, news ...Update) *Message {
	return &Message{Kind: kind, Version: WireVersion, ClusterHash: 1, From: name, Generation: start, Address: "10.0.1." + name[1:] + ":7946", Updates: news}
}

// run ticks on, and gives what was sent and noted.
func run(c *Core, from, to time.Duration) (out []OutgoingMessage, notes []Event) {
	for ; from <= to; from += 50 * time.Millisecond {
		c.Tick(from)
		s, n := c.TakeOutput()
		out, notes = append(out, s...), append(notes, n...)
	}
	return out, notes
}

func noted(notes []Event, code string) bool {
	return slices.ContainsFunc(notes, func(n Event) bool { return n.Code == code })
}

func TestMessagesOfOthersAreNotTaken(t *testing.T) {
	c := core("a1", 5)
	foreign := from("b2", 1, Ping)
	foreign.ClusterHash = 2
	later := from("b3", 1, Ping)
	later.MinVersion = WireVersion + 1
	nameless := from("b4", 1, Gossip)
	nameless.From = ""
	for _, m := range []*Message{foreign, later, nameless} {
		c.Receive(0, m)
	}
	if out, _ := c.TakeOutput(); len(out) > 0 || len(c.known) > 0 {
		t.Errorf("answered %v, knows %v", out, c.known)
	}
}

// A message of a later version, with kinds, states and keys that this one does not know, is taken for what is understood.
func TestLaterVersionsAreUnderstoodInPart(t *testing.T) {
	c := core("a1", 5)
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
	if c.known["b2"] == nil || c.known["d4"] == nil || c.known["c3"] != nil {
		t.Errorf("knows %v", c.known)
	}
}

// A length that a message only claims takes no memory.
func TestClaimedLengthsAreBounded(t *testing.T) {
	raw := []byte{0x81, 0xa1, 'e', 0xdd, 0xff, 0xff, 0xff, 0xff}
	if _, err := (&Message{}).UnmarshalMsg(raw); err == nil {
		t.Error("four thousand million pieces of news were taken")
	}
}

// Of two processes of one name the later start wins, and the earlier says so and falls silent. A process that joins with a
// clock that was set back goes above the record that it finds.
func TestTwoProcessesOfOneName(t *testing.T) {
	old := core("a1", 5)
	old.Receive(0, from("b2", 1, Ping))
	run(old, 0, 2*time.Second)
	old.Receive(2*time.Second, from("b2", 1, Ping, Update{Name: "a1", Generation: 6, State: Alive, Address: "10.0.0.7:7946"}))
	_, notes := old.TakeOutput()
	if old.state != Replaced || !noted(notes, "outdated") || !old.Connectivity().Isolated() {
		t.Errorf("state %v, notes %v", old.state, notes)
	}
	if out, _ := run(old, 2*time.Second, 5*time.Second); len(out) > 0 {
		t.Errorf("an outdated process sends %v", out)
	}
	back := core("a1", 3) // its clock was set back
	back.Receive(0, from("b2", 1, SyncReply, Update{Name: "a1", Generation: 5, State: Alive, Address: "10.0.0.1:7946"}))
	if back.o.Generation != 6 || back.state != Alive {
		t.Errorf("start %d, state %v", back.o.Generation, back.state)
	}
	other := core("b2", 1)
	other.Receive(0, from("a1", 5, Ping))
	other.Receive(0, from("a1", 6, Ping))
	other.TakeOutput()
	other.Receive(0, from("a1", 5, Ping)) // the earlier one does not know yet
	out, _ := other.TakeOutput()
	if len(out) != 1 || out[0].Message.Kind != Gossip || !slices.ContainsFunc(out[0].Message.Updates, func(i Update) bool { return i.Name == "a1" && i.Generation == 6 }) {
		t.Errorf("told the earlier process %+v", out)
	}
}

func TestRefutationAndGoodbye(t *testing.T) {
	c := core("a1", 5)
	c.Receive(0, from("b2", 1, Ping, Update{Name: "a1", Generation: 5, Incarnation: 3, State: Suspect, Reporter: "c3"}))
	if c.inc != 4 {
		t.Errorf("incarnation %d", c.inc)
	}
	run(c, 0, time.Second)
	c.Receive(time.Second, from("b2", 1, Gossip, Update{Name: "b2", Generation: 1, State: Left}))
	c.Receive(time.Second, from("c3", 1, Gossip, Update{Name: "b2", Generation: 1, Incarnation: 9, State: Alive, Address: "10.0.1.2:7946"}))
	if s := c.known["b2"].state; s != Left {
		t.Errorf("a goodbye was undone: %v", s)
	}
	c.Receive(time.Second, from("b2", 2, Ping)) // its next process
	if s := c.known["b2"].state; s != Alive {
		t.Errorf("the next process is %v", s)
	}
}

// There is a bound on members; who was lost longest makes way, and the rest is told once.
func TestMembersAreBounded(t *testing.T) {
	c := core("a1", 5)
	for i := range 20 {
		c.Receive(0, from("b"+string(rune('A'+i)), 1, Ping))
	}
	_, notes := c.TakeOutput()
	if len(c.known) != 7 || c.refused != 13 || !noted(notes, "full") {
		t.Errorf("%d known, %d refused", len(c.known), c.refused)
	}
	c.known["bA"].state, c.known["bA"].since = Unreachable, 0
	c.Receive(0, from("bZ", 1, Ping))
	if c.known["bZ"] == nil || c.known["bA"] != nil {
		t.Error("the lost one did not make way")
	}
}

// After a standstill nobody is taken out for what happened in it, and the next verdicts are given more time.
func TestStandstillDrawsNoConclusions(t *testing.T) {
	c := core("a1", 5)
	c.Receive(0, from("b2", 1, Ping))
	_, _ = run(c, 0, time.Second)
	c.Receive(time.Second, from("b2", 1, Ping))
	c.Tick(30 * time.Second)
	_, notes := c.TakeOutput()
	if !noted(notes, "standstill") || c.known["b2"].state != Alive || c.Connectivity() != Connected || c.health == 0 {
		t.Errorf("state %v, condition %v, notes %v", c.known["b2"].state, c.Connectivity(), notes)
	}
	if _, notes = run(c, 30*time.Second, 32*time.Second); c.known["b2"].state == Unreachable || !slices.Contains(c.View().Members, "b2") {
		t.Errorf("it was taken out two seconds after: %v", notes)
	}
}

// FuzzReceive hands a core whatever can be read as messages: it must not panic, and keeps its bounds.
func FuzzReceive(f *testing.F) {
	seed, _ := from("b2", 1, Ping, Update{Name: "a1", Generation: 5, State: Suspect, Reporter: "c3"}).MarshalMsg(nil)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, now, last := core("a1", 5), time.Duration(0), uint64(0)
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
			if c.TakeOutput(); len(c.known) > 8 || c.View().Number < last {
				t.Fatalf("%d known, view %d after %d", len(c.known), c.View().Number, last)
			}
			if last = c.View().Number; len(raw) == 0 {
				raw = []byte{0x80}
			}
		}
	})
}

// A member that was lost for the third time within a minute stays out of the view for two suspicions after its return.
func TestFlappingIsDamped(t *testing.T) {
	c := core("a1", 5)
	c.Receive(0, from("b2", 1, Ping))
	run(c, 0, time.Second)
	lose := func(at time.Duration, outs int) {
		e := c.known["b2"]
		e.state, e.since, e.outs, e.outAt = Unreachable, at, outs, at
		c.changed()
		run(c, at, at+500*time.Millisecond)
		c.Receive(at+550*time.Millisecond, from("b2", 1, Ping))
	}
	held := func(from, to time.Duration) bool {
		in := false
		for ; from <= to; from += 100 * time.Millisecond {
			c.Receive(from, &Message{Kind: Ping, Version: 1, ClusterHash: 1, From: "b2", Generation: 1, Address: "10.0.1.2:7946"})
			c.Tick(from)
			in = in || slices.Contains(c.View().Members, "b2")
		}
		return in
	}
	if lose(2*time.Second, 2); !held(2600*time.Millisecond, 3200*time.Millisecond) {
		t.Error("kept out at the second loss")
	}
	if lose(4*time.Second, 3); held(4600*time.Millisecond, 9400*time.Millisecond) {
		t.Error("back at once after the third loss")
	}
	if !held(9500*time.Millisecond, 10500*time.Millisecond) {
		t.Error("not back after two suspicions")
	}
}
