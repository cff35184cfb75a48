package backend

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/catalog"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

// DiscoveryServer simulates the discovery service of one node. It responds immediately with the changes that have
// reached it, and does not respond while a discovery-down fault is active.
type DiscoveryServer struct {
	fleet    *Fleet
	node     int
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	catalog    *catalog.Catalog
	rng        *rand.Rand
	changed    chan struct{}      // closed and replaced at each change
	down       bool               // polls get no response
	invalid    bool               // polls are answered with invalid JSON
	extraDelay time.Duration      // added to the delay of changes while discovery is stale
	updates    []audit.ListUpdate // changes of which the node counts as notified
	untold     []Member           // changes that reached this discovery server while the node could not be notified
	pending    []pendingChange    // changes that have not reached this discovery server yet
}

// pendingChange is a changed list entry on its way to a discovery server.
type pendingChange struct {
	due    time.Time
	member Member
}

const (
	// restartProbability is the probability that discovery, when it is back after an outage, counts its revisions anew.
	restartProbability = 0.3

	// shortWatchProbability is the probability that a watch ends early without news.
	shortWatchProbability = 0.1

	// firstRevision is the revision of a discovery server's list at its start.
	firstRevision = 1 << 20

	// maxRevisionSpread is how long after each other changes may be due that create one revision.
	maxRevisionSpread = 2 * time.Millisecond
)

// maxWatchTime is the longest time for which the protocol allows a watch to wait for a change.
const maxWatchTime = 60 * time.Second

// newDiscoveryServer starts the discovery server of a node with the current server list.
func newDiscoveryServer(f *Fleet, node int) (*DiscoveryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	up, down := Impairments(f.scenario.Links.Discovery)
	seed := f.scenario.Seed + uint64(node)
	d := &DiscoveryServer{fleet: f, node: node, listener: l, catalog: catalog.New(firstRevision, f.members(node), seed),
		rng: rand.New(rand.NewPCG(seed, 0xd15c)), changed: make(chan struct{})}
	if !up.Clean() || !down.Clean() {
		d.listener = linkedListener{l, netfault.NewLink(down, up, seed)}
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(d.listener) }()
	return d, nil
}

// linkedListener is a listener whose connections pass through a simulated link.
type linkedListener struct {
	net.Listener
	link *netfault.Link
}

// Accept waits for a connection and puts it on the link.
func (l linkedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Wrap(c), nil
}

// Listen makes the discovery server of a node reachable at an additional address.
func (f *Fleet) Listen(node int, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = f.discoveries[node].server.Serve(l) }()
	return nil
}

// Addr returns the address that the discovery server listens on.
func (d *DiscoveryServer) Addr() string { return d.listener.Addr().String() }

// enqueue schedules a changed entry to reach the discovery server after the scenario's discovery delay. Changes keep
// their order even if the delay shrinks in between.
func (d *DiscoveryServer) enqueue(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	due := time.Now().Add(d.fleet.scenario.Nodes.DiscoveryDelay + d.extraDelay)
	if last := len(d.pending) - 1; last >= 0 && due.Before(d.pending[last].due) {
		due = d.pending[last].due
	}
	d.pending = append(d.pending, pendingChange{due, m})
	time.AfterFunc(time.Until(due), d.applyDue)
}

// applyDue applies the pending changes that are due. Changes that are due together create one revision.
func (d *DiscoveryServer) applyDue() {
	d.mu.Lock()
	defer d.mu.Unlock()
	latest := time.Now().Add(maxRevisionSpread)
	var due []Member
	for len(d.pending) > 0 && !d.pending[0].due.After(latest) {
		due = append(due, d.pending[0].member)
		d.pending = d.pending[1:]
	}
	if len(due) == 0 {
		return // applied by the timer of an earlier change
	}
	d.catalog.Apply(due...)
	d.untold = append(d.untold, due...)
	d.tell()
	d.wakeWatches()
}

// tell records that the node counts as notified of the changes that have reached this discovery server, which is an agent on the
// node's machine: the protocol considers the node notified of what the agent has, whether or not it has asked. An agent behind an
// impaired link, or one that does not answer, notifies the node only when it writes a response.
func (d *DiscoveryServer) tell() {
	_, impaired := d.listener.(linkedListener)
	if impaired || d.down || d.invalid {
		return
	}
	d.recordNotified(d.untold)
	d.untold = nil
}

func (d *DiscoveryServer) wakeWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// apply starts or ends a fault of the discovery server.
func (d *DiscoveryServer) apply(e scenario.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch e.Kind {
	case scenario.FaultDiscoveryDown:
		d.down = !e.Ends
		if e.Ends && d.rng.Float64() < restartProbability {
			d.catalog.Restart()
		}
	case scenario.FaultDiscoveryWrong:
		d.invalid = !e.Ends
	case scenario.FaultDiscoveryStale:
		d.extraDelay = e.Fault.Delay
		if e.Ends {
			d.extraDelay = 0
		}
	}
	d.tell()
	d.wakeWatches()
	return nil
}

// ServeHTTP answers polls and watches of the discovery protocol. A watch waits for a change for at most hold_ms
// milliseconds.
func (d *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	holdMillis, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	holdTimer := time.NewTimer(d.holdTime(time.Duration(holdMillis) * time.Millisecond))
	defer holdTimer.Stop()
	for expired := false; ; {
		d.mu.Lock()
		changed := d.changed
		if d.invalid {
			d.mu.Unlock()
			_, _ = w.Write([]byte(`{"revision":3,"complete":true,"members":[{"id":"","host_port":`))
			return
		}
		if !d.down && (!watch || from != d.catalog.Revision() || expired) {
			answer := d.catalog.Poll()
			if watch {
				answer = d.catalog.Watch(from)
			}
			d.recordNotified(inService(answer.Notified, true))
			d.mu.Unlock()
			if answer.Write(w) == nil {
				d.recordSent(inService(answer.Notified, false))
			}
			return
		}
		d.mu.Unlock()
		select {
		case <-changed:
		case <-holdTimer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// holdTime returns how long a watch is held. A watch may end early without news.
func (d *DiscoveryServer) holdTime(requested time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	hold := min(requested, maxWatchTime)
	if d.rng.Float64() < shortWatchProbability {
		hold = time.Duration(d.rng.Float64() * float64(hold))
	}
	return hold
}

// inService returns the members that are in service, or those that are not. An answer counts as notification of a server's return when
// it is composed, and as that of a withdrawal when it has been written: a change in between must not be hidden by the older answer.
func inService(members []Member, serving bool) []Member {
	var out []Member
	for _, m := range members {
		if (m.Phase == phaseServing) == serving {
			out = append(out, m)
		}
	}
	return out
}

// recordSent records that the given entries have just been sent to the node.
func (d *DiscoveryServer) recordSent(announced []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordNotified(announced)
}

// recordNotified records that the node counts as notified of the given entries from now on. The caller holds d.mu.
func (d *DiscoveryServer) recordNotified(members []Member) {
	for _, m := range members {
		d.updates = append(d.updates, audit.ListUpdate{
			Node:      d.node,
			Server:    m.ID,
			Withdrawn: m.Phase != phaseServing,
			At:        d.fleet.offsetOf(time.Now()),
		})
	}
}

// sentUpdates returns all entries that were sent to the node.
func (d *DiscoveryServer) sentUpdates() []audit.ListUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]audit.ListUpdate(nil), d.updates...)
}

func (d *DiscoveryServer) close() { _ = d.server.Close() }

// Phases of a list entry.
const (
	phaseServing  = catalog.PhaseServing
	phaseDraining = catalog.PhaseDraining
	phaseGone     = catalog.PhaseDeleted
)

// Member is one entry of the discovery list as encoded in JSON.
type Member = catalog.Member
