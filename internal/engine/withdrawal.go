package engine

import (
	"errors"

	"tackhub.example/tackhub/balancer"
)

// Resolver returns the address of a server by the current endpoint list. It reports false for a server that the list does not offer:
// one that was removed or is draining.
type Resolver interface {
	Address(balancer.ServerID) (string, bool)
	// Groups returns the zone and the cell of a server by the list that was passed to the balancer last; false if it does not name the
	// server.
	Groups(balancer.ServerID) (zone string, cell int, known bool)
}

// ErrWithdrawn is returned if nothing was sent to a server because the endpoint list does not offer it at its address any more. The
// server has received nothing, so it cannot have run anything.
var ErrWithdrawn = errors.New("the endpoint list no longer offers the server at this address")

// CheckOffered returns ErrWithdrawn unless the endpoint list offers the server at this address. Every sender calls it right before
// the first byte of a request or a probe: the drain grace starts when discovery reports the withdrawal, and a request may have waited
// for a connection meanwhile.
func CheckOffered(resolver Resolver, server balancer.ServerID, address string) error {
	if current, offered := resolver.Address(server); !offered || current != address {
		return ErrWithdrawn
	}
	return nil
}

// ErrGroupChanged is returned if nothing was sent to a server because it has left the dedup group for which the balancer chose it. The
// request may run elsewhere.
var ErrGroupChanged = errors.New("the server has left the group that remembers the request's key")

// checkGroup returns ErrGroupChanged if the server is no longer in a dedup group.
func checkGroup(resolver Resolver, server balancer.ServerID, group balancer.DedupGroup) error {
	if group == (balancer.DedupGroup{}) {
		return nil
	}
	if zone, cell, known := resolver.Groups(server); known && !group.Contains(zone, cell) {
		return ErrGroupChanged
	}
	return nil
}
