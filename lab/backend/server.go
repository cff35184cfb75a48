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

// Server is one simulated server across all its incarnations. A crash ends a process; the next one has the same address.
type Server struct {
	fleet *Fleet
	index int
	speed float64
	pod   *pod
	wake  chan struct{} // signals that the model's next completion time may have changed

	mu            sync.Mutex // locked before pod.mu
	incarnation   int        // 0 for the first process, incremented by each restart
	id            string
	phase         string
	upSince       int64 // Unix milliseconds; 0 if the process was already warm at the start of the run
	model         *model.Server
	listeners     []*net.TCPListener
	packets       []net.PacketConn // CoAP
	addrs         []string         // by node; kept across restarts
	conns         map[net.Conn]struct{}
	openConns     int
	pending       map[uint64]*pendingRequest
	lastID        uint64
	errorFraction float64 // fraction of requests that end with an error
	hidesReports  bool    // responses contain no load report
	unresponsive  bool    // requests are neither read nor answered
	started       int64   // requests whose execution has started
	host          string
	rng           *rand.Rand
	closed        chan struct{}
}

// pendingRequest is a request that is queued or being executed, with the data needed for its response.
type pendingRequest struct {
	done             chan result
	execution        audit.Execution
	respondWithError bool
}

// result is the outcome of a request.
type result struct {
	status      int
	notExecuted bool
	died        bool // the process ended before it could respond
}

// newServer creates a server without a process; open starts one.
func newServer(f *Fleet, index int, speed float64) *Server {
	s := &Server{
		fleet:   f,
		index:   index,
		speed:   speed,
		pod:     f.pods[f.scenario.PodOf(index)],
		wake:    make(chan struct{}, 1),
		addrs:   make([]string, f.scenario.Nodes.Count),
		conns:   map[net.Conn]struct{}{},
		pending: map[uint64]*pendingRequest{},
		host:    loopback.NextHost(),
		rng:     rand.New(rand.NewPCG(f.scenario.Seed, uint64(1000+index))),
		closed:  make(chan struct{}),
	}
	go s.runModel()
	return s
}

// open starts a process of the server. started is its start time; math.Inf(-1) skips the slow start.
func (s *Server) open(started model.Millis) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	s.model = model.NewServer(s.params(), s.pod.model, started)
	s.pod.mu.Unlock()
	s.phase = phaseServing
	s.unresponsive = false
	s.errorFraction = 0
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

// params returns the model's parameters from the scenario.
func (s *Server) params() model.Params {
	cfg := s.fleet.scenario.Fleet
	return model.Params{
		Cores:              cfg.Cores,
		Speed:              s.speed,
		QueueMax:           cfg.QueueMax,
		SlowdownQueueDepth: cfg.SlowdownQueueDepth,
		SlowdownDelay:      millis(cfg.SlowdownDelay),
		SlowdownFactor:     cfg.SlowdownFactor,
		SlowdownRecovery:   millis(cfg.SlowdownRecovery),
		InitialSpeed:       cfg.InitialSpeed,
		SlowStartDuration:  millis(cfg.SlowStartDuration),
		CollapseMultiple:   cfg.CollapseMultiple,
		CollapseWindow:     millis(cfg.CollapseWindow),
	}
}

// listen opens the listener for one node, on the address of the previous process if there was one. The caller holds s.mu.
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

// accept accepts connections until the listener is closed. It resets new connections while the connection limit is reached.
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

// member returns the server's entry in one node's server list.
func (s *Server) member(node int) Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memberLocked(node)
}

// memberLocked is like member, but the caller holds s.mu.
func (s *Server) memberLocked(node int) Member {
	return Member{ID: s.id, HostPort: s.addrs[node], Locality: s.fleet.scenario.ZoneOf(s.index), Flavor: "lab",
		Cell: s.fleet.scenario.PodOf(s.index), Phase: s.phase, Size: 1, UpSince: s.upSince}
}

// load returns the server's state for progress reports.
func (s *Server) load() ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	return ServerLoad{ID: s.id, InFlight: s.model.InFlight(), SlowStartFactor: s.model.SlowStartFactor(s.fleet.now()), Slow: s.model.Slow(),
		Serving: len(s.listeners) > 0 && s.phase == phaseServing, Started: s.started}
}

// dropProcess ends the process: its connections are reset, and new ones are refused. The caller holds s.mu.
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
