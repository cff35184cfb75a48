package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

// askServer sends one request to a server's first address.
func askServer(t *testing.T, address, id string) *http.Response {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET /look HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nX-Class: look\r\n\r\n", id); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response
}

// A stand-in server that drains rejects new work as one that has not run, as docs/lab.md says and a real one does; one that served on would
// hide a node that sends to it too late. Back after the drain it serves again.
func TestDrainingServerRejectsNewWork(t *testing.T) {
	s, err := scenario.Load("../scenarios/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	speeds := make([]float64, s.Fleet.Servers)
	for i := range speeds {
		speeds[i] = 1
	}
	f, err := New(s, speeds, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	drain := scenario.Event{Kind: scenario.FaultDrain, Fault: scenario.Fault{Kind: scenario.FaultDrain}}
	end := drain
	end.Ends = true
	drained := f.servers[0]
	if got := askServer(t, drained.addrs[0], AttemptID(1, 0)); got.StatusCode != http.StatusOK {
		t.Fatalf("before the drain: %d", got.StatusCode)
	}
	if err := drained.apply(drain); err != nil {
		t.Fatal(err)
	}
	if got := askServer(t, drained.addrs[0], AttemptID(2, 0)); got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("X-Not-Run") != "1" {
		t.Errorf("draining: %d, X-Not-Run %q", got.StatusCode, got.Header.Get("X-Not-Run"))
	}
	if err := drained.apply(end); err != nil {
		t.Fatal(err)
	}
	if got := askServer(t, drained.addrs[0], AttemptID(3, 0)); got.StatusCode != http.StatusOK {
		t.Errorf("after the drain: %d", got.StatusCode)
	}
}
