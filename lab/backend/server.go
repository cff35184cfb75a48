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
const answerTail = "&stills=0123456789abcdef0123456789abcdef"

// Server is one stand-in server over all its lives.
type Server struct {
	f     *Fleet
	index int
	speed float64
	pod   *pod
	wake  chan struct{} // the model's next end may have moved

	mu       sync.Mutex // before the pod's
	life     int        // 0 for the first process, one more for each start
	id       string
	phase    string
	upSince  int64 // Unix milliseconds; 0: long ago
	model    *model.Server
	listens  []*net.TCPListener
	packets  []net.PacketConn // of its CoAP side
	addrs    []string         // by node; kept over restarts
	conns    map[net.Conn]struct{}
	open1    int // connections open
	pending  map[uint64]*pending
	next     uint64
	failing  float64 // share of requests that end with an error
	mute     bool    // answers carry no report
	vanished bool    // nothing that comes is read, nothing is answered
	begun    int64
	host     string
	rng      *rand.Rand
	ended    chan struct{}
}

// pending is a request in hand with what its answer needs.
type pending struct {
	done   chan answer
	try    audit.Run
	broken bool
}

type answer struct {
	status int
	notRun bool
	gone   bool // the process died: no answer
}

func newServer(f *Fleet, index int, speed float64) *Server {
	s := &Server{f: f, index: index, speed: speed, pod: f.pods[f.s.PodOf(index)], wake: make(chan struct{}, 1),
		addrs: make([]string, f.s.Nodes.Count), pending: map[uint64]*pending{}, conns: map[net.Conn]struct{}{},
		host: loopback.Next(), rng: rand.New(rand.NewPCG(f.s.Seed, uint64(1000+index))), ended: make(chan struct{})}
	go s.work()
	return s
}

// open starts a process of the server: math.Inf(-1) for a warm one, else the run's time of its start.
func (s *Server) open(started model.Millis) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fl := s.f.s.Fleet
	s.pod.mu.Lock()
	s.model = model.NewServer(model.Params{Cores: fl.Cores, Speed: s.speed, QueueMax: fl.QueueMax,
		CrowdDepth: fl.CrowdDepth, CrowdFor: millis(fl.CrowdFor), SlowTimes: fl.SlowTimes, RestFor: millis(fl.RestFor),
		ColdFrom: fl.ColdFrom, ColdFor: millis(fl.ColdFor), FallMultiple: fl.FallMultiple, FallFor: millis(fl.FallFor),
	}, s.pod.model, started)
	s.pod.mu.Unlock()
	s.upSince, s.phase, s.vanished, s.failing = 0, phaseServing, false, 0
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
	s.listens = append(s.listens, t)
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
		if s.open1 >= s.f.s.Fleet.ConnMax*len(s.addrs) {
			s.mu.Unlock()
			_ = c.SetLinger(0)
			_ = c.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.open1++
		s.mu.Unlock()
		go s.serve(c, node)
	}
}

func (s *Server) serve(raw *net.TCPConn, node int) {
	var c net.Conn = raw
	if l := s.f.links[s.index][node]; l != nil {
		c = l.Wrap(raw)
	}
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, raw)
		s.open1--
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
		s.stand()
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
func (s *Server) stand() {
	for {
		s.mu.Lock()
		gone := s.vanished
		s.mu.Unlock()
		if !gone {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-s.ended:
			return
		}
	}
}

// answer acts on one request; false where the connection breaks instead.
func (s *Server) answer(req *fasthttp.Request, resp *fasthttp.Response, node int, fresh bool, first time.Time) bool {
	switch path := string(req.URI().Path()); {
	case s.f.s.Fleet.Probes && (path == "/ping" || path == "/_load"):
		resp.SetBodyString(s.report())
		return true
	case path == "/ping" || path == "/_load":
		resp.SetStatusCode(fasthttp.StatusNotFound)
		return true
	}
	a := s.do(req, node, fresh, first)
	if a.gone {
		return false
	}
	resp.SetStatusCode(a.status)
	if a.notRun {
		resp.Header.Set("X-Not-Run", "1")
	}
	if report := s.report(); report != "" {
		resp.Header.Set("X-Load", report)
	}
	if a.status == fasthttp.StatusOK {
		resp.SetBodyString("id=" + tryID(req) + "&server=" + s.name() + answerTail)
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
	if !s.f.s.Fleet.Reports || s.mute {
		return ""
	}
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	n, waits := s.model.InHand(), s.model.Waiting()
	util := float64(n-waits) / float64(s.f.s.Fleet.Cores)
	return "TEXT inflight=" + strconv.Itoa(n) + ", queue=" + strconv.Itoa(waits) + ", util=" + strconv.FormatFloat(util, 'f', 2, 64)
}

// do offers a request to the model and waits for what becomes of it.
func (s *Server) do(req *fasthttp.Request, node int, fresh bool, first time.Time) answer {
	id := tryID(req)
	op, ok := OpOf(id)
	if !ok {
		return answer{status: fasthttp.StatusNotFound}
	}
	us, _ := strconv.Atoi(string(req.URI().QueryArgs().Peek("w")))
	work := float64(us) / 1000
	if fresh {
		work += millis(s.f.s.Fleet.ConnCost)
	}
	s.mu.Lock()
	deadline, _ := strconv.Atoi(string(req.Header.Peek("X-Deadline-Ms")))
	s.f.received(audit.Receipt{ID: id, Node: node, Server: s.id, At: s.f.at(first), Deadline: time.Duration(deadline) * time.Millisecond})
	s.next++
	p := &pending{done: make(chan answer, 1), broken: s.rng.Float64() < s.failing,
		try: audit.Run{ID: id, Op: op, Effect: s.f.effects[string(req.Header.Peek("X-Class"))], Server: s.id, Pod: s.f.s.PodOf(s.index)}}
	r := model.Request{ID: s.next, Work: work, Key: string(req.Header.Peek("Idempotency-Key"))}
	s.pending[r.ID] = p
	v := s.offer(r)
	if v != model.Taken {
		delete(s.pending, r.ID)
	}
	s.mu.Unlock()
	switch v {
	case model.Taken:
	case model.Repeat:
		return answer{status: fasthttp.StatusOK}
	case model.Down:
		return answer{gone: true}
	default:
		return answer{status: fasthttp.StatusServiceUnavailable, notRun: true}
	}
	s.poke()
	return <-p.done
}

// offer puts a request before the model and takes what it says. The caller holds the lock.
func (s *Server) offer(r model.Request) model.Verdict {
	s.pod.mu.Lock()
	now := s.f.now()
	done := s.model.Advance(now)
	fell := s.model.Fell()
	v := s.model.Arrive(now, r)
	begun := s.model.TakeBegun()
	pushed := s.model.Fell() && !fell
	s.pod.mu.Unlock()
	s.settle(done, begun)
	if pushed {
		s.f.fell(audit.Fall{Server: s.id, At: s.f.at(time.Now())})
		s.fail()
		s.phase = phaseGone
		go s.f.changed(s)
	}
	return v
}

// settle answers what was done and notes what was begun. The caller holds the lock.
func (s *Server) settle(done []model.Done, begun []model.Request) {
	for _, r := range begun {
		p := s.pending[r.ID]
		if p == nil {
			continue
		}
		p.try.At = s.f.at(time.Now())
		s.begun++
		s.f.work.Add(int64(r.Work * 1000))
		s.f.ran(p.try)
	}
	for _, d := range done {
		p := s.pending[d.Request.ID]
		if p == nil {
			continue
		}
		delete(s.pending, d.Request.ID)
		a := answer{status: fasthttp.StatusOK}
		if p.broken {
			a.status = fasthttp.StatusInternalServerError
		}
		p.done <- a
	}
}

func (s *Server) poke() {
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
			done := s.model.Advance(s.f.now())
			begun := s.model.TakeBegun()
			at, ok := s.model.Next()
			s.pod.mu.Unlock()
			s.settle(done, begun)
			if ok {
				wait = max(0, time.Duration((at-s.f.now())*float64(time.Millisecond)))
			}
		}
		s.mu.Unlock()
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.ended:
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
	return Member{ID: s.id, HostPort: s.addrs[node], Locality: s.f.s.ZoneOf(s.index), Flavor: "lab",
		Cell: s.f.s.PodOf(s.index), Phase: s.phase, Size: 1, UpSince: s.upSince}
}

func (s *Server) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	return Load{ID: s.id, InHand: s.model.InHand(), Warmth: s.model.Warmth(s.f.now()), Slow: s.model.Slow(),
		Serving: len(s.listens) > 0 && s.phase == phaseServing, Begun: s.begun}
}

// fail loses the process: its connections are reset and new ones refused. The caller holds the lock.
func (s *Server) fail() {
	for _, l := range s.listens {
		_ = l.Close()
	}
	for _, p := range s.packets {
		_ = p.Close()
	}
	s.listens, s.packets = nil, nil
	for _, p := range s.pending {
		p.done <- answer{gone: true}
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
	s.fail()
	close(s.ended)
}

// apply carries out a fault at this server, or ends it.
func (s *Server) apply(e scenario.Event) error {
	switch e.Kind {
	case "crash":
		if e.Ends {
			return s.comeBack(e.Fault.NewID)
		}
		s.crash()
	case "cold-return":
		s.crash()
		return s.comeBack(e.Fault.NewID)
	case "drain":
		if e.Ends {
			s.crash()
			return s.comeBack(e.Fault.NewID)
		}
		s.drain()
	case "servers-stall":
		s.f.stalled(s.name(), e.Ends)
		for _, l := range s.f.links[s.index] { // the server's end is the wrapped one: up is what it reads
			Mute(l, e, netfault.In, netfault.Out)
		}
	case "servers-reset":
		if !e.Ends {
			s.reset()
		}
	default:
		s.ail(e)
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
func Mute(l *netfault.Link, e scenario.Event, up, down netfault.Direction) {
	if e.Fault.Way != "down" {
		l.Mute(up, !e.Ends)
	}
	if e.Fault.Way != "up" {
		l.Mute(down, !e.Ends)
	}
}

// ail carries out a fault after which the process goes on.
func (s *Server) ail(e scenario.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pod.mu.Lock()
	defer s.pod.mu.Unlock()
	switch e.Kind {
	case "vanish", "hang":
		s.vanished = e.Kind == "vanish" && !e.Ends
		s.model.Halt(s.f.now(), !e.Ends)
	case "slow":
		times := e.Fault.Times
		if e.Ends {
			times = 1
		}
		s.model.SlowBy(times)
	case "errors":
		s.failing = e.Fault.Share
		if e.Ends {
			s.failing = 0
		}
	case "reports-off":
		s.mute = !e.Ends
	}
	s.poke()
}

// crash ends the process. The list tells so after its delay.
func (s *Server) crash() {
	s.mu.Lock()
	s.pod.mu.Lock()
	s.model.Crash()
	s.pod.mu.Unlock()
	s.fail()
	s.phase = phaseGone
	s.mu.Unlock()
	s.f.changed(s)
}

// comeBack starts a new, cold process, under the old id or a new one. Where two faults overlapped it may be there already.
func (s *Server) comeBack(newID bool) error {
	s.mu.Lock()
	if len(s.listens) > 0 {
		s.mu.Unlock()
		return nil
	}
	s.life++
	if newID {
		s.id = fmt.Sprintf("s%03d-%d", s.index, s.life)
	}
	s.mu.Unlock()
	if err := s.open(s.f.now()); err != nil {
		return err
	}
	s.f.changed(s)
	return nil
}

// drain lets the server finish what it has. It turns away what still comes, from the moment that it is listed so.
func (s *Server) drain() {
	s.mu.Lock()
	s.phase = phaseDraining
	s.mu.Unlock()
	s.f.changed(s)
}

// tryID is the lab's own id of a try. Over CoAP the node makes the request's id, and the lab's goes in the query.
func tryID(req *fasthttp.Request) string {
	if id := req.URI().QueryArgs().Peek("try"); len(id) > 0 {
		return string(id)
	}
	return string(req.Header.Peek("X-Request-Id"))
}

// OpOf is the operation in a request's id: the lab's ids are operation and try, in hexadecimal.
func OpOf(id string) (int, bool) {
	if len(id) < 13 {
		return 0, false
	}
	n, err := strconv.ParseInt(id[:12], 16, 64)
	return int(n), err == nil
}

// ID is the id of an operation's try.
func ID(op, try int) string { return fmt.Sprintf("%012x%04x", op, try) }
