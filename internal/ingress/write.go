package ingress

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout is how long a write of a response may make no progress. A client that acknowledges nothing for that time is no longer
// reading.
const writeTimeout = 3 * time.Second

// Write writes part of a response and records a failure as the close reason. It fails with a timeout only if the client acknowledges
// nothing for writeTimeout: the kernel accepts further bytes only when a third of its send buffer is free, which takes much longer if the
// client reads slowly.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.writeWhileAcknowledged(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if c.closeReason == "" {
			c.server.options.Counters.Requests.Unsent.Inc()
		}
		c.setCloseReason(closeWriteFailed)
	}
	return n, err
}

// writeWhileAcknowledged writes p for as long as the client acknowledges further bytes within each writeTimeout.
func (c *conn) writeWhileAcknowledged(p []byte) (int, error) {
	written := 0
	acknowledged := c.acknowledgedBytes()
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now := c.acknowledgedBytes()
		if n == 0 && now <= acknowledged {
			return written, err
		}
		acknowledged = now
	}
}

// acknowledgedBytes returns how many bytes the client has acknowledged since the connection was opened, or 0 if the connection has failed.
func (c *conn) acknowledgedBytes() uint64 {
	acknowledged := uint64(0)
	_ = c.raw.Control(func(fd uintptr) { // fails on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			acknowledged = info.Bytes_acked
		}
	})
	return acknowledged
}

// SetWriteDeadline does nothing. Write sets a deadline for each write instead, because a large response may take long in total.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
