package ingress

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/proxy"
)

const (
	// headTimeout limits how long a client may take to send a request's head, or all of a small request. A client is allowed
	// 2 s. A client that sends nothing or only a part must be rejected or disconnected within 3 s of connecting.
	headTimeout = 2500 * time.Millisecond

	// minBodyRate is the lowest average rate, in bytes per second, at which a body may arrive. Clients send at least 64 kB/s;
	// the limit is a fifth lower because the pieces of a body arrive at uneven intervals.
	minBodyRate = 64_000 * 4 / 5

	// maxBodyLag is how far a body may fall behind minBodyRate. It allows for one late piece.
	maxBodyLag = 500 * time.Millisecond

	// earlyHandlingTime is how long before its expected completion a large request of known size is passed to the handler. A
	// back end takes about that time to read 1 to 2 MB. Passing a request on earlier would let a slow client occupy a connection
	// to a back end for a long time.
	earlyHandlingTime = 500 * time.Millisecond

	// unknownSize is the size of a body whose size the client did not announce.
	unknownSize = -1

	codeUnreadable = "unreadable"
)

// minRateReader reads a body and fails with a timeout if the body falls more than maxBodyLag behind minBodyRate.
type minRateReader struct {
	conn      *conn
	source    io.Reader
	startedAt time.Time
	received  int // bytes read so far
}

// Read sets the deadline for the next bytes and reads them.
func (r *minRateReader) Read(b []byte) (int, error) {
	if err := r.conn.setBodyDeadline(r.startedAt, r.received); err != nil {
		return 0, err
	}
	n, err := r.source.Read(b)
	r.received += n
	return n, err
}

// setBodyDeadline sets the deadline for the next bytes of a body. Received is the number of bytes that were read since startedAt.
// The deadline is at least headTimeout after the request began. The call has no effect if the node is closing the connection
// because its request is incomplete.
func (c *conn) setBodyDeadline(startedAt time.Time, received int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closingIncomplete {
		return nil
	}
	deadline := c.requestBegan.Add(headTimeout)
	minRateDeadline := startedAt.Add(maxBodyLag + time.Duration(received)*time.Second/minBodyRate)
	if minRateDeadline.After(deadline) {
		deadline = minRateDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// completesSoon returns a function that reports whether a body of the given size is expected to be complete within
// earlyHandlingTime, at its average rate so far.
func (r *minRateReader) completesSoon(size int64) func(received int64) bool {
	return func(received int64) bool {
		elapsed := time.Since(r.startedAt)
		if elapsed <= 0 || received <= 0 {
			return false
		}
		remaining := float64(size-received) * float64(elapsed) / float64(received)
		return remaining <= float64(earlyHandlingTime)
	}
}

// readBody reads a small request body completely into the request. It reads a large body into a file until the request can be
// passed to the handler, which may be before the body is complete. It returns the rejection of the request, or nil.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *conn) *proxy.Rejection {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	size := int64(ctx.Request.Header.ContentLength())
	reader := &minRateReader{conn: c, source: stream, startedAt: time.Now()}
	maxWait := maxCapacityWait(ctx)
	var prefix []byte
	var err error
	if size <= body.MaxInMemory {
		prefix, err = s.readSmallBody(c, reader, maxWait)
	}
	large := size > body.MaxInMemory || len(prefix) > body.MaxInMemory
	if err == nil && large {
		err = s.readLargeBody(c, reader, prefix, size, maxWait)
		prefix = nil
	}
	if err != nil {
		rejection := s.bodyRejection(c, err)
		return &rejection
	}
	ctx.Request.SetBodyRaw(prefix)
	return nil
}

// readLargeBody reads a large body into a file. Prefix is the part of the body that was already read.
func (s *Server) readLargeBody(c *conn, reader *minRateReader, prefix []byte, size int64, maxWait time.Duration) error {
	file, err := s.options.Bodies.Create(max(unknownSize, size), maxWait)
	if err != nil {
		return err
	}
	c.largeBody = file // released by releaseBody
	c.setHasFile(true)
	c.bodyRemainder = reader
	var shouldPause func(int64) bool
	if size >= 0 {
		shouldPause = reader.completesSoon(size)
	}
	complete, err := file.Fill(io.MultiReader(bytes.NewReader(prefix), reader), shouldPause, nil)
	c.setUploading(err == nil && !complete)
	return err
}

// bodyRejection returns the rejection of a request whose body could not be read because of err.
func (s *Server) bodyRejection(c *conn, err error) proxy.Rejection {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return proxy.Rejection{Status: fasthttp.StatusRequestEntityTooLarge, Code: codeBodyTooLarge}
	case errors.Is(err, body.ErrNoCapacity), errors.Is(err, body.ErrStorage):
		s.logNoCapacity(err)
		return proxy.Rejection{Status: fasthttp.StatusServiceUnavailable, Code: codeNoCapacity}
	case isTimeout(err):
		return timeoutRejection(c)
	}
	return proxy.Rejection{Status: fasthttp.StatusBadRequest, Code: codeUnreadable}
}

// timeoutRejection returns the rejection of a request that was not complete before its deadline, because the client was slow, the
// node is shutting down, or the memory is needed for other requests. In the latter cases no part of the request has run, and another node
// may still serve it.
func timeoutRejection(c *conn) proxy.Rejection {
	switch {
	case c != nil && c.isClosingFor(closeDrained):
		return proxy.Rejection{Status: fasthttp.StatusServiceUnavailable, Code: proxy.CodeDraining}
	case c != nil && c.isClosingFor(closeMemory):
		return proxy.Rejection{Status: fasthttp.StatusServiceUnavailable, Code: codeNoCapacity}
	}
	return proxy.Rejection{Status: fasthttp.StatusRequestTimeout, Code: "slow"}
}

// logNoCapacity logs that a request with a large body is rejected. The error shows whether the disk is the cause.
func (s *Server) logNoCapacity(err error) {
	if !s.allowLog(&s.lastLogged.noCapacity) {
		return
	}
	s.options.Log.Warn("cannot store a large request body, rejecting the request", "code", codeNoCapacity, "error", err,
		"refused", s.options.Counters.Bodies.Refused.Get())
}

// LargeBody returns the body of the current request if it is large, else nil.
func (c *conn) LargeBody() *body.File { return c.largeBody }

// ReadBody reads the rest of a large body. It calls onComplete before the last byte can be forwarded. It returns the rejection
// of the request, or nil if the body was read.
func (c *conn) ReadBody(ctx *fasthttp.RequestCtx, onComplete func()) *proxy.Rejection {
	c.setUploading(true)
	_, err := c.largeBody.Fill(c.bodyRemainder, nil, onComplete)
	c.setUploading(false)
	if err != nil {
		rejection := c.server.bodyRejection(c, err)
		return &rejection
	}
	return nil
}

// releaseBody releases the current request's large body.
func (c *conn) releaseBody() {
	if c.largeBody == nil {
		return
	}
	c.largeBody.Abort()
	c.largeBody.Release()
	c.largeBody = nil
	c.setHasFile(false)
	c.bodyRemainder = nil
}

func (c *conn) setHasFile(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.hasFile = on
}
