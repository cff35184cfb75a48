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
	"tackhub.example/tackhub/internal/memory"
)

const (
	// maxBufferTime is how long a response of unknown size is buffered to find out whether it is small. A small response is
	// forwarded only when it is complete, so that the request can be retried on another server if the connection breaks. The
	// latency of a large response is measured at its first bytes, so these must not wait for the rest, which servers may
	// write slowly.
	maxBufferTime = 20 * time.Millisecond

	// initialBufferBytes is the size of the first read of a large response, and of the first buffer of one of unknown size.
	initialBufferBytes = 4 << 10

	// contentLengthUntilClose is fasthttp's content length for a response that ends when the server closes the connection.
	contentLengthUntilClose = -2
)

var errTooLarge = errors.New("response body too large")

// response is a server's response: its complete body if it is small, or the beginning of the body and a Stream for the rest.
type response struct {
	body []byte
	rest *Stream // nil: body is complete
}

// readResponse reads a response, or the beginning of a large one. The closeReason is the constant reusable if the connection can
// be reused, and otherwise the reason for closing it.
func (p *Pool) readResponse(c *conn, resp *fasthttp.Response) (response, closeReason, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return response{}, closeReset, err
	}
	c.bufferTimeOfAnswer = c.bufferTime()
	c.answerAt = time.Now().Add(-c.bufferTimeOfAnswer)
	if err := skipInterimResponses(c.reader); err != nil {
		return response{}, closeBadResponse, err
	}
	resp.StreamBody = true
	if err := resp.ReadLimitBody(c.reader, 0); err != nil { // with StreamBody, this reads only the head
		return response{}, closeBadResponse, err
	}
	s := p.newStream(c, resp)
	if s.size > body.MaxSize {
		return response{}, closeBadResponse, errTooLarge
	}
	if s.size > body.MaxInMemory {
		return s.readFirst()
	}
	if s.size > initialBufferBytes {
		return s.readMedium()
	}
	return s.readSmall()
}

// readMedium reads a response of up to 64 KiB completely if there is memory for it, so that its request can be retried if the connection
// breaks. Otherwise the response is streamed like a large one.
func (s *Stream) readMedium() (response, closeReason, error) {
	account := s.pool.options.Memory
	if !account.TryCharge(memory.ResponseBodies, s.size) {
		return s.readFirst()
	}
	defer account.Release(memory.ResponseBodies, s.size) // a complete response is written to the client at once
	return s.readSmall()
}

// newStream returns a Stream for the body of a response whose head has been read.
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
	buf := make([]byte, initialBufferBytes)
	n, err := io.ReadAtLeast(s, buf, 1)
	if err != nil {
		return response{}, closeBadResponse, s.wrapReadError(err)
	}
	return response{body: buf[:n], rest: s}, reusable, nil
}

// readSmall reads a response that is small or of unknown size. If a response of unknown size turns out to be large, readSmall
// leaves its rest unread.
func (s *Stream) readSmall() (response, closeReason, error) {
	buf, err := s.bufferBody()
	if err != nil {
		return response{}, closeBadResponse, s.wrapReadError(err)
	}
	if !s.ended {
		return response{body: buf, rest: s}, reusable, nil
	}
	unsolicited := s.conn.reader.Buffered() > 0 // such bytes could be read as the next response
	if s.resp.ConnectionClose() || s.resp.Header.ContentLength() == contentLengthUntilClose || unsolicited {
		return response{body: buf}, closeRequestedByServer, nil
	}
	return response{body: buf}, reusable, nil
}

// bufferBody reads the body to its end. If the size is unknown, it stops early when the body exceeds MaxInMemory or does not end
// within maxBufferTime after its first bytes.
func (s *Stream) bufferBody() ([]byte, error) {
	sizeUnknown := s.size == unknownSize
	capacity := s.size + 1 // only a read beyond the last byte returns io.EOF
	if sizeUnknown {
		capacity = initialBufferBytes
	}
	buf := make([]byte, 0, capacity)
	var firstReadTime time.Time // when the first bytes were read
	for {
		if sizeUnknown && len(buf) > 0 {
			more, err := s.awaitMore(firstReadTime.Add(maxBufferTime))
			if !more {
				return buf, err
			}
		}
		buf = slices.Grow(buf, 1)
		n, err := s.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
		if firstReadTime.IsZero() {
			firstReadTime = time.Now()
		}
		large := len(buf) > body.MaxInMemory || time.Since(firstReadTime) > maxBufferTime
		if sizeUnknown && large {
			return buf, nil
		}
	}
}

// awaitMore waits until there is input or the given time has passed, and reports whether there is input. It peeks, so a timeout
// does not lose the position in the response. It stores a reset as the stream's error, because the kernel reports a reset only
// once: the next read would return io.EOF, and a truncated response that is delimited by the end of the connection would count as
// complete.
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
	case err == nil, errors.Is(err, io.EOF): // the next read returns the same
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	default:
		s.err = err
		return false, err
	}
}
