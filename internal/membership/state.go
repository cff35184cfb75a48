package membership

import "slices"

var stateNames = [...]string{Joining: "joining", Alive: "alive", Suspect: "suspect", Unreachable: "unreachable", Left: "left",
	Replaced: "replaced", HeardFrom: "vouch"}

// String returns the name shown in logs and in the status, or "unknown" for a state of a later version.
func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText accepts a state's name. An unknown name, such as one of a later version, becomes 0.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// inView reports whether a member in this state belongs to the view.
func (s State) inView() bool { return s == Alive || s == Suspect }

// Connectivity is a process's assessment of its own connection to the other members.
type Connectivity uint8

// The values. A process with InboundLost, OutboundLost or Superseded is isolated.
const (
	Connected    Connectivity = iota
	NoPeers                   // it has received no member's message yet, or all others have left
	InboundLost               // it receives no messages from other members
	OutboundLost              // it receives messages, but no member answers its own
	Superseded                // another process uses its name, so this one no longer takes part in the cluster
)

// Isolated reports whether messages may be missing because of a fault on the process's own side. An isolated process must neither
// report other members as suspect or unreachable nor take over anything from them.
func (c Connectivity) Isolated() bool {
	return c == InboundLost || c == OutboundLost || c == Superseded
}

var connectivityNames = [...]string{Connected: "whole", NoPeers: "alone", InboundLost: "hears nobody", OutboundLost: "not heard",
	Superseded: "outdated"}

// String returns the name shown in logs and in the status, or "unknown" for a value of a later version.
func (c Connectivity) String() string {
	if int(c) < len(connectivityNames) {
		return connectivityNames[c]
	}
	return "unknown"
}

// MarshalText returns the value's name.
func (c Connectivity) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText accepts a value's name. An unknown name, such as one of a later version, becomes Connected.
func (c *Connectivity) UnmarshalText(text []byte) error {
	*c = Connectivity(max(0, slices.Index(connectivityNames[:], string(text))))
	return nil
}
