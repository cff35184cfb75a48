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
type Idempotency int

// The effects a class can have.
const (
	Idempotent        Idempotency = iota // may be repeated and refused freely
	IdempotentWithKey                    // repeats are dropped inside a group of servers for a window
	NonIdempotent                        // must never run twice
)

// Group is the set of servers that drop a keyed request's repeats.
type DedupScope int

// The groups of a keyed class.
const (
	DedupAcrossFleet DedupScope = iota
	DedupWithinZone
	DedupWithinCell
)

// Class is one class of request.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Millis  // how long a keyed repeat is dropped, from the first send that may have run
	LatencyObjective Millis  // an answer within it earns the full worth
	ObjectivePerWork float64 // the aim grows by this multiple of the request's own work
	TotalTimeout     Millis  // the client's wait over all its tries
	PriorityWeight   float64
	LateFraction     float64 // share of the worth that an answer after the aim still earns
	Streamed         bool
}

// Tenant is one customer; its quota holds over all nodes together.
type Tenant struct {
	Name  string
	Quota float64 // requests a second
}

// Goal weighs the parts of the service that the operator counts.
type ObjectiveWeights struct{ Overall, WorstWindow, WorstClass, WorstTenant, TailLatency, Availability float64 }

// AskPauseMost is the longest that the module waits from a call for the list that failed to the next one, in ms. What waits
// besides has to fit with it into the time that news may take.
const MaxPollBackoff = 1.5 * askLongest

// Settings are what a node is told once, at its start.
type Settings struct {
	Node, Nodes           int
	Zone                  string
	Classes               []Class
	Tenants               []Tenant
	Goal                  ObjectiveWeights
	OverQuotaFraction     float64 // worth of a request beyond its tenant's share
	WeightByWork          bool    // worth is counted for each unit of work
	WatchEndpoints        bool    // the server list must be asked for
	CapacitiesListed      bool    // the list's weights compare the servers' capacities
	ClientsMarkRetries    bool    // clients mark their retries
	LoadReports           bool    // answers or probe results carry load reports with requests in flight
	ReportsFromProbesOnly bool    // of these, probe results alone
	GossipAllowed         bool    // nodes may send one another messages
	KeyAffinity           bool    // a server that met a request's key lately does less work for it

	DrainGrace        Millis
	InitialCapacity   float64
	SlowStartDuration Millis
	OverloadFactor    float64
	OverloadWindow    Millis
	WatchDeadline     Millis

	MaxAttempts       int
	CancelAllowed     bool
	ProbesAllowed     bool
	HedgingAllowed    bool
	RetryAfterAllowed bool
	MaxRetryAfter     Millis
	ConnectTimeout    Millis
	Tick              Millis
	LateFailurePrice  float64 // price of worth that ends unserved after its aim
	CrossZonePrice    float64 // each first try crossing zones once, as a share of all worth; so those below
	ProbePrice        float64 // one probe a first try
	HandshakePrice    float64 // one new connection to a server a first try
	GossipPrice       float64 // one full message received a first try
	CPUPerRequest     float64 // microseconds that a request and all that comes with it may cost; 0: not limited
}

// ServerState is what the list says of a server's process.
type EndpointState int

// The states of a listed server.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// ServerEntry is one line of the server list.
type Endpoint struct {
	ID       ServerID
	State    EndpointState
	Zone     string
	Cell     int
	Capacity float64 // comparable capacity; 1 where the list has none
	Started  Millis  // 0: long past
}

// Load is a server's own report; Valid is false where none came along.
type LoadReport struct {
	Valid      bool
	InFlight   float64
	QueueKnown bool    // Waiting is known
	Queued     float64 // of those in flight, the ones not yet being worked on
}

// ListForm says how a server list is to be read.
type UpdateKind int

// The forms of a server list.
const (
	DeltaUpdate   UpdateKind = iota // changed entries only
	FullUpdate                      // all entries; what is absent is gone
	CachedUpdate                    // all entries as held before a restart, perhaps outdated
	UpdateFailed                    // a call failed or the subscription broke; no entries
	UpdateOverdue                   // news may count as told that has not come; no entries. A delta or a full list ends it
)

// Result is how an attempt or a probe ended.
type Outcome int

// The results of an attempt.
const (
	OK             Outcome = iota
	Errored                // the server answered with an error; it may have run
	Overloaded             // turned away unseen
	TimedOut               // no answer in time; may have run
	Unreachable            // no connection; never ran
	ConnectionLost         // the connection broke; may have run
	Cancelled              // withdrawn by us; may have run
	NotSent                // never sent
)

// Event is something the node observed.
type Event interface{ event() }

// Arrival is a client's request; exactly one final answer is now owed.
type Arrival struct {
	ID            RequestID
	Class, Tenant string
	Key           string
	SamplingMark  uint64 // chance of the request's own, the same at whichever node it arrives
	WorkHint      Millis // anticipated work; 0: none given
	IsRetry       bool
	Deadline      Millis // when the client gives this try up
	UploadTimeout Millis // how long its body may still be coming at most, 0: it is whole. Expires is counted as if it were
}

// Uploaded says that the body of a request that arrived before it was whole has come to its end. No server can have begun
// it before.
type BodyReceived struct {
	ID       RequestID
	Deadline Millis
}

// AttemptEnd is the outcome of one Send.
type AttemptCompleted struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Outcome Outcome
	Elapsed Millis
	Closed  bool // the request is finished; nothing is owed
	Report  LoadReport
}

// FirstByte says that a streamed answer has begun.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
}

// Dropped says that the client has left.
type ClientCancelled struct{ ID RequestID }

// ProbeEnd is the result of one Probe.
type LoadProbeCompleted struct {
	Server  ServerID
	Outcome Outcome
	Elapsed Millis
	Report  LoadReport
}

// Disconnected says that an idle connection to a server is no more, closed by either side. Those that an attempt or a
// probe ends are not told: none is left by one without an answer.
type ConnectionClosed struct{ Server ServerID }

// TimerFired is a timer set earlier that has come due.
type TimerFired struct{ Token string }

// ServerList is news from discovery.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// Told is a message from another node.
type GossipReceived struct {
	From int
	Body []byte
}

func (Arrival) event()            {}
func (GossipReceived) event()     {}
func (BodyReceived) event()       {}
func (AttemptCompleted) event()   {}
func (ResponseStarted) event()    {}
func (ClientCancelled) event()    {}
func (LoadProbeCompleted) event() {}
func (TimerFired) event()         {}
func (ConnectionClosed) event()   {}
func (EndpointUpdate) event()     {}

// Action is something the node is to do.
type Action interface{ action() }

// Send starts an attempt; a request's attempts are numbered from 0 in this order.
type StartAttempt struct {
	ID            RequestID
	Server        ServerID
	Deadline      Millis // when the attempt is given up; 0: when the client does
	WriteDeadline Millis // a copy not written whole by then must not be: its repeats are dropped no longer; 0: no such end
}

// Cancel stops waiting for one attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Reason is why a request got no service.
type RejectReason int

// The reasons.
const (
	UnknownClass      RejectReason = iota // the settings do not name its class
	LateRetry                             // a retry whose aim had passed when it came
	NoCapacity                            // no server that it may go to was expected to answer in time
	AttemptsExhausted                     // attempts ended without an answer, and another may not be sent or would come too late
	FleetOverload                         // the fleet as one has no room for it
)

// Refuse is the final answer that promises a retry to be harmless.
type Reject struct {
	ID         RequestID
	RetryAfter Millis // 0: no indication
	Reason     RejectReason
}

// Fail is the final answer that promises nothing.
type Fail struct {
	ID     RequestID
	Reason RejectReason
}

// SetTimer asks for a TimerFired at the given time.
type SetTimer struct {
	Token string
	At    Millis
}

// Probe asks a server for a sign of life and its load.
type ProbeLoad struct{ Server ServerID }

// Watch subscribes to the server list.
type WatchEndpoints struct{}

// Tell sends every other node a message of at most MessageMost bytes; it may be lost.
type BroadcastGossip struct{ Body []byte }

// MessageMost is the most bytes that a message between nodes may have.
const MaxGossipBytes = 256

// Log is a line for whoever is on call.
type Log struct{ Text string }

func (StartAttempt) action()    {}
func (CancelAttempt) action()   {}
func (Reject) action()          {}
func (Fail) action()            {}
func (SetTimer) action()        {}
func (ProbeLoad) action()       {}
func (WatchEndpoints) action()  {}
func (BroadcastGossip) action() {}
func (Log) action()             {}
