package membership

//go:generate go run github.com/tinylib/msgp@v1.6.5 -tests=false -io=false -file message.go -o message_gen.go
//msgp:limit arrays:2048 maps:32

// Kind is the type of a message. Its values are part of the wire format.
type Kind uint8

// The kinds of messages.
const (
	Ping           Kind = iota + 1 // health probe: asks for an Ack with the same Seq
	Ack                            // answers a Ping, or a PingRequest whose target has answered
	PingRequest                    // asks the receiver to ping Target on the sender's behalf (SWIM's ping-req)
	Gossip                         // contains only updates
	SyncRequest                    // contains the sender's full state and asks for the receiver's; sent on a stream
	SyncReply                      // answers a SyncRequest with the receiver's full state
	RenewLease                     // asks a lessor to renew the sender's lease (internal/quota)
	GrantLease                     // grants the renewal of a lease
	LivenessStream                 // opens a stream without further messages; EOF proves that the sender's process has ended
	Broadcast                      // contains a message from one node's balancer to the others
	LoadReports                    // contains load counters of several processes (internal/overload)
)

// State is the state of a member, or HeardFrom in an update about a member. Its values are part of the wire format.
type State uint8

// The states. None of them is "dead": a member that cannot be reached may still be serving its clients.
const (
	Joining     State = iota + 1 // its process has started and has not received an answer from another member yet
	Alive                        // in the view
	Suspect                      // in the view; at least one member has not received its answers
	Unreachable                  // not in the view; pinged periodically
	Left                         // it announced that it was leaving; final for that process
	Replaced                     // another process uses its name; final for that process

	// HeardFrom occurs only in updates (heard-from reports): Reporter received a message from the member Age milliseconds ago.
	HeardFrom
)

// WireVersion is the version of the wire format. A reader skips unknown keys, kinds and states, so a later version may add some.
// If an earlier version would misinterpret a message, the sender sets MinVersion in it.
const WireVersion = 1

// Message is the only type of message between members. Its keys are short because most messages are pings: a ping without updates
// takes about 60 bytes.
type Message struct {
	Kind          Kind         `msg:"k"`
	Version       uint8        `msg:"v"`
	MinVersion    uint8        `msg:"l,omitempty"` // oldest version that can read the message; 0 means 1
	ClusterHash   uint32       `msg:"c"`           // hash of the cluster's name
	From          string       `msg:"f"`
	Generation    uint64       `msg:"s"`           // of the sender's process; a later process with the same name has a higher one
	Incarnation   uint32       `msg:"i,omitempty"` // of the sender, raised to refute a suspicion
	Address       string       `msg:"a,omitempty"` // of the sender
	Seq           uint32       `msg:"n,omitempty"` // sequence number that matches a Ping with its Ack, or a RenewLease with its GrantLease
	Target        string       `msg:"t,omitempty"` // member to be pinged, in a PingRequest and in the Ack that answers it
	Connectivity  uint8        `msg:"o,omitempty"` // the sender's own Connectivity
	ViewNumber    uint64       `msg:"w,omitempty"` // of the sender's view
	ForGeneration uint64       `msg:"d,omitempty"` // generation of the process that a RenewLease or GrantLease is addressed to
	MembersHash   uint32       `msg:"m,omitempty"` // of the members among which the quota is divided, in a RenewLease and GrantLease
	Node          uint32       `msg:"q,omitempty"` // the sender's node number, in a Broadcast
	Body          []byte       `msg:"b,omitempty"` // of a Broadcast
	LoadReports   []LoadReport `msg:"z,omitempty"`
	Updates       []Update     `msg:"e,omitempty"`
}

// LoadReport holds the load counters of one process since its start.
type LoadReport struct {
	Name       string   `msg:"n"`
	Generation uint64   `msg:"s"`
	At         uint64   `msg:"t"`           // time of the counts, in milliseconds of the process's own clock
	Age        uint32   `msg:"a,omitempty"` // milliseconds since At
	Shed       uint64   `msg:"d,omitempty"` // requests shed by the fleet's admission control
	Attempts   uint64   `msg:"r,omitempty"` // attempts that have ended
	Successes  uint64   `msg:"w,omitempty"` // attempts that have ended and were served
	Counts     []uint64 `msg:"c"`           // requests of each class, followed by the requests of each class that were not rejected
}

// Update is a report about the state of one member.
type Update struct {
	Name        string `msg:"n"`
	Generation  uint64 `msg:"s"`
	Incarnation uint32 `msg:"i,omitempty"`
	State       State  `msg:"t"`
	Reporter    string `msg:"b,omitempty"` // member that reports the state; empty if the member Name reports it itself
	Age         uint32 `msg:"a,omitempty"` // milliseconds since the state was observed, by the sender's clock
	Address     string `msg:"h,omitempty"`
}
