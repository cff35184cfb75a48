// Package discovery is the client of the discovery service. It keeps the list of servers up to date by watches, hands each
// change to a ListHandler, knows each server's address, and reports when the list may be stale.
//
// The longest time from a change at discovery to this node's knowing it is bounded; intervals.go shares that bound out among
// all waits.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"tackhub.example/tackhub/balancer"
)

// Member is one server as discovery describes it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"` // may be empty only in phase DELETED
	Locality string  `json:"locality"`  // the zone
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`       // SERVING, DRAINING or DELETED; servers in any other phase get no new requests
	Size     float64 `json:"size"`        // relative capacity
	UpSince  float64 `json:"up_since_ms"` // Unix milliseconds of the process's start; 0: not known
}

// The phases of a member.
const (
	PhaseServing  = "SERVING"
	PhaseDraining = "DRAINING"
	PhaseDeleted  = "DELETED"
)

// states maps phases to the balancer's states.
var states = map[string]balancer.EndpointState{
	PhaseServing:  balancer.Ready,
	PhaseDraining: balancer.Draining,
	PhaseDeleted:  balancer.Removed,
}

// List is one answer of discovery: the complete list, or only the members that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// ParseList decodes and validates an answer. A list without a revision or members, with an empty or repeated id, or with an
// address that has no port is an error: it must not replace a good list.
func ParseList(raw []byte) (List, error) {
	var decoded struct {
		Revision *int64   `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return List{}, err
	}
	if decoded.Revision == nil || decoded.Members == nil {
		return List{}, errors.New("no revision or no members")
	}
	seen := make(map[string]bool, len(decoded.Members))
	for i, m := range decoded.Members {
		if err := m.validate(); err != nil {
			return List{}, fmt.Errorf("members[%d]: %w", i, err)
		}
		if seen[m.ID] {
			return List{}, fmt.Errorf("members[%d]: duplicate id %q", i, m.ID)
		}
		seen[m.ID] = true
	}
	return List{Revision: *decoded.Revision, Complete: decoded.Complete, Members: decoded.Members}, nil
}

// validate checks one member by itself.
func (m Member) validate() error {
	if m.ID == "" {
		return errors.New("no id")
	}
	if m.Phase == PhaseDeleted {
		return nil // it needs no address
	}
	if _, _, err := net.SplitHostPort(m.HostPort); err != nil {
		return fmt.Errorf("host_port: %w", err)
	}
	return nil
}

// Endpoints converts the members to the balancer's form. A member in an unknown phase counts as draining: it gets no new
// requests.
func (l List) Endpoints() []balancer.Endpoint {
	entries := make([]balancer.Endpoint, 0, len(l.Members))
	for _, m := range l.Members {
		state, known := states[m.Phase]
		if !known {
			state = balancer.Draining
		}
		entries = append(entries, balancer.Endpoint{
			ID:       balancer.ServerID(m.ID),
			State:    state,
			Zone:     m.Locality,
			Cell:     m.Cell,
			Capacity: m.Size,
			Started:  m.UpSince,
		})
	}
	return entries
}
