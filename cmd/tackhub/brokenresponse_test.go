package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// headWithoutLength begins a response whose end is the connection's end.
const headWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// respondThenReset writes a part of a response and resets the connection, once the gate is closed where there is one.
func respondThenReset(part string, gate <-chan struct{}) behavior {
	return func(c net.Conn, g receivedRequest) bool {
		_, _ = io.WriteString(c, part)
		if gate != nil {
			<-gate
		}
		return resetConn(c, g)
	}
}

// A response without a length ends with its connection, and a reset in its place means that it is cut off. The kernel
// reports a reset once and an end of file from then on, so a second read would take the response for whole.
func TestResetIsNotEndOfResponse(t *testing.T) {
	for name, part := range map[string]string{
		"behind the head":      headWithoutLength,
		"behind a few bytes":   headWithoutLength + "half an ans",
		"behind a large piece": headWithoutLength + string(largeBody(200<<10)),
		"within a chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nhalf",
		"between chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"before a length":      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" to HTTP/"+version, func(t *testing.T) {
				s := startBackend(t, "s1", respondThenReset(part, nil))
				p, _ := startWithBackends(t, "", s)
				a, err := p.do(strings.Replace(request("bill", 1400), "HTTP/1.1", "HTTP/"+version, 1))
				if err == nil && a.status != 502 {
					t.Errorf("%d with %d bytes passed for a whole response", a.status, len(a.body))
				}
				if n := len(s.requests()); n != 1 {
					t.Errorf("%d attempts of what may have run", n)
				}
				eventually(t, "one failure", func() bool { return p.counts().Requests["failed"] == 1 })
				eventually(t, "nothing left open", func() bool { return p.counts().Servers["open"] == 0 })
			})
		}
	}
}

// A server's response is cut off before any of it was forwarded. A safe request is retried on another server.
func TestResetIsRetriedWhereSafe(t *testing.T) {
	bad := startBackend(t, "s1", respondThenReset(headWithoutLength+"half an ans", nil))
	good := startBackend(t, "s2", func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, headWithoutLength+"a whole answer")
		return false
	})
	p, _ := startWithBackends(t, "", bad, good)
	for len(bad.requests()) == 0 {
		if a := p.mustDo(request("look", 1400)); a.status != 200 || a.body != "a whole answer" {
			t.Errorf("%d %q", a.status, a.body)
		}
	}
}

// A response is cut off after its first bytes were forwarded. The client must be able to tell, and nothing more may
// come on its connection.
func TestResetOfStreamedResponseIsVisible(t *testing.T) {
	for name, part := range map[string]string{
		"no length": headWithoutLength + "half an ans",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhalf an ans\r\n",
		"length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nhalf an ans", 100<<10),
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" to HTTP/"+version, func(t *testing.T) {
				gate := make(chan struct{})
				s := startBackend(t, "s1", respondThenReset(part, gate))
				p, _ := startWithBackends(t, "", s)
				c := p.connect()
				c.write(strings.Replace(request("look", 1400), "HTTP/1.1", "HTTP/"+version, 1))
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil {
					t.Fatal(err)
				}
				first := make([]byte, len("half an ans"))
				if _, err := io.ReadFull(resp.Body, first); err != nil || !bytes.Equal(first, []byte("half an ans")) {
					t.Fatalf("%q, %v", first, err)
				}
				close(gate)
				if rest, err := io.ReadAll(resp.Body); err == nil || len(rest) > 0 {
					t.Errorf("cut short behind its first bytes, and the client read %q to an end", rest)
				}
				if n, err := c.r.Read(make([]byte, 1)); n > 0 || err == nil {
					t.Error("something came behind an answer that was cut short")
				}
				eventually(t, "one failure", func() bool { return p.counts().Requests["failed"] == 1 })
				if n := len(s.requests()); n != 1 {
					t.Errorf("%d attempts", n)
				}
			})
		}
	}
}

// A server hangs in the middle of a response that is being forwarded. The client must see within half a second of its
// deadline that no more comes; it once took 5 s. Two seconds leave room for a busy machine.
func TestStalledResponseEndsInTime(t *testing.T) {
	for name, part := range map[string]string{
		"no length":           headWithoutLength + "half an ans",
		"chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhalf an ans\r\n",
		"large, of no length": headWithoutLength + string(largeBody(200<<10)),
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" to HTTP/"+version, func(t *testing.T) {
				s := startBackend(t, "s1", func(c net.Conn, g receivedRequest) bool {
					_, _ = io.WriteString(c, part)
					return neverRespond(c, g)
				})
				p, _ := startWithBackends(t, "", s)
				c := p.connect()
				began := time.Now()
				c.write(strings.Replace(request("bill", 600), "HTTP/1.1", "HTTP/"+version, 1))
				if a, err := c.read(); err == nil && a.status == 200 {
					t.Errorf("%d bytes passed for a whole response", len(a.body))
				}
				if took := time.Since(began); took > 2*time.Second {
					t.Errorf("the client saw the end after %v, with a deadline of 600 ms", took)
				}
				eventually(t, "one failure", func() bool { return p.counts().Requests["failed"] == 1 })
				eventually(t, "nothing left open", func() bool { return p.counts().Servers["open"] == 0 })
			})
		}
	}
}

// For a response above 64 KiB only the first bytes have a deadline. Cutting such responses off 0.4 s after it, or those
// of unknown length at it, once lost a hundred requests in a day.
func TestSlowResponseIsForwardedPastDeadline(t *testing.T) {
	piece := largeBody(1 << 10)
	for name, c := range map[string]struct {
		head   string
		pieces int
		pause  time.Duration // between them: so all ends long after the deadline
	}{
		"of known size, with a long pause":    {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 70<<10), 70, 20 * time.Millisecond},
		"of unknown size, a little at a time": {headWithoutLength, 10, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := startBackend(t, "s1", func(conn net.Conn, _ receivedRequest) bool {
				_, err := io.WriteString(conn, c.head)
				for i := 0; err == nil && i < c.pieces; i++ {
					if i == 1 && c.pieces > 50 {
						time.Sleep(time.Second) // the server's own pace
					}
					_, err = conn.Write(piece)
					time.Sleep(c.pause)
				}
				return false
			})
			p, _ := startWithBackends(t, "", s)
			if a, err := p.do(request("bill", 300)); err != nil || a.status != 200 || len(a.body) != c.pieces<<10 {
				t.Errorf("%d, %d bytes of %d, %v", a.status, len(a.body), c.pieces<<10, err)
			}
		})
	}
}
