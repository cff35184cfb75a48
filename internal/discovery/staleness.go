package discovery

import (
	"sync"
	"time"

	"tackhub.example/tackhub/balancer"
)

// staleAfter is the time without an answer after which the list is reported as stale: as soon as it may be, and not on the same
// tick as an answer that comes just in time.
const staleAfter = informDeadline + 50*time.Millisecond

// staleness is when discovery last answered, and whether the handler knows that this was too long ago.
type staleness struct {
	// mu is held while the handler is called, so that it learns of answers and of staleness in the order in which they came.
	mu         sync.Mutex
	lastAnswer time.Time
	reported   bool
	timer      *time.Timer
}

// startStaleTimer counts from now as from an answer. The caller stops the timer that it returns.
func (c *Client) startStaleTimer() *time.Timer {
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswer = time.Now()
	s.timer = time.AfterFunc(staleAfter, c.reportStale)
	return s.timer
}

// reportStale tells the handler, once in an outage, that changes may have been missed. It runs on a timer rather than after
// the next failed call, which may end seconds later: by the protocol whatever discovery has counts as known by now.
func (c *Client) reportStale() {
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Since(s.lastAnswer)
	if s.reported || age < informDeadline {
		return // an answer came while the timer fired
	}
	s.reported = true
	c.count.ServerList.Late.Inc()
	c.log.Warn("server list may be stale: no answer from discovery in time", "code", "list_late", "for_ms", age.Milliseconds())
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateStale})
}

// handleAnswer applies an answer and publishes it; from is the revision that the call continued from, negative for none. A
// delta without members is published only where the handler needs to know that an answer came: it was the first, or the
// list had been reported stale.
func (c *Client) handleAnswer(list List, from int64) {
	c.updateMembers(list) // first: the handler may send requests to a new server at once, and needs its address
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	wasStale := s.reported
	s.reported = false
	s.lastAnswer = time.Now()
	s.timer.Reset(staleAfter)
	c.count.ServerList.Informed.Set(s.lastAnswer.UnixMilli())
	switch {
	case list.Complete:
		c.count.ServerList.Full.Inc()
		c.publish(list, balancer.FullUpdate)
	case len(list.Members) > 0 || from < 0 || wasStale:
		c.count.ServerList.Delta.Inc()
		c.publish(list, balancer.DeltaUpdate)
	}
}
