// Package endpoints decides where the list of servers comes from. With the inventory subsystem off, a Directory passes
// discovery's list on as it comes; with it on, discovery is one source among others, such as files, and the balancer gets
// the merged list.
package endpoints

import (
	"sync"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/endpointmerge"
)

// DiscoveryClient is what a Directory needs of the discovery client.
type DiscoveryClient interface {
	Address(balancer.ServerID) (string, bool)
	Refetch()
}

// discoveryConsumer receives discovery's lists while the inventory is on.
type discoveryConsumer interface {
	handleDiscovery(discovery.List, balancer.UpdateKind)
}

// Directory is the node's list of servers: it knows their addresses and passes changes on to the balancer. Its methods may
// be called from any goroutine.
type Directory struct {
	discovery DiscoveryClient
	handler   discovery.ListHandler

	mu        sync.RWMutex
	consumer  discoveryConsumer            // nil: the inventory is off
	addresses map[balancer.ServerID]string // nil: the inventory is off, or has not published a list yet
}

// New returns a directory with the inventory off, which passes lists on to the handler.
func New(client DiscoveryClient, handler discovery.ListHandler) *Directory {
	return &Directory{discovery: client, handler: handler}
}

// Address returns where a server listens; false if it is not in the list or is to get no new requests.
func (d *Directory) Address(id balancer.ServerID) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.addresses == nil { // the balancer works by discovery's list
		return d.discovery.Address(id)
	}
	address, ok := d.addresses[id]
	return address, ok
}

// UpdateEndpoints passes on discovery's events that carry no members: a failed call, or a stale list. With the inventory on,
// staleness is not passed on: discovery is one source among others, and the balancer need not depend on any of its changes.
func (d *Directory) UpdateEndpoints(l balancer.EndpointUpdate) {
	if l.Kind == balancer.UpdateStale {
		// The lock is held until the handler has returned, so that no stale event follows the inventory's first list.
		d.mu.RLock()
		defer d.mu.RUnlock()
		if d.consumer != nil {
			return
		}
	}
	d.handler.UpdateEndpoints(l)
}

// HandleMembers passes on discovery's list or its changes, to the inventory where it is on.
func (d *Directory) HandleMembers(l discovery.List, kind balancer.UpdateKind) {
	d.mu.RLock()
	consumer := d.consumer
	d.mu.RUnlock()
	if consumer != nil {
		consumer.handleDiscovery(l, kind)
		return
	}
	d.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: kind, Endpoints: l.Endpoints()})
}

// attach turns the inventory on: addresses and lists come from publish from now on. Discovery's complete list is requested
// again, since the consumer has not seen the one that the balancer has.
func (d *Directory) attach(consumer discoveryConsumer) {
	d.mu.Lock()
	d.consumer = consumer
	d.addresses = nil
	d.mu.Unlock()
	d.discovery.Refetch()
}

// detach turns the inventory off. Discovery's complete list is requested, and replaces the merged one when it arrives.
func (d *Directory) detach() {
	d.mu.Lock()
	d.consumer = nil
	d.addresses = nil
	d.mu.Unlock()
	d.discovery.Refetch()
}

// publish hands the merged list, or what changed in it, to the balancer. Addresses are updated first, so that the balancer
// never chooses a server whose address is not known.
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
	d.mu.Unlock()
	d.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: kind, Endpoints: converted})
}

// toBalancer converts an entry of the merged list to the balancer's form.
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
