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
	// shortDeadlineMs is the longest deadline that the settings of these tests allow, in milliseconds.
	shortDeadlineMs = 390

	// minKillDelay is the shortest time between SIGTERM and SIGKILL: the longest deadline plus 0.7 s.
	minKillDelay = (shortDeadlineMs + 700) * time.Millisecond

	// closeRaceWindow is a period before the end of a connection. A request that is written in this period races with the
	// close, so the node may not have read it.
	closeRaceWindow = 20 * time.Millisecond
)

// shortSettings returns the test settings with short deadlines, as in the incident that TestShutdownAnswersLateFirstRequests
// reproduces.
func shortSettings() string {
	return strings.ReplaceAll(testSettings, `"hard_limit_ms":1500`, fmt.Sprintf(`"hard_limit_ms":%d`, shortDeadlineMs))
}

// sentRequest is one request of a shutdown test with the times and the result that its client measured.
type sentRequest struct {
	raw    string
	sent   time.Time
	ended  time.Time
	status int // 0: no complete response
	err    error
}

// wasLost reports whether the node read the request and did not answer it. It assumes that the node read every request that was
// written longer than closeRaceWindow before the connection ended.
func (r sentRequest) wasLost() bool { return r.status == 0 && r.ended.Sub(r.sent) > closeRaceWindow }

// shutdownClients collects the requests of the clients in a shutdown test.
type shutdownClients struct {
	mu       sync.Mutex
	requests []sentRequest
	running  sync.WaitGroup
}

// exchange sends one request on a connection and records its result. It reports whether the connection can be reused.
func (s *shutdownClients) exchange(c *client, class string) bool {
	if closedAlready(c) {
		return false
	}
	r := sentRequest{raw: request(class, shortDeadlineMs)}
	r.sent = time.Now()
	if _, err := io.WriteString(c, r.raw); err != nil {
		return false // the node closed the connection before the request was written
	}
	r.sent = time.Now()
	resp, err := c.read()
	r.ended, r.err = time.Now(), err
	if err == nil {
		r.status = resp.status
	}
	s.mu.Lock()
	s.requests = append(s.requests, r)
	s.mu.Unlock()
	return err == nil && !resp.closesConn
}

// closedAlready reports whether the node has closed a connection on which no response is outstanding.
func closedAlready(c *client) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// lostRequests waits for the clients to finish and returns the requests that the node read and did not answer.
func (s *shutdownClients) lostRequests() []sentRequest {
	s.running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []sentRequest
	for _, r := range s.requests {
		if r.wasLost() {
			out = append(out, r)
		}
	}
	return out
}

// Servers hang, clients keep the node busy, and connections that were opened shortly after SIGTERM send their first request 0.5
// to 1.05 s after SIGTERM. In an incident the process exited at the longest deadline plus 0.65 s, without an answer to requests
// that it had read shortly before. The node must answer each request that it has read.
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
	for round := range 4 {
		p := startNode(t, nodeOptions{discovery: d.addr, settings: shortSettings(), known: members(servers...)})
		clients := &shutdownClients{}
		quit := make(chan struct{})
		for range 12 {
			clients.running.Go(func() { keepRequesting(p, clients, quit) })
		}
		eventually(t, "more than 24 requests", func() bool {
			clients.mu.Lock()
			defer clients.mu.Unlock()
			return len(clients.requests) > 24
		})
		p.terminate()
		signalled := time.Now()
		for i := range 24 {
			connectDelay := time.Duration(10+14*i) * time.Millisecond
			sendDelay := time.Duration(500+23*i) * time.Millisecond
			clients.running.Go(func() {
				time.Sleep(time.Until(signalled.Add(connectDelay)))
				c, err := p.dial()
				if err != nil {
					return
				}
				time.Sleep(time.Until(signalled.Add(sendDelay)))
				clients.exchange(c, []string{"look", "store", "bill"}[i%3])
			})
		}
		killed := waitOrKill(p, signalled.Add(minKillDelay))
		close(quit)
		for _, r := range clients.lostRequests() {
			t.Errorf("shutdown %d (killed: %v): request sent %v after SIGTERM, connection ended after %v without a complete response: %v",
				round, killed, r.sent.Sub(signalled), r.ended.Sub(signalled), r.err)
		}
	}
}

// keepRequesting sends requests one after the other until quit is closed. It reuses a connection until the node closes it.
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

// waitOrKill waits until a process exits, and kills it if it still runs at the given time. It reports whether it killed the
// process.
func waitOrKill(p *nodeProcess, killTime time.Time) bool {
	select {
	case <-p.done:
		return false
	case <-time.After(time.Until(killTime)):
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	return true
}
