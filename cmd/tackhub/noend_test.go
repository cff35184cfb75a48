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

// untold is the head of an answer whose end only the connection's end tells.
const untold = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// cutShort writes a part of an answer and resets the connection, once the gate is closed where there is one.
func cutShort(part string, gate <-chan struct{}) reply {
	return func(c net.Conn, g got) bool {
		_, _ = io.WriteString(c, part)
		if gate != nil {
			<-gate
		}
		return reset(c, g)
	}
}

// TestAResetIsNoEnd: an answer with no length is whole where its server ends its sending, and cut short where the connection
// is reset. The kernel tells of a reset once, and of an end from then on.
func TestAResetIsNoEnd(t *testing.T) {
	for name, part := range map[string]string{
		"behind the head":      untold,
		"behind a few bytes":   untold + "half an ans",
		"behind a large piece": untold + string(large(200<<10)),
		"within a chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\nhalf",
		"between chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"before a length":      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf",
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" to HTTP/"+version, func(t *testing.T) {
				s := startServer(t, "s1", cutShort(part, nil))
				p, _ := startWith(t, "", s)
				a, err := p.ask(strings.Replace(request("bill", 1400), "HTTP/1.1", "HTTP/"+version, 1))
				if err == nil && a.status != 502 {
					t.Errorf("%d with %d bytes passed for whole", a.status, len(a.body))
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

// TestAResetIsTriedAgainWhereHarmless: what is cut short before anything of it was passed on is had from another server.
func TestAResetIsTriedAgainWhereHarmless(t *testing.T) {
	bad := startServer(t, "s1", cutShort(untold+"half an ans", nil))
	good := startServer(t, "s2", func(c net.Conn, _ got) bool {
		_, _ = io.WriteString(c, untold+"a whole answer")
		return false
	})
	p, _ := startWith(t, "", bad, good)
	for len(bad.requests()) == 0 {
		if a := p.mustAsk(request("look", 1400)); a.status != 200 || a.body != "a whole answer" {
			t.Errorf("%d %q", a.status, a.body)
		}
	}
}

// TestAResetOfWhatIsPassedOnShows: the client has the first bytes when its answer is cut short. It must be able to tell, and
// nothing more may come on its connection.
func TestAResetOfWhatIsPassedOnShows(t *testing.T) {
	for name, part := range map[string]string{
		"no length": untold + "half an ans",
		"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhalf an ans\r\n",
		"length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nhalf an ans", 100<<10),
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" to HTTP/"+version, func(t *testing.T) {
				gate := make(chan struct{})
				s := startServer(t, "s1", cutShort(part, gate))
				p, _ := startWith(t, "", s)
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

// TestAnAnswerThatStandsStillEndsInTime: the server hangs in the middle of an answer that is passed on already. Its client
// must see within half a second of its deadline that no more comes; it took 5 s. Two seconds leave room for a busy machine.
func TestAnAnswerThatStandsStillEndsInTime(t *testing.T) {
	for name, part := range map[string]string{
		"no length":           untold + "half an ans",
		"chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nhalf an ans\r\n",
		"large, of no length": untold + string(large(200<<10)),
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" to HTTP/"+version, func(t *testing.T) {
				s := startServer(t, "s1", func(c net.Conn, g got) bool {
					_, _ = io.WriteString(c, part)
					return silence(c, g)
				})
				p, _ := startWith(t, "", s)
				c := p.connect()
				began := time.Now()
				c.write(strings.Replace(request("bill", 600), "HTTP/1.1", "HTTP/"+version, 1))
				if a, err := c.read(); err == nil && a.status == 200 {
					t.Errorf("%d bytes passed for whole", len(a.body))
				}
				if took := time.Since(began); took > 2*time.Second {
					t.Errorf("the client was told after %v of its 600 ms", took)
				}
				eventually(t, "one failure", func() bool { return p.counts().Requests["failed"] == 1 })
				eventually(t, "nothing left open", func() bool { return p.counts().Servers["open"] == 0 })
			})
		}
	}
}

// TestALateAnswerThatIsStillGivenIsPassedOn: over 64 KiB the first bytes are timed alone. Cutting such answers off 0.4 s after their
// deadline, or those of untold size at it, lost a hundred requests of one day.
func TestALateAnswerThatIsStillGivenIsPassedOn(t *testing.T) {
	piece := large(1 << 10)
	for name, c := range map[string]struct {
		head   string
		pieces int
		pause  time.Duration // between them: so all ends long after the deadline
	}{
		"of told size, with a long pause":    {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 70<<10), 70, 20 * time.Millisecond},
		"of untold size, a little at a time": {untold, 10, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, "s1", func(conn net.Conn, _ got) bool {
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
			p, _ := startWith(t, "", s)
			if a, err := p.ask(request("bill", 300)); err != nil || a.status != 200 || len(a.body) != c.pieces<<10 {
				t.Errorf("%d, %d bytes of %d, %v", a.status, len(a.body), c.pieces<<10, err)
			}
		})
	}
}
