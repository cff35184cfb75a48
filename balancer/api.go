// Package balancer decides, for one node, which server gets each request and what becomes of it.
//
// This file holds the interface only: settings, events and actions. The decisions are in logic.go.
package balancer

// Millis is a time on the node's monotonic clock, or a span of it, in milliseconds.
type Millis = float64

// ServerID names a server; it carries no meaning beyond identity.
type ServerID string

// RequestID names a request; a client's retry carries a new one.
type RequestID uint64

// Effect says whether a class of request may run more than once.
type Effect int

// The effects a class can have.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // repeats are dropped inside a group of servers for a window
	Unsafe               // must never run twice
)

// Group is the set of servers that drop a keyed request's repeats.
type Group int

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is one class of request.
type Class struct {
	Name       string
	Effect     Effect
	Group      Group
	Window     Millis  // how long a keyed repeat is dropped, from the first send that may have run
	Aim        Millis  // an answer within it earns the full worth
	AimStretch float64 // the aim grows by this multiple of the request's own work
	HardLimit  Millis  // the client's wait over all its tries
	Worth      float64
	LateShare  float64 // share of the worth that an answer after the aim still earns
	Streamed   bool
}

// Tenant is one customer; its quota holds over all nodes together.
type Tenant struct {
	Name  string
	Quota float64 // requests a second
}

// Goal weighs the parts of the service that the operator counts.
type Goal struct{ Whole, WorstWindow, WorstClass, WorstTenant, Tail, Nines float64 }

// AskPauseMost is the longest that the module waits from a call for the list that failed to the next one, in ms. What waits
// besides has to fit with it into the time that news may take.
const AskPauseMost = 1.5 * askLongest

// Settings are what a node is told once, at its start.
type Settings struct {
	Node, Nodes int
	Zone        string
	Classes     []Class
	Tenants     []Tenant
	Goal        Goal
	OverShare   float64 // worth of a request beyond its tenant's share
	CountWork   bool    // worth is counted for each unit of work
	Subscribe   bool    // the server list must be asked for
	Sized       bool    // the list's weights compare the servers' capacities
	MarksRetry  bool    // clients mark their retries
	Reports     bool    // answers or probe results carry load reports with requests in flight
	ProbedOnly  bool    // of these, probe results alone
	Peers       bool    // nodes may send one another messages
	WarmKeys    bool    // a server that met a request's key lately does less work for it

	DrainGrace   Millis
	ColdFrom     float64
	ColdFor      Millis
	FallMultiple float64
	FallFor      Millis
	MustAskIn    Millis

	MaxAttempts    int
	MayCancel      bool
	MayProbe       bool
	SecondCopies   bool
	RetryAfter     bool
	MaxRetryAfter  Millis
	ConnectTimeout Millis
	Tick           Millis
	LateFailPrice  float64 // price of worth that ends unserved after its aim
	CrossZonePrice float64 // each first try crossing zones once, as a share of all worth; so those below
	ProbePrice     float64 // one probe a first try
	HandshakePrice float64 // one new connection to a server a first try
	PeerPrice      float64 // one full message received a first try
	CPUPerRequest  float64 // microseconds that a request and all that comes with it may cost; 0: not limited
}

// ServerState is what the list says of a server's process.
type ServerState int

// The states of a listed server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// ServerEntry is one line of the server list.
type ServerEntry struct {
	ID      ServerID
	State   ServerState
	Zone    string
	Cell    int
	Size    float64 // comparable capacity; 1 where the list has none
	Started Millis  // 0: long past
}

// Load is a server's own report; Valid is false where none came along.
type Load struct {
	Valid    bool
	InFlight float64
	Queued   bool    // Waiting is known
	Waiting  float64 // of those in flight, the ones not yet being worked on
}

// ListForm says how a server list is to be read.
type ListForm int

// The forms of a server list.
const (
	ListDelta  ListForm = iota // changed entries only
	ListFull                   // all entries; what is absent is gone
	ListCached                 // all entries as held before a restart, perhaps outdated
	ListFailed                 // a call failed or the subscription broke; no entries
	ListLate                   // news may count as told that has not come; no entries. A delta or a full list ends it
)

// Result is how an attempt or a probe ended.
type Result int

// The results of an attempt.
const (
	OK          Result = iota
	Errored            // the server answered with an error; it may have run
	Overloaded         // turned away unseen
	TimedOut           // no answer in time; may have run
	Unreachable        // no connection; never ran
	Broken             // the connection broke; may have run
	Cancelled          // withdrawn by us; may have run
	Void               // never sent
)

// Event is something the node observed.
type Event interface{ event() }

// Arrival is a client's request; exactly one final answer is now owed.
type Arrival struct {
	ID            RequestID
	Class, Tenant string
	Key           string
	Mark          uint64 // chance of the request's own, the same at whichever node it arrives
	Hint          Millis // anticipated work; 0: none given
	Retry         bool
	Expires       Millis // when the client gives this try up
	Uploading     Millis // how long its body may still be coming at most, 0: it is whole. Expires is counted as if it were
}

// Uploaded says that the body of a request that arrived before it was whole has come to its end. No server can have begun
// it before.
type Uploaded struct {
	ID      RequestID
	Expires Millis
}

// AttemptEnd is the outcome of one Send.
type AttemptEnd struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Result  Result
	Elapsed Millis
	Closed  bool // the request is finished; nothing is owed
	Load    Load
}

// FirstByte says that a streamed answer has begun.
type FirstByte struct {
	ID      RequestID
	Attempt int
}

// Dropped says that the client has left.
type Dropped struct{ ID RequestID }

// ProbeEnd is the result of one Probe.
type ProbeEnd struct {
	Server  ServerID
	Result  Result
	Elapsed Millis
	Load    Load
}

// Disconnected says that an idle connection to a server is no more, closed by either side. Those that an attempt or a
// probe ends are not told: none is left by one without an answer.
type Disconnected struct{ Server ServerID }

// TimerFired is a timer set earlier that has come due.
type TimerFired struct{ Token string }

// ServerList is news from discovery.
type ServerList struct {
	Form    ListForm
	Entries []ServerEntry
}

// Told is a message from another node.
type Told struct {
	From int
	Body []byte
}

func (Arrival) event()      {}
func (Told) event()         {}
func (Uploaded) event()     {}
func (AttemptEnd) event()   {}
func (FirstByte) event()    {}
func (Dropped) event()      {}
func (ProbeEnd) event()     {}
func (TimerFired) event()   {}
func (Disconnected) event() {}
func (ServerList) event()   {}

// Action is something the node is to do.
type Action interface{ action() }

// Send starts an attempt; a request's attempts are numbered from 0 in this order.
type Send struct {
	ID      RequestID
	Server  ServerID
	StopAt  Millis // when the attempt is given up; 0: when the client does
	WholeBy Millis // a copy not written whole by then must not be: its repeats are dropped no longer; 0: no such end
}

// Cancel stops waiting for one attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reason is why a request got no service.
type Reason int

// The reasons.
const (
	NoClass  Reason = iota // the settings do not name its class
	Stale                  // a retry whose aim had passed when it came
	NoPlace                // no server that it may go to was expected to answer in time
	Tried                  // attempts ended without an answer, and another may not be sent or would come too late
	FleetCut               // the fleet as one has no room for it
)

// Refuse is the final answer that promises a retry to be harmless.
type Refuse struct {
	ID         RequestID
	RetryAfter Millis // 0: no indication
	Why        Reason
}

// Fail is the final answer that promises nothing.
type Fail struct {
	ID  RequestID
	Why Reason
}

// SetTimer asks for a TimerFired at the given time.
type SetTimer struct {
	Token string
	At    Millis
}

// Probe asks a server for a sign of life and its load.
type Probe struct{ Server ServerID }

// Watch subscribes to the server list.
type Watch struct{}

// Tell sends every other node a message of at most MessageMost bytes; it may be lost.
type Tell struct{ Body []byte }

// MessageMost is the most bytes that a message between nodes may have.
const MessageMost = 256

// Log is a line for whoever is on call.
type Log struct{ Text string }

func (Send) action()     {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (SetTimer) action() {}
func (Probe) action()    {}
func (Watch) action()    {}
func (Tell) action()     {}
func (Log) action()      {}
