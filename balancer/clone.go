package balancer

import (
	"math/rand/v2"
	"slices"
)

// Clone is a copy that decides on the same state by other settings, its chance included; nothing is shared with the
// original. A class or tenant that the other settings do not name is dropped, and its requests with it.
func (l *Balancer) Clone(set Settings) (*Balancer, error) {
	c, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	fresh, source := *c, *l.source
	*c = *l
	c.set, c.source, c.rng, c.out, c.pool = set, &source, rand.New(&source), nil, nil
	c.classes, c.tenants, c.trialBy, c.meanWorth = fresh.classes, fresh.tenants, fresh.trialBy, fresh.meanWorth
	for name, k := range c.classes {
		if o := l.classes[name]; o != nil {
			k.share, k.longestTry = o.share, o.longestTry
		}
	}
	for name, t := range c.tenants {
		if o := l.tenants[name]; o != nil {
			t.share, t.rate, t.rateAt, t.quota = o.share, o.rate, o.rateAt, o.quota
		}
	}
	c.zones = make(map[string]*classHealth, len(l.zones))
	for name, h := range l.zones {
		*c.zone(name) = *h
	}
	c.servers, c.requests = make(map[ServerID]*server, len(l.servers)), make(map[RequestID]*request, len(l.requests))
	servers := make(map[*server]*server, len(l.known))
	take := func(s *server) {
		if s != nil && servers[s] == nil {
			servers[s] = s.copy(l, c)
		}
	}
	for _, s := range l.known {
		take(s)
		c.servers[s.ID] = servers[s]
	}
	for _, r := range l.requests { // also those that started anew since, and are known no more
		for _, s := range []*server{r.anchor, r.first, r.second} {
			take(s)
		}
		for i := range r.attempts {
			take(r.attempts[i].server)
		}
	}
	requests := make(map[*request]*request, len(l.requests))
	for id, r := range l.requests {
		if n := r.copy(c, servers); n.class != nil {
			c.requests[id], requests[r] = n, n
		}
	}
	for _, s := range servers {
		s.open = others(s.open, requests)
	}
	c.known, c.list, c.heldQueue = others(l.known, servers), others(l.list, servers), others(l.heldQueue, requests)
	c.named = make(map[uint16]*server, len(l.named))
	for name, s := range l.named {
		c.named[name] = servers[s]
	}
	c.said, c.heardFrom, c.refused = map[speaker][]*server{}, map[int]Millis{}, map[subject]comingBack{}
	for who, said := range l.said {
		c.said[who] = others(said, servers)
	}
	for from, at := range l.heardFrom {
		c.heardFrom[from] = at
	}
	for what, back := range l.refused {
		if k := c.classes[what.class.Name]; k != nil {
			c.refused[subject{what.key, k}] = back
		}
	}
	return c, nil
}

// others are the copies of what has one.
func others[T any](from []*T, copies map[*T]*T) []*T {
	out := make([]*T, 0, len(from))
	for _, x := range from {
		if n := copies[x]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

func (s *server) copy(from, to *Balancer) *server {
	n := *s
	n.lookedAt = -1 // by other settings it may be judged otherwise
	n.reach = to.zone(s.Zone)
	n.told, n.open, n.classes = slices.Clone(s.told), slices.Clone(s.open), nil
	for name, k := range to.classes { // the order of classes may be another
		if o := from.classes[name]; o != nil && o.index < len(s.classes) {
			*n.class(k) = s.classes[o.index]
		}
	}
	return &n
}

func (r *request) copy(to *Balancer, servers map[*server]*server) *request {
	n := *r
	n.class, n.tenant, n.anchor = to.classes[r.class.Name], nil, servers[r.anchor]
	if r.tenant != nil {
		n.tenant = to.tenants[r.tenant.Name]
	}
	n.subject.class, n.first, n.second = n.class, servers[r.first], servers[r.second]
	n.attempts = slices.Clone(r.attempts)
	for i := range n.attempts {
		n.attempts[i].server = servers[n.attempts[i].server]
	}
	return &n
}

// Zone is a server's, empty where it is not known.
func (l *Balancer) ZoneOf(id ServerID) string {
	if s := l.servers[id]; s != nil {
		return s.Zone
	}
	return ""
}
