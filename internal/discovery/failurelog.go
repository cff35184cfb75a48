package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
)

// failureLogInterval is the shortest time between two log lines about consecutive failed calls.
const failureLogInterval = 10 * time.Second

// failureReason is why a call to discovery failed. It is the key of counters.Counters.ListRejected and an attribute of the log line;
// docs/oncall.md lists the values.
type failureReason string

const (
	failureNoResponse failureReason = "no_response" // no complete response in time, or no connection
	failureConnection failureReason = "connection"  // the connection was refused or reset
	failureNoCapacity failureReason = "no_capacity" // status 429 or 503
	failureStatus     failureReason = "status"      // any other status but 200
	failureNoList     failureReason = "no_list"     // the body is no endpoint list

	failureEntry        failureReason = "entry"         // changes were applied, but one of them cannot be used
	failureRevisionBack failureReason = "revision_back" // changes were applied, but discovery has begun to count revisions again
)

// incompleteError reports that changes were applied, and that others may be missing.
type incompleteError struct {
	reason failureReason
	err    error
}

func (e incompleteError) Error() string { return "changes may be missing: " + e.err.Error() }
func (e incompleteError) Unwrap() error { return e.err }

// reasonOf returns the reason of a failed call.
func reasonOf(err error) failureReason {
	var invalid invalidListError
	var incomplete incompleteError
	switch {
	case errors.As(err, &incomplete):
		return incomplete.reason
	case errors.As(err, new(rejectedError)):
		return failureNoCapacity
	case errors.As(err, new(statusError)):
		return failureStatus
	case errors.As(err, &invalid):
		return invalid.reason
	case timedOut(err), errors.Is(err, context.Canceled), errors.Is(err, fasthttp.ErrNoFreeConns):
		return failureNoResponse
	}
	return failureConnection
}

// failureStreak counts events of one kind, such as the consecutive failed calls since the last accepted list, and limits the rate of
// their log lines. The zero value is a streak without events.
type failureStreak struct {
	calls    int
	began    time.Time
	loggedAt time.Time
}

// add counts an event and reports whether it is to be logged.
func (f *failureStreak) add(now time.Time) (log bool) {
	if f.calls == 0 {
		f.began = now
	}
	f.calls++
	if f.calls > 1 && now.Sub(f.loggedAt) < failureLogInterval {
		return false
	}
	f.loggedAt = now
	return true
}

// recordReceived counts a received list, and counts and logs its members that cannot be used. The caller holds staleness.mu.
func (c *Client) recordReceived(received response) {
	c.count.ServerList.ReceivedRevision.Set(received.list.Revision)
	if len(received.rejected) == 0 {
		return
	}
	c.count.ServerList.RejectedEntries.Add(int64(len(received.rejected)))
	now := time.Now()
	if !c.rejectedEntries.add(now) {
		return
	}
	first := received.rejected[0]
	c.log.Warn("members of the endpoint list cannot be used; their servers get no new requests", "code", "list_entry", "error", first,
		"server", first.id, "entries", len(received.rejected), "revision", received.list.Revision, "lists", c.rejectedEntries.calls)
}

// reportFailure counts a failed call, logs it at a bounded rate, and notifies the handler.
func (c *Client) reportFailure(err error) {
	reason := reasonOf(err)
	c.count.ServerList.Failed.Inc()
	c.count.ListRejected.Inc(string(reason))
	s := &c.staleness
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if c.failures.add(now) {
		c.log.Warn("discovery call failed; keeping the last list", "code", "list_failed", "error", err, "reason", string(reason),
			"failures", c.failures.calls, "for_ms", now.Sub(c.failures.began).Milliseconds(), "revision", c.Revision())
	}
	c.handler.UpdateEndpoints(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
}
