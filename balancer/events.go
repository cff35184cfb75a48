package balancer

// Event is an input of the balancer: something that the node observed or was notified of.
type Event interface{ event() }

// ServerID identifies a server. Its content has no meaning.
type ServerID string

// RequestID identifies a request. A client's retry has a new ID.
type RequestID uint64

// Arrival is a request from a client. The node must give it exactly one final answer.
type Arrival struct {
	ID            RequestID
	Class, Tenant string
	Key           string
	SamplingMark  uint64 // pseudorandom number derived from the request, the same at every node
	WorkHint      Millis // expected time that the request takes, given by the client; 0: none given
	IsRetry       bool   // as marked by the client
	Deadline      Millis // when the client gives up on this attempt, if the body arrives without delay
	UploadTimeout Millis // maximum time until the body is complete; 0: it is already complete
}

// BodyReceived reports that a request body is complete that was incomplete when the request arrived. No
// server can have started to process the request earlier.
type BodyReceived struct {
	ID       RequestID
	Deadline Millis // when the client gives up on this attempt
}

// AttemptCompleted reports the outcome of one StartAttempt.
type AttemptCompleted struct {
	ID              RequestID
	Attempt         int // index among the request's attempts, from 0
	Server          ServerID
	Outcome         Outcome
	Elapsed         Millis
	RequestFinished bool // the client has its final answer, or no longer waits for one
	Undeliverable   bool // no listed server can be sent the request
	Report          LoadReport
}

// ResponseStarted reports that a server has started to stream its response.
type ResponseStarted struct {
	ID      RequestID
	Attempt int
}

// ClientCancelled reports that the client no longer waits for the answer.
type ClientCancelled struct{ ID RequestID }

// LoadProbeCompleted reports the outcome of one ProbeLoad.
type LoadProbeCompleted struct {
	Server  ServerID
	Outcome Outcome
	Elapsed Millis
	Report  LoadReport
}

// ConnectionClosed reports that either side closed an idle connection to a server. It isn't sent for the
// connection of an attempt or probe that ends without an answer: such a connection is always closed.
type ConnectionClosed struct{ Server ServerID }

// TimerFired reports that a timer set by SetTimer is due.
type TimerFired struct{ Token string }

// EndpointUpdate is an update of the endpoint list from discovery.
type EndpointUpdate struct {
	Kind      UpdateKind
	Endpoints []Endpoint
}

// GossipReceived is a gossip message from another node.
type GossipReceived struct {
	From int // the node's number
	Body []byte
}

// SiblingProcesses is the number of processes of this node: two during an upgrade, otherwise one.
type SiblingProcesses struct{ Count int }

// StateTransferred is the state of the predecessor of this process. The endpoint list must have been
// received earlier: only servers in the list are restored.
type StateTransferred struct{ State State }

// FleetQuota is the fraction of the fleet-wide budgets that this node may use, from 0 to 1. Until the
// first FleetQuota the budgets are divided evenly among the nodes.
type FleetQuota struct {
	Current float64 // fraction before the time Until
	Until   Millis
	After   float64 // fraction from the time Until to the next FleetQuota
}

// FleetAdmission limits the requests that the fleet admits while the servers are overloaded. An empty
// FleetAdmission removes the limits.
type FleetAdmission struct {
	AdmittedFraction map[string]float64 // by class, from 0 to 1; other classes are not limited
	RetryReduction   float64            // fraction by which the retry budget is reduced, from 0 to 1
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

// UpdateKind is the meaning of an endpoint update.
type UpdateKind int

// The kinds of endpoint updates.
const (
	DeltaUpdate  UpdateKind = iota // only the changed entries
	FullUpdate                     // all entries; servers that are absent have been removed
	CachedUpdate                   // all entries as cached before a restart, possibly outdated
	UpdateFailed                   // a poll or the watch failed; no entries
	UpdateStale                    // changes may be missing; no entries. A delta or full update ends this state
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID       ServerID
	State    EndpointState
	Zone     string
	Cell     int
	Capacity float64 // relative to other servers; 1 if the list contains no capacities
	Started  Millis  // start time by the wall clock; 0: long ago
}

// EndpointState is the state of a server according to the endpoint list.
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
	Errored                // the server answered with an error; the request may have run
	Overloaded             // rejected by the server; never ran
	TimedOut               // no answer in time; may have run
	Unreachable            // no connection; never ran
	ConnectionLost         // the connection broke; may have run
	Cancelled              // cancelled by this node; may have run
	NotSent                // not sent by this node; never ran
)

// LoadReport is the load that a server reports.
type LoadReport struct {
	Valid      bool    // false: there was no report
	InFlight   float64 // requests at the server, queued ones included
	QueueKnown bool    // Queued is valid
	Queued     float64 // requests in flight that the server has not started to process
}
