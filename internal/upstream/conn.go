package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/socket"
)

// The reason codes with which a connection to a server ends; docs/oncall.md lists them.
const (
	endRefused    = "connect_refused"  // no connection: refused or reset
	endLocal      = "connect_local"    // no connection: this machine has no route or refuses it itself
	endNoConnect  = "connect_timeout"  // no connection within the settings' time
	endIdle       = "idle"             // dropped before the server would
	endPeerClosed = "server_closed"    // closed by the server while idle
	endGaveUp     = "gave_up"          // the attempt on it was given up
	endReset      = "server_reset"     // broke with an attempt on it
	endBadAnswer  = "bad_answer"       // the answer could not be parsed, was too long or broke off
	endWrite      = "write_failed"     // broke before the request was written whole
	endAsked      = "server_asked"     // the answer said that it would close
	endGone       = "address_gone"     // the server left the list, drains or moved
	endSpare      = "spare"            // idle beside another one, where nodes are many
	endEvicted    = "descriptor_limit" // made room for another
	endExit       = "exit"             // the node ends
	endPanic      = "panic"            // handling what came on it went wrong
)

const (
	// readBuffer holds any answer's head and most bodies at once.
	readBuffer = 4096

	// restFor is how long a connection rests after an answer: a close, a second answer or noise comes right behind it (1 to 5
	// ms, as seen in 57 cases) and must not meet the next request, whose answer it would pass for. Where no other
	// connection is there the request waits for the rest of it, which is less than a new connection takes.
	restFor = 8 * time.Millisecond

	// idleShare of the settings' idle time is the longest that a connection is kept unused: a request written
	// to one that the server is just closing ends as a reset, which may have run.
	idleShare = 0.7
)

// conn is one connection to a server. Between requests the pool holds it, during one the attempt does.
type conn struct {
	net.Conn
	r         *bufio.Reader
	id        balancer.ServerID
	addr      string
	opened    time.Time
	idleSince time.Time
	requests  int
}

// rest waits until the connection has rested; false if whoever wants it gives up before.
func (c *conn) rest(ctx context.Context) bool {
	left := restFor - time.Since(c.idleSince)
	if left <= 0 {
		return true
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// quiet tells whether an idle connection may carry a request: nothing may have come on it, not even its end.
// Nothing is taken from it.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil || c.r.Buffered() > 0 {
		return false
	}
	ok := false
	err = raw.Read(func(fd uintptr) bool {
		_, err := socket.Peek(fd)
		ok = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && ok
}
