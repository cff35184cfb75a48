package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// shortDeadline is the longest deadline of the deployment in these tests, in milliseconds.
	shortDeadline = 390

	// earliestKill is when SIGKILL may come after SIGTERM: the longest deadline and 0.7 s.
	earliestKill = (shortDeadline + 700) * time.Millisecond

	// crossingTime is how shortly before a connection's end a request may have been written and still count as one that
	// crossed the end unread.
	crossingTime = 20 * time.Millisecond
)

// shortSettings are the test settings with short deadlines, as in the incident.
func shortSettings() string {
	return strings.ReplaceAll(testSettings, `"hard_limit_ms":1500`, fmt.Sprintf(`"hard_limit_ms":%d`, shortDeadline))
}

// sentRequest is one request of a stop test as its client saw it.
type sentRequest struct {
	raw    string
	sent   time.Time
	ended  time.Time
	status int // 0: no whole answer
	err    error
}

// lost tells whether the node had taken the request and never answered it: its end came too long after its last byte for the
// two to have crossed.
func (r sentRequest) lost() bool { return r.status == 0 && r.ended.Sub(r.sent) > crossingTime }

// stopClients collects what the clients of a stop test saw.
type stopClients struct {
	mu   sync.Mutex
	seen []sentRequest
	all  sync.WaitGroup
}

// exchange sends one request on a connection and notes how it ended. It reports whether the connection can be used again.
func (s *stopClients) exchange(c *client, class string) bool {
	if closedAlready(c) {
		return false
	}
	r := sentRequest{raw: request(class, shortDeadline)}
	r.sent = time.Now()
	if _, err := io.WriteString(c, r.raw); err != nil {
		return false // the end had come before it
	}
	r.sent = time.Now()
	a, err := c.read()
	r.ended, r.err = time.Now(), err
	if err == nil {
		r.status = a.status
	}
	s.mu.Lock()
	s.seen = append(s.seen, r)
	s.mu.Unlock()
	return err == nil && !a.last
}

// closedAlready reports whether the node has ended a connection on which nothing is expected.
func closedAlready(c *client) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(patience))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// lost are the requests that the node took and did not answer.
func (s *stopClients) lost() []sentRequest {
	s.all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []sentRequest
	for _, r := range s.seen {
		if r.lost() {
			out = append(out, r)
		}
	}
	return out
}

// TestStopAnswersLateFirstRequests reproduces the incident: servers hang, clients keep the node busy, and connections that were
// opened shortly after the signal send their first request 0.5 to 1.05 s after it. The process ended by itself at the longest
// deadline plus 0.65 s and left what it had read late unanswered.
func TestStopAnswersLateFirstRequests(t *testing.T) {
	var servers []*server
	for i := range 6 {
		act := say(200, "done")
		if i%2 == 0 {
			act = silence
		}
		servers = append(servers, startServer(t, fmt.Sprintf("s%d", i+1), act))
	}
	d := startDiscovery(t, members(servers...))
	for stop := range 4 {
		p := startNode(t, setup{discovery: d.addr, settings: shortSettings(), known: members(servers...)})
		clients := &stopClients{}
		quit := make(chan struct{})
		for range 12 {
			clients.all.Go(func() { keepAsking(p, clients, quit) })
		}
		eventually(t, "traffic", func() bool {
			clients.mu.Lock()
			defer clients.mu.Unlock()
			return len(clients.seen) > 24
		})
		p.terminate()
		signalled := time.Now()
		for i := range 24 {
			opens := time.Duration(10+14*i) * time.Millisecond
			sends := time.Duration(500+23*i) * time.Millisecond
			clients.all.Go(func() {
				time.Sleep(time.Until(signalled.Add(opens)))
				c, err := p.dial()
				if err != nil {
					return
				}
				time.Sleep(time.Until(signalled.Add(sends)))
				clients.exchange(c, []string{"look", "store", "bill"}[i%3])
			})
		}
		killed := endOrKill(p, signalled.Add(earliestKill))
		close(quit)
		for _, r := range clients.lost() {
			t.Errorf("stop %d (killed: %v): request sent %v after SIGTERM, connection ended at %v with no whole answer: %v",
				stop, killed, r.sent.Sub(signalled), r.ended.Sub(signalled), r.err)
		}
	}
}

// keepAsking sends requests one after the other, on one connection for as long as the node keeps it.
func keepAsking(p *process, clients *stopClients, quit <-chan struct{}) {
	var c *client
	for {
		select {
		case <-quit:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = p.dial(); err != nil {
				return
			}
		}
		if !clients.exchange(c, "look") {
			_ = c.Close()
			c = nil
		}
	}
}

// endOrKill waits until a process ends by itself and kills it at the given time. It reports whether it had to.
func endOrKill(p *process, at time.Time) bool {
	select {
	case <-p.done:
		return false
	case <-time.After(time.Until(at)):
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	return true
}

// TestSecondSignalTakesNothingAway sends further signals of each kind while requests are in hand.
func TestSecondSignalTakesNothingAway(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1} {
		t.Run(sig.String(), func(t *testing.T) {
			gate := make(chan struct{})
			s := startServer(t, "s1", after(gate, say(200, "done")))
			p, _ := startWith(t, "", s)
			pending := p.send(request("bill", 1400))
			eventually(t, "attempt", func() bool { return len(s.requests()) == 1 })
			p.terminate()
			eventually(t, "drain", func() bool { return strings.Contains(p.log.String(), `"code":"drain"`) })
			for range 3 {
				if err := p.cmd.Process.Signal(sig); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			close(gate)
			if a := wait(t, "pending", pending); a.status != 200 {
				t.Errorf("status %d", a.status)
			}
			if code := p.exit(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// TestAnswerBeforeHalfOfTheNext: a client sends the head and a part of the body of its next request behind the first. The first
// one's answer does not wait for the rest.
func TestAnswerBeforeHalfOfTheNext(t *testing.T) {
	s := startServer(t, "s1", say(200, "done"))
	p, _ := startWith(t, "", s)
	c := p.connect()
	c.write(request("look", 1000) + strings.TrimSuffix(request("bill", 1000), "12"))
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if a, err := c.read(); err != nil || a.status != 200 {
		t.Errorf("%v, %v: want the answer before the rest of the next request", a, err)
	}
}
