package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Clone returns a deep copy with the same state and the same future random numbers, but with the given
// settings. The copy omits classes and tenants that these settings don't contain, and the requests of such
// classes. Clone returns an error for settings that New rejects.
func (b *Balancer) Clone(settings Settings) (*Balancer, error) {
	fresh, err := New(settings, 0)
	if err != nil {
		return nil, err
	}
	source := *b.randomSource
	clone := *b
	clone.settings = settings
	// During an upgrade, each node of the fleet is assumed to have as many processes as this one.
	clone.fleet.size = settings.Nodes * b.fleet.processes
	clone.randomSource = &source
	clone.rng = rand.New(&source)
	clone.actions = nil
	clone.candidateBuffer = nil
	clone.classes = fresh.classes
	clone.tenants = fresh.tenants
	clone.outliers.trialIdempotency = fresh.outliers.trialIdempotency
	clone.meanPriorityWeight = fresh.meanPriorityWeight
	c := copier{from: b, to: &clone, servers: map[*server]*server{}, requests: map[*request]*request{}}
	c.copyServedFractions()
	c.copyZones()
	c.copyServers()
	c.copyRequests()
	c.copyGossip()
	c.copyRejections()
	return &clone, nil
}

// copier copies the state of one balancer into another that has its own classes and tenants. The maps are
// keyed by the original server or request and hold its copy.
type copier struct {
	from, to *Balancer
	servers  map[*server]*server
	requests map[*request]*request
}

func (c *copier) copyServedFractions() {
	for name, class := range c.to.classes {
		if old := c.from.classes[name]; old != nil {
			class.servedFraction = old.servedFraction
			class.longestTimeout = old.longestTimeout
		}
	}
	for name, tenant := range c.to.tenants {
		if old := c.from.tenants[name]; old != nil {
			tenant.servedFraction = old.servedFraction
			tenant.rate = old.rate
			tenant.rateAt = old.rateAt
			tenant.quota = old.quota
		}
	}
}

func (c *copier) copyZones() {
	c.to.zones = make(map[string]*failureRate, len(c.from.zones))
	for name, record := range c.from.zones {
		*c.to.zoneRecord(name) = *record
	}
}

// copyServers copies the listed servers, and the servers to which only requests still refer because they
// were replaced in the list after a restart.
func (c *copier) copyServers() {
	for _, s := range c.from.servers.known {
		c.addServer(s)
	}
	for _, r := range c.from.requests {
		for _, s := range []*server{r.affinity.primary, r.affinity.secondary} {
			c.addServer(s)
		}
		for i := range r.attempts {
			c.addServer(r.attempts[i].server)
		}
	}
	c.to.servers.byID = make(map[ServerID]*server, len(c.from.servers.byID))
	for _, s := range c.from.servers.known {
		c.to.servers.byID[s.ID] = c.servers[s]
	}
	c.to.servers.known = copiesOf(c.from.servers.known, c.servers)
	c.to.servers.ready = copiesOf(c.from.servers.ready, c.servers)
}

func (c *copier) addServer(s *server) {
	if s == nil || c.servers[s] != nil {
		return
	}
	n := *s
	n.estimate.computedAt = estimateOutdated // the estimate depends on the settings
	n.zoneFailures = c.to.zoneRecord(s.Zone)
	n.gossipReports = slices.Clone(s.gossipReports)
	n.classFailures = nil
	for name, class := range c.to.classes { // the order of the classes may differ between the settings
		if old := c.from.classes[name]; old != nil && old.index < len(s.classFailures) {
			*n.classFailure(class) = s.classFailures[old.index]
		}
	}
	c.servers[s] = &n
}

func (c *copier) copyRequests() {
	c.to.requests = make(map[RequestID]*request, len(c.from.requests))
	for id, r := range c.from.requests {
		n := c.copyRequest(r)
		if n.class == nil {
			continue
		}
		c.to.requests[id] = n
		c.requests[r] = n
	}
	for _, s := range c.servers {
		s.attempts.requests = copiesOf(s.attempts.requests, c.requests)
	}
	c.to.queue.waiting = copiesOf(c.from.queue.waiting, c.requests)
}

func (c *copier) copyRequest(r *request) *request {
	n := *r
	n.class = c.to.classes[r.class.Name]
	n.identity.class = n.class
	n.tenant = nil
	if r.tenant != nil {
		n.tenant = c.to.tenants[r.tenant.Name]
	}
	n.affinity.primary = c.servers[r.affinity.primary]
	n.affinity.secondary = c.servers[r.affinity.secondary]
	n.attempts = slices.Clone(r.attempts)
	for i := range n.attempts {
		n.attempts[i].server = c.servers[n.attempts[i].server]
	}
	return &n
}

func (c *copier) copyGossip() {
	c.to.gossip.heardFrom = maps.Clone(c.from.gossip.heardFrom)
	c.to.gossip.serversByTag = make(map[uint16]*server, len(c.from.gossip.serversByTag))
	for tag, s := range c.from.gossip.serversByTag {
		c.to.gossip.serversByTag[tag] = c.servers[s]
	}
	c.to.gossip.reportedBy = make(map[gossipSource][]*server, len(c.from.gossip.reportedBy))
	for source, reported := range c.from.gossip.reportedBy {
		c.to.gossip.reportedBy[source] = copiesOf(reported, c.servers)
	}
}

func (c *copier) copyRejections() {
	c.to.recentRejections = make(map[requestIdentity]rejection, len(c.from.recentRejections))
	for identity, rejected := range c.from.recentRejections {
		if class := c.to.classes[identity.class.Name]; class != nil {
			c.to.recentRejections[requestIdentity{identity.key, class}] = rejected
		}
	}
}

// copiesOf returns the copies in the same order. Elements without a copy are omitted.
func copiesOf[T any](from []*T, copies map[*T]*T) []*T {
	out := make([]*T, 0, len(from))
	for _, x := range from {
		if n := copies[x]; n != nil {
			out = append(out, n)
		}
	}
	return out
}
