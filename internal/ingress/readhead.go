package ingress

import (
	"bytes"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxHeadFields is the largest number of fields in a request's head. The fields of a head cost many times their bytes once they are
	// parsed, so the limit on bytes does not bound them.
	maxHeadFields = 100

	// minRequestBytes is less than the size of any request, and more than the error of an estimated head size.
	minRequestBytes = 32

	// maxUnframedRead limits a read, in bytes, if it is not known whether the HTTP server has already buffered the beginning of the next
	// head. A small read bounds the fields that are parsed before the number of fields is known.
	maxUnframedRead = 512
)

// errTooManyFields is returned for a head with more than maxHeadFields fields.
var errTooManyFields = errors.New("too many fields in the head of the request")

// headFraming is what is known of the position in the stream of requests. Only the goroutine that serves the connection uses it.
type headFraming struct {
	// unknown is true if the HTTP server may have buffered bytes of the next request, so that the next read need not begin a head.
	unknown bool
	// received is the number of bytes since the beginning of the current request, and headSize the size of its head; 0: not complete.
	received, headSize int
	// buffered is about how many bytes of later requests the HTTP server has buffered; 0 if it is not known. The size of a head that was not
	// read at once is estimated from its parts.
	buffered int
	// tooMany is true if the current head has too many fields. Its first byte was passed on, and the next read fails.
	tooMany bool
}

// httpConn is a connection as the HTTP server reads it.
type httpConn struct{ *conn }

// Read reads the head of a request completely, and anything else as it comes.
func (h httpConn) Read(p []byte) (int, error) {
	c := h.conn
	c.beginRead()
	if c.framing.tooMany {
		return 0, errTooManyFields
	}
	read := c.Read
	if c.isBetweenRequests() {
		read = c.readHead
	}
	n, err := read(p)
	c.framing.received += n
	return n, err
}

// isBetweenRequests reports whether the next byte may be the first one of a request.
func (c *conn) isBetweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// readHead reads the complete head of a request, as far as p has room, before the HTTP server parses it. A head with too many fields is not
// passed on. Only if it is not known where the head begins, the HTTP server parses the first part of it.
func (c *conn) readHead(p []byte) (int, error) {
	if c.framing.unknown {
		return c.Read(p[:min(len(p), maxUnframedRead)])
	}
	n, err := c.Read(p)
	if n > 0 && c.requests > 0 { // until now the limit was that of an idle connection
		err = errors.Join(err, c.SetReadDeadline(time.Now().Add(headTimeout)))
	}
	for n > 0 && err == nil && n < len(p) && headSize(p[:n]) == 0 && countFields(p[:n]) <= maxHeadFields {
		var more int
		more, err = c.Read(p[n:])
		n += more
	}
	if n == 0 {
		return 0, err
	}
	c.framing.headSize = headSize(p[:n])
	head := p[:n]
	if c.framing.headSize > 0 {
		head = p[:c.framing.headSize]
	}
	if countFields(head) > maxHeadFields {
		c.framing.tooMany = true
		return 1, nil // an error before the first byte would end the connection without a response
	}
	return n, nil // an error will be returned again by the next read
}

// countBuffered updates buffered at the end of the current request, before endRequest.
func (f *headFraming) countBuffered(header *fasthttp.RequestHeader, bodySize int) {
	f.buffered = max(0, f.buffered+f.received-estimatedHeadSize(header)-bodySize)
	if bodySize < 0 {
		f.buffered = 0
	}
}

// endRequest records that the current request was handled. The next read begins a head if no byte beyond the body was received.
func (f *headFraming) endRequest(bodySize int) {
	if f.headSize == 0 || bodySize < 0 || f.received != f.headSize+bodySize {
		f.unknown = true
	}
	f.received = 0
	f.headSize = 0
}

// estimatedHeadSize returns about the size of a request's head, within a few bytes.
func estimatedHeadSize(header *fasthttp.RequestHeader) int {
	const restOfRequestLine = len("  HTTP/1.1\r\n")
	return len(header.Method()) + len(header.RequestURI()) + restOfRequestLine + len(header.RawHeaders())
}

// headSize returns the size of the head at the beginning of b, including the empty line at its end, or 0 if the head is not complete.
func headSize(b []byte) int {
	for end := 0; ; {
		lineEnd := bytes.IndexByte(b[end:], '\n')
		if lineEnd < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[end:end+lineEnd], []byte("\r"))
		first := end == 0
		end += lineEnd + 1
		if len(line) == 0 && !first {
			return end
		}
	}
}

// countFields returns the number of lines after the request line in a head, which may be incomplete.
func countFields(head []byte) int { return bytes.Count(head, []byte("\n")) - 1 }
