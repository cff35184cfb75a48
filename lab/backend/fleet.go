// Package backend is the servers and the discovery that a node serves, as stand-ins on loopback sockets: hundreds of
// servers in one process, each a model.Server with sockets around it. A server listens once for every node, so that it
// knows who sends, and the way from each node can be given a delay of its own.
package backend

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/model"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

// Fleet is all servers and each node's discovery.
type Fleet struct {
	s       *scenario.Scenario
	start   time.Time // of the run's time
	effects map[string]audit.Effect
	links   [][]*netfault.Link // by server and node; nil: a clean way
	pods    []*pod
	servers []*Server
	agents  []*Agent

	mu       sync.Mutex
	runs     []audit.Run
	receipts []audit.Receipt
	falls    []audit.Fall
	stalls   []audit.Stall

	work atomic.Int64 // microseconds of work begun
}

// pod guards the model of one pod: its servers share a limit and a memory of keys.
type pod struct {
	mu    sync.Mutex
	model *model.Pod
}

// New starts all servers and one discovery for each node.
func New(s *scenario.Scenario, speeds []float64, start time.Time) (*Fleet, error) {
	f := &Fleet{s: s, start: start, effects: map[string]audit.Effect{}}
	for _, c := range s.Classes {
		f.effects[c.Name] = map[string]audit.Effect{"safe": audit.Safe, "keyed": audit.Keyed, "unsafe": audit.Unsafe}[c.Effect]
	}
	window := time.Duration(0)
	for _, c := range s.Classes {
		window = max(window, c.Window)
	}
	for range s.PodOf(s.Fleet.Servers-1) + 1 {
		f.pods = append(f.pods, &pod{model: model.NewPod(s.Fleet.PodLimit, millis(window))})
	}
	for i := range s.Fleet.Servers {
		f.links = append(f.links, make([]*netfault.Link, s.Nodes.Count))
		for node := range s.Nodes.Count {
			f.links[i][node] = f.way(i, node)
		}
		f.servers = append(f.servers, newServer(f, i, speeds[i]))
	}
	for _, srv := range f.servers {
		if err := srv.open(math.Inf(-1)); err != nil {
			f.Close()
			return nil, err
		}
	}
	for node := range s.Nodes.Count {
		a, err := newAgent(f, node)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.agents = append(f.agents, a)
	}
	return f, nil
}

// way is the link from a node to a server: the zones' distance and what the scenario does to servers' links.
func (f *Fleet) way(server, node int) *netfault.Link {
	up, down := Impairment(f.s.Links.Servers)
	if f.s.ZoneOf(server) != f.s.NodeZone(node) {
		up.Delay += f.s.Fleet.ZoneDelay
		down.Delay += f.s.Fleet.ZoneDelay
	}
	if up.Clean() && down.Clean() && !f.s.Stalls("servers-stall") {
		return nil
	}
	return netfault.NewLink(down, up, f.s.Seed<<20+uint64(server)<<8+uint64(node)) // the wrapped side writes what goes down
}

// Impairment gives both directions of a link as a scenario states it; up is to the node or server.
func Impairment(i scenario.Impair) (up, down netfault.Params) {
	p := netfault.Params{Loss: i.Loss, RTO: i.RTO, Delay: i.Delay, Jitter: i.Jitter, Bandwidth: i.Bandwidth}
	if i.Direction != "down" {
		up = p
	}
	if i.Direction != "up" {
		down = p
	}
	return up, down
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// at is the run's time of a moment.
func (f *Fleet) at(t time.Time) audit.At { return t.Sub(f.start) }

// now is the run's time in the model's unit.
func (f *Fleet) now() model.Millis { return millis(time.Since(f.start)) }

// Discovery is the address of a node's discovery.
func (f *Fleet) Discovery(node int) string { return f.agents[node].Addr() }

// Known is the list as a node is to hold it at its start.
func (f *Fleet) Known(node int) []Member { return f.members(node) }

// members is the list as it is for one node.
func (f *Fleet) members(node int) []Member {
	out := make([]Member, 0, len(f.servers))
	for _, srv := range f.servers {
		if m := srv.member(node); m.Phase != phaseGone {
			out = append(out, m)
		}
	}
	return out
}

// changed tells every discovery that a server has changed.
func (f *Fleet) changed(srv *Server, gone ...Member) {
	for node, a := range f.agents {
		for _, m := range gone {
			m.HostPort = ""
			a.change(m)
		}
		a.change(srv.member(node))
	}
}

// Apply carries out one fault at a server or a discovery, or ends it. What it does is in docs/lab.md.
func (f *Fleet) Apply(e scenario.Event) error {
	if e.Server >= 0 {
		return f.servers[e.Server].apply(e)
	}
	if e.Node >= 0 {
		return f.agents[e.Node].apply(e)
	}
	return fmt.Errorf("%s has no target", e.Kind)
}

// Record is what servers and discoveries saw.
func (f *Fleet) Record() audit.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := audit.Record{Runs: f.runs, Receipts: f.receipts, Falls: f.falls, Stalls: f.stalls}
	for _, a := range f.agents {
		r.Told = append(r.Told, a.toldAll()...)
	}
	return r
}

// Load is one server's state at a moment.
type Load struct {
	ID      string  `json:"id"`
	InHand  int     `json:"in_hand"`
	Warmth  float64 `json:"warmth"`
	Slow    bool    `json:"slow"`
	Serving bool    `json:"serving"`
	Begun   int64   `json:"begun"` // requests whose work has begun, since the run's start
}

// Loads are the states of all servers.
func (f *Fleet) Loads() []Load {
	out := make([]Load, len(f.servers))
	for i, srv := range f.servers {
		out[i] = srv.load()
	}
	return out
}

// WorkBegun is all work that servers have begun, a second run of one request counted again.
func (f *Fleet) WorkBegun() time.Duration { return time.Duration(f.work.Load()) * time.Microsecond }

// Close ends all servers and discoveries.
func (f *Fleet) Close() {
	for _, srv := range f.servers {
		srv.close()
	}
	for _, a := range f.agents {
		a.close()
	}
}

func (f *Fleet) received(r audit.Receipt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receipts = append(f.receipts, r)
}

// stalled notes that a server's links begin to hold back what is on its way, or end to.
func (f *Fleet) stalled(server string, ends bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.at(time.Now())
	if !ends {
		f.stalls = append(f.stalls, audit.Stall{Server: server, From: now, To: stallOpen})
		return
	}
	for i := range f.stalls {
		if s := &f.stalls[i]; s.Server == server && s.To == stallOpen {
			s.To = now + stallRest
		}
	}
}

const (
	// stallOpen is the end of a stall that has not ended yet.
	stallOpen = audit.At(1<<63 - 1)

	// stallRest is how long after a stall's end what it held back may still be coming.
	stallRest = 50 * time.Millisecond
)

func (f *Fleet) ran(r audit.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, r)
}

func (f *Fleet) fell(r audit.Fall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.falls = append(f.falls, r)
}
