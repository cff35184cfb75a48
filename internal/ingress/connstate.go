package ingress

import (
	"time"

	"tackhub.example/tackhub/internal/proxy"
)

// Reasons for which a client's connection ends, in addition to those of package proxy. They are used as codes in the log and in
// the counters; docs/oncall.md lists them.
const (
	closeClientClosed  = "client_closed" // closed by the client between requests
	closeClientAborted = "client_cut"    // closed by the client during an incomplete request
	closeClientReset   = "client_reset"  // reset by the client or the network
	closeIdleTimeout   = "idle"          // idle for idleTimeout
	closeSlowRequest   = "slow_request"  // a request was not complete before its deadline
	closeBadRequest    = proxy.ReasonBadRequest
	closeWriteFailed   = "write_failed"     // a response could not be written
	closeEvicted       = "descriptor_limit" // evicted because of the limit on connections or descriptors
	closeMemory        = "memory_limit"     // evicted because of the memory limit
	closeDrained       = "drained"          // closed by a graceful shutdown or an administrative drain
	closeOther         = "ended"            // any other reason
)

// setCloseReason sets the reason for closing the connection. Only the first call has an effect. The caller must hold c.mu.
func (c *conn) setCloseReason(reason string) {
	if c.closeReason == "" {
		c.closeReason = reason
	}
}

// SetCloseReason sets the reason for closing the connection. Only the first call has an effect.
func (c *conn) SetCloseReason(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setCloseReason(reason)
}

// closeReasonAfterResponse returns the reason for closing the connection after the next response, or "" if it stays open.
func (c *conn) closeReasonAfterResponse() string {
	draining := c.server.draining() || c.server.AdminDraining()
	keepOpen := draining && c.holdsRequests() && c.server.servesPipelines()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodeCloseReason == "" && draining && !keepOpen {
		return closeDrained
	}
	return c.nodeCloseReason
}

// holdsRequests reports whether the client has written more behind the current request: there are unread bytes, or the HTTP server has buffered
// some. Such requests have been taken, so they are answered before the connection is closed. A connection without any is closed at once: its
// client would send the next request to a node that is about to end. So is one whose current request needed no server: a client that floods the
// node with health checks must not keep it busy during a shutdown.
func (c *conn) holdsRequests() bool {
	return c.forwarded && (c.framing.buffered >= minRequestBytes || c.hasUnread())
}

// isClosingFor reports whether the node is closing the connection for the given reason.
func (c *conn) isClosingFor(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodeCloseReason == reason
}

// isEvicted reports whether the node is closing the connection in favor of others.
func (c *conn) isEvicted() bool { return c.isClosingFor(closeEvicted) || c.isClosingFor(closeMemory) }

// closeWhenIdle starts to close the connection if it is idle, and reports whether it did. A request that arrives before the
// close takes effect is still served.
func (c *conn) closeWhenIdle(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.nodeCloseReason != "" {
		return false
	}
	c.nodeCloseReason = reason
	return c.Conn.SetReadDeadline(pastDeadline) == nil
}

// closeIncomplete starts to close the connection if its request is incomplete, and reports whether it did. If the rest of the
// request arrives before the close takes effect, the request is still served.
func (c *conn) closeIncomplete(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete := c.inFlight && !c.uploading
	if c.idle || complete || c.handled || c.closingIncomplete {
		return false
	}
	if c.nodeCloseReason != "" && reason != closeDrained {
		return false // an earlier close found the connection idle; the request that has arrived since is served
	}
	if c.nodeCloseReason == "" {
		c.nodeCloseReason = reason
	}
	c.closingIncomplete = true
	return c.Conn.SetReadDeadline(pastDeadline) == nil
}

// mayHavePendingRequest reports whether unread bytes may belong to a request that arrived while the node was closing the
// connection.
func (c *conn) mayHavePendingRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle || c.closingIncomplete
}

func (c *conn) isClosingIncomplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closingIncomplete
}

// idleFor returns how long the connection has been idle. It reports false if the connection is not idle, is closing, or has
// been waiting less than firstRequestTime for its first request.
func (c *conn) idleFor(firstRequestTime time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idleTime := time.Since(c.idleSince)
	served := c.requests > 0
	return idleTime, c.idle && c.nodeCloseReason == "" && (served || idleTime >= firstRequestTime)
}

// silentFor returns how long a connection with an incomplete request has received nothing. It reports false if the connection
// has no incomplete request or is closing.
func (c *conn) silentFor() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	incomplete := !c.idle && (!c.inFlight || c.uploading) && !c.handled
	return time.Since(c.lastRead), incomplete && c.nodeCloseReason == ""
}

// countRequest counts a request whose head was read.
func (c *conn) countRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
}

// markHandled records that the current request has a response, which the server will write next.
func (c *conn) markHandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
	c.inFlight = false
}

// setUploading records whether the rest of a large body is still being read.
func (c *conn) setUploading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploading = on
}
