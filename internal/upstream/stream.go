package upstream

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
)

const (
	// stallTimeout is the longest accepted pause in a large response. A slow response must be forwarded as long as bytes
	// arrive, but after a longer pause the server is considered dead.
	stallTimeout = 5 * time.Second

	// stallTimeoutAfterDeadline is the longest accepted pause in a response that is probably small after the request's deadline. A
	// small response counts as lost half a second after the deadline.
	stallTimeoutAfterDeadline = 400 * time.Millisecond

	// probablyLargeBytes is how much of a response of unknown size must have come for it to count as large. A large response is lost
	// if it is cut off during a pause of the server, and servers write large ones in a few lumps.
	probablyLargeBytes = body.MaxInMemory / 4

	// unknownSize is the size of a body without a Content-Length.
	unknownSize = -1
)

// Stream reads the rest of a large response that the server is still sending. Its owner must call Close, which returns the
// connection to the pool or closes it.
type Stream struct {
	pool      *Pool
	conn      *conn
	resp      *fasthttp.Response
	body      io.Reader
	size      int64 // size of the whole body in bytes, or unknownSize
	bytesRead int64 // bytes of the body read so far
	ended     bool  // the body was read to its end
	err       error
	deadline  time.Time // deadline of the request; zero: unknown, or the response is expected to be large
}

// Size returns the size of the whole body in bytes, including the part that was read before the Stream was returned. It is -1
// if the server did not announce the size.
func (s *Stream) Size() int64 { return s.size }

// SetDeadline sets the time at which the client stops waiting for a response that is not expected to be large.
func (s *Stream) SetDeadline(t time.Time) { s.deadline = t }

// Read reads the next bytes of the body. It returns io.EOF when the body is complete.
func (s *Stream) Read(p []byte) (int, error) {
	switch {
	case s.err != nil: // the kernel reports a reset only once; later reads return an end of file
		return 0, s.err
	case s.ended:
		return 0, io.EOF
	}
	if err := s.conn.SetReadDeadline(s.readDeadline()); err != nil {
		return 0, err
	}
	n, err := s.body.Read(p)
	s.bytesRead += int64(n)
	switch {
	case s.bytesRead > body.MaxSize:
		s.err = errTooLarge
	case errors.Is(err, io.EOF):
		s.ended = true
	default:
		s.err = err
	}
	if s.err != nil {
		return n, s.err
	}
	return n, err
}

// readDeadline returns the time by which the next bytes must arrive. For a large body it depends only on stallTimeout, because the
// request's deadline applies only to the first bytes of such a body. Any body of unknown size may be large, so it is forwarded even
// after the request's deadline, but if it is probably small stallTimeoutAfterDeadline replaces stallTimeout.
func (s *Stream) readDeadline() time.Time {
	now := time.Now()
	latest := now.Add(stallTimeout)
	if s.isProbablyLarge() || s.deadline.IsZero() || s.deadline.After(latest) {
		return latest
	}
	if minDeadline := now.Add(stallTimeoutAfterDeadline); minDeadline.After(s.deadline) {
		return minDeadline
	}
	return s.deadline
}

// isProbablyLarge reports whether the body exceeds 64 KiB, or is of unknown size and probably will.
func (s *Stream) isProbablyLarge() bool {
	return s.size > body.MaxInMemory || s.size == unknownSize && s.bytesRead >= probablyLargeBytes
}

// Close returns the connection to the pool if the response was read to its end and the connection can be reused. Otherwise it
// closes the connection.
func (s *Stream) Close() {
	reason := s.closeReason()
	if s.conn.SetReadDeadline(time.Time{}) != nil && reason == reusable {
		reason = closeReset
	}
	s.resp.Reset() // releases the body stream, which reads from the connection
	fasthttp.ReleaseResponse(s.resp)
	err := s.err
	if err != nil {
		err = s.wrapReadError(err)
	}
	s.pool.finish(s.conn, reason, err)
}

// closeReason returns the constant reusable if the connection can be reused, and otherwise the reason for closing it.
func (s *Stream) closeReason() closeReason {
	delimitedByClose := s.size == unknownSize && s.resp.Header.ContentLength() == contentLengthUntilClose
	switch {
	case s.err != nil:
		return closeBadResponse
	case !s.ended:
		return closeAborted
	case s.resp.ConnectionClose() || s.conn.reader.Buffered() > 0 || delimitedByClose:
		return closeRequestedByServer
	}
	return reusable
}

// wrapReadError adds the number of bytes read and the body size to an error, so that a slow server can be distinguished from a
// broken one.
func (s *Stream) wrapReadError(err error) error {
	return fmt.Errorf("response body ended after %d of %d bytes (-1: unknown size): %w", s.bytesRead, s.size, err)
}
