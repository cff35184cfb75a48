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

const (
	// readBufferSize, in bytes, holds any response's head and most bodies at once.
	readBufferSize = 4096

	// settleTime is how long a connection is not used after a response. A server that closes the connection, or sends a
	// second response or noise, does so within some milliseconds; the next request would take such bytes for its own
	// response. Where no other connection is idle a request waits for the rest of this time, which is less than a new
	// connection takes.
	settleTime = 8 * time.Millisecond
)

// conn is one connection to a server. While it is idle the pool owns it, else the attempt or the stream on it does.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	server    balancer.ServerID
	addr      string
	opened    time.Time
	idleSince time.Time
	requests  int // written on it
}

// awaitSettled waits until settleTime has passed since the last response. It reports false if the context ends before.
func (c *conn) awaitSettled(ctx context.Context) bool {
	left := settleTime - time.Since(c.idleSince)
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

// quiet reports whether nothing has come on an idle connection, not even its end. It consumes nothing.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil || c.reader.Buffered() > 0 {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		_, peekErr := socket.Peek(fd)
		nothing = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && nothing
}
