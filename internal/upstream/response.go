package upstream

import (
	"bytes"
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
)

const (
	// maxHold is how long a response of unknown size is held back to see whether it is small. A small one is passed on
	// whole, so if it breaks off the request can be retried elsewhere; a large one is timed by its first bytes, and servers
	// may write it slowly.
	maxHold = 20 * time.Millisecond

	// firstPieceBytes is read of a large response before it is passed on.
	firstPieceBytes = 4 << 10

	// untilClose is fasthttp's content length of a response that only the connection's end delimits.
	untilClose = -2
)

var errTooLarge = errors.New("response body too large")

// response is what was read of a server's response: a complete small body, or the beginning of a large one.
type response struct {
	body []byte
	rest *Stream // nil: body is complete
}

// readResponse reads a response, or the beginning of a large one. The reason is why the connection cannot be reused,
// or reusable.
func (p *Pool) readResponse(c *conn, resp *fasthttp.Response) (response, closeReason, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return response{}, closeReset, err
	}
	if err := skipInterim(c.reader); err != nil {
		return response{}, closeBadResponse, err
	}
	resp.StreamBody = true
	if err := resp.ReadLimitBody(c.reader, 0); err != nil { // reads the head alone
		return response{}, closeBadResponse, err
	}
	s := p.newStream(c, resp)
	if s.size > body.MaxSize {
		return response{}, closeBadResponse, errTooLarge
	}
	if s.size > body.MaxInMemory {
		return s.readFirst()
	}
	return s.readSmall()
}

// newStream returns the body of a response whose head was read.
func (p *Pool) newStream(c *conn, resp *fasthttp.Response) *Stream {
	s := &Stream{
		pool: p,
		conn: c,
		resp: resp,
		body: resp.BodyStream(),
		size: max(unknownSize, int64(resp.Header.ContentLength())),
	}
	if s.body == nil {
		s.body = bytes.NewReader(nil)
		s.size = 0
	}
	return s
}

// readFirst reads the first bytes of a large response.
func (s *Stream) readFirst() (response, closeReason, error) {
	first := make([]byte, firstPieceBytes)
	n, err := io.ReadAtLeast(s, first, 1)
	if err != nil {
		return response{}, closeBadResponse, s.incomplete(err)
	}
	return response{body: first[:n], rest: s}, reusable, nil
}

// readSmall reads a response that is small or of unknown size.
func (s *Stream) readSmall() (response, closeReason, error) {
	b, err := s.readHeld()
	if err != nil {
		return response{}, closeBadResponse, s.incomplete(err)
	}
	if !s.ended {
		return response{body: b, rest: s}, reusable, nil
	}
	unsolicited := s.conn.reader.Buffered() > 0 // such bytes could pass for the next response
	if s.resp.ConnectionClose() || s.resp.Header.ContentLength() == untilClose || unsolicited {
		return response{body: b}, closeServerAsked, nil
	}
	return response{body: b}, reusable, nil
}

// readHeld reads to the end of the body. It stops before where the size is unknown and the body turns out to be large, or
// does not end within maxHold.
func (s *Stream) readHeld() ([]byte, error) {
	unknown := s.size == unknownSize
	capacity := s.size + 1 // the end shows in a read beyond the last byte
	if unknown {
		capacity = firstPieceBytes
	}
	b := make([]byte, 0, capacity)
	var firstAt time.Time // when the first bytes were read
	for {
		if unknown && len(b) > 0 {
			more, err := s.awaitMore(firstAt.Add(maxHold))
			if !more {
				return b, err
			}
		}
		b = slices.Grow(b, 1)
		n, err := s.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if firstAt.IsZero() {
			firstAt = time.Now()
		}
		large := len(b) > body.MaxInMemory || time.Since(firstAt) > maxHold
		if unknown && large {
			return b, nil
		}
	}
}

// awaitMore waits until there is something to read, or until a time. Peeking allows the wait to be given up without losing
// the position in the response. A reset must be reported here, since the kernel reports it once: the next read would find an
// end of file, and take a response that the connection's end delimits for complete.
func (s *Stream) awaitMore(until time.Time) (bool, error) {
	if s.conn.reader.Buffered() > 0 {
		return true, nil
	}
	s.err = s.conn.SetReadDeadline(until)
	if s.err != nil {
		return false, s.err
	}
	_, err := s.conn.reader.Peek(1)
	switch {
	case err == nil, errors.Is(err, io.EOF): // the next read finds either again
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	default:
		s.err = err
		return false, err
	}
}
