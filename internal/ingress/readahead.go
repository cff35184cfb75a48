package ingress

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/socket"
)

const (
	// maxReadAhead limits the bytes that are read ahead on one connection.
	maxReadAhead = 1 << 20

	// readAheadChunk is the size in bytes up to which bytes that are read ahead are charged and kept together.
	readAheadChunk = 64 << 10

	// readAheadFraction is the largest fraction of the memory limit that all bytes that are read ahead may use. The rest remains for requests
	// that are served.
	readAheadFraction = 0.1
)

// readAhead holds the bytes that follow the request in flight and were read before it has ended. Reading them opens the receive window, so that
// the end of the connection arrives if the client has closed it behind them.
type readAhead struct {
	chunks  []aheadChunk
	size    int       // sum of the chunks, in bytes
	readAt  time.Time // when bytes were last read ahead
	limited bool      // a limit has left bytes unread
}

// aheadChunk is a part of the bytes that were read ahead.
type aheadChunk struct {
	bytes     []byte
	charged   int64
	arrivedAt time.Time
}

// fillAhead reads ahead what lies unread on the connection, as far as the limits allow. It reads only while a complete request is in flight:
// the goroutine that serves the connection does not read then. The caller must hold c.mu.
func (c *conn) fillAhead(fd uintptr) {
	if !c.inFlight || c.uploading {
		return
	}
	for {
		unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		c.ahead.limited = err == nil && unread > 0
		if !c.ahead.limited {
			return
		}
		size := min(unread, readAheadChunk, maxReadAhead-c.ahead.size)
		if size == 0 || !c.server.chargeAhead(int64(size)) {
			return
		}
		if !c.readChunk(fd, size) {
			return
		}
	}
}

// readChunk reads a chunk of a size that was charged. It returns false if nothing could be read. The caller must hold c.mu.
func (c *conn) readChunk(fd uintptr, size int) bool {
	arrivedAt := time.Now().Add(-socket.BufferTimeOf(fd))
	chunk := aheadChunk{bytes: make([]byte, size), charged: int64(size), arrivedAt: arrivedAt}
	n, err := unix.Read(int(fd), chunk.bytes)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(int(fd), chunk.bytes)
	}
	if err != nil || n <= 0 {
		c.server.releaseAhead(chunk.charged)
		return false
	}
	chunk.bytes = chunk.bytes[:n]
	c.ahead.chunks = append(c.ahead.chunks, chunk)
	c.ahead.size += n
	c.ahead.readAt = time.Now()
	return true
}

// takeAhead moves bytes that were read ahead to p. It returns 0 if there are none.
func (c *conn) takeAhead(p []byte) (n int, arrivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead.chunks) == 0 {
		return 0, time.Time{}
	}
	chunk := &c.ahead.chunks[0]
	n = copy(p, chunk.bytes)
	chunk.bytes = chunk.bytes[n:]
	c.ahead.size -= n
	arrivedAt = chunk.arrivedAt
	if len(chunk.bytes) == 0 {
		c.server.releaseAhead(chunk.charged)
		c.ahead.chunks = c.ahead.chunks[1:]
	}
	return n, arrivedAt
}

// hasAhead reports whether there are bytes that were read ahead.
func (c *conn) hasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.size > 0
}

// dropAhead releases the bytes that were read ahead on a connection that has ended.
func (c *conn) dropAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, chunk := range c.ahead.chunks {
		c.server.releaseAhead(chunk.charged)
	}
	c.ahead = readAhead{}
}

// chargeAhead charges bytes to be read ahead. It returns false if the limit of these bytes, or of all memory, does not allow it. Nothing is
// reclaimed for them.
func (s *Server) chargeAhead(bytes int64) bool {
	account := s.options.Memory
	limit := account.Limit()
	inUse := s.aheadBytes.Add(bytes)
	withinFraction := limit <= 0 || inUse <= int64(readAheadFraction*float64(limit))
	if !withinFraction || !account.Fits(memory.ClientConnections, bytes) {
		s.aheadBytes.Add(-bytes)
		return false
	}
	account.Charge(memory.ClientConnections, bytes)
	return true
}

// releaseAhead releases bytes that chargeAhead has charged.
func (s *Server) releaseAhead(bytes int64) {
	s.aheadBytes.Add(-bytes)
	s.options.Memory.Release(memory.ClientConnections, bytes)
}
