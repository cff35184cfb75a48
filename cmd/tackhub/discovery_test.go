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

// A request is assigned to a server, and discovery announces the server's drain before the connection is established.
// The request must not be sent to that server.
func TestServerDrainDuringConnectGetsNoRequest(t *testing.T) {
	draining, other := startBlockedBackend(t, "s1", respond(200, "late")), startBackend(t, "s2", respond(200, "done"))
	p, d := startWithBackends(t, settingsWithLongConnectTimeout(), draining.backend)
	pending := p.send(request("look", 1500))
	eventually(t, "an open attempt", func() bool { return p.counts().Attempts["open"] == 1 })
	entry := draining.member()
	entry.Phase = "DRAINING"
	before := p.counts().List["delta"]
	d.announce(entry, other.member())
	eventually(t, "the changed list", func() bool { return p.counts().List["delta"] > before })
	draining.unblock()
	// The connection may be established so late that the request is rejected. That is harmless: nothing was written.
	if resp := await(t, "the request", pending); resp.status != 503 && (resp.status != 200 || resp.body != "done") {
		t.Errorf("got %d %q, want 200 \"done\" from the other server or 503", resp.status, resp.body)
	}
	if n := len(draining.requests()); n > 0 {
		t.Errorf("got %d requests at the draining server, want 0", n)
	}
}

// Discovery sends only the beginning of its response to a watch. The node must poll again and apply the list that it
// then receives.
func TestStalledDiscoveryResponseIsPolledAgain(t *testing.T) {
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
		stalledCount := 0
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
					rawResponse := list(1, s1)
					switch from := req.URL.Query().Get("from"); {
					case stalledCount > 0:
						rawResponse = list(2, s2)
					case from != "":
						stalledCount++
						rawResponse = list(2, s2)[:120]
						close(stalled)
					}
					if _, err := c.Write([]byte(rawResponse)); err != nil {
						return
					}
				}
			}()
			<-stalled // one connection at a time until the stall, so stalledCount has no data race
		}
	}()
	p := startNode(t, nodeOptions{discovery: l.Addr().String(),
		settings: strings.Replace(testSettings, `"cold_from"`, `"must_ask_in_ms":200,"cold_from"`, 1)})
	<-stalled
	eventually(t, "the new list", func() bool { resp := p.mustDo(request("look", 1500)); return resp.status == 200 && resp.body == "two" })
}

// With "discovery":"subscribe" discovery sends the list only in response to a poll. The node must therefore poll when it
// starts and again after an outage.
func TestSubscribedDiscoveryPollsAfterOutage(t *testing.T) {
	settings := strings.Replace(testSettings, `"discovery":"automatic"`, `"discovery":"subscribe"`, 1)
	settings = strings.Replace(settings, `"cold_from"`, `"must_ask_in_ms":10000,"cold_from"`, 1)
	s := startBackend(t, "s1", respond(200, "done"))
	p, d := startWithBackends(t, settings, s) // returns after the first watch, which follows the first poll
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
		t.Errorf("got status %d, want 200", resp.status)
	}
	full := p.counts().List["full"]
	d.respondWith("nonsense")
	eventually(t, "a failed poll", func() bool { return p.counts().List["failed"] > 0 })
	d.respondWith("")
	eventually(t, "another full list", func() bool { return p.counts().List["full"] > full })
	if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
		t.Errorf("got status %d after the outage, want 200", resp.status)
	}
}

// Discovery announces that a server drains. The server must get no new request.
func TestDrainingServerGetsNoNewRequest(t *testing.T) {
	s1, s2 := startBackend(t, "s1", respond(200, "one")), startBackend(t, "s2", respond(200, "two"))
	p, d := startWithBackends(t, "", s1, s2)
	entry := s1.member()
	entry.Phase = "DRAINING"
	d.announce(entry)
	eventually(t, "the changed list", func() bool { return p.counts().List["delta"] == 1 })
	before := len(s1.requests())
	for range 20 {
		if resp := p.mustDo(request("look", 1000)); resp.body != "two" {
			t.Fatalf("got %d %q, want the body \"two\"", resp.status, resp.body)
		}
	}
	if n := len(s1.requests()); n != before {
		t.Errorf("got %d new requests at the draining server, want 0", n-before)
	}
}

// A server moves to another address and is then removed. Requests must go to the new address, then be rejected at once,
// and the connections to the server must be closed.
func TestRequestsFollowMovedAndRemovedServer(t *testing.T) {
	s1 := startBackend(t, "s1", respond(200, "one"))
	p, d := startWithBackends(t, "", s1)
	if resp := p.mustDo(request("look", 1000)); resp.body != "one" {
		t.Fatalf("got %d %q, want the body \"one\"", resp.status, resp.body)
	}
	moved := startBackend(t, "s1", respond(200, "moved"))
	d.announce(moved.member())
	eventually(t, "the changed address in the list", func() bool { return p.counts().List["delta"] == 1 })
	if resp := p.mustDo(request("look", 1000)); resp.body != "moved" {
		t.Errorf("got %d %q, want the body \"moved\"", resp.status, resp.body)
	}
	d.announce(member{ID: "s1", Phase: "DELETED"})
	eventually(t, "the removal from the list", func() bool { return p.counts().List["delta"] == 2 })
	if resp := p.mustDo(request("look", 1000)); resp.status != 503 || resp.took > 500*time.Millisecond {
		t.Errorf("got %d after %v with no server, want 503 within 500ms", resp.status, resp.took)
	}
	eventually(t, "the connections to the server to be closed", func() bool { return p.counts().Servers["open"] == 0 })
}

// Discovery adds a second server that has just started, or one whose start time is unknown. With a slow start of 1,000 s that
// begins at 1/200 of the capacity, a server that has just started must get few requests. A server with an unknown start time
// must not begin with a slow start.
func TestSlowStartServerGetsFewRequests(t *testing.T) {
	settings := strings.Replace(testSettings, `"cold_from":0.3,"cold_ms":9000`, `"cold_from":0.005,"cold_ms":1e6`, 1)
	const requests = 40
	for name, c := range map[string]struct {
		upSince                  int64 // Unix time in milliseconds; 0: unknown
		minRequests, maxRequests int
	}{"just started": {time.Now().UnixMilli(), 0, requests / 4}, "start time unknown": {0, requests / 4, requests}} {
		act := func(c net.Conn, req receivedRequest) bool {
			time.Sleep(10 * time.Millisecond) // response time, from which the balancer calculates the slow start budget
			return respond(200, "done")(c, req)
		}
		established, other := startBackend(t, "s1", act), startBackend(t, "s2", act)
		p, d := startWithBackends(t, settings, established)
		for range 5 {
			p.mustDo(request("look", 1000))
		}
		entry := other.member()
		entry.UpSince = c.upSince
		d.announce(entry)
		eventually(t, "the changed list", func() bool { return p.counts().List["delta"] == 1 })
		for range requests {
			if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
				t.Fatalf("%s: got status %d, want 200", name, resp.status)
			}
		}
		if n := len(other.requests()); n < c.minRequests || n > c.maxRequests {
			t.Errorf("%s: the second server got %d of %d requests, want %d to %d", name, n, requests, c.minRequests, c.maxRequests)
		}
	}
}

// Discovery responds with invalid lists. The node must keep the last valid list, and apply the next valid one.
func TestInvalidDiscoveryResponsesAreIgnored(t *testing.T) {
	s := startBackend(t, "s1", respond(200, "done"))
	p, d := startWithBackends(t, "", s)
	for _, raw := range []string{"not JSON", `{"revision":9}`, `{"complete":true,"members":[]}`, `{"revision":9,"complete":true,"members":[`,
		`{"revision":9,"complete":true,"members":7}`, `[]`} {
		before := p.counts().List["failed"]
		d.respondWith(raw)
		eventually(t, "the invalid list to be counted as failed", func() bool { return p.counts().List["failed"] > before })
		if resp := p.mustDo(request("look", 1000)); resp.status != 200 {
			t.Errorf("got status %d after the list %s, want 200", resp.status, raw)
		}
	}
	full := p.counts().List["full"]
	d.respondWith("")
	eventually(t, "the valid list", func() bool { return p.counts().List["full"] > full })
}
