package membership

import "slices"

var stateNames = [...]string{Joining: "joining", Alive: "alive", Suspect: "suspect", Unreachable: "unreachable", Left: "left",
	Replaced: "replaced", HeardFrom: "vouch"}

// String returns the name that logs and the status show; "unknown" for a state of a later version.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText accepts a state's name; one of a later version becomes 0.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// inView reports whether a member of that state belongs to the view.
func (s State) inView() bool { return s == Alive || s == Suspect }

// Connectivity is a process's judgement of its own connection to the others.
type Connectivity uint8

// The values. With InboundLost, OutboundLost and Superseded the process is isolated.
const (
	Connected    Connectivity = iota
	NoPeers                   // it has met nobody yet, or all others have left
	InboundLost               // it receives messages of nobody
	OutboundLost              // it receives messages, and nobody answers its own
	Superseded                // another process has its name: it no longer takes part
)

// Isolated reports whether the process must draw no conclusion about others, and take over nothing that was theirs: what it
// misses may be its own fault.
func (c Connectivity) Isolated() bool {
	return c == InboundLost || c == OutboundLost || c == Superseded
}

var connectivityNames = [...]string{Connected: "whole", NoPeers: "alone", InboundLost: "hears nobody", OutboundLost: "not heard",
	Superseded: "outdated"}

// String returns the name that logs and the status show; "unknown" for a value of a later version.
func (c Connectivity) String() string {
	if int(c) < len(connectivityNames) {
		return connectivityNames[c]
	}
	return "unknown"
}

// MarshalText returns the value's name.
func (c Connectivity) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText accepts a value's name; one of a later version becomes Connected.
func (c *Connectivity) UnmarshalText(text []byte) error {
	*c = Connectivity(max(0, slices.Index(connectivityNames[:], string(text))))
	return nil
}
