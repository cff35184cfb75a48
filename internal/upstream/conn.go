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
	// readBufferSize is the size in bytes of a connection's read buffer. A response head must fit into it, and most bodies do.
	readBufferSize = 4096

	// connectionBytes is the memory that a connection uses: its buffer, the stack of its attempt, and the head of a response.
	connectionBytes = 10 << 10

	// reuseDelay is the minimum time between a response and the next request on the same connection. A server that closes
	// the connection, or sends a second response or other unsolicited bytes, does so within a few milliseconds. Without the
	// delay the next request would read those bytes as its own response. If no other connection is idle, a request waits
	// until the delay has passed, which is faster than opening a new connection.
	reuseDelay = 8 * time.Millisecond
)

// conn is a connection to a server. The pool owns it while it is idle; otherwise the attempt, probe or Stream that uses it does.
type conn struct {
	net.Conn
	reader             *bufio.Reader
	server             balancer.ServerID
	addr               string
	opened             time.Time
	delay              time.Duration // estimated time until written bytes reach the server
	idleSince          time.Time
	writtenAt          time.Time     // when the last request was written
	answerAt           time.Time     // when the first byte of the last answer arrived
	bufferTimeOfAnswer time.Duration // for how long it was in the kernel's buffer
	requests           int           // requests written on this connection, including incomplete ones

	unsolicited  bool          // the server has sent bytes while the connection was idle
	suspectTime  time.Duration // time of an answer that came much sooner than all earlier ones of the server
	suspectUntil time.Time     // until then the connection rests because of that answer; zero: it is not suspect

	listRevision int64 // revision of the endpoint list by which the server of the last request was chosen
}

// awaitReuseDelay waits until reuseDelay has passed since the last response. It reports false if the context ends first.
func (c *conn) awaitReuseDelay(ctx context.Context) bool {
	remaining := reuseDelay - time.Since(c.idleSince)
	if remaining <= 0 {
		return true
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// bufferTime returns for how long the latest bytes of the server have been in the kernel's buffer, because this process had no CPU time.
func (c *conn) bufferTime() time.Duration {
	tcpConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return 0
	}
	return socket.BufferTime(raw)
}

// hasNoPendingInput reports whether an idle connection is still open and has no unread bytes. It does not consume any input.
func (c *conn) hasNoPendingInput() bool {
	rawConn, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil || c.reader.Buffered() > 0 {
		return false
	}
	noInput := false
	err = rawConn.Read(func(fd uintptr) bool {
		n, peekErr := socket.Peek(fd)
		noInput = errors.Is(peekErr, syscall.EAGAIN)
		c.unsolicited = n > 0
		return true
	})
	return err == nil && noInput
}
