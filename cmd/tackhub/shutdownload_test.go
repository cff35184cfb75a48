package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// shortDeadline is the longest deadline of the deployment in these tests, in milliseconds.
	shortDeadline = 390

	// earliestKill is when SIGKILL may come after SIGTERM: the longest deadline and 0.7 s.
	earliestKill = (shortDeadline + 700) * time.Millisecond

	// raceTime is how shortly before a connection's end a request may have been written and still count as one that raced
	// with the close and was not read.
	raceTime = 20 * time.Millisecond
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

// wasLost reports whether the node read the request and never answered it: the connection ended too long after the request's
// last byte for the close to have raced with it.
func (r sentRequest) wasLost() bool { return r.status == 0 && r.ended.Sub(r.sent) > raceTime }

// shutdownClients collects what the clients of a shutdown test saw.
type shutdownClients struct {
	mu   sync.Mutex
	seen []sentRequest
	all  sync.WaitGroup
}

// exchange sends one request on a connection and notes how it ended. It reports whether the connection can be used again.
func (s *shutdownClients) exchange(c *client, class string) bool {
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
	return err == nil && !a.closesConn
}

// closedAlready reports whether the node has ended a connection on which nothing is expected.
func closedAlready(c *client) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// lost are the requests that the node took and did not answer.
func (s *shutdownClients) lost() []sentRequest {
	s.all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []sentRequest
	for _, r := range s.seen {
		if r.wasLost() {
			out = append(out, r)
		}
	}
	return out
}

// An incident: servers hang, clients keep the node busy, and connections that were opened shortly after SIGTERM send
// their first request 0.5 to 1.05 s after it. The process once exited by itself at the longest deadline plus 0.65 s and
// left what it had read late unanswered.
func TestShutdownAnswersLateFirstRequests(t *testing.T) {
	var servers []*backend
	for i := range 6 {
		act := respond(200, "done")
		if i%2 == 0 {
			act = neverRespond
		}
		servers = append(servers, startBackend(t, fmt.Sprintf("s%d", i+1), act))
	}
	d := startDiscoveryServer(t, members(servers...))
	for stop := range 4 {
		p := startNode(t, nodeOptions{discovery: d.addr, settings: shortSettings(), known: members(servers...)})
		clients := &shutdownClients{}
		quit := make(chan struct{})
		for range 12 {
			clients.all.Go(func() { keepRequesting(p, clients, quit) })
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
func keepRequesting(p *nodeProcess, clients *shutdownClients, quit <-chan struct{}) {
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
func endOrKill(p *nodeProcess, at time.Time) bool {
	select {
	case <-p.done:
		return false
	case <-time.After(time.Until(at)):
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	return true
}
