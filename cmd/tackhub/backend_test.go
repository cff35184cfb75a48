package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// respondRaw returns a behavior that writes text, with %s replaced by the request's id, and keeps the connection
// open.
func respondRaw(text string) behavior {
	return func(c net.Conn, req receivedRequest) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "%s", req.header.Get("X-Request-Id")))
		return err == nil
	}
}

// respondWithID responds with the request's id, so that a test detects a response that belongs to another request.
var respondWithID = respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n%s")

// respondEndlessly announces a body of 3 GB and sends bytes of value 0 until the node closes the connection.
func respondEndlessly(c net.Conn, _ receivedRequest) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
	for chunk := make([]byte, 64<<10); err == nil; {
		_, err = c.Write(chunk)
	}
	return false
}

// receivedRequest is one request as a backend read it.
type receivedRequest struct {
	line   string // the request line, byte for byte
	header http.Header
	body   []byte
}

// behavior responds to one request and reports whether the backend keeps the connection open.
type behavior func(c net.Conn, req receivedRequest) bool

// backend is a small HTTP server for tests. It reads each request completely and calls its behavior to respond. It counts
// load probes and health probes and responds to them without the behavior.
type backend struct {
	id           string
	addr         string
	l            net.Listener
	otherBackend *backend // if not nil, requests also returns the requests that otherBackend received

	mu          sync.Mutex
	behavior    behavior
	received    []receivedRequest
	probes      int
	conns       map[net.Conn]bool
	closedConns atomic.Int64 // connections on which no further complete request could be read
}

// startBackend starts a backend on a free port.
func startBackend(t *testing.T, id string, act behavior) *backend {
	t.Helper()
	return startBackendAt(t, id, "127.0.0.1:0", act)
}

// startBackendAt starts a backend at an address.
func startBackendAt(t *testing.T, id, addr string, act behavior) *backend {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &backend{id: id, addr: l.Addr().String(), l: l, behavior: act, conns: map[net.Conn]bool{}}
	t.Cleanup(s.stop)
	go s.accept()
	return s
}

func (s *backend) accept() {
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

func (s *backend) stop() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := readRequest(r)
		if err != nil {
			s.closedConns.Add(1)
			return
		}
		s.mu.Lock()
		act := s.behavior
		if requestLine := req.line; requestLine == "GET /_load HTTP/1.1" || requestLine == "GET /ping HTTP/1.1" {
			s.probes++
			act = respond(200, "TEXT inflight=0, queue=0, util=0.1")
		} else {
			s.received = append(s.received, req)
		}
		s.mu.Unlock()
		if !act(c, req) {
			return
		}
	}
}

// readRequest reads one request and keeps its request line byte for byte.
func readRequest(r *bufio.Reader) (receivedRequest, error) {
	var raw bytes.Buffer
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return receivedRequest{}, err
		}
		raw.Write(line)
		if len(bytes.TrimSpace(line)) == 0 {
			break
		}
	}
	line, _, _ := bytes.Cut(raw.Bytes(), []byte("\r\n"))
	received := receivedRequest{line: string(line)}
	req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(&raw)))
	if err != nil {
		return receivedRequest{}, err
	}
	received.header = req.Header
	if n, _ := strconv.Atoi(req.Header.Get("Content-Length")); n > 0 {
		received.body = make([]byte, n)
		if _, err := io.ReadFull(r, received.body); err != nil {
			return receivedRequest{}, err
		}
	}
	return received, nil
}

func (s *backend) setBehavior(act behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = act
}

// requests returns the requests that the backend and otherBackend received.
func (s *backend) requests() []receivedRequest {
	if s.otherBackend != nil {
		return append(s.ownRequests(), s.otherBackend.ownRequests()...)
	}
	return s.ownRequests()
}

// ownRequests returns the requests that this backend received.
func (s *backend) ownRequests() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.received...)
}

// probeCount returns the number of load probes and health probes.
func (s *backend) probeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// respond returns a behavior that responds with a status, a body and additional header lines.
func respond(status int, body string, header ...string) behavior {
	return func(c net.Conn, _ receivedRequest) bool {
		head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
		for _, h := range header {
			head += h + "\r\n"
		}
		_, err := io.WriteString(c, head+"\r\n"+body)
		return err == nil
	}
}

// resetConn resets the connection after the request was read.
func resetConn(c net.Conn, _ receivedRequest) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// respondTruncated closes the connection in the middle of a response.
func respondTruncated(c net.Conn, _ receivedRequest) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
	return false
}

// respondGarbage writes bytes that are not HTTP.
func respondGarbage(c net.Conn, _ receivedRequest) bool {
	_, _ = io.WriteString(c, "this is not HTTP\r\n\r\n")
	return false
}

// neverRespond waits until the node closes the connection.
func neverRespond(c net.Conn, _ receivedRequest) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// respondAfter returns a behavior that waits until the channel gate is closed and then responds as act does.
func respondAfter(gate <-chan struct{}, act behavior) behavior {
	return func(c net.Conn, req receivedRequest) bool {
		<-gate
		return act(c, req)
	}
}

// member is one entry of discovery's endpoint list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// member returns the backend's entry for discovery's list.
func (s *backend) member() member {
	return member{ID: s.id, HostPort: s.addr, Locality: "a", Phase: "SERVING", Size: 1}
}

// members returns the backends' entries for discovery's list.
func members(servers ...*backend) []member {
	out := []member{}
	for _, s := range servers {
		out = append(out, s.member())
	}
	return out
}
