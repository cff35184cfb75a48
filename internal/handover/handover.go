// Package handover lets a new version of a node take over from the one that runs. The two processes meet at a Unix socket under
// $TMPDIR, named after the address that clients use. The new process, the successor, gets the listening socket itself and the state
// of the old one, its predecessor. As long as both run they tell each other what a node must not count twice.
//
// The package carries messages; what they mean is decided by the node.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"time"
)

// Version is the version of the messages. Processes of different versions do not hand over.
const Version = 1

// stepTimeout bounds each step between the processes. The successor is to be ready within 6 s, and a predecessor that hangs must
// not use that time up; it answers from memory.
const stepTimeout = 700 * time.Millisecond

var (
	// ErrNoPredecessor means that there is no process to take over from.
	ErrNoPredecessor = errors.New("no process to take over from")

	// ErrPredecessorGone means that a process left its socket there and has ended.
	ErrPredecessorGone = errors.New("the predecessor has ended")

	// ErrOtherNode means that another node's process serves at the address.
	ErrOtherNode = errors.New("another node serves at this address")
)

// Identity says which node a process belongs to. The socket's name depends on the clients' address alone, so the process that is
// met there may belong to another node.
type Identity struct {
	Name      string `json:"node,omitempty"`
	Discovery string `json:"discovery,omitempty"`
	Settings  string `json:"settings,omitempty"` // a digest
}

// known reports whether a process said who it is. Earlier versions do not.
func (i Identity) known() bool { return i.Name != "" }

// SameNode reports whether two processes belong to one node: they have the same name, and the same discovery or the same settings,
// either of which an upgrade may change.
func (i Identity) SameNode(other Identity) bool {
	sameConfiguration := i.Discovery == other.Discovery || i.Settings == other.Settings
	return i.Name == other.Name && sameConfiguration
}

// foreign reports whether a process said that it belongs to another node.
func (i Identity) foreign(own Identity) bool { return i.known() && !i.SameNode(own) }

// SocketPath returns the path of the socket at which the processes for one clients' address meet.
func SocketPath(dir, listen string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("tackhub-%016x.sock", h.Sum64()))
}

// requestState asks the predecessor for its state.
const requestState = "state"

// Message is one line between the processes. The first of each side has the version, the address and the identity; each later one
// sets one of the other fields.
type Message struct {
	Version       int             `json:"tackhub_handover,omitempty"`
	Listen        string          `json:"listen,omitempty"` // the clients' address
	Identity      Identity        `json:"who,omitzero"`
	Request       string          `json:"want,omitempty"`    // of the successor: "state"
	State         json.RawMessage `json:"state,omitempty"`   // the answer
	Ready         bool            `json:"ready,omitempty"`   // the successor serves, or the predecessor has noted it
	Drained       *bool           `json:"drained,omitempty"` // an administrator began a drain, or ended it
	RequestOpened string          `json:"opened,omitempty"`  // id of a request that was received
	RequestClosed string          `json:"closed,omitempty"`  // id of one that has ended
}
