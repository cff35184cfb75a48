package backend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/loopback"
	"tackhub.example/tackhub/lab/model"
)

// Server is one stand-in server over all its incarnations: a crash ends a process, and the next one has the same
// address.
type Server struct {
	fleet *Fleet
	index int
	speed float64
	pod   *pod
	wake  chan struct{} // the model's next completion may be due at another time

	mu           sync.Mutex // locked before the pod's
	incarnation  int        // 0 for the first process, one more with each restart
	id           string
	phase        string
	upSince      int64 // Unix milliseconds; 0: long ago
	model        *model.Server
	listeners    []*net.TCPListener
	packets      []net.PacketConn // CoAP
	addrs        []string         // by node; kept over restarts
	conns        map[net.Conn]struct{}
	openConns    int
	pending      map[uint64]*pending
	lastID       uint64
	errorShare   float64 // share of requests that end with an error
	hidesReports bool    // responses carry no load report
	unresponsive bool    // nothing is read and nothing answered
	started      int64   // requests whose work has started
	host         string
	rng          *rand.Rand
	closed       chan struct{}
}

// pending is a request that is queued or worked on, with what its response needs.
type pending struct {
	done      chan result
	execution audit.Execution
	fails     bool
}

// result is what became of a request.
type result struct {
	status      int
	notExecuted bool
	died        bool // the process ended before it could answer
}

// newServer makes a server that has no process yet.
func newServer(f *Fleet, index int, speed float64) *Server {
	s := &Server{
		fleet:   f,
		index:   index,
		speed:   speed,
		pod:     f.pods[f.scenario.PodOf(index)],
		wake:    make(chan struct{}, 1),
		addrs:   make([]string, f.scenario.Nodes.Count),
		conns:   map[net.Conn]struct{}{},
		pending: map[uint64]*pending{},
		host:    loopback.NextHost(),
		rng:     rand.New(rand.NewPCG(f.scenario.Seed, uint64(1000+index))),
		closed:  make(chan struct{}),
	}
	go s.work()
	return s
}

// open starts a process of the server. started is math.Inf(-1) for a warm one, else the run's time.
func (s *Server) open(started model.Millis) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	s.model = model.NewServer(s.params(), s.pod.model, started)
	s.pod.mu.Unlock()
	s.phase = phaseServing
	s.unresponsive = false
	s.errorShare = 0
	s.upSince = 0
	if !math.IsInf(started, -1) {
		s.upSince = time.Now().UnixMilli()
	}
	if s.id == "" {
		s.id = fmt.Sprintf("s%03d", s.index)
	}
	for node := range s.addrs {
		if err := s.listen(node); err != nil {
			return err
		}
	}
	return nil
}

// params are the model's parameters, from the scenario.
func (s *Server) params() model.Params {
	f := s.fleet.scenario.Fleet
	return model.Params{
		Cores:            f.Cores,
		Speed:            s.speed,
		QueueMax:         f.QueueMax,
		CrowdDepth:       f.CrowdDepth,
		CrowdFor:         millis(f.CrowdFor),
		SlowFactor:       f.SlowFactor,
		RestFor:          millis(f.RestFor),
		ColdSpeed:        f.ColdSpeed,
		ColdFor:          millis(f.ColdFor),
		CollapseMultiple: f.CollapseMultiple,
		CollapseWindow:   millis(f.CollapseWindow),
	}
}

// listen opens the listener for one node, at the address of the process before where there was one. The caller holds
// the lock.
func (s *Server) listen(node int) error {
	address := s.addrs[node]
	if address == "" {
		address = s.host + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("server %s for node %d: %w", s.id, node, err)
	}
	s.addrs[node] = l.Addr().String()
	t := l.(*net.TCPListener)
	s.listeners = append(s.listeners, t)
	go s.accept(t, node)
	return s.listenCoap(node)
}

// accept takes connections until the listener is closed. Beyond the limit of connections new ones are reset.
func (s *Server) accept(l *net.TCPListener, node int) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.openConns >= s.fleet.scenario.Fleet.MaxConns*len(s.addrs) {
			s.mu.Unlock()
			_ = c.SetLinger(0)
			_ = c.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.openConns++
		s.mu.Unlock()
		go s.serve(c, node)
	}
}

func (s *Server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// member is the server's entry in one node's list.
func (s *Server) member(node int) Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(node)
}

// entry is member for a caller that holds the lock.
func (s *Server) entry(node int) Member {
	return Member{ID: s.id, HostPort: s.addrs[node], Locality: s.fleet.scenario.ZoneOf(s.index), Flavor: "lab",
		Cell: s.fleet.scenario.PodOf(s.index), Phase: s.phase, Size: 1, UpSince: s.upSince}
}

// load is the server's state for reports.
func (s *Server) load() ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	return ServerLoad{ID: s.id, InFlight: s.model.InFlight(), WarmupFactor: s.model.WarmupFactor(s.fleet.now()), Slow: s.model.Slow(),
		Serving: len(s.listeners) > 0 && s.phase == phaseServing, Started: s.started}
}

// dropProcess loses the process: its connections are reset and new ones refused. The caller holds the lock.
func (s *Server) dropProcess() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for _, p := range s.packets {
		_ = p.Close()
	}
	s.listeners, s.packets = nil, nil
	for _, p := range s.pending {
		p.done <- result{died: true}
	}
	clear(s.pending)
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropProcess()
	close(s.closed)
}
