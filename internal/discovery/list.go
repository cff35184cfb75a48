// Package discovery is the client of the discovery service. It keeps the endpoint list up to date with watches, passes each
// change to a ListHandler, provides the address of each server, and reports when the list may be stale.
//
// The node receives a change at most 6 s (notifyDeadline) after discovery has the change and can be reached. The code in
// intervals.go divides this time among all timeouts and delays.
package discovery

import "tackhub.example/tackhub/balancer"

// Member is one server as discovery describes it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"` // may be empty only in phase DELETED
	Locality string  `json:"locality"`  // zone
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`       // SERVING, DRAINING or DELETED; servers in any other phase get no new requests
	Size     float64 `json:"size"`        // relative capacity
	UpSince  float64 `json:"up_since_ms"` // start time of the process in Unix milliseconds; 0: unknown
}

// Phases of a member.
const (
	PhaseServing  = "SERVING"
	PhaseDraining = "DRAINING"
	PhaseDeleted  = "DELETED"
)

// stateByPhase maps the phases of a member to the balancer's endpoint states.
var stateByPhase = map[string]balancer.EndpointState{
	PhaseServing:  balancer.Ready,
	PhaseDraining: balancer.Draining,
	PhaseDeleted:  balancer.Removed,
}

// List is one response of discovery: the complete list, or only the members that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Endpoints converts the members to the balancer's endpoints. A member in an unknown phase becomes a draining endpoint, which gets no
// new requests.
func (l List) Endpoints() []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, 0, len(l.Members))
	for _, m := range l.Members {
		state, known := stateByPhase[m.Phase]
		if !known {
			state = balancer.Draining
		}
		endpoints = append(endpoints, balancer.Endpoint{
			ID:       balancer.ServerID(m.ID),
			State:    state,
			Zone:     m.Locality,
			Cell:     m.Cell,
			Capacity: m.Size,
			Started:  m.UpSince,
		})
	}
	return endpoints
}
