package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is who is held to be there, this process included. Two processes with the same hash hold the same members; their
// numbers may differ, and one process's numbers only grow.
type View struct {
	Number  uint64   `json:"number"`
	Hash    uint64   `json:"-"`
	Members []string `json:"members"`
}

func hash(names []string) uint64 {
	d := xxhash.New()
	for _, n := range names {
		_, _ = d.WriteString(n)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// changed notes that the view is out of date.
func (c *Core) changed() {
	if c.changeAt < 0 {
		c.changeAt = c.now
	}
}

// publish makes a new view, once what belongs together has come together: losses of one cause fall due one after the
// other, and each by itself would be a view.
func (c *Core) publish() {
	if c.changeAt < 0 || c.now-c.changeAt < quietOf*c.o.ProbeInterval {
		return
	}
	waiting := c.now - c.changeAt
	names, damped := []string{c.o.Name}, false
	for _, e := range c.known {
		if e.state == Suspect && waiting < longestQuiet*c.o.ProbeInterval && c.now-e.suspectAt+2*c.o.ProbeInterval > c.suspicion(len(e.accusers)-1) {
			return // about to be given up as well
		}
		if e.state.in() && c.now < e.backAt {
			damped = true
			continue
		}
		if e.state.in() {
			names = append(names, e.name)
		}
	}
	if c.changeAt = -1; damped {
		c.changeAt = c.now
	}
	slices.Sort(names)
	if slices.Equal(names, c.view.Members) {
		return
	}
	var in, gone []string
	for _, n := range names {
		if !slices.Contains(c.view.Members, n) {
			in = append(in, n)
		}
	}
	for _, n := range c.view.Members {
		if !slices.Contains(names, n) {
			gone = append(gone, n)
		}
	}
	c.view = View{Number: max(c.view.Number, c.highest) + 1, Members: names, Hash: hash(names)}
	c.highest = max(c.highest, c.view.Number)
	c.note("view", "the members have changed", "view", c.view.Number, "members", len(names), "in", in, "out", gone)
}

var stateNames = [...]string{Joining: "joining", Alive: "alive", Suspect: "suspect", Unreachable: "unreachable", Left: "left",
	Replaced: "replaced", HeardFrom: "vouch"}

// String is the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

var conditionNames = [...]string{Connected: "whole", NoPeers: "alone", InboundLost: "hears nobody", OutboundLost: "not heard", Superseded: "outdated"}

// String is the condition's name.
func (c Connectivity) String() string {
	if int(c) < len(conditionNames) {
		return conditionNames[c]
	}
	return "unknown"
}

// MarshalText writes the condition's name.
func (c Connectivity) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// Status is all that a process holds, for whoever asks.
type Status struct {
	Name            string       `json:"name"`
	Generation      uint64       `json:"start"`
	Incarnation     uint32       `json:"incarnation"`
	State           State        `json:"state"`
	Connectivity    Connectivity `json:"condition"`
	LocalHealth     int          `json:"distrust"` // of own verdicts, 0 to 4
	View            View         `json:"view"`
	Members         []Member     `json:"members"`
	RejectedMembers int          `json:"refused"` // members for which there was no room
}

// Member is another member with the evidence for its state. Ages are in milliseconds; -1: never.
type Member struct {
	Name               string           `json:"name"`
	Address            string           `json:"address"`
	Generation         uint64           `json:"start"`
	Incarnation        uint32           `json:"incarnation"`
	State              State            `json:"state"`
	StateAge           int64            `json:"for_ms"`        // the state holds
	SinceReceived      int64            `json:"heard_ms"`      // its last message that came here
	SinceAcked         int64            `json:"reached_ms"`    // its last answer to this process
	SinceSeen          int64            `json:"seen_ms"`       // the last that anybody is known to have heard of it
	Link               string           `json:"link"`          // whole, broken, one-way (heard, and does not answer), unknown
	OwnConnectivity    Connectivity     `json:"own_condition"` // what it says of itself
	SuspectedBy        map[string]int64 `json:"missed_by,omitempty"`
	HeardBy            map[string]int64 `json:"heard_by,omitempty"`
	LossCount          int              `json:"lost_times"` // within a minute of each other
	DampedFor          int64            `json:"damped_ms,omitempty"`
	PreviousGeneration uint64           `json:"replaced_start,omitempty"`
}

// Status tells everything at a moment.
func (c *Core) Status() Status {
	out := Status{Name: c.o.Name, Generation: c.o.Generation, Incarnation: c.inc, State: c.state, Connectivity: c.cond, LocalHealth: c.health, View: c.view,
		RejectedMembers: c.refused, Members: []Member{}}
	out.View.Members = slices.Clone(c.view.Members)
	ago := func(at time.Duration) int64 {
		if at <= never/2 {
			return -1
		}
		return (c.now - at).Milliseconds()
	}
	for _, e := range c.sorted() {
		m := Member{Name: e.name, Address: e.address, Generation: e.start, Incarnation: e.inc, State: e.state, StateAge: ago(e.since), SinceReceived: ago(e.heard),
			SinceAcked: ago(e.reached), SinceSeen: ago(e.seen), OwnConnectivity: e.self, LossCount: e.outs, PreviousGeneration: e.former, Link: c.link(e),
			SuspectedBy: map[string]int64{}, HeardBy: map[string]int64{}}
		if c.now < e.backAt {
			m.DampedFor = (e.backAt - c.now).Milliseconds()
		}
		for n, at := range e.accusers {
			m.SuspectedBy[n] = ago(at)
		}
		for n, at := range e.witness {
			m.HeardBy[n] = ago(at)
		}
		out.Members = append(out.Members, m)
	}
	return out
}

func (c *Core) link(e *entry) string {
	switch {
	case e.broken >= 0 && e.heard > e.broken:
		return "one-way"
	case e.broken >= 0:
		return "broken"
	case e.reached > never/2:
		return "whole"
	}
	return "unknown"
}

// View is the current one.
func (c *Core) View() View { return c.view }

// Condition is this process's own.
func (c *Core) Connectivity() Connectivity { return c.cond }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text)))) // one that a later version added is unknown
	return nil
}

// UnmarshalText reads a condition's name.
func (c *Connectivity) UnmarshalText(text []byte) error {
	*c = Connectivity(max(0, slices.Index(conditionNames[:], string(text))))
	return nil
}

// State is this process's own.
func (c *Core) State() State { return c.state }

// Start is this process's number. It stays once it has joined.
func (c *Core) Generation() uint64 { return c.o.Generation }

// Process is a member's process as last heard of, where it is held to be there.
func (c *Core) Process(name string) (start uint64, address string, ok bool) {
	e := c.known[name]
	if e == nil || !e.state.in() {
		return 0, "", false
	}
	return e.start, e.address, true
}

// Direct queues a message of another subsystem to a member, where one is known.
func (c *Core) SendToMember(name string, m Message) {
	if e := c.known[name]; e != nil && c.state == Alive {
		c.send(e, m, false)
	}
}

// Everyone queues a message of another subsystem to all in the view.
func (c *Core) SendToAll(m Message) {
	for _, e := range c.sorted() {
		if e.state.in() && c.state == Alive {
			c.send(e, m, false)
		}
	}
}

// Some queues a message of another subsystem to some in the view.
func (c *Core) SendToSome(m Message) {
	if c.state != Alive {
		return
	}
	for _, e := range c.pick(fanout, func(e *entry) bool { return e.state.in() }) {
		c.send(e, m, false)
	}
}

// Signed is a message as this process sends it, for I/O that sends it itself.
func (c *Core) WithSender(m Message) Message {
	m.Version, m.ClusterHash, m.From, m.Generation, m.Incarnation, m.Address = WireVersion, c.o.ClusterHash, c.o.Name, c.o.Generation, c.inc, c.o.Address
	return m
}
