package upstream

import (
	"runtime/debug"
	"time"

	"tackhub.example/tackhub/internal/memory"
)

// closeReason is the reason why a connection to a server was closed or could not be established. It is the code in the log
// entry and the key in Counters.ServerEnds; docs/oncall.md lists the values.
type closeReason string

// reusable means that the connection stays open and can be used again.
const reusable closeReason = ""

const (
	closeConnectRefused    closeReason = "connect_refused"  // dial failed: the server refused or reset the connection
	closeConnectLocal      closeReason = "connect_local"    // dial failed: this machine has no route or denies the connection
	closeConnectTimeout    closeReason = "connect_timeout"  // dial failed: ConnectTimeout passed
	closeIdleTimeout       closeReason = "idle"             // idle for longer than maxIdleFraction of IdleTimeout
	closePeerClosed        closeReason = "server_closed"    // the server closed it, or sent unsolicited bytes, while it was idle
	closeAborted           closeReason = "gave_up"          // the attempt or probe was aborted, timed out or left the response unread
	closeReset             closeReason = "server_reset"     // the connection broke during an attempt or probe
	closeBadResponse       closeReason = "bad_answer"       // the response is malformed, too long or incomplete
	closeWriteFailed       closeReason = "write_failed"     // the request could not be written completely
	closeRequestedByServer closeReason = "server_asked"     // the response announced the close, or unsolicited bytes followed it
	closeAddressGone       closeReason = "address_gone"     // the server was removed, moved or is draining
	closeExcessIdle        closeReason = "spare"            // the pool had more idle connections to the server than MaxIdlePerServer
	closeEvicted           closeReason = "descriptor_limit" // evicted at a limit, or dial failed: no free descriptor, memory or address
	closeExit              closeReason = "exit"             // the node exits
	closePanic             closeReason = "panic"            // handling a response panicked
)

// close closes a connection, frees its reservation and records the reason.
func (p *Pool) close(c *conn, reason closeReason, err error) {
	_ = c.Close() // no buffered data can be lost, so the error does not matter
	if c.unsolicited {
		p.recordUnsolicited(c.server)
	}
	p.options.Counters.Servers.Open.Add(-1)
	p.options.Memory.Release(memory.ServerConnections, connectionBytes)
	p.unreserve(c.server)
	p.recordClose(c, reason, err)
}

// closeIdle closes a connection that the balancer counts as idle, and calls OnIdleClosed.
func (p *Pool) closeIdle(c *conn, reason closeReason, err error) {
	p.close(c, reason, err)
	if p.options.OnIdleClosed != nil {
		p.options.OnIdleClosed(c.server)
	}
}

// finish makes a connection idle again after a response, or closes it if it is not reusable.
func (p *Pool) finish(c *conn, reason closeReason, err error) {
	switch reason {
	case reusable:
		p.put(c)
	case closeRequestedByServer: // the response was complete, so the balancer counts the connection as idle
		p.closeIdle(c, reason, err)
	default:
		p.close(c, reason, err)
	}
}

// recordClose counts and logs a connection that was closed or could not be established.
func (p *Pool) recordClose(c *conn, reason closeReason, err error) {
	p.options.Counters.ServerEnds.Inc(string(reason))
	args := []any{"code", string(reason), "server", string(c.server), "addr", c.addr, "requests", c.requests,
		"age_ms", time.Since(c.opened).Milliseconds(), "list_revision", c.listRevision}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	p.options.Log.Info("server connection ended", args...)
}

// recoverPanic must be deferred by goroutines that handle responses, so that no response can crash the node. If there was a
// panic, it logs the panic and calls onPanic.
func (p *Pool) recoverPanic(onPanic func()) {
	r := recover()
	if r == nil {
		return
	}
	p.options.Log.Error("panic while handling a server connection", "code", string(closePanic), "panic", r,
		"stack", string(debug.Stack()))
	onPanic()
}
