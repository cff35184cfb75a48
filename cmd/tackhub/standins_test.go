package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// patience bounds every wait for a condition; only a broken node uses it up.
const patience = 10 * time.Second

// eventually waits for a condition.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("never came: %s", what)
}

// got is one request as a server read it.
type got struct {
	line   string // as it came
	header http.Header
	body   []byte
}

// reply acts on one request; it tells whether the connection goes on.
type reply func(c net.Conn, g got) bool

// server is a small backend: it reads whole requests and acts as it is told.
type server struct {
	id   string
	addr string
	l    net.Listener
	also *server // requests there count as well

	mu     sync.Mutex
	act    reply
	seen   []got
	probes int
	conns  map[net.Conn]bool
	closed atomic.Int64 // connections that the node has closed
}

func startServer(t *testing.T, id string, act reply) *server {
	t.Helper()
	return startServerAt(t, id, "127.0.0.1:0", act)
}

// startServerAt starts it at an address.
func startServerAt(t *testing.T, id, addr string, act reply) *server {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &server{id: id, addr: l.Addr().String(), l: l, act: act, conns: map[net.Conn]bool{}}
	t.Cleanup(s.stop)
	go s.accept()
	return s
}

func (s *server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) stop() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		g, err := readRequest(r)
		if err != nil {
			s.closed.Add(1)
			return
		}
		s.mu.Lock()
		act := s.act
		if path := g.line; path == "GET /_load HTTP/1.1" || path == "GET /ping HTTP/1.1" {
			s.probes++
			act = say(200, "TEXT inflight=0, queue=0, util=0.1")
		} else {
			s.seen = append(s.seen, g)
		}
		s.mu.Unlock()
		if !act(c, g) {
			return
		}
	}
}

// readRequest reads one request and keeps its first line as the bytes that came.
func readRequest(r *bufio.Reader) (got, error) {
	var raw bytes.Buffer
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return got{}, err
		}
		raw.Write(line)
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	line, _, _ := bytes.Cut(raw.Bytes(), []byte("\r\n"))
	g := got{line: string(line)}
	req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(&raw)))
	if err != nil {
		return got{}, err
	}
	g.header = req.Header
	if n, _ := strconv.Atoi(req.Header.Get("Content-Length")); n > 0 {
		g.body = make([]byte, n)
		if _, err := io.ReadFull(r, g.body); err != nil {
			return got{}, err
		}
	}
	return g, nil
}

func (s *server) behave(act reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act = act
}

func (s *server) requests() []got {
	if s.also != nil {
		return append(s.own(), s.also.own()...)
	}
	return s.own()
}

func (s *server) own() []got {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]got(nil), s.seen...)
}

func (s *server) probed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// say answers with a status, further header lines and a body.
func say(status int, body string, header ...string) reply {
	return func(c net.Conn, _ got) bool {
		head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
		for _, h := range header {
			head += h + "\r\n"
		}
		_, err := io.WriteString(c, head+"\r\n"+body)
		return err == nil
	}
}

// reset breaks the connection once the request was read.
func reset(c net.Conn, _ got) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// truncate ends the connection in the middle of an answer.
func truncate(c net.Conn, _ got) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
	return false
}

// garbage answers with what is no answer.
func garbage(c net.Conn, _ got) bool {
	_, _ = io.WriteString(c, "this is not HTTP\r\n\r\n")
	return false
}

// silence says nothing until the node closes the connection.
func silence(c net.Conn, _ got) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// after answers once the gate is closed.
func after(gate <-chan struct{}, then reply) reply {
	return func(c net.Conn, g got) bool {
		<-gate
		return then(c, g)
	}
}

// member is one line of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

func (s *server) member() member {
	return member{ID: s.id, HostPort: s.addr, Locality: "a", Phase: "SERVING", Size: 1}
}

func members(servers ...*server) []member {
	out := []member{}
	for _, s := range servers {
		out = append(out, s.member())
	}
	return out
}

// discovery is a small agent: it gives the whole list, then each change that a test tells.
type discovery struct {
	addr string

	mu       sync.Mutex
	revision int
	list     []member
	delta    []member
	raw      string // answered instead, where set
	changed  chan struct{}
	watches  int
	ends     int // watches that the node has ended
	answered atomic.Int64
}

func startDiscovery(t *testing.T, list []member) *discovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &discovery{addr: l.Addr().String(), revision: 1, list: list, changed: make(chan struct{})}
	srv := &http.Server{Handler: d}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(l) }()
	return d
}

// tell changes entries; the node's watch is answered with them.
func (d *discovery) tell(delta ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.delta = delta
	close(d.changed)
	d.changed = make(chan struct{})
}

// babble makes the agent answer nonsense from now on; "" ends it.
func (d *discovery) babble(raw string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raw = raw
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer d.answered.Add(1)
	from, hold := r.URL.Query().Get("from"), r.URL.Query().Get("hold_ms")
	d.mu.Lock()
	if n, _ := strconv.Atoi(from); from != "" && n == d.revision && d.raw == "" {
		changed, ms := d.changed, 0
		ms, _ = strconv.Atoi(hold)
		d.watches++
		d.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			d.mu.Lock()
			defer d.mu.Unlock()
			d.ends++
			return
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if d.raw != "" {
		_, _ = io.WriteString(w, d.raw)
		return
	}
	out := map[string]any{"revision": d.revision, "complete": from == "", "members": d.list}
	if from != "" {
		out["members"] = d.delta
		if d.delta == nil {
			out["members"] = []member{}
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (d *discovery) watched() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watches
}

// ended is the number of watches that the node has ended.
func (d *discovery) ended() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ends
}
