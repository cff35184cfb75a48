package discovery

import (
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
)

// staleAfter is the time without a response after which the list is reported as stale. It is as short as the protocol permits, plus
// 50 ms so that the report does not coincide with a response that arrives just in time.
const staleAfter = notifyDeadline + 50*time.Millisecond

// staleness records when discovery last responded, and whether the handler was notified that the list may be stale.
type staleness struct {
	// mu is held while the handler is called, so that the handler receives lists and staleness reports in the order in which they
	// occurred.
	mu           sync.Mutex
	lastResponse time.Time
	reported     bool
	timer        *time.Timer
}

// startStaleTimer starts the staleness timer as if discovery had responded just now. The caller stops the returned timer.
func (c *Client) startStaleTimer() *time.Timer {
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastResponse = time.Now()
	s.timer = time.AfterFunc(staleAfter, c.reportStale)
	return s.timer
}

// reportStale notifies the handler, once per outage, that changes may have been missed. It runs on a timer because the next failed
// call may end seconds later, while the protocol already considers this node notified of every change.
func (c *Client) reportStale() {
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Since(s.lastResponse)
	if s.reported || age < notifyDeadline {
		return // a response arrived while the timer fired
	}
	s.reported = true
	c.count.ServerList.Stale.Inc()
	c.log.Warn("server list may be stale: no response from discovery in time", "code", "list_late", "for_ms", age.Milliseconds())
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateStale})
}

// responded records that discovery responded just now. It reports whether the list had been reported stale. The caller holds s.mu.
func (s *staleness) responded() (wasStale bool) {
	wasStale = s.reported
	s.reported = false
	s.lastResponse = time.Now()
	s.timer.Reset(staleAfter)
	return wasStale
}
