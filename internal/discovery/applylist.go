package discovery

import (
	"fmt"
	"time"

	"tackhub.example/tackhub/balancer"
)

// callKind is how a list was requested, as named in the log.
type callKind string

const (
	callPoll       callKind = "poll"  // the complete list was requested
	callWatch      callKind = "watch" // changes since a revision were requested
	callHedgedPoll callKind = "hedged_poll"
)

// request is how a list was requested.
type request struct {
	kind  callKind
	since int64 // revision; noRevision for the complete list
}

// requestSince returns a request for the changes since a revision or, if it is negative, for the complete list.
func requestSince(revision int64) request {
	if revision < 0 {
		return request{callPoll, noRevision}
	}
	return request{callWatch, revision}
}

// receive applies a response: discovery counts as having notified this node of all of it as soon as it has written the response. It
// returns an error if the complete list must be requested next, since changes may be missing from this response.
func (c *Client) receive(t *transport, received response, requested request) error {
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	c.recordReceived(received)
	list := received.list
	switch {
	case !list.Complete && list.Revision < requested.since:
		// Discovery has begun to count again. The entries are in force, but others may have changed before them.
		c.apply(t, list, requested.kind)
		return incompleteError{failureRevisionBack, fmt.Errorf("changes since revision %d end at revision %d", requested.since, list.Revision)}
	case !list.Complete && c.appliedFrom == t && list.Revision < c.Revision():
		return nil // a late response to a hedged call was newer
	}
	c.apply(t, list, requested.kind)
	if !list.Complete && len(received.rejected) > 0 {
		return incompleteError{failureEntry, received.rejected[0]}
	}
	return nil
}

// receiveIfNewer applies a response that arrived after another one to a later call.
func (c *Client) receiveIfNewer(t *transport, received response) {
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	c.recordReceived(received)
	isNewer := received.list.Revision > c.Revision()
	isFirst := c.appliedFrom != t && t == c.currentTransport()
	if isFirst || isNewer && c.appliedFrom == t {
		c.apply(t, received.list, callHedgedPoll)
	}
}

// apply makes a received list the current one and publishes it. A delta without members is published only if the handler must be
// notified that discovery responded: for the first response, or after the list was reported stale. The caller holds staleness.mu.
func (c *Client) apply(t *transport, list List, kind callKind) {
	if c.appliedFrom == nil {
		defer close(c.responded)
	}
	c.appliedFrom = t
	c.updateMembers(list) // before publishing, since the handler may need the address of a new server at once
	s := &c.staleness
	wasStale := s.responded()
	c.countList(list, s.lastResponse)
	if list.Complete || len(list.Members) > 0 {
		c.logList(list, kind)
	}
	c.failures = failureStreak{}
	if list.Complete || len(list.Members) > 0 {
		c.announceChange()
	}
	switch {
	case list.Complete:
		c.count.ServerList.Full.Inc()
		c.publish(list, balancer.FullUpdate)
	case len(list.Members) > 0 || kind != callWatch || wasStale:
		c.count.ServerList.Delta.Inc()
		c.publish(list, balancer.DeltaUpdate)
	}
}

// announceChange makes the next value of Changed available.
func (c *Client) announceChange() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// updateMembers applies a list to c.members. A server's address may change when the server restarts.
func (c *Client) updateMembers(list List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = list.Revision
	c.known = true
	if list.Complete {
		clear(c.members)
	}
	addressesChanged := list.Complete
	for _, m := range list.Members {
		id := balancer.ServerID(m.ID)
		previous, known := c.members[id]
		if m.Phase == PhaseDeleted {
			delete(c.members, id)
			addressesChanged = addressesChanged || known
			continue
		}
		addressesChanged = addressesChanged || !known || previous.HostPort != m.HostPort || previous.UpSince != m.UpSince
		c.members[id] = m
	}
	if addressesChanged {
		c.owners.update(c.members, list.Revision)
	}
}

// publish passes a list to the handler, as members if the handler is a MemberHandler and as endpoints otherwise.
func (c *Client) publish(list List, kind balancer.UpdateKind) {
	if h, ok := c.handler.(MemberHandler); ok {
		h.HandleMembers(list, kind)
		return
	}
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: kind, Endpoints: list.Endpoints()})
}

// phaseCounts are the numbers of members of a list by phase.
type phaseCounts struct {
	serving  int
	draining int // draining or in an unknown phase
	deleted  int
}

// add counts a member in a phase.
func (n *phaseCounts) add(phase string) {
	switch phase {
	case PhaseServing:
		n.serving++
	case PhaseDeleted:
		n.deleted++
	default:
		n.draining++
	}
}

// phases returns the numbers of members of the current list.
func (c *Client) phases() phaseCounts {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var counts phaseCounts
	for _, m := range c.members {
		counts.add(m.Phase)
	}
	return counts
}

// countList updates the counters after a list was applied.
func (c *Client) countList(list List, receivedAt time.Time) {
	count := &c.count.ServerList
	count.LastResponse.Set(receivedAt.UnixMilli())
	count.AppliedRevision.Set(list.Revision)
	if !list.Complete && len(list.Members) == 0 {
		return
	}
	count.Applied.Set(receivedAt.UnixMilli())
	current := c.phases()
	count.Serving.Set(int64(current.serving))
	count.Draining.Set(int64(current.draining))
}

// logList logs a list that was applied: what it says, how it was requested, and what remains.
func (c *Client) logList(list List, call callKind) {
	var named phaseCounts
	for _, m := range list.Members {
		named.add(m.Phase)
	}
	attrs := []any{"code", "list_applied", "revision", list.Revision, "complete", list.Complete, "call", string(call),
		"serving", named.serving, "draining", named.draining, "deleted", named.deleted,
		"left", c.count.ServerList.Serving.Get()}
	if c.failures.calls > 0 {
		attrs = append(attrs, "after_failures", c.failures.calls)
	}
	c.log.Info("endpoint list applied", attrs...)
}
