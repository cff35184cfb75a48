package membership

//go:generate go run github.com/tinylib/msgp@v1.6.5 -tests=false -io=false -file message.go -o message_gen.go
//msgp:limit arrays:2048 maps:32

// Kind is the purpose of a message. Its values are part of the wire form.
type Kind uint8

// The kinds of messages.
const (
	Ping           Kind = iota + 1 // health check: asks for an Ack with the same Seq
	Ack                            // answers a Ping, or a PingRequest whose target has answered
	PingRequest                    // asks the receiver to ping Target on the sender's behalf (SWIM's ping-req)
	Gossip                         // carries updates and nothing else
	SyncRequest                    // the sender's full state, asking for the receiver's; on a stream
	SyncReply                      // the receiver's full state in return
	RenewLease                     // a lessee asks a lessor to renew its lease (internal/quota)
	GrantLease                     // the lessor grants it
	LivenessStream                 // the only message on a stream whose end proves that the sender's process has ended
	Broadcast                      // a message of the balancer to the other nodes
	LoadReports                    // load counters of several processes (internal/overload)
)

// State is the state of a member, or what an update says about one. Its values are part of the wire form.
type State uint8

// The states. None of them is "dead": a member that cannot be reached may still be serving its clients.
const (
	Joining     State = iota + 1 // its process has started and has not heard from the others yet
	Alive                        // in the view
	Suspect                      // in the view; somebody misses its answers
	Unreachable                  // out of the view; pinged now and then
	Left                         // it announced that it leaves; final for that process
	Replaced                     // another process has its name; final for that process

	// HeardFrom occurs in updates only: Reporter received a message of the member itself, Age ago.
	HeardFrom
)

// WireVersion is the version of the wire form. A reader skips keys, kinds and states that it does not know, so a later version may
// add some. A version that an earlier reader would misunderstand says so by MinVersion in its messages.
const WireVersion = 1

// Message is what one member sends to another. The keys are short, since most messages are pings: one without updates has
// about 60 bytes.
type Message struct {
	Kind          Kind         `msg:"k"`
	Version       uint8        `msg:"v"`
	MinVersion    uint8        `msg:"l,omitempty"` // oldest version that can read it; 0 means 1
	ClusterHash   uint32       `msg:"c"`           // hash of the cluster's name
	From          string       `msg:"f"`
	Generation    uint64       `msg:"s"`           // of the sender's process; a later process of the same name has a higher one
	Incarnation   uint32       `msg:"i,omitempty"` // of the sender, raised to refute a suspicion
	Address       string       `msg:"a,omitempty"` // of the sender
	Seq           uint32       `msg:"n,omitempty"` // pairs a Ping and its Ack, or a lease's renewal and its grant
	Target        string       `msg:"t,omitempty"` // member to be pinged, in a PingRequest and in the Ack that answers it
	Connectivity  uint8        `msg:"o,omitempty"` // the sender's own Connectivity
	ViewNumber    uint64       `msg:"w,omitempty"` // of the sender's view
	ForGeneration uint64       `msg:"d,omitempty"` // process that a RenewLease or GrantLease is meant for
	MembersHash   uint32       `msg:"m,omitempty"` // of the members that share the quota, in RenewLease and GrantLease
	Node          uint32       `msg:"q,omitempty"` // the sender's node number, in a Broadcast
	Body          []byte       `msg:"b,omitempty"` // of a Broadcast
	LoadReports   []LoadReport `msg:"z,omitempty"`
	Updates       []Update     `msg:"e,omitempty"`
}

// LoadReport holds what one process has counted since its start.
type LoadReport struct {
	Name       string   `msg:"n"`
	Generation uint64   `msg:"s"`
	At         uint64   `msg:"t"`           // when it was counted, in milliseconds of the process's own clock
	Age        uint32   `msg:"a,omitempty"` // milliseconds since then
	Shed       uint64   `msg:"d,omitempty"` // requests shed by the fleet's admission control
	Attempts   uint64   `msg:"r,omitempty"` // attempts that have ended
	Successes  uint64   `msg:"w,omitempty"` // of these, the ones that were served
	Counts     []uint64 `msg:"c"`           // requests by class, then those that were not rejected by class
}

// Update is one piece of news about one member.
type Update struct {
	Name        string `msg:"n"`
	Generation  uint64 `msg:"s"`
	Incarnation uint32 `msg:"i,omitempty"`
	State       State  `msg:"t"`
	Reporter    string `msg:"b,omitempty"` // member that says so, where it is not the subject itself
	Age         uint32 `msg:"a,omitempty"` // milliseconds since it was so, by the sender's clock
	Address     string `msg:"h,omitempty"`
}
