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
type Agent struct {
	f    *Fleet
	node int
	l    net.Listener
	srv  *http.Server

	mu       sync.Mutex
	revision int64
	list     []Member
	changes  []change // since the start, for watches from an older revision
	news     chan struct{}
	down     bool
	wrong    bool
	hold     time.Duration // further delay, while what it tells is stale
	told     []audit.Told
	coming   []Member  // changes on their way
	due      time.Time // when the last of them is there
}

type change struct {
	revision int64
	m        Member
}

// longestHold is the longest that a watch is held, by the protocol.
const longestHold = 60 * time.Second

func newAgent(f *Fleet, node int) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	up, down := Impairment(f.s.Links.Discovery)
	a := &Agent{f: f, node: node, l: l, revision: 1, list: f.members(node), news: make(chan struct{})}
	if !up.Clean() || !down.Clean() {
		a.l = linked{l, netfault.NewLink(down, up, f.s.Seed+uint64(node))}
	}
	a.srv = &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = a.srv.Serve(a.l) }()
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
	go func() { _ = f.agents[node].srv.Serve(l) }()
	return nil
}

// Addr is where the agent listens.
func (a *Agent) Addr() string { return a.l.Addr().String() }

// change lets a changed entry reach the agent after the list's delay. None overtakes one before it.
func (a *Agent) change(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := time.Now().Add(a.f.s.Nodes.Push + a.hold)
	if due.Before(a.due) {
		due = a.due
	}
	a.due = due
	a.coming = append(a.coming, m)
	time.AfterFunc(time.Until(due), a.learn)
}

// learn takes the change that has waited longest: timers that fire together may do so in any order.
func (a *Agent) learn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.coming[0]
	a.coming = a.coming[1:]
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
	close(a.news)
	a.news = make(chan struct{})
}

// apply carries out a fault of discovery.
func (a *Agent) apply(e scenario.Event) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch e.Kind {
	case "discovery-down":
		a.down = !e.Ends
	case "discovery-wrong":
		a.wrong = !e.Ends
	case "discovery-stale":
		a.hold = e.Fault.Delay
		if e.Ends {
			a.hold = 0
		}
	}
	close(a.news)
	a.news = make(chan struct{})
	return nil
}

// ServeHTTP answers in the protocol's form.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	watch := err == nil
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.NewTimer(min(time.Duration(hold)*time.Millisecond, longestHold))
	defer end.Stop()
	for over := false; ; {
		a.mu.Lock()
		news := a.news
		if a.wrong {
			a.mu.Unlock()
			_, _ = w.Write([]byte(`{"revision":3,"complete":true,"members":[{"id":"","host_port":`))
			return
		}
		if !a.down && (!watch || from != a.revision || over) {
			out, told := a.tell(from, watch)
			a.mu.Unlock()
			if _, err := w.Write(out); err != nil {
				return
			}
			if f, ok := w.(http.Flusher); ok {
				f.Flush()
			}
			a.note(told)
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
func (a *Agent) tell(from int64, watch bool) ([]byte, []Member) {
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
			if i, ok := last[c.m.ID]; ok {
				out.Members[i] = c.m
				continue
			}
			last[c.m.ID] = len(out.Members)
			out.Members = append(out.Members, c.m)
		}
	}
	raw, err := json.Marshal(out)
	if err != nil {
		return []byte("{}"), nil // plain figures and texts: it cannot happen
	}
	if out.Complete { // what a whole list leaves out is told as gone
		return raw, append(out.Members, a.gone()...)
	}
	return raw, out.Members
}

// gone are the servers that were listed once and are no more. The caller holds the lock.
func (a *Agent) gone() []Member {
	var out []Member
	for _, c := range a.changes {
		if !slices.ContainsFunc(a.list, func(m Member) bool { return m.ID == c.m.ID }) {
			m := c.m
			m.Phase = phaseGone
			out = append(out, m)
		}
	}
	return out
}

// note keeps when the node was told what.
func (a *Agent) note(told []Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range told {
		a.told = append(a.told, audit.Told{Node: a.node, Server: m.ID, Closed: m.Phase != phaseServing, At: a.f.at(time.Now())})
	}
}

func (a *Agent) toldAll() []audit.Told {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]audit.Told(nil), a.told...)
}

func (a *Agent) close() { _ = a.srv.Close() }
