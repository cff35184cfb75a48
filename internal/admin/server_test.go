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

// startServer runs a server for a test and gives it with its counters.
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
			t.Errorf("%d connections are open after Run", n)
		}
	})
	return s, count
}

// roundTrip sends a request's head on a connection of its own and reads the response.
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
		t.Fatalf("%q: %v", head, err)
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
			t.Errorf("%s: %d, Allow %q, %q; want %d, %q, %q", c.line, status, header.Get("Allow"), body, c.status, c.allow, c.body)
		}
	}
	if n := count.Admin.Calls.Get(); n != 6 {
		t.Errorf("%d answered requests are counted, want 6", n)
	}
	for status, want := range map[string]int64{"503": 1, "405": 2, "404": 1, "400": 1} {
		if n := count.Admin.Refused.Get(status); n != want {
			t.Errorf("%d responses with %s are counted, want %d", n, status, want)
		}
	}
}

// A crowd of connections that send nothing takes every place. An administrator who comes then must be answered all the
// same: the connection that has been silent longest makes way.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	s, count := startServer(t)
	for range MaxConnections {
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	if status, _, _ := roundTrip(t, s, "GET /healthcheck HTTP/1.1\r\nHost: a\r\n\r\n"); status != http.StatusOK {
		t.Errorf("answered %d, want 200", status)
	}
	if n := count.Admin.Evicted.Get(); n != 1 {
		t.Errorf("%d connections were evicted, want 1", n)
	}
}

// Three kinds of connections stay: those that have just come, those whose request has arrived, and all while there is room.
func TestConnectionTable(t *testing.T) {
	var table connectionTable
	old := time.Now().Add(-time.Second)
	connections := make([]*connection, MaxConnections)
	for i := range connections {
		connections[i] = &connection{acceptedAt: old}
		if evicted, added := table.add(connections[i]); evicted != nil || !added {
			t.Fatalf("connection %d: evicted %v, added %v", i, evicted, added)
		}
	}
	table.markRead(connections[0])
	connections[1].acceptedAt = time.Now().Add(time.Hour)
	latest := &connection{acceptedAt: time.Now()}
	if evicted, added := table.add(latest); evicted != connections[2] || added {
		t.Errorf("evicted %p, added %v, want the oldest that is silent, %p", evicted, added, connections[2])
	}
	if evicted, added := table.add(latest); evicted != nil || !added {
		t.Errorf("with a place free: evicted %v, added %v", evicted, added)
	}
	for _, conn := range connections {
		table.markRead(conn)
	}
	if evicted, added := table.add(&connection{acceptedAt: old}); evicted != nil || added {
		t.Errorf("with every request read: evicted %v, added %v", evicted, added)
	}
	table.remove(connections[5])
	table.remove(connections[5]) // a second time changes nothing
	if n := len(table.open); n != MaxConnections-1 {
		t.Errorf("%d connections are left, want %d", n, MaxConnections-1)
	}
}

func TestAddressInUse(t *testing.T) {
	s, _ := startServer(t)
	_, err := Listen(s.Address(), &fakeNode{}, slog.New(slog.NewTextHandler(io.Discard, nil)), &counters.Counters{})
	if err == nil || !strings.HasPrefix(err.Error(), "ROUTER_OPERATOR: ") {
		t.Errorf("error %v, want one that names ROUTER_OPERATOR", err)
	}
}
