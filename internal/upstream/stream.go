package upstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
)

const (
	// stallMost is how long a server may stand still within a large answer. What it still gives must be passed on,
	// however slowly; one that gives nothing for so long has gone silent.
	stallMost = 5 * time.Second

	// stallLate is the same of an answer whose size is not told, once the request's time is up: it may be a small one, which is lost
	// half a second after that.
	stallLate = 400 * time.Millisecond

	// holdMost is how long an answer whose size is not told is held back to see whether it is a small one, which could be
	// had again elsewhere if it broke. What is large is timed by its first bytes, and servers may write slowly.
	holdMost = 20 * time.Millisecond

	// firstPiece is read of a large answer before it is passed on.
	firstPiece = 4 << 10
)

var errLarge = errors.New("the answer is larger than there may be")

// Stream is the rest of a large answer that is still coming. Its connection goes back with Close.
type Stream struct {
	pool *Pool
	conn *conn
	resp *fasthttp.Response
	body io.Reader
	size int64 // of the whole body, -1 where it is not told
	got  int64 // of the whole body
	end  bool
	err  error

	until time.Time // when the client gives the request up; zero: not told
}

// Size is the whole body's in bytes, what was read before the stream included; -1 where the server did not tell it.
func (s *Stream) Size() int64 { return s.size }

// Until says when the client gives the request up.
func (s *Stream) SetDeadline(t time.Time) { s.until = t }

// due is when the next piece must have come. Over 64 KiB the first bytes are timed alone, and an answer of untold size may become
// such a one: what its server still gives is passed on, also late. But one that stands still is broken off.
func (s *Stream) due() time.Time {
	now := time.Now()
	at := now.Add(stallMost)
	if s.until.IsZero() || s.size > body.MaxInMemory || s.until.After(at) {
		return at
	}
	if late := now.Add(stallLate); late.After(s.until) {
		return late
	}
	return s.until
}

// Read gives what has come, and io.EOF once the answer is whole.
func (s *Stream) Read(p []byte) (int, error) {
	switch {
	case s.err != nil: // the kernel tells of a reset once, and of an end from then on
		return 0, s.err
	case s.end:
		return 0, io.EOF
	}
	if err := s.conn.SetReadDeadline(s.due()); err != nil {
		return 0, err
	}
	n, err := s.body.Read(p)
	s.got += int64(n)
	switch {
	case s.got > body.MaxSize:
		s.err = errLarge
	case errors.Is(err, io.EOF):
		s.end = true
	default:
		s.err = err
	}
	if s.err != nil {
		return n, s.err
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, and ends it otherwise.
func (s *Stream) Close() {
	reason := ""
	switch {
	case s.err != nil:
		reason = endBadAnswer
	case !s.end:
		reason = endGaveUp
	case s.resp.ConnectionClose() || s.conn.r.Buffered() > 0 || s.size < 0 && s.resp.Header.ContentLength() == -2:
		reason = endAsked
	}
	if s.conn.SetReadDeadline(time.Time{}) != nil && reason == "" {
		reason = endReset
	}
	s.resp.Reset() // its stream reads from the connection
	fasthttp.ReleaseResponse(s.resp)
	s.pool.finish(s.conn, reason, s.err)
}

// brokeOff tells how far an answer had come: slow ones and broken ones look alike else.
func (s *Stream) brokeOff(err error) error {
	return fmt.Errorf("after %d bytes of %d: %w", s.got, s.size, err)
}

// answer is what was read of a server's answer: a small body whole, or the first of a large one.
type answer struct {
	body []byte
	rest *Stream // nil where the body is whole
}

// readAnswer takes in one answer, and of a large one the first bytes.
func (p *Pool) readAnswer(c *conn, resp *fasthttp.Response) (answer, string, error) {
	if _, err := c.r.Peek(1); err != nil {
		return answer{}, endReset, err
	}
	if err := finalHead(c.r); err != nil {
		return answer{}, endBadAnswer, err
	}
	resp.StreamBody = true
	if err := resp.ReadLimitBody(c.r, 0); err != nil { // the head alone
		return answer{}, endBadAnswer, err
	}
	from, size := resp.BodyStream(), int64(resp.Header.ContentLength())
	if from == nil {
		from, size = eof{}, 0
	}
	if size > body.MaxSize {
		return answer{}, endBadAnswer, errLarge
	}
	s := &Stream{pool: p, conn: c, resp: resp, body: from, size: max(-1, size)}
	var a answer
	var err error
	if size > body.MaxInMemory {
		a.body = make([]byte, firstPiece)
		var n int
		if n, err = io.ReadAtLeast(s, a.body, 1); err != nil {
			return answer{}, endBadAnswer, s.brokeOff(err)
		}
		a.body, a.rest = a.body[:n], s
		return a, "", nil
	}
	if a.body, err = s.small(); err != nil {
		return answer{}, endBadAnswer, s.brokeOff(err)
	}
	if !s.end {
		a.rest = s
		return a, "", nil
	}
	if resp.ConnectionClose() || resp.Header.ContentLength() == -2 || c.r.Buffered() > 0 {
		return a, endAsked, nil // what comes unasked could pass for the next answer
	}
	return a, "", nil
}

// small reads an answer that is, or may be, a small one: to its end, unless its size is not told and it turns out to be
// large or takes its time.
func (s *Stream) small() ([]byte, error) {
	room := s.size + 1 // the end shows in a read beyond the last byte
	if s.size < 0 {
		room = firstPiece
	}
	var began time.Time
	for b := make([]byte, 0, room); ; {
		if s.size < 0 && len(b) > 0 {
			if more, err := s.more(began.Add(holdMost)); !more {
				return b, err
			}
		}
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
		n, err := s.Read(b[len(b):cap(b)])
		if b = b[:len(b)+n]; errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
		if began.IsZero() {
			began = time.Now()
		}
		if s.size < 0 && (len(b) > body.MaxInMemory || time.Since(began) > holdMost) {
			return b, nil
		}
	}
}

// more waits for something further to read, until a time at the latest. Only so can a wait be given up without losing the
// place in the answer. A reset met here must be told here: the next read would find an end, and so, of an answer with no
// length, a whole one.
func (s *Stream) more(until time.Time) (bool, error) {
	if s.conn.r.Buffered() > 0 {
		return true, nil
	}
	if s.err = s.conn.SetReadDeadline(until); s.err != nil {
		return false, s.err
	}
	switch _, err := s.conn.r.Peek(1); {
	case err == nil, errors.Is(err, io.EOF): // the read finds it again
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	default:
		s.err = err
		return false, err
	}
}

// eof is the body of an answer that has none.
type eof struct{}

func (eof) Read([]byte) (int, error) { return 0, io.EOF }
