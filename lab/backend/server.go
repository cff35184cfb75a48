package backend

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/loopback"
	"tackhub.example/tackhub/lab/model"
	"tackhub.example/tackhub/lab/netfault"
	"tackhub.example/tackhub/lab/scenario"
)

// The phases of a list's entry.
const (
	phaseServing  = "SERVING"
	phaseDraining = "DRAINING"
	phaseGone     = "DELETED"
)

// Member is one entry of a list, in discovery's form.
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

// answerTail is what an answer's body is filled up with, so that a short read is seen.
const bodyTail = "&stills=0123456789abcdef0123456789abcdef"

// Server is one stand-in server over all its lives.
type Server struct {
	fleet *Fleet
	index int
	speed float64
	pod   *pod
	wake  chan struct{} // the model's next end may have moved

	mu           sync.Mutex // before the pod's
	incarnation  int        // 0 for the first process, one more for each start
	id           string
	phase        string
	upSince      int64 // Unix milliseconds; 0: long ago
	model        *model.Server
	listeners    []*net.TCPListener
	packets      []net.PacketConn // of its CoAP side
	addrs        []string         // by node; kept over restarts
	conns        map[net.Conn]struct{}
	openConns    int // connections open
	pending      map[uint64]*pending
	lastID       uint64
	errorShare   float64 // share of requests that end with an error
	hidesReports bool    // answers carry no report
	unresponsive bool    // nothing that comes is read, nothing is answered
	started      int64
	host         string
	rng          *rand.Rand
	closed       chan struct{}
}

// pending is a request in hand with what its answer needs.
type pending struct {
	done      chan result
	execution audit.Execution
	fails     bool
}

type result struct {
	status      int
	notExecuted bool
	died        bool // the process died: no answer
}

func newServer(f *Fleet, index int, speed float64) *Server {
	s := &Server{fleet: f, index: index, speed: speed, pod: f.pods[f.scenario.PodOf(index)], wake: make(chan struct{}, 1),
		addrs: make([]string, f.scenario.Nodes.Count), pending: map[uint64]*pending{}, conns: map[net.Conn]struct{}{},
		host: loopback.NextHost(), rng: rand.New(rand.NewPCG(f.scenario.Seed, uint64(1000+index))), closed: make(chan struct{})}
	go s.work()
	return s
}

// open starts a process of the server: math.Inf(-1) for a warm one, else the run's time of its start.
func (s *Server) open(started model.Millis) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fl := s.fleet.scenario.Fleet
	s.pod.mu.Lock()
	s.model = model.NewServer(model.Params{Cores: fl.Cores, Speed: s.speed, QueueMax: fl.QueueMax,
		CrowdDepth: fl.CrowdDepth, CrowdFor: millis(fl.CrowdFor), SlowFactor: fl.SlowFactor, RestFor: millis(fl.RestFor),
		ColdSpeed: fl.ColdSpeed, ColdFor: millis(fl.ColdFor), CollapseMultiple: fl.CollapseMultiple, CollapseWindow: millis(fl.CollapseWindow),
	}, s.pod.model, started)
	s.pod.mu.Unlock()
	s.upSince, s.phase, s.unresponsive, s.errorShare = 0, phaseServing, false, 0
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

// listen opens the listener for one node, at its old address where it had one.
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

func (s *Server) serve(raw *net.TCPConn, node int) {
	var c net.Conn = raw
	if l := s.fleet.links[s.index][node]; l != nil {
		c = l.Wrap(raw)
	}
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, raw)
		s.openConns--
	}()
	r := bufio.NewReaderSize(c, 4096)
	w := bufio.NewWriterSize(c, 4096)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fresh := true
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		if req.ReadLimitBody(r, 64<<10) != nil {
			return
		}
		s.waitResponsive()
		resp.Reset()
		resp.Header.DisableNormalizing()
		if !s.answer(req, resp, node, fresh, first) {
			_ = raw.SetLinger(0)
			return
		}
		fresh = false
		if resp.Write(w) != nil || w.Flush() != nil {
			return
		}
	}
}

// stand waits while the server's machine has vanished: nothing is read, nothing breaks.
func (s *Server) waitResponsive() {
	for {
		s.mu.Lock()
		gone := s.unresponsive
		s.mu.Unlock()
		if !gone {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-s.closed:
			return
		}
	}
}

// answer acts on one request; false where the connection breaks instead.
func (s *Server) answer(req *fasthttp.Request, resp *fasthttp.Response, node int, fresh bool, first time.Time) bool {
	switch path := string(req.URI().Path()); {
	case s.fleet.scenario.Fleet.Probes && (path == "/ping" || path == "/_load"):
		resp.SetBodyString(s.report())
		return true
	case path == "/ping" || path == "/_load":
		resp.SetStatusCode(fasthttp.StatusNotFound)
		return true
	}
	a := s.execute(req, node, fresh, first)
	if a.died {
		return false
	}
	resp.SetStatusCode(a.status)
	if a.notExecuted {
		resp.Header.Set("X-Not-Run", "1")
	}
	if report := s.report(); report != "" {
		resp.Header.Set("X-Load", report)
	}
	if a.status == fasthttp.StatusOK {
		resp.SetBodyString("id=" + attemptID(req) + "&server=" + s.name() + bodyTail)
	}
	return true
}

func (s *Server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// report is the load report of now, where servers give one.
func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fleet.scenario.Fleet.Reports || s.hidesReports {
		return ""
	}
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	n, waits := s.model.InFlight(), s.model.Queued()
	util := float64(n-waits) / float64(s.fleet.scenario.Fleet.Cores)
	return "TEXT inflight=" + strconv.Itoa(n) + ", queue=" + strconv.Itoa(waits) + ", util=" + strconv.FormatFloat(util, 'f', 2, 64)
}

// do offers a request to the model and waits for what becomes of it.
func (s *Server) execute(req *fasthttp.Request, node int, fresh bool, first time.Time) result {
	id := attemptID(req)
	op, ok := OperationOf(id)
	if !ok {
		return result{status: fasthttp.StatusNotFound}
	}
	us, _ := strconv.Atoi(string(req.URI().QueryArgs().Peek("w")))
	work := float64(us) / 1000
	if fresh {
		work += millis(s.fleet.scenario.Fleet.ConnCost)
	}
	s.mu.Lock()
	deadline, _ := strconv.Atoi(string(req.Header.Peek("X-Deadline-Ms")))
	s.fleet.recordReceipt(audit.Receipt{ID: id, Node: node, Server: s.id, At: s.fleet.at(first), Deadline: time.Duration(deadline) * time.Millisecond})
	s.lastID++
	p := &pending{done: make(chan result, 1), fails: s.rng.Float64() < s.errorShare,
		execution: audit.Execution{ID: id, Operation: op, Effect: s.fleet.effects[string(req.Header.Peek("X-Class"))], Server: s.id, Pod: s.fleet.scenario.PodOf(s.index)}}
	r := model.Request{ID: s.lastID, Work: work, Key: string(req.Header.Peek("Idempotency-Key"))}
	s.pending[r.ID] = p
	v := s.offer(r)
	if v != model.Accepted {
		delete(s.pending, r.ID)
	}
	s.mu.Unlock()
	switch v {
	case model.Accepted:
	case model.Duplicate:
		return result{status: fasthttp.StatusOK}
	case model.NotRunning:
		return result{died: true}
	default:
		return result{status: fasthttp.StatusServiceUnavailable, notExecuted: true}
	}
	s.wakeWorker()
	return <-p.done
}

// offer puts a request before the model and takes what it says. The caller holds the lock.
func (s *Server) offer(r model.Request) model.Verdict {
	s.pod.mu.Lock()
	now := s.fleet.now()
	done := s.model.Advance(now)
	fell := s.model.Collapsed()
	v := s.model.Arrive(now, r)
	begun := s.model.TakeStarted()
	pushed := s.model.Collapsed() && !fell
	s.pod.mu.Unlock()
	s.settle(done, begun)
	if pushed {
		s.fleet.recordCollapse(audit.Collapse{Server: s.id, At: s.fleet.at(time.Now())})
		s.dropProcess()
		s.phase = phaseGone
		go s.fleet.announce(s)
	}
	return v
}

// settle answers what was done and notes what was begun. The caller holds the lock.
func (s *Server) settle(done []model.Completion, begun []model.Request) {
	for _, r := range begun {
		p := s.pending[r.ID]
		if p == nil {
			continue
		}
		p.execution.At = s.fleet.at(time.Now())
		s.started++
		s.fleet.workStarted.Add(int64(r.Work * 1000))
		s.fleet.recordExecution(p.execution)
	}
	for _, d := range done {
		p := s.pending[d.Request.ID]
		if p == nil {
			continue
		}
		delete(s.pending, d.Request.ID)
		a := result{status: fasthttp.StatusOK}
		if p.fails {
			a.status = fasthttp.StatusInternalServerError
		}
		p.done <- a
	}
}

func (s *Server) wakeWorker() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// work advances the model whenever something is due.
func (s *Server) work() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		wait := time.Hour
		if s.model != nil {
			s.pod.mu.Lock()
			done := s.model.Advance(s.fleet.now())
			begun := s.model.TakeStarted()
			at, ok := s.model.NextCompletion()
			s.pod.mu.Unlock()
			s.settle(done, begun)
			if ok {
				wait = max(0, time.Duration((at-s.fleet.now())*float64(time.Millisecond)))
			}
		}
		s.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.closed:
			return
		}
	}
}

// member is the server's entry in one node's list.
func (s *Server) member(node int) Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(node)
}

func (s *Server) entry(node int) Member {
	return Member{ID: s.id, HostPort: s.addrs[node], Locality: s.fleet.scenario.ZoneOf(s.index), Flavor: "lab",
		Cell: s.fleet.scenario.PodOf(s.index), Phase: s.phase, Size: 1, UpSince: s.upSince}
}

func (s *Server) load() ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	return ServerLoad{ID: s.id, InFlight: s.model.InFlight(), WarmupFactor: s.model.WarmupFactor(s.fleet.now()), Slow: s.model.Slow(),
		Serving: len(s.listeners) > 0 && s.phase == phaseServing, Started: s.started}
}

// fail loses the process: its connections are reset and new ones refused. The caller holds the lock.
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

// apply carries out a fault at this server, or ends it.
func (s *Server) apply(e scenario.Event) error {
	switch e.Kind {
	case "crash":
		if e.Ends {
			return s.restart(e.Fault.NewID)
		}
		s.crash()
	case "cold-return":
		s.crash()
		return s.restart(e.Fault.NewID)
	case "drain":
		if e.Ends {
			s.crash()
			return s.restart(e.Fault.NewID)
		}
		s.drain()
	case "servers-stall":
		s.fleet.recordStall(s.name(), e.Ends)
		for _, l := range s.fleet.links[s.index] { // the server's end is the wrapped one: up is what it reads
			ApplyStall(l, e, netfault.In, netfault.Out)
		}
	case "servers-reset":
		if !e.Ends {
			s.reset()
		}
	default:
		s.degrade(e)
	}
	return nil
}

// reset breaks all connections of a process that goes on.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// Mute begins or ends a stall on a link, in the direction that the fault names.
func ApplyStall(l *netfault.Link, e scenario.Event, up, down netfault.Direction) {
	if e.Fault.Direction != "down" {
		l.StallDirection(up, !e.Ends)
	}
	if e.Fault.Direction != "up" {
		l.StallDirection(down, !e.Ends)
	}
}

// ail carries out a fault after which the process goes on.
func (s *Server) degrade(e scenario.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	switch e.Kind {
	case "vanish", "hang":
		s.unresponsive = e.Kind == "vanish" && !e.Ends
		s.model.SetSuspended(s.fleet.now(), !e.Ends)
	case "slow":
		times := e.Fault.Factor
		if e.Ends {
			times = 1
		}
		s.model.SetSlowdown(times)
	case "errors":
		s.errorShare = e.Fault.Share
		if e.Ends {
			s.errorShare = 0
		}
	case "reports-off":
		s.hidesReports = !e.Ends
	}
	s.wakeWorker()
}

// crash ends the process. The list tells so after its delay.
func (s *Server) crash() {
	s.mu.Lock()
	s.pod.mu.Lock()
	s.model.Crash()
	s.pod.mu.Unlock()
	s.dropProcess()
	s.phase = phaseGone
	s.mu.Unlock()
	s.fleet.announce(s)
}

// comeBack starts a new, cold process, under the old id or a new one. Where two faults overlapped it may be there already.
func (s *Server) restart(newID bool) error {
	s.mu.Lock()
	if len(s.listeners) > 0 {
		s.mu.Unlock()
		return nil
	}
	s.incarnation++
	if newID {
		s.id = fmt.Sprintf("s%03d-%d", s.index, s.incarnation)
	}
	s.mu.Unlock()
	if err := s.open(s.fleet.now()); err != nil {
		return err
	}
	s.fleet.announce(s)
	return nil
}

// drain lets the server finish what it has. It turns away what still comes, from the moment that it is listed so.
func (s *Server) drain() {
	s.mu.Lock()
	s.phase = phaseDraining
	s.mu.Unlock()
	s.fleet.announce(s)
}

// tryID is the lab's own id of a try. Over CoAP the node makes the request's id, and the lab's goes in the query.
func attemptID(req *fasthttp.Request) string {
	if id := req.URI().QueryArgs().Peek("try"); len(id) > 0 {
		return string(id)
	}
	return string(req.Header.Peek("X-Request-Id"))
}

// OpOf is the operation in a request's id: the lab's ids are operation and try, in hexadecimal.
func OperationOf(id string) (int, bool) {
	if len(id) < 13 {
		return 0, false
	}
	n, err := strconv.ParseInt(id[:12], 16, 64)
	return int(n), err == nil
}

// ID is the id of an operation's try.
func AttemptID(op, try int) string { return fmt.Sprintf("%012x%04x", op, try) }
