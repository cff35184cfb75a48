// Package discovery holds discovery's list of servers: it follows the list's changes, tells them to the module,
// and knows each server's address.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"tackhub.example/tackhub/balancer"
)

// Member is one server as discovery tells it.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// List is one answer of discovery: the whole list, or what changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

var states = map[string]balancer.EndpointState{
	"SERVING": balancer.Ready, "DRAINING": balancer.Draining, "DELETED": balancer.Removed,
}

// ParseList reads an answer and refuses nonsense: what cannot be right must not replace a good list.
func ParseList(raw []byte) (List, error) {
	var in struct {
		Revision *int64   `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return List{}, err
	}
	if in.Revision == nil || in.Members == nil {
		return List{}, errors.New("no revision or no members")
	}
	seen := map[string]bool{}
	for i, m := range in.Members {
		switch {
		case m.ID == "":
			return List{}, fmt.Errorf("members[%d]: no id", i)
		case seen[m.ID]:
			return List{}, fmt.Errorf("members[%d]: id %q comes twice", i, m.ID)
		}
		seen[m.ID] = true
		if _, _, err := net.SplitHostPort(m.HostPort); err != nil && m.Phase != "DELETED" {
			return List{}, fmt.Errorf("members[%d]: host_port: %w", i, err)
		}
	}
	return List{Revision: *in.Revision, Complete: in.Complete, Members: in.Members}, nil
}

// Entries are the members in the module's terms. An unknown phase counts as draining: nothing new goes there.
func (l List) Entries() []balancer.Endpoint {
	out := make([]balancer.Endpoint, 0, len(l.Members))
	for _, m := range l.Members {
		state, ok := states[m.Phase]
		if !ok {
			state = balancer.Draining
		}
		out = append(out, balancer.Endpoint{ID: balancer.ServerID(m.ID), State: state, Zone: m.Locality,
			Cell: m.Cell, Capacity: m.Size, Started: m.UpSince})
	}
	return out
}
