package ingress

import (
	"time"

	"tackhub.example/tackhub/internal/proxy"
)

// Reasons for which a client's connection ends, besides those of the proxy. They are codes in the log and among the counters;
// docs/oncall.md lists them.
const (
	closeClientClosed = "client_closed" // by the client, between requests
	closeClientCut    = "client_cut"    // by the client, with an incomplete request
	closeClientReset  = "client_reset"  // by the client or the network, with a reset
	closeIdleTimeout  = "idle"          // idle for idleTimeout
	closeSlowRequest  = "slow_request"  // a request was not complete in time
	closeBadRequest   = proxy.ReasonBadRequest
	closeWriteFailed  = "write_failed"     // a response could not be written
	closeEvicted      = "descriptor_limit" // closed to make room at a limit of connections or descriptors
	closeDrained      = "drained"          // by a graceful shutdown or an administrative drain
	closeOther        = "ended"            // none of these
)

// setCloseReason sets why the connection ends. Only the first reason counts. The caller holds the lock.
func (c *conn) setCloseReason(reason string) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// SetCloseReason sets why the connection ends. Only the first reason counts.
func (c *conn) SetCloseReason(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseReason(reason)
}

// closeAfterResponse is why the node closes the connection after the next response; "": it does not.
func (c *conn) closeAfterResponse() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing == "" && (c.server.draining() || c.server.AdminDraining()) {
		return closeDrained
	}
	return c.closing
}

// closesFor reports whether the node closes the connection for a reason.
func (c *conn) closesFor(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing == reason
}

// closeWhenIdle closes an idle connection, and reports whether it does. A request that has arrived meanwhile is still served.
func (c *conn) closeWhenIdle(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.closing != "" {
		return false
	}
	c.closing = reason
	return c.Conn.SetReadDeadline(inThePast) == nil
}

// closeIncomplete closes a connection whose request is incomplete, and reports whether it does. If the rest of the request
// has arrived meanwhile it is still served.
func (c *conn) closeIncomplete(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := c.inFlight && !c.uploading
	if c.idle || complete || c.handled || c.cutShort {
		return false
	}
	if c.closing != "" && reason != closeDrained {
		return false // the request crossed the closing, for which it is served already
	}
	if c.closing == "" {
		c.closing = reason
	}
	c.cutShort = true
	return c.Conn.SetReadDeadline(inThePast) == nil
}

// mayHaveCrossed reports whether bytes that come now may have crossed the node's closing.
func (c *conn) mayHaveCrossed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle || c.cutShort
}

func (c *conn) isCutShort() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutShort
}

// idleFor is how long the connection has been idle. It reports false if it is not idle, is closing, or has had no request yet
// and is younger than firstTime.
func (c *conn) idleFor(firstTime time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := time.Since(c.idleSince)
	served := c.requests > 0
	return d, c.idle && c.closing == "" && (served || d >= firstTime)
}

// silentFor is how long nothing has come on a connection whose request is incomplete. It reports false if it has none such.
func (c *conn) silentFor() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	incomplete := !c.idle && !c.inFlight && !c.handled
	return time.Since(c.lastRead), incomplete && c.closing == ""
}

// countRequest counts a request whose head was read.
func (c *conn) countRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
}

// markHandled notes that the current request has its response, which the server will write.
func (c *conn) markHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
	c.inFlight = false
}

// setUploading notes whether the rest of a large body is awaited.
func (c *conn) setUploading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploading = on
}
