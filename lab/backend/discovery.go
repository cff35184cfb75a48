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

// DiscoveryServer is one node's discovery. It knows the changes that have reached it, answers with them at once, and is
// silent while discovery is down.
type DiscoveryServer struct {
	fleet    *Fleet
	node     int
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	revision   int64
	list       []Member
	changes    []change           // since the start, for watches from an older revision
	changed    chan struct{}      // closed and replaced at each change
	down       bool               // polls are not answered
	invalid    bool               // polls are answered with broken JSON
	extraDelay time.Duration      // of changes, while discovery is stale
	updates    []audit.ListUpdate // sent to the node
	pending    []Member           // changes that have not reached the discovery yet
	lastDue    time.Time          // when the last of them will
}

// change is a changed entry with the revision that it made.
type change struct {
	revision int64
	member   Member
}

// maxHold is the longest time for which a watch may be held, by the protocol.
const maxHold = 60 * time.Second

// newDiscoveryServer starts a node's discovery with the list as it is now.
func newDiscoveryServer(f *Fleet, node int) (*DiscoveryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	up, down := Impairments(f.scenario.Links.Discovery)
	d := &DiscoveryServer{fleet: f, node: node, listener: l, revision: 1, list: f.members(node), changed: make(chan struct{})}
	if !up.Clean() || !down.Clean() {
		d.listener = linked{l, netfault.NewLink(down, up, f.scenario.Seed+uint64(node))}
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(d.listener) }()
	return d, nil
}

// linked is a listener whose connections pass a link.
type linked struct {
	net.Listener
	link *netfault.Link
}

// Accept waits for a connection and wraps it.
func (l linked) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Wrap(c), nil
}

// Listen makes a node's discovery reachable at a further address as well.
func (f *Fleet) Listen(node int, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = f.discoveries[node].server.Serve(l) }()
	return nil
}

// Addr is where the discovery listens.
func (d *DiscoveryServer) Addr() string { return d.listener.Addr().String() }

// enqueue lets a changed entry reach the discovery after the list's delay. None overtakes one before it.
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

// applyNext takes the change that has waited longest. Timers that fire at one moment may do so in any order, so a timer
// does not carry its own change.
func (d *DiscoveryServer) applyNext() {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.pending[0]
	d.pending = d.pending[1:]
	d.revision++
	d.changes = append(d.changes, change{d.revision, m})
	at := -1
	for i := range d.list {
		sameAddress := m.HostPort != "" && d.list[i].HostPort == m.HostPort
		if d.list[i].ID == m.ID || sameAddress {
			at = i
		}
	}
	switch {
	case m.Phase == phaseGone && at >= 0:
		d.list = append(d.list[:at:at], d.list[at+1:]...)
	case m.Phase == phaseGone:
	case at >= 0:
		if old := d.list[at]; old.ID != m.ID { // another process at the same address: the old one is gone
			old.Phase = phaseGone
			d.changes = append(d.changes, change{d.revision, old})
		}
		d.list[at] = m
	default:
		d.list = append(d.list, m)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// apply begins or ends a fault of discovery.
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

// ServeHTTP answers polls and watches in the discovery's protocol.
func (d *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.NewTimer(min(time.Duration(hold)*time.Millisecond, maxHold))
	defer end.Stop()
	for over := false; ; {
		d.mu.Lock()
		changed := d.changed
		if d.invalid {
			d.mu.Unlock()
			_, _ = w.Write([]byte(`{"revision":3,"complete":true,"members":[{"id":"","host_port":`))
			return
		}
		if !d.down && (!watch || from != d.revision || over) {
			out, announced := d.response(from, watch)
			d.mu.Unlock()
			if _, err := w.Write(out); err != nil {
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
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// response is the body for a poll from a revision, and the entries that it announces. The caller holds the lock.
func (d *DiscoveryServer) response(from int64, watch bool) ([]byte, []Member) {
	out := struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{Revision: d.revision, Complete: !watch || from > d.revision || from < 1, Members: []Member{}}
	if out.Complete {
		out.Members = append(out.Members, d.list...)
	} else {
		last := map[string]int{} // one entry for a server: the latest
		for _, c := range d.changes {
			if c.revision <= from {
				continue
			}
			if i, ok := last[c.member.ID]; ok {
				out.Members[i] = c.member
				continue
			}
			last[c.member.ID] = len(out.Members)
			out.Members = append(out.Members, c.member)
		}
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return []byte("{}"), nil // numbers and strings always encode
	}
	if out.Complete { // a complete list announces what it leaves out as removed
		return raw, append(out.Members, d.removed()...)
	}
	return raw, out.Members
}

// removed are the servers that were listed once and are no more. The caller holds the lock.
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

// recordSent records when the node was sent which entries.
func (d *DiscoveryServer) recordSent(announced []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range announced {
		d.updates = append(d.updates, audit.ListUpdate{
			Node:      d.node,
			Server:    m.ID,
			Withdrawn: m.Phase != phaseServing,
			At:        d.fleet.at(time.Now()),
		})
	}
}

// sentUpdates are all entries that the node was sent.
func (d *DiscoveryServer) sentUpdates() []audit.ListUpdate {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]audit.ListUpdate(nil), d.updates...)
}

func (d *DiscoveryServer) close() { _ = d.server.Close() }

// The phases of a list entry.
const (
	phaseServing  = "SERVING"
	phaseDraining = "DRAINING"
	phaseGone     = "DELETED"
)

// Member is one entry of discovery's list, in its JSON form.
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
