// Package backend simulates the servers and the discovery service that the nodes use. Hundreds of servers run in one
// process, each a model.Server behind real loopback sockets. A server has one listener per node, which identifies the
// sending node and allows a separate delay for each node's link to the server.
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

// Fleet contains all simulated servers and one discovery server per node.
type Fleet struct {
	scenario    *scenario.Scenario
	start       time.Time // of the run
	effects     map[string]audit.Effect
	links       [][]*netfault.Link // by server and node; nil if the link is unimpaired
	pods        []*pod
	servers     []*Server
	discoveries []*DiscoveryServer

	mu         sync.Mutex
	executions []audit.Execution
	receipts   []audit.Receipt
	collapses  []audit.Collapse
	stalls     []audit.Stall

	workStarted atomic.Int64 // work started on all servers, in microseconds
}

// pod is the model of one pod and the lock that guards it. The servers of a pod share a request limit and the set of
// idempotency keys.
type pod struct {
	mu    sync.Mutex
	model *model.Pod
}

// New starts all servers and one discovery server per node. start is the start time of the run.
func New(s *scenario.Scenario, speeds []float64, start time.Time) (*Fleet, error) {
	f := &Fleet{scenario: s, start: start, effects: map[string]audit.Effect{}}
	for _, c := range s.Classes {
		f.effects[c.Name] = audit.EffectOf(c.Effect)
	}
	window := time.Duration(0) // the longest dedup window of all classes
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

// newLink returns the link from a node to a server, with the delay between their zones and the scenario's impairment. It
// returns nil if the link has neither and is never stalled.
func (f *Fleet) newLink(server, node int) *netfault.Link {
	up, down := Impairments(f.scenario.Links.Servers)
	if f.scenario.ZoneOf(server) != f.scenario.NodeZone(node) {
		up.Delay += f.scenario.Fleet.ZoneDelay
		down.Delay += f.scenario.Fleet.ZoneDelay
	}
	if up.Clean() && down.Clean() && !f.scenario.HasFault(scenario.FaultServersStall) {
		return nil
	}
	// The wrapped side is the server, which writes in direction down.
	return netfault.NewLink(down, up, f.scenario.Seed<<20+uint64(server)<<8+uint64(node))
}

// Impairments returns the impairment of each direction of a link as a scenario specifies it; up is towards the node or
// server.
func Impairments(configured scenario.Impairment) (up, down netfault.Impairment) {
	impairment := netfault.Impairment{Loss: configured.Loss, RTO: configured.RTO, Delay: configured.Delay, Jitter: configured.Jitter,
		Bandwidth: configured.Bandwidth}
	if configured.Direction != "down" {
		up = impairment
	}
	if configured.Direction != "up" {
		down = impairment
	}
	return up, down
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// offsetOf returns the time from the start of the run to t.
func (f *Fleet) offsetOf(t time.Time) audit.Offset { return t.Sub(f.start) }

// now returns the time since the start of the run in milliseconds, the unit of package model.
func (f *Fleet) now() model.Millis { return millis(time.Since(f.start)) }

// Discovery returns the address of a node's discovery server.
func (f *Fleet) Discovery(node int) string { return f.discoveries[node].Addr() }

// InitialMembers returns the server list that is written to a node's configuration before the node starts.
func (f *Fleet) InitialMembers(node int) []Member { return f.members(node) }

// members returns the current server list for one node.
func (f *Fleet) members(node int) []Member {
	out := make([]Member, 0, len(f.servers))
	for _, srv := range f.servers {
		if m := srv.member(node); m.Phase != phaseGone {
			out = append(out, m)
		}
	}
	return out
}

// announce passes a server's changed entry to every discovery server.
func (f *Fleet) announce(srv *Server) {
	for node, d := range f.discoveries {
		d.enqueue(srv.member(node))
	}
}

// ApplyFault starts or ends one fault of a server or a discovery server. The kinds are described in docs/lab.md.
func (f *Fleet) ApplyFault(e scenario.Event) error {
	if e.Server >= 0 {
		return f.servers[e.Server].apply(e)
	}
	if e.Node >= 0 {
		return f.discoveries[e.Node].apply(e)
	}
	return fmt.Errorf("fault %s names neither a server nor a node", e.Kind)
}

// Record returns what the servers and discovery servers have recorded for the auditor.
func (f *Fleet) Record() audit.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := audit.Record{Executions: f.executions, Receipts: f.receipts, Collapses: f.collapses, Stalls: f.stalls}
	for _, d := range f.discoveries {
		r.ListUpdates = append(r.ListUpdates, d.sentUpdates()...)
	}
	return r
}

// ServerLoad is the state of one server at one time.
type ServerLoad struct {
	ID              string  `json:"id"`
	InFlight        int     `json:"in_hand"`
	SlowStartFactor float64 `json:"warmth"`
	Slow            bool    `json:"slow"`
	Serving         bool    `json:"serving"`
	Started         int64   `json:"begun"` // requests whose execution has started since the start of the run
}

// Loads returns the states of all servers.
func (f *Fleet) Loads() []ServerLoad {
	out := make([]ServerLoad, len(f.servers))
	for i, srv := range f.servers {
		out[i] = srv.load()
	}
	return out
}

// WorkStarted returns the total work that the servers have started. A request that is executed twice counts twice.
func (f *Fleet) WorkStarted() time.Duration {
	return time.Duration(f.workStarted.Load()) * time.Microsecond
}

// Close stops all servers and discovery servers.
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

// recordStall records the start or the end of a stall of a server's links. A start during a stall of the same server has no effect.
func (f *Fleet) recordStall(server string, ends bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.offsetOf(time.Now())
	ongoing := f.ongoingStall(server)
	switch {
	case ends && ongoing != nil:
		ongoing.To = now + stallFlushTime
	case !ends && ongoing == nil:
		f.stalls = append(f.stalls, audit.Stall{Server: server, From: now, To: noStallEnd})
	}
}

// renameStall records that a server whose links may be stalled continues under another name. The stall goes on for the new name.
func (f *Fleet) renameStall(from, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ongoing := f.ongoingStall(from)
	if ongoing == nil || from == to {
		return
	}
	now := f.offsetOf(time.Now())
	ongoing.To = now + stallFlushTime
	f.stalls = append(f.stalls, audit.Stall{Server: to, From: now, To: noStallEnd})
}

// ongoingStall returns the record of a server's stall that has not ended, or nil. The caller holds f.mu.
func (f *Fleet) ongoingStall(server string) *audit.Stall {
	for i := range f.stalls {
		if s := &f.stalls[i]; s.Server == server && s.To == noStallEnd {
			return s
		}
	}
	return nil
}

const (
	// noStallEnd is the recorded end time of a stall that has not ended yet.
	noStallEnd = audit.Offset(1<<63 - 1)

	// stallFlushTime is added to the end of a stall, because the data that it delayed arrives over some time afterwards.
	stallFlushTime = 50 * time.Millisecond
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
