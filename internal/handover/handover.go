// Package handover lets a new process of a node take over from the running one, for example in an upgrade. The processes connect
// over a Unix socket in $TMPDIR, which is named after the address that clients use. The new process, the successor, receives the
// listening socket itself and the state of the old process, its predecessor. While both run, they send each other the ids of
// their open requests, so that a repeated request is not executed twice, and the state of an administrative drain.
//
// The package transports the messages; the node interprets them.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"time"
)

// Version is the version of the message format. There is no handover between processes with different versions.
const Version = 1

// stepTimeout limits each step of the protocol. The successor must be ready within 6 s, and a predecessor that hangs must not use
// up that time. Each step is short, since a predecessor responds from memory.
const stepTimeout = 700 * time.Millisecond

var (
	// ErrNoPredecessor means that there is no process to take over from.
	ErrNoPredecessor = errors.New("no process to take over from")

	// ErrPredecessorGone means that the predecessor has ended without removing its socket.
	ErrPredecessorGone = errors.New("the predecessor has ended")

	// ErrOtherNode means that the process that serves at the address belongs to another node.
	ErrOtherNode = errors.New("another node serves at this address")
)

// Identity identifies the node that a process belongs to. The socket's name depends only on the clients' address, so the
// process that listens at the socket may belong to another node.
type Identity struct {
	Name      string `json:"node,omitempty"`
	Discovery string `json:"discovery,omitempty"`
	Settings  string `json:"settings,omitempty"` // digest of the settings
}

// isSet reports whether the identity is present. Processes of earlier versions send none.
func (i Identity) isSet() bool { return i.Name != "" }

// SameNode reports whether two processes belong to the same node: they have the same name, and at least one of the discovery
// address and the settings is the same. An upgrade may change one of these two.
func (i Identity) SameNode(other Identity) bool {
	sameConfiguration := i.Discovery == other.Discovery || i.Settings == other.Settings
	return i.Name == other.Name && sameConfiguration
}

// belongsToOtherNode reports whether an identity is present and is that of another node.
func (i Identity) belongsToOtherNode(own Identity) bool { return i.isSet() && !i.SameNode(own) }

// SocketPath returns the path of the handover socket for a clients' address.
func SocketPath(dir, clientAddress string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(clientAddress))
	return filepath.Join(dir, fmt.Sprintf("tackhub-%016x.sock", h.Sum64()))
}

// requestState is the value of Message.Request that requests the predecessor's state.
const requestState = "state"

// Message is one message between the processes, sent as a line of JSON. The first message of each side has the version, the address
// and the identity; each later message has one of the other fields.
type Message struct {
	Version       int             `json:"tackhub_handover,omitempty"`
	Listen        string          `json:"listen,omitempty"` // the clients' address
	Identity      Identity        `json:"who,omitzero"`
	Request       string          `json:"want,omitempty"`    // from the successor: "state"
	State         json.RawMessage `json:"state,omitempty"`   // response to such a request
	Ready         bool            `json:"ready,omitempty"`   // from the successor: it serves; from the predecessor: confirmation of that
	Drained       *bool           `json:"drained,omitempty"` // an administrative drain began (true) or ended (false)
	RequestOpened string          `json:"opened,omitempty"`  // id of a received request
	RequestClosed string          `json:"closed,omitempty"`  // id of a request that has ended
	NotRun        bool            `json:"not_run,omitempty"` // the closed request cannot have run, or may run again
	RequestsRan   []uint64        `json:"ran,omitempty"`     // hashes of the ids of requests that may have run
}
