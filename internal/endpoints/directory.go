// Package endpoints provides the balancer's list of servers. If the inventory subsystem is off, a Directory forwards
// discovery's list unchanged. If it is on, discovery is one source besides files and static servers, and the balancer gets the
// merged list.
package endpoints

import (
	"strings"
	"sync"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/endpointmerge"
)

// DiscoveryClient is the part of the discovery client that a Directory uses.
type DiscoveryClient interface {
	Address(balancer.ServerID) (string, bool)
	Refetch()
}

// discoveryConsumer receives discovery's lists while the inventory is on.
type discoveryConsumer interface {
	handleDiscovery(discovery.List, balancer.UpdateKind)
}

// Directory maps the node's servers to their addresses and forwards changes of the list to the balancer. It is safe for
// concurrent use.
type Directory struct {
	discovery DiscoveryClient
	handler   discovery.ListHandler
	groups    *endpointmerge.DedupGroups // used by the running inventory alone

	mu        sync.RWMutex
	consumer  discoveryConsumer               // nil if the inventory is off
	addresses map[balancer.ServerID]string    // nil if the inventory is off or has not published a list yet
	placement map[balancer.ServerID]placement // by the list that was passed to the balancer last
}

// placement is where a server is, by the list that was passed to the balancer last.
type placement struct {
	zone string
	cell int
}

// New returns a directory that forwards lists to the handler. The inventory is off.
func New(client DiscoveryClient, handler discovery.ListHandler) *Directory {
	return &Directory{discovery: client, handler: handler, groups: endpointmerge.NewDedupGroups()}
}

// Address returns the address of a server. It returns false if the server is not in the list or must not get new requests.
func (d *Directory) Address(id balancer.ServerID) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.addresses == nil { // the balancer uses discovery's list
		return d.discovery.Address(id)
	}
	address, ok := d.addresses[id]
	return address, ok
}

// AllHaveScheme reports whether the addresses of all servers that may get requests begin with a scheme. Discovery's addresses have none.
func (d *Directory) AllHaveScheme(scheme string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, address := range d.addresses {
		if !strings.HasPrefix(address, scheme) {
			return false
		}
	}
	return len(d.addresses) > 0
}

// Groups returns the zone and the cell of a server by the list that was passed to the balancer last; false if it does not name the server.
func (d *Directory) Groups(id balancer.ServerID) (zone string, cell int, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	p, known := d.placement[id]
	return p.zone, p.cell, known
}

// recordPlacement records where the servers of a list are that is about to be passed to the balancer. The caller holds the lock.
func (d *Directory) recordPlacement(list []balancer.Endpoint, kind balancer.UpdateKind) {
	if kind != balancer.DeltaUpdate || d.placement == nil {
		d.placement = make(map[balancer.ServerID]placement, len(list))
	}
	for _, e := range list {
		if e.State == balancer.Removed {
			delete(d.placement, e.ID)
			continue
		}
		d.placement[e.ID] = placement{zone: e.Zone, cell: e.Cell}
	}
}

// UpdateEndpoints forwards the events from discovery that contain no members: a failed call, or a stale list. If the inventory
// is on, it does not forward stale lists: discovery is only one of the sources, and the merged list can be current without it.
func (d *Directory) UpdateEndpoints(l balancer.EndpointUpdate) {
	if l.Kind == balancer.UpdateStale {
		// The lock is held until the handler returns, so that no stale event arrives after the inventory's first list.
		d.mu.RLock()
		defer d.mu.RUnlock()
		if d.consumer != nil {
			return
		}
	}
	d.handler.UpdateEndpoints(l)
}

// HandleMembers forwards discovery's list or its changes to the inventory if it is on, otherwise to the balancer.
func (d *Directory) HandleMembers(l discovery.List, kind balancer.UpdateKind) {
	d.mu.Lock()
	consumer := d.consumer
	update := balancer.EndpointUpdate{Kind: kind}
	if consumer == nil {
		update.Endpoints = l.Endpoints()
		d.recordPlacement(update.Endpoints, kind)
	}
	d.mu.Unlock()
	if consumer != nil {
		consumer.handleDiscovery(l, kind)
		return
	}
	d.handler.UpdateEndpoints(update)
}

// attach turns the inventory on: from then on, addresses and lists come from publish. It requests discovery's complete list
// again, since the consumer has not received the one that the balancer has.
func (d *Directory) attach(consumer discoveryConsumer) {
	d.mu.Lock()
	d.consumer = consumer
	d.addresses = nil
	d.mu.Unlock()
	d.discovery.Refetch()
}

// detach turns the inventory off. It requests discovery's complete list, which replaces the merged list when it arrives.
func (d *Directory) detach() {
	d.mu.Lock()
	d.consumer = nil
	d.addresses = nil
	d.mu.Unlock()
	d.discovery.Refetch()
}

// publish sends the merged list, or its changes, to the balancer. It updates the addresses first, so that the balancer never
// chooses a server whose address is unknown.
func (d *Directory) publish(entries []endpointmerge.Entry, kind balancer.UpdateKind) {
	d.mu.Lock()
	if d.consumer == nil {
		d.mu.Unlock()
		return
	}
	if kind == balancer.FullUpdate {
		d.addresses = make(map[balancer.ServerID]string, len(entries))
	}
	converted := make([]balancer.Endpoint, 0, len(entries))
	for _, e := range entries {
		entry := toBalancer(e)
		if entry.State == balancer.Ready {
			d.addresses[entry.ID] = e.Address
		} else {
			delete(d.addresses, entry.ID)
		}
		converted = append(converted, entry)
	}
	d.recordPlacement(converted, kind)
	d.mu.Unlock()
	d.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: kind, Endpoints: converted})
}

// toBalancer converts an entry of the merged list to a balancer.Endpoint.
func toBalancer(e endpointmerge.Entry) balancer.Endpoint {
	state := balancer.Ready
	switch {
	case e.Removed:
		state = balancer.Removed
	case e.Draining:
		state = balancer.Draining
	}
	return balancer.Endpoint{
		ID:       balancer.ServerID(e.ID),
		State:    state,
		Zone:     e.Zone,
		Cell:     e.Cell,
		Capacity: e.Size,
		Started:  e.Started,
	}
}
