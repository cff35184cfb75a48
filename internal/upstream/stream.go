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
	// maxStall is how long a server may pause within a large response. What it still sends must be passed on, however
	// slowly; after such a pause it counts as dead.
	maxStall = 5 * time.Second

	// maxStallLate is the same for a response of unknown size once the request's deadline has passed. It may be a small one,
	// which is lost half a second after its deadline.
	maxStallLate = 400 * time.Millisecond

	// unknownSize is the size of a body that the server did not announce.
	unknownSize = -1
)

// Stream is the rest of a large response that is still coming. Whoever gets it must close it; that returns its connection to
// the pool.
type Stream struct {
	pool     *Pool
	conn     *conn
	resp     *fasthttp.Response
	body     io.Reader
	size     int64 // of the whole body in bytes, or unknownSize
	got      int64 // bytes of the whole body that were read
	ended    bool  // the body was read to its end
	err      error
	deadline time.Time // when the client gives up; zero: unknown
}

// Size is the size of the whole body in bytes, what was read before the stream included; -1 where the server did not
// announce it.
func (s *Stream) Size() int64 { return s.size }

// SetDeadline sets when the client gives the request up.
func (s *Stream) SetDeadline(t time.Time) { s.deadline = t }

// Read returns what has come, and io.EOF once the response is complete.
func (s *Stream) Read(p []byte) (int, error) {
	switch {
	case s.err != nil: // the kernel reports a reset once, and an end of file from then on
		return 0, s.err
	case s.ended:
		return 0, io.EOF
	}
	if err := s.conn.SetReadDeadline(s.readDeadline()); err != nil {
		return 0, err
	}
	n, err := s.body.Read(p)
	s.got += int64(n)
	switch {
	case s.got > body.MaxSize:
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

// readDeadline is when the next bytes must have come. Of a body over 64 KiB only the first bytes are timed by the request's
// deadline, and a body of unknown size may become one: what its server sends is passed on, also late, but a pause ends it.
func (s *Stream) readDeadline() time.Time {
	now := time.Now()
	latest := now.Add(maxStall)
	large := s.size > body.MaxInMemory
	if large || s.deadline.IsZero() || s.deadline.After(latest) {
		return latest
	}
	if late := now.Add(maxStallLate); late.After(s.deadline) {
		return late
	}
	return s.deadline
}

// Close returns the connection to the pool if the response was read to its end, and closes it otherwise.
func (s *Stream) Close() {
	reason := s.closeReason()
	if s.conn.SetReadDeadline(time.Time{}) != nil && reason == reusable {
		reason = closeReset
	}
	s.resp.Reset() // its body reads from the connection
	fasthttp.ReleaseResponse(s.resp)
	s.pool.finish(s.conn, reason, s.err)
}

// closeReason is why the connection cannot be reused, or reusable.
func (s *Stream) closeReason() closeReason {
	delimitedByClose := s.size == unknownSize && s.resp.Header.ContentLength() == untilClose
	switch {
	case s.err != nil:
		return closeBadResponse
	case !s.ended:
		return closeAborted
	case s.resp.ConnectionClose() || s.conn.reader.Buffered() > 0 || delimitedByClose:
		return closeServerAsked
	}
	return reusable
}

// incomplete wraps an error with how much of the response had come, by which a slow server differs from a broken one.
func (s *Stream) incomplete(err error) error {
	return fmt.Errorf("after %d bytes of %d: %w", s.got, s.size, err)
}
