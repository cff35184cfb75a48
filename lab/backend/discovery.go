package backend

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/audit"
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
	revision   int64
	list       []Member
	changes    []change           // all since the start; a watch from an older revision gets the later ones
	changed    chan struct{}      // closed and replaced at each change
	down       bool               // polls get no response
	invalid    bool               // polls are answered with invalid JSON
	extraDelay time.Duration      // added to the delay of changes while discovery is stale
	updates    []audit.ListUpdate // list entries that were sent to the node
	pending    []Member           // changes that have not reached this discovery server yet
	lastDue    time.Time          // when the last pending change is due
}

// change is a changed list entry and the revision that it created.
type change struct {
	revision int64
	member   Member
}

// maxWatchTime is the longest time for which the protocol allows a watch to wait for a change.
const maxWatchTime = 60 * time.Second

// newDiscoveryServer starts the discovery server of a node with the current server list.
func newDiscoveryServer(f *Fleet, node int) (*DiscoveryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	up, down := Impairments(f.scenario.Links.Discovery)
	d := &DiscoveryServer{fleet: f, node: node, listener: l, revision: 1, list: f.members(node), changed: make(chan struct{})}
	if !up.Clean() || !down.Clean() {
		d.listener = linkedListener{l, netfault.NewLink(down, up, f.scenario.Seed+uint64(node))}
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
	if due.Before(d.lastDue) {
		due = d.lastDue
	}
	d.lastDue = due
	d.pending = append(d.pending, m)
	time.AfterFunc(time.Until(due), d.applyNext)
}

// applyNext applies the oldest pending change. Timers that are due at the same time may fire in any order, so a timer is
// not bound to a particular change.
func (d *DiscoveryServer) applyNext() {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.pending[0]
	d.pending = d.pending[1:]
	d.revision++
	d.changes = append(d.changes, change{d.revision, m})
	index := -1
	for i := range d.list {
		sameAddress := m.HostPort != "" && d.list[i].HostPort == m.HostPort
		if d.list[i].ID == m.ID || sameAddress {
			index = i
		}
	}
	switch {
	case m.Phase == phaseGone && index >= 0:
		d.list = append(d.list[:index:index], d.list[index+1:]...)
	case m.Phase == phaseGone:
	case index >= 0:
		if replaced := d.list[index]; replaced.ID != m.ID { // another process took over the address, so the old one no longer exists
			replaced.Phase = phaseGone
			d.changes = append(d.changes, change{d.revision, replaced})
		}
		d.list[index] = m
	default:
		d.list = append(d.list, m)
	}
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
	case scenario.FaultDiscoveryWrong:
		d.invalid = !e.Ends
	case scenario.FaultDiscoveryStale:
		d.extraDelay = e.Fault.Delay
		if e.Ends {
			d.extraDelay = 0
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return nil
}

// ServeHTTP answers polls and watches of the discovery protocol. A watch waits for a change for at most hold_ms
// milliseconds.
func (d *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	holdMillis, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	holdTimer := time.NewTimer(min(time.Duration(holdMillis)*time.Millisecond, maxWatchTime))
	defer holdTimer.Stop()
	for expired := false; ; {
		d.mu.Lock()
		changed := d.changed
		if d.invalid {
			d.mu.Unlock()
			_, _ = w.Write([]byte(`{"revision":3,"complete":true,"members":[{"id":"","host_port":`))
			return
		}
		if !d.down && (!watch || from != d.revision || expired) {
			body, announced := d.response(from, watch)
			d.mu.Unlock()
			if _, err := w.Write(body); err != nil {
				return
			}
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			d.recordSent(announced)
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

// response returns the response body for a poll or watch, and the entries of which this response notifies the node. A
// watch gets the changes since revision from if that revision is known. The caller holds d.mu.
func (d *DiscoveryServer) response(from int64, watch bool) ([]byte, []Member) {
	out := struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{Revision: d.revision, Complete: !watch || from > d.revision || from < 1, Members: []Member{}}
	if out.Complete {
		out.Members = append(out.Members, d.list...)
	} else {
		indexByID := map[string]int{} // index in out.Members by server ID; only the latest entry of a server is sent
		for _, c := range d.changes {
			if c.revision <= from {
				continue
			}
			if i, ok := indexByID[c.member.ID]; ok {
				out.Members[i] = c.member
				continue
			}
			indexByID[c.member.ID] = len(out.Members)
			out.Members = append(out.Members, c.member)
		}
	}
	body, err := json.Marshal(out)
	if err != nil {
		return []byte("{}"), nil // unreachable: numbers and strings always encode
	}
	if out.Complete { // a server that is missing from a complete list counts as removed
		return body, append(out.Members, d.removed()...)
	}
	return body, out.Members
}

// removed returns the servers that were once listed and no longer are. The caller holds d.mu.
func (d *DiscoveryServer) removed() []Member {
	var out []Member
	for _, c := range d.changes {
		if !slices.ContainsFunc(d.list, func(m Member) bool { return m.ID == c.member.ID }) {
			m := c.member
			m.Phase = phaseGone
			out = append(out, m)
		}
	}
	return out
}

// recordSent records that the given entries have just been sent to the node.
func (d *DiscoveryServer) recordSent(announced []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range announced {
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
	phaseServing  = "SERVING"
	phaseDraining = "DRAINING"
	phaseGone     = "DELETED"
)

// Member is one entry of the discovery list as encoded in JSON.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}
