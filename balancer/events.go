package balancer

// Event is something that the node observed or was notified of.
type Event interface{ event() }

// ServerID names a server; it carries no meaning beyond identity.
type ServerID string

// RequestID names a request; a client's retry carries a new one.
type RequestID uint64

// Arrival is a client's request; exactly one final answer is now owed.
type Arrival struct {
	ID            RequestID
	Class, Tenant string
	Key           string
	SamplingMark  uint64 // a random number of the request's own, the same at whichever node it arrives
	WorkHint      Millis // anticipated work; 0: none given
	IsRetry       bool   // as marked by the client
	Deadline      Millis // when the client gives this attempt up; counted as if the body were complete
	UploadTimeout Millis // for how long the body may still be coming at most; 0: it is complete
}

// BodyReceived says that the body of a request that arrived before it was complete has come to its
// end. No server can have begun the request before.
type BodyReceived struct {
	ID       RequestID
	Deadline Millis // when the client gives this attempt up
}

// AttemptCompleted is the outcome of one StartAttempt.
type AttemptCompleted struct {
	ID              RequestID
	Attempt         int // number among the request's attempts, from 0
	Server          ServerID
	Outcome         Outcome
	Elapsed         Millis
	RequestFinished bool // the request is finished; nothing is owed
	Report          LoadReport
}

// ResponseStarted says that a streamed answer has begun.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
}

// ClientCancelled says that the client has left.
type ClientCancelled struct{ ID RequestID }

// LoadProbeCompleted is the outcome of one ProbeLoad.
type LoadProbeCompleted struct {
	Server  ServerID
	Outcome Outcome
	Elapsed Millis
	Report  LoadReport
}

// ConnectionClosed says that an idle connection to a server was closed by either side. It isn't
// sent for a connection that an attempt or a probe ends: one without an answer leaves none.
type ConnectionClosed struct{ Server ServerID }

// TimerFired is a timer set earlier that has come due.
type TimerFired struct{ Token string }

// EndpointUpdate is an update of the endpoint list from discovery.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// GossipReceived is a message from another node.
type GossipReceived struct {
	From int // the node's number
	Body []byte
}

// SiblingProcesses says how many processes make this node now: two during an upgrade, else one.
type SiblingProcesses struct{ Count int }

// StateTransferred is what the process before this one knew, of servers that are in this one's list.
type StateTransferred struct{ State State }

// FleetQuota is how much this node may use now of what the whole fleet may use together, from 0 to
// 1. Without any the node has its even part.
type FleetQuota struct {
	Current float64 // before Until
	Until   Millis
	After   float64 // from Until on, until the next FleetQuota
}

// FleetAdmission is what the fleet admits while there is more work than the servers can do. An
// empty one ends the limits.
type FleetAdmission struct {
	AdmittedFraction map[string]float64 // by class, from 0 to 1; a class that isn't named is admitted whole
	RetryReduction   float64            // the part of the retry budget that is held back, from 0 to 1
}

func (Arrival) event()            {}
func (BodyReceived) event()       {}
func (AttemptCompleted) event()   {}
func (ResponseStarted) event()    {}
func (ClientCancelled) event()    {}
func (LoadProbeCompleted) event() {}
func (ConnectionClosed) event()   {}
func (TimerFired) event()         {}
func (EndpointUpdate) event()     {}
func (GossipReceived) event()     {}
func (SiblingProcesses) event()   {}
func (StateTransferred) event()   {}
func (FleetQuota) event()         {}
func (FleetAdmission) event()     {}

// UpdateKind says how an endpoint update is to be read.
type UpdateKind int

// The kinds of endpoint updates.
const (
	DeltaUpdate  UpdateKind = iota // changed entries only
	FullUpdate                     // all entries; what is absent has been removed
	CachedUpdate                   // all entries as held before a restart, perhaps outdated
	UpdateFailed                   // a call failed or the watch broke; no entries
	UpdateStale                    // changes may be missing; no entries. A delta or a full update ends it
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID       ServerID
	State    EndpointState
	Zone     string
	Cell     int
	Capacity float64 // comparable between servers; 1 where the list has none
	Started  Millis  // 0: long ago
}

// EndpointState is what the list says of a server's process.
type EndpointState int

// The states of a listed server.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Outcome is how an attempt or a load probe ended.
type Outcome int

// The outcomes.
const (
	OK             Outcome = iota
	Errored                // the server answered with an error; it may have run
	Overloaded             // rejected by the server unseen
	TimedOut               // no answer in time; may have run
	Unreachable            // no connection; never ran
	ConnectionLost         // the connection broke; may have run
	Cancelled              // cancelled by this node; may have run
	NotSent                // never sent
)

// LoadReport is a server's own report of its load.
type LoadReport struct {
	Valid      bool    // false: none came along
	InFlight   float64 // requests that the server holds
	QueueKnown bool    // Queued is known
	Queued     float64 // of those in flight, the ones not yet being worked on
}
