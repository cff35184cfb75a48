package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request was assigned to a server, and discovery announced the server's drain before the connection was established.
// The request must not be sent to it.
func TestServerDrainDuringConnect(t *testing.T) {
	held, other := startBlockedBackend(t, "s1", respond(200, "late")), startBackend(t, "s2", respond(200, "done"))
	p, d := startWithBackends(t, longConnectTimeout(), held.backend)
	pending := p.send(request("look", 1500))
	eventually(t, "attempt", func() bool { return p.counts().Attempts["open"] == 1 })
	drains := held.member()
	drains.Phase = "DRAINING"
	before := p.counts().List["delta"]
	d.announce(drains, other.member())
	eventually(t, "the news", func() bool { return p.counts().List["delta"] > before })
	held.unblock()
	// Its connection may come up so late that it is refused; that is harmless, since nothing of it was written.
	if a := await(t, "the request", pending); a.status != 503 && (a.status != 200 || a.body != "done") {
		t.Errorf("%d %q, want the other server's response or a rejection", a.status, a.body)
	}
	if n := len(held.requests()); n > 0 {
		t.Errorf("%d requests went to a server that drains", n)
	}
}

// Discovery's response to a watch begins and does not end. The node polls again, and follows what it then gets.
func TestDiscoveryResponseStalls(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	l, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	list := func(revision int, servers ...*backend) string {
		raw, err := json.MarshalIndent(map[string]any{"revision": revision, "complete": true, "members": members(servers...)}, "", "\t")
		if err != nil {
			t.Error(err)
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
	}
	stalled := make(chan struct{})
	go func() {
		halves := 0
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					answer := list(1, s1)
					switch from := req.URL.Query().Get("from"); {
					case halves > 0:
						answer = list(2, s2)
					case from != "":
						halves++
						answer = list(2, s2)[:120]
						close(stalled)
					}
					if _, err := c.Write([]byte(answer)); err != nil {
						return
					}
				}
			}()
			<-stalled // so that halves is never touched by two
		}
	}()
	p := startNode(t, nodeOptions{discovery: l.Addr().String(),
		settings: strings.Replace(testSettings, `"cold_from"`, `"must_ask_in_ms":200,"cold_from"`, 1)})
	<-stalled
	eventually(t, "the new list", func() bool { a := p.mustDo(request("look", 1500)); return a.status == 200 && a.body == "two" })
}

// With a subscribed discovery only a poll brings the list. The node polls by itself, also after an outage.
func TestSubscribedDiscovery(t *testing.T) {
	settings := strings.Replace(testSettings, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	settings = strings.Replace(settings, `"cold_from"`, `"must_ask_in_ms":10000,"cold_from"`, 1)
	s := startBackend(t, "s1", respond(200, "done"))
	p, d := startWithBackends(t, settings, s) // its watch says that it has asked
	if a := p.mustDo(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d", a.status)
	}
	full := p.counts().List["full"]
	d.respondWith("nonsense")
	eventually(t, "a failed call", func() bool { return p.counts().List["failed"] > 0 })
	d.respondWith("")
	eventually(t, "asking again", func() bool { return p.counts().List["full"] > full })
	if a := p.mustDo(request("look", 1000)); a.status != 200 {
		t.Errorf("status %d after an outage", a.status)
	}
}

// Discovery announces that a server drains. It gets no new request.
func TestDrainingServerGetsNoNewRequest(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	p, d := startWithBackends(t, "", s1, s2)
	leaving := s1.member()
	leaving.Phase = "DRAINING"
	d.announce(leaving)
	eventually(t, "news", func() bool { return p.counts().List["delta"] == 1 })
	before := len(s1.requests())
	for range 20 {
		if a := p.mustDo(request("look", 1000)); a.body != "two" {
			t.Fatalf("%d %q", a.status, a.body)
		}
	}
	if n := len(s1.requests()); n != before {
		t.Errorf("%d requests to a draining server", n-before)
	}
}

// A server moves to another address and is then removed. Requests follow it, then are rejected at once, and its
// connections are closed.
func TestServerRemovedOrMoved(t *testing.T) {
	s1 := startBackend(t, "s1", respond(200, "one"))
	p, d := startWithBackends(t, "", s1)
	if a := p.mustDo(request("look", 1000)); a.body != "one" {
		t.Fatalf("%d %q", a.status, a.body)
	}
	moved := startBackend(t, "s1", respond(200, "moved"))
	d.announce(moved.member())
	eventually(t, "the move", func() bool { return p.counts().List["delta"] == 1 })
	if a := p.mustDo(request("look", 1000)); a.body != "moved" {
		t.Errorf("%d %q", a.status, a.body)
	}
	d.announce(member{ID: "s1", Phase: "DELETED"})
	eventually(t, "the end", func() bool { return p.counts().List["delta"] == 2 })
	if a := p.mustDo(request("look", 1000)); a.status != 503 || a.took > 500*time.Millisecond {
		t.Errorf("%d after %v with no server, want a rejection at once", a.status, a.took)
	}
	eventually(t, "closed connections", func() bool { return p.counts().Servers["open"] == 0 })
}

// A second server joins that has just started or has been up for long, by discovery's list. A server that is cold for a
// quarter of an hour, at a two-hundredth of its capacity, may get hardly anything.
func TestColdServerGetsFewRequests(t *testing.T) {
	settings := strings.Replace(testSettings, `"cold_from":0.3,"cold_ms":9000`, `"cold_from":0.005,"cold_ms":1e6`, 1)
	const requests = 40
	for name, c := range map[string]struct {
		up          int64
		least, most int
	}{"just started": {time.Now().UnixMilli(), 0, requests / 4}, "long up": {0, requests / 4, requests}} {
		act := func(c net.Conn, g receivedRequest) bool {
			time.Sleep(10 * time.Millisecond) // a server's work, by which the module reckons the budget
			return respond(200, "done")(c, g)
		}
		warm, other := startBackend(t, "s1", act), startBackend(t, "s2", act)
		p, d := startWithBackends(t, settings, warm)
		for range 5 {
			p.mustDo(request("look", 1000))
		}
		m := other.member()
		m.UpSince = c.up
		d.announce(m)
		eventually(t, "news", func() bool { return p.counts().List["delta"] == 1 })
		for range requests {
			if a := p.mustDo(request("look", 1000)); a.status != 200 {
				t.Fatalf("%s: status %d", name, a.status)
			}
		}
		if n := len(other.requests()); n < c.least || n > c.most {
			t.Errorf("%s: %d of %d requests, want %d to %d", name, n, requests, c.least, c.most)
		}
	}
}

// Discovery responds with invalid lists. The last good list stays in force, and a good one is followed again.
func TestInvalidDiscoveryResponsesAreIgnored(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, d := startWithBackends(t, "", s)
	for _, raw := range []string{"not JSON", `{"revision":9}`, `{"revision":9,"complete":true,"members":[]}`,
		`{"revision":9,"complete":true,"members":[{"id":"x","host_port":"1:1"},{"id":"x","host_port":"1:1"}]}`,
		`{"revision":9,"complete":true,"members":[{"id":"x","host_port":"nowhere"}]}`, `[]`} {
		before := p.counts().List["failed"]
		d.respondWith(raw)
		eventually(t, "a rejected response", func() bool { return p.counts().List["failed"] > before })
		if a := p.mustDo(request("look", 1000)); a.status != 200 {
			t.Errorf("status %d after %s", a.status, raw)
		}
	}
	full := p.counts().List["full"]
	d.respondWith("")
	eventually(t, "the list again", func() bool { return p.counts().List["full"] > full })
}
