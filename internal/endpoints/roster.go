// Package endpoints stands between the sources of servers and the decision module. With the inventory off it hands discovery's
// news through as they come; with it on, discovery is one source among others, and the module hears of the merged view.
package endpoints

import (
	"sync"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/endpointmerge"
)

// News takes what the list tells.
type ListHandler interface{ UpdateEndpoints(balancer.EndpointUpdate) }

// Catalog is discovery as the catalog follows it.
type DiscoveryClient interface {
	Address(balancer.ServerID) (string, bool)
	Refetch()
}

// taker takes discovery's news while the inventory is on.
type taker interface {
	discovery(discovery.List, balancer.UpdateKind)
}

// Roster is the node's list of servers.
type Directory struct {
	catalog DiscoveryClient

	mu        sync.RWMutex
	news      ListHandler
	taker     taker // nil: the inventory is off
	addresses map[balancer.ServerID]string
}

// New makes a roster with the inventory off.
func New(c DiscoveryClient, news ListHandler) *Directory { return &Directory{catalog: c, news: news} }

// Address is where a server listens; false for one that has left the list, or is to get nothing new.
func (r *Directory) Address(id balancer.ServerID) (string, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.addresses == nil { // off, or the merged view is not whole yet and the module has discovery's list
		return r.catalog.Address(id)
	}
	addr, ok := r.addresses[id]
	return addr, ok
}

// ListNews hands on what has no members: a call to discovery that failed, or news that may be late. With the inventory on the
// latter is not the module's: discovery is one source among others, and nothing that it tells need reach the module.
func (r *Directory) UpdateEndpoints(l balancer.EndpointUpdate) {
	if l.Kind == balancer.UpdateOverdue {
		r.mu.RLock()
		defer r.mu.RUnlock()
		if r.taker != nil {
			return
		}
	}
	r.news.UpdateEndpoints(l)
}

// MemberNews takes discovery's news with all that they tell.
func (r *Directory) HandleMembers(l discovery.List, form balancer.UpdateKind) {
	r.mu.RLock()
	t := r.taker
	r.mu.RUnlock()
	if t != nil {
		t.discovery(l, form)
		return
	}
	r.news.UpdateEndpoints(balancer.EndpointUpdate{Kind: form, Endpoints: l.Entries()})
}

// attach turns the inventory on: from now on addresses and news come from the merged view.
func (r *Directory) attach(t taker) {
	r.mu.Lock()
	r.taker, r.addresses = t, nil
	r.mu.Unlock()
	r.catalog.Refetch() // what discovery told before was told to the module, not to us
}

// detach turns it off: discovery is asked for its whole list, which then replaces the merged one.
func (r *Directory) detach() {
	r.mu.Lock()
	r.taker, r.addresses = nil, nil
	r.mu.Unlock()
	r.catalog.Refetch()
}

// push tells the module what has changed: addresses first, so that it cannot send where none is known.
func (r *Directory) push(entries []endpointmerge.Entry, form balancer.UpdateKind) {
	r.mu.Lock()
	if r.taker == nil {
		r.mu.Unlock()
		return
	}
	if form == balancer.FullUpdate {
		r.addresses = make(map[balancer.ServerID]string, len(entries))
	}
	out := make([]balancer.Endpoint, 0, len(entries))
	for _, e := range entries {
		id, state := balancer.ServerID(e.ID), balancer.Ready
		switch {
		case e.Removed:
			delete(r.addresses, id)
			state = balancer.Removed
		case e.Draining:
			delete(r.addresses, id)
			state = balancer.Draining
		default:
			r.addresses[id] = e.Address
		}
		out = append(out, balancer.Endpoint{ID: id, State: state, Zone: e.Zone, Cell: e.Cell, Capacity: e.Size, Started: e.Started})
	}
	r.mu.Unlock()
	r.news.UpdateEndpoints(balancer.EndpointUpdate{Kind: form, Endpoints: out})
}
