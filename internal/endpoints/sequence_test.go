package endpoints

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/discovery"
	"tackhub.example/tackhub/internal/operator"
	"tackhub.example/tackhub/internal/subsystem"
	"tackhub.example/tackhub/lab/catalog"
)

// Size of one sequence of lists.
const (
	sequenceServers = 5
	sequenceSteps   = 12

	// settleTimeout limits the wait for a list to take effect. It is reached only if the list is not followed.
	settleTimeout = 5 * time.Second
)

// catalogServer is a discovery service that answers by a catalog, in every form that the protocol allows.
type catalogServer struct {
	mu      sync.Mutex
	catalog *catalog.Catalog
	changed chan struct{} // closed and replaced at each change
}

func (s *catalogServer) update(change func(*catalog.Catalog)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.catalog)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *catalogServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		s.mu.Lock()
		answer := s.catalog.Poll()
		s.mu.Unlock()
		_ = answer.Write(w)
		return
	}
	holdMillis, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	hold := time.NewTimer(time.Duration(holdMillis) * time.Millisecond)
	defer hold.Stop()
	s.mu.Lock()
	if since == s.catalog.Revision() {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-hold.C:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	answer := s.catalog.Watch(since)
	s.mu.Unlock()
	_ = answer.Write(w)
}

// endpointRecorder records which servers the balancer may choose by the updates that it receives.
type endpointRecorder struct {
	mu    sync.Mutex
	ready map[balancer.ServerID]bool
}

func (r *endpointRecorder) UpdateEndpoints(u balancer.EndpointUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch u.Kind {
	case balancer.UpdateFailed, balancer.UpdateStale:
		return
	case balancer.FullUpdate, balancer.CachedUpdate:
		r.ready = map[balancer.ServerID]bool{}
	}
	for _, e := range u.Endpoints {
		r.ready[e.ID] = e.State == balancer.Ready
	}
}

func (r *endpointRecorder) mayChoose(id balancer.ServerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready[id]
}

// sequenceNode is a discovery client with the directory in front of the balancer, as in one process.
type sequenceNode struct {
	client    *discovery.Client
	directory *Directory
	recorder  *endpointRecorder
	stop      func()
}

// Endpoints, Clock and Counters make it the node of an inventory.
type sequenceHost struct {
	*fakeNode
	directory *Directory
}

func (h sequenceHost) Endpoints() *Directory { return h.directory }

// startSequenceNode starts a process with a cached list.
func startSequenceNode(t testing.TB, address string, nodes int, withInventory bool, cached discovery.List) *sequenceNode {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n := &sequenceNode{recorder: &endpointRecorder{}}
	n.client = discovery.New(discovery.Options{Address: address, Nodes: nodes, DrainGrace: 300 * time.Millisecond, Log: log, Count: &counters.Counters{}}, cached)
	n.directory = New(n.client, n.recorder)
	ctx, cancel := context.WithCancel(context.Background())
	stopInventory := func() {}
	if withInventory {
		f, err := operator.Parse("edge.toml", "[inventory]\npod_hold = \"1ms\"\n", []operator.Section{Subsystem().Section})
		if err != nil {
			t.Fatal(err)
		}
		instance, err := Subsystem().Build(subsystem.Host{Node: sequenceHost{newFakeNode(), n.directory}, Log: log}, f.Options("inventory"), nil)
		if err != nil {
			t.Fatal(err)
		}
		instance.Start(ctx)
		stopInventory = instance.Stop
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.client.Run(ctx, cached, n.directory)
	}()
	n.stop = func() {
		cancel()
		n.client.SetAddress("127.0.0.1:1") // ends the call in flight
		<-ended
		stopInventory()
	}
	return n
}

// sequencePlayer plays one seeded sequence of lists, restarts and upgrades.
type sequencePlayer struct {
	t       testing.TB
	rng     *rand.Rand
	server  *catalogServer
	address string
	nodes   int
	merged  bool
	node    *sequenceNode
	history []discovery.List // lists that a configuration may hold
	steps   []string
}

// member draws an entry of a server.
func (p *sequencePlayer) member(i int, phase string) catalog.Member {
	m := catalog.Member{ID: fmt.Sprintf("s%d", i), HostPort: fmt.Sprintf("10.0.0.%d:80", i), Phase: phase, Size: 1}
	if phase == catalog.PhaseServing {
		m.UpSince = int64(1_700_000_000_000 + p.rng.IntN(3))
	}
	if phase == catalog.PhaseDeleted && p.rng.IntN(2) == 0 {
		m.HostPort = "" // a deleted member needs no address
	}
	return m
}

// all draws an entry of every server in one phase.
func (p *sequencePlayer) all(phase string) []catalog.Member {
	var members []catalog.Member
	for i := range sequenceServers {
		members = append(members, p.member(i, phase))
	}
	return members
}

// step makes one random change of the list, or restarts the node.
func (p *sequencePlayer) step() {
	phases := []string{catalog.PhaseServing, catalog.PhaseDraining, catalog.PhaseDeleted}
	switch draw := p.rng.IntN(10); {
	case draw < 4: // the whole fleet, perhaps several times before the node asks
		for range 1 + p.rng.IntN(2) {
			phase := phases[p.rng.IntN(len(phases))]
			p.steps = append(p.steps, "all "+phase)
			p.server.update(func(c *catalog.Catalog) { c.Apply(p.all(phase)...) })
		}
	case draw < 7:
		changed := []catalog.Member{p.member(p.rng.IntN(sequenceServers), phases[p.rng.IntN(len(phases))])}
		p.steps = append(p.steps, changed[0].ID+" "+changed[0].Phase)
		p.server.update(func(c *catalog.Catalog) { c.Apply(changed...) })
	case draw == 7:
		p.steps = append(p.steps, "discovery restarts")
		p.server.update(func(c *catalog.Catalog) { c.Restart() })
	case draw == 8:
		p.steps = append(p.steps, "node restarts with an older list")
		p.restart(p.history[p.rng.IntN(len(p.history))])
	default:
		p.steps = append(p.steps, "upgrade")
		p.restart(p.node.client.List())
	}
	p.history = append(p.history, p.node.client.List())
}

func (p *sequencePlayer) restart(cached discovery.List) {
	p.node.stop()
	p.node = startSequenceNode(p.t, p.address, p.nodes, p.merged, cached)
}

// expectOffered waits until the servers that may get work are those in service by the catalog.
func (p *sequencePlayer) expectOffered() {
	p.t.Helper()
	want := map[balancer.ServerID]bool{}
	p.server.mu.Lock()
	for _, m := range p.server.catalog.Members() {
		want[balancer.ServerID(m.ID)] = m.Phase == catalog.PhaseServing
	}
	p.server.mu.Unlock()
	got := ""
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Microsecond) {
		got = ""
		for i := range sequenceServers {
			id := balancer.ServerID(fmt.Sprintf("s%d", i))
			_, hasAddress := p.node.directory.Address(id)
			if chosen := p.node.recorder.mayChoose(id); hasAddress != want[id] || chosen != want[id] {
				got += fmt.Sprintf(" %s: address %v, may be chosen %v, in service %v;", id, hasAddress, chosen, want[id])
			}
		}
		if got == "" {
			return
		}
	}
	p.t.Fatalf("after %v (%d nodes, inventory %v):%s", p.steps, p.nodes, p.merged, got)
}

// playSequence plays the sequence of a seed.
func playSequence(t testing.TB, seed uint64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 0x5e9))
	p := &sequencePlayer{t: t, rng: rng, nodes: []int{1, 300}[rng.IntN(2)], merged: rng.IntN(2) == 0}
	p.server = &catalogServer{catalog: catalog.New(1<<20, p.all(catalog.PhaseServing), seed), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: p.server}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	p.address = listener.Addr().String()
	p.node = startSequenceNode(t, p.address, p.nodes, p.merged, discovery.List{})
	defer func() { p.node.stop() }()
	p.expectOffered()
	p.history = append(p.history, p.node.client.List())
	for range sequenceSteps {
		p.step()
		p.expectOffered()
	}
}

// After any sequence of lists, in every form that the protocol allows, over restarts and upgrades, with the inventory on and off, the
// servers that may get work must be those that the newest list has in service. A list that is misread keeps a withdrawn server in work.
func TestAnySequenceOfListsIsFollowed(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playSequence(t, seed)
		})
	}
}

func FuzzSequenceOfLists(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) { playSequence(t, seed) })
}
