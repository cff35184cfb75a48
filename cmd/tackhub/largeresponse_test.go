package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// respondInPieces sends a head and the first half of a body, and waits until gate is closed. Then it sends the second half if
// complete is set, and closes the connection otherwise.
func respondInPieces(head string, b []byte, gate <-chan struct{}, complete bool) behavior {
	return func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, head)
		_, _ = c.Write(b[:len(b)/2])
		<-gate
		if !complete {
			return false
		}
		_, err := c.Write(b[len(b)/2:])
		return err == nil && !strings.Contains(head, "close")
	}
}

// A server sends half of a large response and pauses. The node must forward that half during the pause. If the server then
// closes the connection, the client's read must fail. The exception is a response without a length, which ends
// regularly when the connection is closed.
func TestLargeResponsesAreStreamed(t *testing.T) {
	b := largeBody(1 << 20)
	for name, head := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(b)),
		"1xx":    fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(b)),
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for _, complete := range []bool{true, false} {
			for _, version := range []string{"1.1", "1.0"} {
				gate := make(chan struct{})
				p, _ := startWithLargeBodies(t, respondInPieces(head, b, gate, complete))
				c := p.connect()
				c.write(strings.Replace(request("look", 1400), "HTTP/1.1", "HTTP/"+version, 1))
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil {
					t.Fatalf("%s: response head: %v", name, err)
				}
				half := make([]byte, len(b)/2-100)
				if _, err := io.ReadFull(resp.Body, half); err != nil { // arrives during the server's pause
					t.Fatalf("%s: first half of the body: %v", name, err)
				}
				close(gate)
				rest, err := io.ReadAll(resp.Body)
				got := append(half, rest...)
				switch {
				case complete && (err != nil || !bytes.Equal(got, b)):
					t.Errorf("%s to HTTP/%s: received %d of %d bytes, %v, want the unchanged body", name, version, len(got), len(b), err)
				case !complete && name != "close" && err == nil:
					t.Errorf("%s to HTTP/%s: no error for a truncated response", name, version)
				}
				eventually(t, "files and buffers to be released", func() bool { f, b := p.bodyCounts(); return f == 0 && b == 0 })
				counts := p.counts()
				if failed := counts.Requests["failed"]; name != "close" && (failed == 1) == complete {
					t.Errorf("%s, complete %v: %d failed requests, want 0 if complete and 1 otherwise", name, complete, failed)
				}
				counts.checkRequestTotals(t)
			}
		}
	}
}

// Clients do not read their large responses. The node must stop reading from the servers instead of buffering the responses.
func TestSlowReadersDoNotGrowNodeMemory(t *testing.T) {
	b := largeBody(24 << 20) // more than the socket buffers hold
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(b))
	p, _ := startWithLargeBodies(t, func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, head)
		_, err := c.Write(b)
		return err == nil
	})
	var clients []*client
	for range 6 {
		c := p.connect()
		c.write(request("look", 1400))
		clients = append(clients, c)
	}
	eventually(t, "six responses in progress", func() bool { _, n := p.bodyCounts(); return n == len(clients) })
	if kb := residentKB(t, p.cmd.Process.Pid); kb > 64<<10 {
		t.Errorf("resident memory = %d kB with 144 MiB of responses in progress, want at most 64 MiB", kb)
	}
	for _, c := range clients {
		resp, err := c.read()
		if err != nil || len(resp.body) != len(b) {
			t.Errorf("received %d bytes, %v, want %d", len(resp.body), err, len(b))
		}
	}
}

// A server sends the first chunk of a response and pauses. The node must forward the chunk during the pause.
func TestChunkedResponseIsNotBuffered(t *testing.T) {
	b, gate := largeBody(8<<10), make(chan struct{})
	p, _ := startWithLargeBodies(t, func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = fmt.Fprintf(c, "2000\r\n%s\r\n", b)
		<-gate
		_, err := fmt.Fprintf(c, "2000\r\n%s\r\n0\r\n\r\n", b)
		return err == nil
	})
	c := p.connect()
	c.write(request("look", 1400))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(b))
	if _, err := io.ReadFull(resp.Body, got); err != nil || !bytes.Equal(got, b) {
		t.Errorf("first chunk: %v, want it unchanged", err)
	}
	close(gate)
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) != len(b) {
		t.Errorf("second chunk: %d bytes, %v, want %d", len(rest), err, len(b))
	}
}
