package ingress

import (
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/memory"
	"tackhub.example/tackhub/internal/proxy"
)

const (
	// longestCapacityWait is the longest time for which a request waits for memory or a file, while its client is blocked. After that time
	// it is better to retry the request at another node, and a response that is delayed by 2 s is lost.
	longestCapacityWait = 1500 * time.Millisecond

	// capacityWaitFraction is the largest fraction of the client's timeout for which a request waits for memory or a file. The kernel may
	// have received the whole request before the wait, so that its time has begun.
	capacityWaitFraction = 0.5

	// reclaimInterval is the shortest time between two searches for connections whose memory can be reclaimed.
	reclaimInterval = 20 * time.Millisecond

	// initialBodyBytes is the size of the first buffer of a request body in memory.
	initialBodyBytes = 4 << 10

	// bodyCopies is the number of copies of a request body in memory: the body as it was read, and the bytes of an attempt.
	bodyCopies = 2

	// headCopies is the number of copies of a large head: as it was read, its fields, and the head to forward.
	headCopies = 4

	// uncountedHeadBytes is the size up to which a head is part of connectionBytes.
	uncountedHeadBytes = 1 << 10
)

// requestMemory is the memory that the current request of a connection uses.
type requestMemory struct {
	bodyBytes int64 // charged for its body
	headBytes int64 // charged for its head
	hasFile   bool  // its body is in a file
}

// reclaim closes connections with incomplete requests that have received nothing for minEvictSilentTime and whose body uses memory or a
// file, longest silent first. If there are none, it closes connections that are idle.
func (s *Server) reclaim() {
	now := int64(time.Since(s.created))
	last := s.lastReclaim.Load()
	if last != 0 && now-last < int64(reclaimInterval) || !s.lastReclaim.CompareAndSwap(last, now) {
		return
	}
	silent := slices.DeleteFunc(s.silentConns(), func(candidate evictionCandidate) bool { return !candidate.conn.hasBody() })
	sortByInactivity(silent)
	evicted := s.evictAll(silent, (*conn).closeIncomplete, closeMemory)
	if evicted == 0 {
		idle := s.idleConns(minEvictIdleTime)
		sortByInactivity(idle)
		evicted = s.evictAll(idle, (*conn).closeWhenIdle, closeMemory)
	}
	s.options.Counters.Memory.Evicted.Add(int64(evicted))
}

// maxCapacityWait returns how long a request may wait for memory or a file.
func maxCapacityWait(ctx *fasthttp.RequestCtx) time.Duration {
	timeout, ok := proxy.ClientTimeout(&ctx.Request.Header)
	if !ok {
		return longestCapacityWait
	}
	return min(longestCapacityWait, time.Duration(capacityWaitFraction*float64(timeout)))
}

// chargeHead charges a large head. It returns the rejection of the request if there is no memory for it, or nil.
func (s *Server) chargeHead(ctx *fasthttp.RequestCtx, c *conn) *proxy.Rejection {
	size := len(ctx.Request.Header.RawHeaders()) + len(ctx.Request.Header.RequestURI())
	if size <= uncountedHeadBytes {
		return nil
	}
	if !c.charge(memory.ClientConnections, int64(headCopies*size), maxCapacityWait(ctx)) {
		s.logNoCapacity(body.ErrNoCapacity)
		return &proxy.Rejection{Status: fasthttp.StatusServiceUnavailable, Code: codeNoCapacity}
	}
	return nil
}

// readSmallBody reads a body that may be small. It stops when it has read more than MaxInMemory bytes. The bytes are charged before they are
// read; releaseMemory releases them.
func (s *Server) readSmallBody(c *conn, source io.Reader, maxWait time.Duration) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := min(max(initialBodyBytes, 2*cap(buffer)), body.MaxInMemory+1)
			if !c.charge(memory.RequestBodies, int64(bodyCopies*(size-cap(buffer))), maxWait) {
				return nil, body.ErrNoCapacity
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) > body.MaxInMemory:
			return buffer, nil
		}
	}
}

// charge charges memory for the current request of the connection. It returns false if none becomes free in time.
func (c *conn) charge(p memory.Purpose, bytes int64, maxWait time.Duration) bool {
	if !c.server.options.Memory.WaitCharge(p, bytes, maxWait) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p == memory.RequestBodies {
		c.memory.bodyBytes += bytes
	} else {
		c.memory.headBytes += bytes
	}
	return true
}

// releaseMemory releases what charge has charged for the current request.
func (c *conn) releaseMemory() {
	c.mu.Lock()
	bodyBytes := c.memory.bodyBytes
	headBytes := c.memory.headBytes
	c.memory.bodyBytes = 0
	c.memory.headBytes = 0
	c.mu.Unlock()
	c.server.options.Memory.Release(memory.RequestBodies, bodyBytes)
	c.server.options.Memory.Release(memory.ClientConnections, headBytes)
}

// hasBody reports whether the body of the current request uses memory or a file.
func (c *conn) hasBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.memory.bodyBytes > 0 || c.memory.hasFile
}
