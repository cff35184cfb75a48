package endpointmerge

import "tackhub.example/tackhub/internal/inventory"

// Event is something that a source reports, or the passing of time.
type Event interface{ event() }

// Snapshot is a source's complete list.
type Snapshot struct {
	Source   string
	Revision string
	Servers  []inventory.Server
}

// Delta is what a source changes in its list.
type Delta struct {
	Source   string
	Revision string
	Updated  []inventory.Server
	Removed  []string // ids
}

// Withdrawn is a source that will report no more. What it said no longer counts, and removes nothing.
type Withdrawn struct{ Source string }

// Confirmed lets a list pass that is held for removing too much, whether it is held now or comes later.
type Confirmed struct{ Source, Revision string }

// Tick is the passing of time alone.
type Tick struct{}

func (Snapshot) event()  {}
func (Delta) event()     {}
func (Withdrawn) event() {}
func (Confirmed) event() {}
func (Tick) event()      {}

// Outcome is what came of an event.
type Outcome struct {
	Changes      []Entry    // of the published list, by id
	Held         []HeldList // lists that are held since this event
	Released     []string   // sources whose held list passed or was replaced
	Conflicts    []Conflict // new ones
	MovesStarted int        // servers that have begun to change their group
	NextTick     Millis     // when a Tick is due; 0: none is
}

// Entry is one server as it is published.
type Entry struct {
	ID       string
	Address  string
	Zone     string
	Cell     int // the number of the pod, which stays the same for the life of the view
	Size     float64
	Draining bool // no new requests
	Removed  bool
	Started  Millis // Unix time of the process's start; 0: not known, taken for long ago
}

// Member is one server of the merged list.
type Member struct {
	inventory.Server
	FieldSources map[string]string `json:"from"`             // by field: the source that it came from
	MovingTo     string            `json:"moving,omitempty"` // the group that it will have, as zone/pod; it still has its old one
}

// Conflict is a field in which two sources differ.
type Conflict struct {
	ID, Field                    string
	Chosen, Rejected             string // values
	ChosenSource, RejectedSource string
}

// HeldList is a list that waits for confirmation, since it removes too much.
type HeldList struct {
	Source, Revision string
	Removed, Total   int // members in service that it would remove, and all
}
