// Package backend is the servers and the discovery that the nodes use, as stand-ins on loopback sockets: hundreds of
// servers in one process, each a model.Server behind real sockets. A server has a listener for each node, so it knows
// which node sends, and each node's link to it can have a delay of its own.
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
	scenario    *scenario.Scenario
	start       time.Time // of the run's time
	effects     map[string]audit.Effect
	links       [][]*netfault.Link // by server and node; nil: nothing is done to it
	pods        []*pod
	servers     []*Server
	discoveries []*DiscoveryServer

	mu         sync.Mutex
	executions []audit.Execution
	receipts   []audit.Receipt
	collapses  []audit.Collapse
	stalls     []audit.Stall

	workStarted atomic.Int64 // microseconds of work
}

// pod guards the model of one pod: its servers share a limit and remember the same idempotency keys.
type pod struct {
	mu    sync.Mutex
	model *model.Pod
}

// New starts all servers and one discovery for each node. start is the zero of the run's time.
func New(s *scenario.Scenario, speeds []float64, start time.Time) (*Fleet, error) {
	f := &Fleet{scenario: s, start: start, effects: map[string]audit.Effect{}}
	for _, c := range s.Classes {
		f.effects[c.Name] = audit.EffectOf(c.Effect)
	}
	window := time.Duration(0) // the longest in which a keyed request's duplicates are dropped
	for _, c := range s.Classes {
		window = max(window, c.Window)
	}
	for range s.PodOf(s.Fleet.Servers-1) + 1 {
		f.pods = append(f.pods, &pod{model: model.NewPod(s.Fleet.PodLimit, millis(window))})
	}
	for i := range s.Fleet.Servers {
		f.links = append(f.links, make([]*netfault.Link, s.Nodes.Count))
		for node := range s.Nodes.Count {
			f.links[i][node] = f.newLink(i, node)
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
		d, err := newDiscoveryServer(f, node)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.discoveries = append(f.discoveries, d)
	}
	return f, nil
}

// newLink is the link from a node to a server: the delay between their zones and the scenario's impairment. It is nil
// where nothing is done to it.
func (f *Fleet) newLink(server, node int) *netfault.Link {
	up, down := Impairments(f.scenario.Links.Servers)
	if f.scenario.ZoneOf(server) != f.scenario.NodeZone(node) {
		up.Delay += f.scenario.Fleet.ZoneDelay
		down.Delay += f.scenario.Fleet.ZoneDelay
	}
	if up.Clean() && down.Clean() && !f.scenario.HasFault(scenario.FaultServersStall) {
		return nil
	}
	return netfault.NewLink(down, up, f.scenario.Seed<<20+uint64(server)<<8+uint64(node)) // the wrapped side writes what goes down
}

// Impairments are the two directions of a link as a scenario states it; up is to the node or server.
func Impairments(i scenario.Impairment) (up, down netfault.Impairment) {
	p := netfault.Impairment{Loss: i.Loss, RTO: i.RTO, Delay: i.Delay, Jitter: i.Jitter, Bandwidth: i.Bandwidth}
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
func (f *Fleet) at(t time.Time) audit.Offset { return t.Sub(f.start) }

// now is the run's time in the model's unit.
func (f *Fleet) now() model.Millis { return millis(time.Since(f.start)) }

// Discovery is the address of a node's discovery.
func (f *Fleet) Discovery(node int) string { return f.discoveries[node].Addr() }

// Known is the list that a node's configuration holds at its start.
func (f *Fleet) Known(node int) []Member { return f.members(node) }

// members is the current list for one node.
func (f *Fleet) members(node int) []Member {
	out := make([]Member, 0, len(f.servers))
	for _, srv := range f.servers {
		if m := srv.member(node); m.Phase != phaseGone {
			out = append(out, m)
		}
	}
	return out
}

// announce sends a server's changed entry to every discovery.
func (f *Fleet) announce(srv *Server) {
	for node, d := range f.discoveries {
		d.enqueue(srv.member(node))
	}
}

// ApplyFault begins or ends one fault of a server or a discovery. The kinds are described in docs/lab.md.
func (f *Fleet) ApplyFault(e scenario.Event) error {
	if e.Server >= 0 {
		return f.servers[e.Server].apply(e)
	}
	if e.Node >= 0 {
		return f.discoveries[e.Node].apply(e)
	}
	return fmt.Errorf("%s has no target", e.Kind)
}

// Record is what servers and discoveries saw.
func (f *Fleet) Record() audit.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := audit.Record{Executions: f.executions, Receipts: f.receipts, Collapses: f.collapses, Stalls: f.stalls}
	for _, d := range f.discoveries {
		r.ListUpdates = append(r.ListUpdates, d.sentUpdates()...)
	}
	return r
}

// ServerLoad is one server's state at a moment.
type ServerLoad struct {
	ID           string  `json:"id"`
	InFlight     int     `json:"in_hand"`
	WarmupFactor float64 `json:"warmth"`
	Slow         bool    `json:"slow"`
	Serving      bool    `json:"serving"`
	Started      int64   `json:"begun"` // requests whose work has started, since the run's start
}

// Loads are the states of all servers.
func (f *Fleet) Loads() []ServerLoad {
	out := make([]ServerLoad, len(f.servers))
	for i, srv := range f.servers {
		out[i] = srv.load()
	}
	return out
}

// WorkStarted is all work that servers have started; a request that is executed twice counts twice.
func (f *Fleet) WorkStarted() time.Duration {
	return time.Duration(f.workStarted.Load()) * time.Microsecond
}

// Close ends all servers and discoveries.
func (f *Fleet) Close() {
	for _, srv := range f.servers {
		srv.close()
	}
	for _, d := range f.discoveries {
		d.close()
	}
}

func (f *Fleet) recordReceipt(r audit.Receipt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receipts = append(f.receipts, r)
}

// recordStall records the begin or the end of a stall on a server's links.
func (f *Fleet) recordStall(server string, ends bool) {
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
	stallOpen = audit.Offset(1<<63 - 1)

	// stallRest is how long after a stall's end what it held back may still be coming.
	stallRest = 50 * time.Millisecond
)

func (f *Fleet) recordExecution(r audit.Execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.executions = append(f.executions, r)
}

func (f *Fleet) recordCollapse(r audit.Collapse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.collapses = append(f.collapses, r)
}
