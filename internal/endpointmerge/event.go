package endpointmerge

import "tackhub.example/tackhub/internal/inventory"

// Event is a report from a source, an operator's confirmation, or a Tick.
type Event interface{ event() }

// Snapshot is a source's complete list.
type Snapshot struct {
	Source   string
	Revision string
	Servers  []inventory.Server

	// Origins are the sources from which the servers of a restored list come, by server id. If such a source's first list does not
	// name the server, the server has been removed.
	Origins map[string][]string
	// Current reports of a restored list that it is that of the view before this one. Otherwise an earlier process saved it, and the
	// servers may have changed their groups since.
	Current bool
}

// Delta contains changes to a source's list.
type Delta struct {
	Source   string
	Revision string
	Updated  []inventory.Server
	Removed  []string // ids
}

// Withdrawn discards a source's list and the tombstones of its removals. It adds no tombstones for the servers on the list, so
// they can stay members if another source lists them.
type Withdrawn struct{ Source string }

// Confirmed allows a list that removes too many servers, whether the list is already held or arrives later.
type Confirmed struct{ Source, Revision string }

// Tick advances the time without a report from a source.
type Tick struct{}

func (Snapshot) event()  {}
func (Delta) event()     {}
func (Withdrawn) event() {}
func (Confirmed) event() {}
func (Tick) event()      {}

// Outcome is the result of an event.
type Outcome struct {
	Changes   []Entry    // to the published list, sorted by id
	Held      []HeldList // lists that are newly held
	Released  []string   // sources whose held list was accepted or replaced
	Conflicts []Conflict // new or changed conflicts
	Moved     int        // number of servers that changed to another dedup group
}

// Entry is a server of the published list.
type Entry struct {
	ID       string
	Address  string
	Zone     string
	Cell     int // of the server's dedup group, by DedupGroups
	Size     float64
	Draining bool // must not get new requests
	Removed  bool
	Started  Millis // Unix time of the process's start; 0: unknown, treated as long ago
}

// Member is a server of the merged list.
type Member struct {
	inventory.Server
	FieldSources map[string]string `json:"from"`             // by field: the source of its value
	MovingTo     string            `json:"moving,omitempty"` // in states that earlier versions saved: zone/pod to which it was moving
}

// Conflict is a field of a server for which two sources state different values.
type Conflict struct {
	ID, Field                    string
	Chosen, Rejected             string // values
	ChosenSource, RejectedSource string
}

// HeldList is a list that is not merged until it is confirmed, since it removes too many servers.
type HeldList struct {
	Source, Revision string
	Removed, Total   int // members in service: the number that the list would remove, and the number of all
}
