package main

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// maxCloseTime is the platform's limit of 3 s for closing a stalled connection, plus 1 s for a busy machine. The node
// itself closes such a connection after 2.7 s.
const maxCloseTime = 4 * time.Second

// Clients send nothing, a part of a request, or more than the node reads. Each must get an error response or a closed
// connection within the platform's limit of 3 s, while a client that sends a complete request is served.
func TestStalledClientsAreClosedInTime(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	bill := request("bill", 1000)
	began := time.Now()
	stalled := map[string]*client{}
	for name, raw := range map[string]string{
		"silent": "", "half a line": "GET /lo", "half a head": bill[:60], "half a body": bill[:len(bill)-3],
		"endless chunk": strings.Replace(bill, "Content-Length: 9", "Transfer-Encoding: chunked", 1)[:len(bill)-5] + "\r\n5\r\nab",
	} {
		c := p.connect()
		c.write(raw)
		stalled[name] = c
	}
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
		t.Errorf("client with a complete request: status %d, want 200", resp.status)
	}
	for name, c := range stalled {
		resp, err := c.read()
		if took := time.Since(began); took > maxCloseTime {
			t.Errorf("%s: response or close after %v, want at most %v", name, took, maxCloseTime)
		}
		if err == nil && (resp.status < 400 || !resp.closesConn) {
			t.Errorf("%s: status %d, closes connection %v, want a status of at least 400 and true", name, resp.status, resp.closesConn)
		}
	}
	flood := p.connect()
	flood.write(strings.Repeat(strings.Replace(bill, "X-Class: bill", "X-Class: none", 1), 300))
	if resp, err := flood.read(); err != nil || resp.status != 400 || !resp.closesConn {
		t.Errorf("300 requests of an unknown class: got %+v, %v, want status 400 and a close", resp, err)
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("%d requests at the server, want 1 (from the client with a complete request)", n)
	}
}

// A client keeps its connection open after a response. The node must close the idle connection, but not before the 2 s
// that the platform guarantees.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write(request("look", 1000))
	if resp, err := c.read(); err != nil || resp.status != 200 {
		t.Fatalf("got %+v, %v, want status 200", resp, err)
	}
	began := time.Now()
	if _, err := c.read(); err == nil || time.Since(began) < 2*time.Second || time.Since(began) > 2*maxCloseTime {
		t.Errorf("read returned %v after %v, want an error after 2 s to %v", err, time.Since(began), 2*maxCloseTime)
	}
}

// Clients disconnect in the middle of a request, by a reset or a close, or before any request. Each end of a connection
// must be counted under exactly one code.
func TestDisconnectBeforeCompleteRequestIsCountedOnce(t *testing.T) {
	p := startNode(t, nodeOptions{discovery: freeAddress(t)})
	observer := p.connect()
	before, _ := p.countsOn(observer)
	reset := p.connect()
	reset.write("GET /lo")
	eventually(t, "the connection in the counters", func() bool {
		got, _ := p.countsOn(observer)
		return got.Clients["opened"] > before.Clients["opened"]
	})
	_ = reset.Conn.(*net.TCPConn).SetLinger(0)
	_ = reset.Close()
	partial := p.connect()
	partial.write("GET /lo")
	_ = partial.Close()
	silent := p.connect()
	_ = silent.Close()
	eventually(t, "three counted ends of connections", func() bool {
		got, _ := p.countsOn(observer)
		n := 0
		for _, code := range []string{"client_reset", "client_cut", "client_closed", "bad_request"} {
			n += got.ClientEnds[code] - before.ClientEnds[code]
		}
		return n == 3
	})
}

// A client requests that the connection be closed, sends more than the node reads, and has not yet read most of its
// response. A reset would discard the rest of the response, so the node must close the connection gracefully.
func TestResponseSurvivesUnreadInput(t *testing.T) {
	const bodySize = 60_000
	s := startBackend(t, "s1", respond(200, strings.Repeat("x", bodySize)))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(8192); err != nil { // most of the response stays in the node's send buffer
		t.Fatal(err)
	}
	before := p.counts().ClientEnds["client_asked"]
	c.write(request("look", 1000, "Connection: close") + strings.Repeat("more", 2_500))
	eventually(t, "the node to close the connection", func() bool { return p.counts().ClientEnds["client_asked"] > before })
	if resp, err := c.read(); err != nil || resp.status != 200 || len(resp.body) != bodySize {
		t.Fatalf("got status %d, %d bytes, %v, want 200, %d bytes", resp.status, len(resp.body), err, bodySize)
	}
}

// A client sends a part of a request head and stops. It must get 408 or a closed connection, and no server may get a request.
func TestPartialHeadTimesOut(t *testing.T) {
	t.Parallel()
	s := startBackend(t, "s1", respond(200, "done"))
	p, _ := startWithBackends(t, "", s)
	c := p.connect()
	c.write("GET /look HT")
	if resp, err := c.read(); err != nil && err != io.ErrUnexpectedEOF || err == nil && resp.status != 408 {
		t.Errorf("got %+v, %v, want status 408 or an unexpected EOF", resp, err)
	}
	if n := len(s.requests()); n != 0 {
		t.Errorf("%d requests at the server after a partial head, want 0", n)
	}
}

// A client takes two seconds to send one request. The request must be served.
func TestSlowRequestIsServed(t *testing.T) {
	p, _ := startWithLargeBodies(t, respond(200, "done"))
	c := p.connect()
	raw := request("store", 1400)
	for i := range 8 { // the sleep makes the request slow, which is the condition under test
		c.write(raw[i*len(raw)/8 : (i+1)*len(raw)/8])
		time.Sleep(240 * time.Millisecond)
	}
	if resp, err := c.read(); err != nil || resp.status != 200 {
		t.Errorf("got status %d, %v, want 200", resp.status, err)
	}
}
