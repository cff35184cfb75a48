package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"tackhub.example/tackhub/internal/handover"
)

// slowConnect are settings with which a connection may take its time to come up.
func slowConnect(more ...string) string {
	return strings.NewReplacer(append([]string{`"connect_timeout_ms":150`, `"connect_timeout_ms":5000`}, more...)...).Replace(testSettings)
}

// TestDrainToldWhileAConnectionComesUp: the request had been drawn to the server, and its connection came up only after
// the server had been told to drain.
func TestDrainToldWhileAConnectionComesUp(t *testing.T) {
	held, other := startHolding(t, "s1", say(200, "late")), startServer(t, "s2", say(200, "done"))
	p, d := startWith(t, slowConnect(), held.server)
	pending := p.send(request("look", 1500))
	eventually(t, "attempt", func() bool { return p.counts().Attempts["open"] == 1 })
	drains := held.member()
	drains.Phase = "DRAINING"
	before := p.counts().List["delta"]
	d.tell(drains, other.member())
	eventually(t, "the news", func() bool { return p.counts().List["delta"] > before })
	held.release()
	// Its connection may come up so late that it is refused; that is harmless, since nothing of it was written.
	if a := wait(t, "the request", pending); a.status != 503 && (a.status != 200 || a.body != "done") {
		t.Errorf("%d %q, want the other server's answer or a refusal", a.status, a.body)
	}
	if n := len(held.requests()); n > 0 {
		t.Errorf("%d requests went to a server that drains", n)
	}
}

// TestARepeatAfterItsWindowIsNotWritten: the repeat was decided on inside the window in which the group drops it, and its
// connection came up after that.
func TestARepeatAfterItsWindowIsNotWritten(t *testing.T) {
	gate := make(chan struct{})
	first, held := startServer(t, "s1", after(gate, reset)), startHolding(t, "s2", say(200, "twice"))
	p, d := startWith(t, slowConnect(`"dedup_window_ms":800`, `"dedup_window_ms":500`), first)
	pending := p.send(request("store", 1500))
	eventually(t, "the first copy", func() bool { return len(first.requests()) == 1 })
	before := p.counts().List["delta"]
	d.tell(held.member())
	eventually(t, "the news", func() bool { return p.counts().List["delta"] > before })
	close(gate)
	eventually(t, "the repeat's attempt", func() bool { return p.counts().Attempts["sent"] == 2 })
	held.release() // the next SYN comes a second after the first
	if a := wait(t, "the request", pending); a.status != 502 && a.status != 504 {
		t.Errorf("%d %q, want a failure", a.status, a.body)
	}
	if n := len(held.requests()); n > 0 {
		t.Errorf("%d repeats were written after the window", n)
	}
	p.counts().addUp(t)
}

// TestStopBeforeTheNodeIsReady: the signal comes while the start waits for a process that hangs at the meeting place.
func TestStopBeforeTheNodeIsReady(t *testing.T) {
	dir, addr := t.TempDir(), freeAddress(t)
	l, err := net.Listen("unix", handover.SocketPath(dir, addr))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := launch(t, addr, setup{discovery: startDiscovery(t, nil).addr, env: []string{"TMPDIR=" + dir}})
	c, err := l.Accept() // it has asked, and waits
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	p.terminate()
	if code := p.exit(); code != 0 || !strings.Contains(p.log.String(), `"code":"drain"`) {
		t.Errorf("exit code %d, log %s", code, p.log)
	}
}

// TestHalfAnAnswerOfDiscovery: a watch's answer begins and does not end. The node asks anew, and what it then hears counts.
func TestHalfAnAnswerOfDiscovery(t *testing.T) {
	s1, s2 := startServer(t, "s1", say(200, "one")), startServer(t, "s2", say(200, "two"))
	l, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	list := func(revision int, servers ...*server) string {
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
	p := startNode(t, setup{discovery: l.Addr().String(),
		settings: strings.Replace(testSettings, `"cold_from"`, `"must_ask_in_ms":200,"cold_from"`, 1)})
	<-stalled
	eventually(t, "the new list", func() bool { a := p.mustAsk(request("look", 1500)); return a.status == 200 && a.body == "two" })
}

// TestServerThatStartsAnew resets the connection that stands idle: the next request must not be written to it.
func TestServerThatStartsAnew(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	p, _ := startWith(t, "", s)
	for i := range 10 {
		if a := p.mustAsk(request("bill", 1500)); a.status != 200 {
			t.Fatalf("request %d: %d", i, a.status)
		}
		s.mu.Lock()
		for c := range s.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			delete(s.conns, c)
		}
		s.mu.Unlock()
	}
	if n := len(s.requests()); n != 10 {
		t.Errorf("%d copies of 10 requests", n)
	}
}
