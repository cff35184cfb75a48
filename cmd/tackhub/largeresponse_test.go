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

// respondInPieces sends a head and half of a body, and the rest once a gate opens, where whole; otherwise it breaks
// off.
func respondInPieces(head string, b []byte, gate <-chan struct{}, whole bool) behavior {
	return func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, head)
		_, _ = c.Write(b[:len(b)/2])
		<-gate
		if !whole {
			return false
		}
		_, err := c.Write(b[len(b)/2:])
		return err == nil && !strings.Contains(head, "close")
	}
}

// A server sends half of a large response and pauses. The client must have that half already, and must be able to tell
// whether the rest came.
func TestLargeResponsesAreStreamed(t *testing.T) {
	b := largeBody(1 << 20)
	for name, head := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(b)),
		"1xx":    fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(b)),
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for _, whole := range []bool{true, false} {
			for _, version := range []string{"1.1", "1.0"} {
				gate := make(chan struct{})
				p, _ := startWithLargeBodies(t, respondInPieces(head, b, gate, whole))
				c := p.connect()
				c.write(strings.Replace(request("look", 1400), "HTTP/1.1", "HTTP/"+version, 1))
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				half := make([]byte, len(b)/2-100)
				if _, err := io.ReadFull(resp.Body, half); err != nil { // before the rest is there
					t.Fatalf("%s: the first half: %v", name, err)
				}
				close(gate)
				rest, err := io.ReadAll(resp.Body)
				got := append(half, rest...)
				switch {
				case whole && (err != nil || !bytes.Equal(got, b)):
					t.Errorf("%s to HTTP/%s: %d of %d bytes, %v", name, version, len(got), len(b), err)
				case !whole && name != "close" && err == nil:
					t.Errorf("%s to HTTP/%s: broke off and the client cannot tell", name, version)
				}
				eventually(t, "no room held", func() bool { f, b := p.bodyCounts(); return f == 0 && b == 0 })
				counts := p.counts()
				if failed := counts.Requests["failed"]; name != "close" && (failed == 1) == whole {
					t.Errorf("%s, whole %v: %d failed", name, whole, failed)
				}
				counts.addUp(t)
			}
		}
	}
}

// Clients do not read their large responses. The servers have to wait, instead of the node buffering what they send.
func TestSlowReadersTakeNoNodeMemory(t *testing.T) {
	b := largeBody(24 << 20) // more than sockets hold
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
	eventually(t, "answers on their way", func() bool { _, n := p.bodyCounts(); return n == len(clients) })
	if kb := residentKB(t, p.cmd.Process.Pid); kb > 64<<10 {
		t.Errorf("%d kB resident with 144 MB on their way", kb)
	}
	for _, c := range clients {
		a, err := c.read()
		if err != nil || len(a.body) != len(b) {
			t.Errorf("%d bytes, %v", len(a.body), err)
		}
	}
}

// A server sends a response of unknown length slowly. The client gets each part when it comes.
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
		t.Errorf("the first pieces: %v", err)
	}
	close(gate)
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) != len(b) {
		t.Errorf("the rest: %d bytes, %v", len(rest), err)
	}
}
