package membership

//go:generate go run github.com/tinylib/msgp@v1.6.5 -tests=false -io=false -file message.go -o message_gen.go
//msgp:limit arrays:2048 maps:32

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Ping           Kind = iota + 1 // asks for an Ack with the same number
	Ack                            // answers a Ping, or a Relay whose target answered
	PingRequest                    // asks the receiver to ping Target and to pass its answer on
	Gossip                         // carries news alone
	SyncRequest                    // everything that the sender knows, wanting the same back; on a stream
	SyncReply                      // the same back
	RenewLease                     // asks a guard for a lease (internal/quota)
	GrantLease                     // grants it
	LivenessStream                 // first and last on a stream whose end tells that its sender's process has ended
	Broadcast                      // what the module tells other nodes
	LoadReports                    // what members were asked for and did
)

// Versions of the wire form. A reader skips keys, kinds and states that it does not know, so a later version may add them;
// WireLeast is raised only by a version that an older reader would misunderstand.
const (
	WireVersion    = 1
	MinWireVersion = 1
)

// State is what is held of a member, and of what a piece of news tells.
type State uint8

// The states. Nobody is ever called dead: who is unreachable may still be serving.
const (
	Joining     State = iota + 1 // its process has begun and has not heard of the others yet
	Alive                        // in the view
	Suspect                      // in the view; somebody misses its answers
	Unreachable                  // out of the view; tried on
	Left                         // it said goodbye; final for that process
	Replaced                     // another process has its name; final for that process

	// Vouch is no state of a member: By heard it directly, Age ago.
	HeardFrom
)

// Message is what one member sends another. Keys are short: a ping without news is some 60 bytes.
type Message struct {
	Kind          Kind         `msg:"k"`
	Version       uint8        `msg:"v"`
	MinVersion    uint8        `msg:"l,omitempty"` // the oldest version that understands it; 0: 1
	ClusterHash   uint32       `msg:"c"`           // hash of the cluster's name
	From          string       `msg:"f"`
	Generation    uint64       `msg:"s"`           // the sender's process: a later one of the same name has a higher number
	Incarnation   uint32       `msg:"i,omitempty"` // the sender's incarnation, raised to refute
	Address       string       `msg:"a,omitempty"` // the sender's
	Seq           uint32       `msg:"n,omitempty"`
	Target        string       `msg:"t,omitempty"` // of a Relay, and of the Ack that answers one
	Connectivity  uint8        `msg:"o,omitempty"` // the sender's own Condition
	ViewNumber    uint64       `msg:"w,omitempty"` // the number of the sender's view
	ForGeneration uint64       `msg:"d,omitempty"` // the process that a Renew or Grant is meant for
	MembersHash   uint32       `msg:"m,omitempty"` // of the list of members that share, likewise
	Node          uint32       `msg:"q,omitempty"` // of a Word: the sender's number
	Body          []byte       `msg:"b,omitempty"` // of a Word
	LoadReports   []LoadReport `msg:"z,omitempty"` // of a Loads
	Updates       []Update     `msg:"e,omitempty"`
}

// LoadItem is what one process has counted since its start.
type LoadReport struct {
	Name       string   `msg:"n"`
	Generation uint64   `msg:"s"`
	At         uint64   `msg:"t"`           // milliseconds of its own clock
	Age        uint32   `msg:"a,omitempty"` // milliseconds since then
	Shed       uint64   `msg:"d,omitempty"` // refused by the fleet's cut
	Attempts   uint64   `msg:"r,omitempty"` // attempts
	Successes  uint64   `msg:"w,omitempty"` // of these, served
	Counts     []uint64 `msg:"c"`           // asked for by class, then not refused by class
}

// Item is one piece of news on one member.
type Update struct {
	Name        string `msg:"n"`
	Generation  uint64 `msg:"s"`
	Incarnation uint32 `msg:"i,omitempty"`
	State       State  `msg:"t"`
	Reporter    string `msg:"b,omitempty"` // who says so, where it is not the member itself
	Age         uint32 `msg:"a,omitempty"` // milliseconds since it was so, by the sender's clock
	Address     string `msg:"h,omitempty"`
}
