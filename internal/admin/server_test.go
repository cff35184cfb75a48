package admin

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/counters"
)

// fakeNode is a node that is ready until it is drained.
type fakeNode struct{ draining atomic.Bool }

func (n *fakeNode) Ready() bool   { return !n.draining.Load() }
func (n *fakeNode) Stats() []byte { return []byte(`{"relayed":1}`) }
func (n *fakeNode) Drain()        { n.draining.Store(true) }
func (n *fakeNode) Undrain()      { n.draining.Store(false) }

// startServer runs a server until the test ends, and returns it with its counters.
func startServer(t *testing.T) (*Server, *counters.Counters) {
	t.Helper()
	count := &counters.Counters{}
	s, err := Listen("127.0.0.1:0", &fakeNode{}, slog.New(slog.NewTextHandler(io.Discard, nil)), count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
		if n := count.Admin.Open.Get(); n != 0 {
			t.Errorf("open connections after Run = %d, want 0", n)
		}
	})
	return s, count
}

// roundTrip sends the head of a request on a new connection and returns the response.
func roundTrip(t *testing.T, s *Server, head string) (status int, header http.Header, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response to %q: %v", head, err)
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header, string(read)
}

func TestRoutes(t *testing.T) {
	s, count := startServer(t)
	for _, c := range []struct {
		line   string
		status int
		allow  string
		body   string
	}{
		{"GET /healthcheck", http.StatusOK, "", ""},
		{"GET /stats", http.StatusOK, "", `{"relayed":1}`},
		{"PUT /healthcheck/fail", http.StatusOK, "", ""},
		{"GET /healthcheck", http.StatusServiceUnavailable, "", ""},
		{"PUT /healthcheck/fail", http.StatusOK, "", ""},
		{"PUT /healthcheck/ok", http.StatusOK, "", ""},
		{"GET /healthcheck", http.StatusOK, "", ""},
		{"POST /stats", http.StatusMethodNotAllowed, "GET", ""},
		{"GET /healthcheck/ok", http.StatusMethodNotAllowed, "PUT", ""},
		{"GET /other", http.StatusNotFound, "", ""},
		{"nonsense", http.StatusBadRequest, "", ""},
	} {
		head := c.line + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
		if c.line == "nonsense" {
			head = "nonsense\r\n\r\n"
		}
		status, header, body := roundTrip(t, s, head)
		if status != c.status || header.Get("Allow") != c.allow || c.body != "" && body != c.body {
			t.Errorf("%s: got %d, Allow %q, body %q; want %d, %q, %q", c.line, status, header.Get("Allow"), body, c.status, c.allow, c.body)
		}
	}
	if n := count.Admin.Calls.Get(); n != 6 {
		t.Errorf("counted 2xx responses = %d, want 6", n)
	}
	for status, want := range map[string]int64{"503": 1, "405": 2, "404": 1, "400": 1} {
		if n := count.Admin.Refused.Get(status); n != want {
			t.Errorf("counted responses with status %s = %d, want %d", status, n, want)
		}
	}
}

// Guards against idle connections that block the listener: if connections without a request fill the table, a new connection
// evicts the oldest of them and is answered.
func TestIdleConnectionIsEvictedAtLimit(t *testing.T) {
	s, count := startServer(t)
	for range MaxConnections {
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	if status, _, _ := roundTrip(t, s, "GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n"); status != http.StatusOK {
		t.Errorf("status = %d, want 200", status)
	}
	if n := count.Admin.Evicted.Get(); n != 1 {
		t.Errorf("evicted connections = %d, want 1", n)
	}
}

// Three kinds of connections must not be evicted: those just accepted, those whose request has arrived, and all connections while
// the table is not full.
func TestConnectionTableEvictsOldestIdleConnection(t *testing.T) {
	var table connectionTable
	old := time.Now().Add(-time.Second)
	connections := make([]*connection, MaxConnections)
	for i := range connections {
		connections[i] = &connection{acceptedAt: old}
		if evicted, added := table.add(connections[i]); evicted != nil || !added {
			t.Fatalf("connection %d: evicted %v, added %v, want nil, true", i, evicted, added)
		}
	}
	table.markRead(connections[0])
	connections[1].acceptedAt = time.Now().Add(time.Hour)
	latest := &connection{acceptedAt: time.Now()}
	if evicted, added := table.add(latest); evicted != connections[2] || added {
		t.Errorf("evicted %p, added %v, want evicted %p (the oldest idle connection), added false", evicted, added, connections[2])
	}
	if evicted, added := table.add(latest); evicted != nil || !added {
		t.Errorf("after an eviction: evicted %v, added %v, want nil, true", evicted, added)
	}
	for _, conn := range connections {
		table.markRead(conn)
	}
	if evicted, added := table.add(&connection{acceptedAt: old}); evicted != nil || added {
		t.Errorf("with every request read: evicted %v, added %v, want nil, false", evicted, added)
	}
	table.remove(connections[5])
	table.remove(connections[5]) // a second call changes nothing
	if n := len(table.open); n != MaxConnections-1 {
		t.Errorf("open connections = %d, want %d", n, MaxConnections-1)
	}
}

func TestListenOnAddressInUse(t *testing.T) {
	s, _ := startServer(t)
	_, err := Listen(s.Address(), &fakeNode{}, slog.New(slog.NewTextHandler(io.Discard, nil)), &counters.Counters{})
	if err == nil || !strings.HasPrefix(err.Error(), "ROUTER_OPERATOR: ") {
		t.Errorf("Listen() error = %v, want one that begins with ROUTER_OPERATOR", err)
	}
}
