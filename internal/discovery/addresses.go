package discovery

import "tackhub.example/tackhub/balancer"

// addressOwners records whose address belongs to another server by now. A machine may be lost without a word, and a new server may come up
// at its address while the list still names the old one. A connection to the address reaches the new server, whatever id it was meant for.
type addressOwners struct {
	firstNamed map[balancer.ServerID]int64    // revision of the list that named the server first
	superseded map[balancer.ServerID]struct{} // servers at whose address another one came up later
}

// update records the members after a list.
func (o *addressOwners) update(members map[balancer.ServerID]Member, revision int64) {
	if o.firstNamed == nil {
		o.firstNamed = map[balancer.ServerID]int64{}
	}
	latest := make(map[string]balancer.ServerID, len(members))
	for id, m := range members {
		if _, named := o.firstNamed[id]; !named {
			o.firstNamed[id] = revision
		}
		other, shared := latest[m.HostPort]
		if !shared || o.isLater(id, other, members) {
			latest[m.HostPort] = id
		}
	}
	for id := range o.firstNamed {
		if _, listed := members[id]; !listed {
			delete(o.firstNamed, id)
		}
	}
	o.superseded = map[balancer.ServerID]struct{}{}
	for id, m := range members {
		if o.isLater(latest[m.HostPort], id, members) {
			o.superseded[id] = struct{}{}
		}
	}
}

// isLater reports whether server a is known to have come up after server b. Servers of one list with the same start are in no order.
func (o *addressOwners) isLater(a, b balancer.ServerID, members map[balancer.ServerID]Member) bool {
	if members[a].UpSince != members[b].UpSince {
		return members[a].UpSince > members[b].UpSince
	}
	return o.firstNamed[a] > o.firstNamed[b]
}

// isSuperseded reports whether another server came up at the server's address after it.
func (o *addressOwners) isSuperseded(id balancer.ServerID) bool {
	_, superseded := o.superseded[id]
	return superseded
}
