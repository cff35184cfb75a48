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

// Agent is one node's discovery: it has what has reached it, tells it at once, and is silent while discovery is down.
type DiscoveryServer struct {
	fleet    *Fleet
	node     int
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	revision   int64
	list       []Member
	changes    []change // since the start, for watches from an older revision
	changed    chan struct{}
	down       bool
	invalid    bool
	extraDelay time.Duration // further delay, while what it tells is stale
	updates    []audit.ListUpdate
	pending    []Member  // changes on their way
	lastDue    time.Time // when the last of them is there
}

type change struct {
	revision int64
	member   Member
}

// longestHold is the longest that a watch is held, by the protocol.
const maxHold = 60 * time.Second

func newDiscoveryServer(f *Fleet, node int) (*DiscoveryServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	up, down := Impairments(f.scenario.Links.Discovery)
	a := &DiscoveryServer{fleet: f, node: node, listener: l, revision: 1, list: f.members(node), changed: make(chan struct{})}
	if !up.Clean() || !down.Clean() {
		a.listener = linked{l, netfault.NewLink(down, up, f.scenario.Seed+uint64(node))}
	}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.server.Serve(a.listener) }()
	return a, nil
}

// linked puts what is accepted on a link.
type linked struct {
	net.Listener
	link *netfault.Link
}

// Accept waits for a connection.
func (l linked) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link.Wrap(c), nil
}

// Listen lets a node's discovery be reached at a further, stated address.
func (f *Fleet) Listen(node int, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = f.discoveries[node].server.Serve(l) }()
	return nil
}

// Addr is where the agent listens.
func (a *DiscoveryServer) Addr() string { return a.listener.Addr().String() }

// change lets a changed entry reach the agent after the list's delay. None overtakes one before it.
func (a *DiscoveryServer) enqueue(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := time.Now().Add(a.fleet.scenario.Nodes.DiscoveryDelay + a.extraDelay)
	if due.Before(a.lastDue) {
		due = a.lastDue
	}
	a.lastDue = due
	a.pending = append(a.pending, m)
	time.AfterFunc(time.Until(due), a.applyNext)
}

// learn takes the change that has waited longest: timers that fire together may do so in any order.
func (a *DiscoveryServer) applyNext() {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.pending[0]
	a.pending = a.pending[1:]
	a.revision++
	a.changes = append(a.changes, change{a.revision, m})
	at := -1
	for i := range a.list {
		if a.list[i].ID == m.ID || a.list[i].HostPort == m.HostPort && m.HostPort != "" {
			at = i
		}
	}
	switch {
	case m.Phase == phaseGone && at >= 0:
		a.list = append(a.list[:at:at], a.list[at+1:]...)
	case m.Phase == phaseGone:
	case at >= 0:
		if old := a.list[at]; old.ID != m.ID { // another process at the same address: the old one is gone
			old.Phase = phaseGone
			a.changes = append(a.changes, change{a.revision, old})
		}
		a.list[at] = m
	default:
		a.list = append(a.list, m)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// apply carries out a fault of discovery.
func (a *DiscoveryServer) apply(e scenario.Event) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch e.Kind {
	case "discovery-down":
		a.down = !e.Ends
	case "discovery-wrong":
		a.invalid = !e.Ends
	case "discovery-stale":
		a.extraDelay = e.Fault.Delay
		if e.Ends {
			a.extraDelay = 0
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
	return nil
}

// ServeHTTP answers in the protocol's form.
func (a *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.NewTimer(min(time.Duration(hold)*time.Millisecond, maxHold))
	defer end.Stop()
	for over := false; ; {
		a.mu.Lock()
		news := a.changed
		if a.invalid {
			a.mu.Unlock()
			_, _ = w.Write([]byte(`{"revision":3,"complete":true,"members":[{"id":"","host_port":`))
			return
		}
		if !a.down && (!watch || from != a.revision || over) {
			out, told := a.response(from, watch)
			a.mu.Unlock()
			if _, err := w.Write(out); err != nil {
				return
			}
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			a.recordSent(told)
			return
		}
		a.mu.Unlock()
		select {
		case <-news:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// tell is the answer, and what it tells. The caller holds the lock.
func (a *DiscoveryServer) response(from int64, watch bool) ([]byte, []Member) {
	out := struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{Revision: a.revision, Complete: !watch || from > a.revision || from < 1, Members: []Member{}}
	if out.Complete {
		out.Members = append(out.Members, a.list...)
	} else {
		last := map[string]int{} // one entry for a server: the latest
		for _, c := range a.changes {
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
		return []byte("{}"), nil // plain figures and texts: it cannot happen
	}
	if out.Complete { // what a whole list leaves out is told as gone
		return raw, append(out.Members, a.removed()...)
	}
	return raw, out.Members
}

// gone are the servers that were listed once and are no more. The caller holds the lock.
func (a *DiscoveryServer) removed() []Member {
	var out []Member
	for _, c := range a.changes {
		if !slices.ContainsFunc(a.list, func(m Member) bool { return m.ID == c.member.ID }) {
			m := c.member
			m.Phase = phaseGone
			out = append(out, m)
		}
	}
	return out
}

// note keeps when the node was told what.
func (a *DiscoveryServer) recordSent(told []Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range told {
		a.updates = append(a.updates, audit.ListUpdate{Node: a.node, Server: m.ID, Withdrawn: m.Phase != phaseServing, At: a.fleet.at(time.Now())})
	}
}

func (a *DiscoveryServer) sentUpdates() []audit.ListUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]audit.ListUpdate(nil), a.updates...)
}

func (a *DiscoveryServer) close() { _ = a.server.Close() }
