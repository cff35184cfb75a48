package upstream

import (
	"runtime/debug"
	"time"
)

// closeReason is why a connection to a server was closed or did not come up. It is a code in the log and among the
// counters; docs/oncall.md lists them.
type closeReason string

// reusable is the reason of a connection that is not to be closed.
const reusable closeReason = ""

const (
	closeConnectRefused closeReason = "connect_refused"  // did not come up: refused or reset
	closeConnectLocal   closeReason = "connect_local"    // did not come up: this machine has no route or denies it
	closeConnectTimeout closeReason = "connect_timeout"  // did not come up in time
	closeIdleTimeout    closeReason = "idle"             // idle nearly as long as the server allows
	closePeerClosed     closeReason = "server_closed"    // closed by the server while idle
	closeAborted        closeReason = "gave_up"          // the attempt on it was aborted
	closeReset          closeReason = "server_reset"     // broke with an attempt on it
	closeBadResponse    closeReason = "bad_answer"       // the response is malformed, too long or incomplete
	closeWriteFailed    closeReason = "write_failed"     // broke before the request was written completely
	closeServerAsked    closeReason = "server_asked"     // the response said that the connection closes
	closeAddressGone    closeReason = "address_gone"     // the server was removed, moved or drains
	closeSpare          closeReason = "spare"            // more idle connections than MaxIdlePerServer
	closeEvicted        closeReason = "descriptor_limit" // closed to make room at a limit, or no descriptor for a new one
	closeExit           closeReason = "exit"             // the node exits
	closePanic          closeReason = "panic"            // handling a response panicked
)

// close closes a connection, frees its reservation and records why.
func (p *Pool) close(c *conn, reason closeReason, err error) {
	_ = c.Close() // nothing is left to be written
	p.options.Counters.Servers.Open.Add(-1)
	p.unreserve(c.server)
	p.recordClose(c, reason, err)
}

// closeIdle closes a connection that the balancer takes to be idle, and notifies it.
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
	case closeServerAsked: // its response was complete, so the balancer takes it to be idle
		p.closeIdle(c, reason, err)
	default:
		p.close(c, reason, err)
	}
}

func (p *Pool) recordClose(c *conn, reason closeReason, err error) {
	p.options.Counters.ServerEnds.Inc(string(reason))
	args := []any{"code", string(reason), "server", string(c.server), "addr", c.addr, "requests", c.requests,
		"age_ms", time.Since(c.opened).Milliseconds()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	p.options.Log.Info("server connection ended", args...)
}

// recoverPanic is deferred around the handling of a response: what a server sends must not end the node. It logs a panic
// and calls then.
func (p *Pool) recoverPanic(then func()) {
	r := recover()
	if r == nil {
		return
	}
	p.options.Log.Error("panic on a server's connection", "code", string(closePanic), "panic", r,
		"stack", string(debug.Stack()))
	then()
}
