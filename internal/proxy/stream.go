package proxy

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/engine"
)

// statusNoStream is for a client whose protocol carries no large responses.
const statusNoStream = fasthttp.StatusBadGateway

// responseStream is a large response that is written to its client as it comes. It holds one buffer at a time, so a client
// that reads slowly slows the server down. fasthttp writes the head, calls WriteTo, and closes the connection where that
// fails, before the length or the last chunk, so that the client can tell.
type responseStream struct {
	request  *request
	first    []byte // read ahead of rest
	rest     engine.RemainingBody
	conn     io.Writer // the client's connection
	buffers  *body.Store
	complete bool
	closed   bool
	written  int64 // bytes
}

// SupportsBodyWriteTo makes fasthttp call WriteTo.
func (s *responseStream) SupportsBodyWriteTo() bool { return true }

// Read returns the response's next bytes, and io.EOF at its end.
func (s *responseStream) Read(b []byte) (int, error) {
	if len(s.first) > 0 {
		n := copy(b, s.first)
		s.first = s.first[n:]
		return n, nil
	}
	n, err := s.rest.Read(b)
	s.complete = errors.Is(err, io.EOF)
	return n, err
}

// WriteTo writes what comes as it comes. Where the size is known it bypasses w, which would hold the latest bytes back until
// more come. Where it is not, w makes a chunk of each write and holds nothing back.
func (s *responseStream) WriteTo(w io.Writer) (int64, error) {
	if s.rest.Size() >= 0 {
		w = s.conn
	}
	b, err := s.buffers.AcquireBuffer()
	if err != nil {
		return 0, err
	}
	defer s.buffers.ReleaseBuffer(b)
	for {
		n, err := s.Read(b[:])
		if n > 0 {
			m, writeErr := w.Write(b[:n])
			s.written += int64(m)
			if writeErr != nil {
				return s.written, writeErr
			}
		}
		switch {
		case s.complete && s.truncated():
			s.complete = false
			return s.written, io.ErrUnexpectedEOF
		case s.complete:
			return s.written, nil
		case err != nil:
			return s.written, err
		}
	}
}

// truncated reports whether less, or more, was written than the server announced.
func (s *responseStream) truncated() bool {
	return s.rest.Size() >= 0 && s.written != s.rest.Size()
}

// Close ends the request: only now its outcome is known. Only its first call counts.
func (s *responseStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.rest.Close()
	s.request.releaseID()
	count := &s.request.handler.options.Counters.Bodies
	if s.complete {
		count.Passed.Inc()
		s.request.count(outcome{status: fasthttp.StatusOK})
	} else {
		count.Broken.Inc()
		s.request.count(outcome{status: fasthttp.StatusBadGateway, kind: engine.Failed})
	}
	return nil
}

// startStream begins a large response.
func (r *request) startStream(ctx *fasthttp.RequestCtx, resp engine.Response) outcome {
	conn, ok := r.client.(io.Writer)
	if !ok { // CoAP has no streams
		resp.Remaining.Close()
		return outcome{status: statusNoStream, kind: engine.Failed}
	}
	// From here on the stream's own timeouts end it, and no other: the request counts as answered.
	resp.Remaining.SetDeadline(time.Now().Add(clock.Span(r.deadline - r.handler.options.Clock.Now())))
	s := &responseStream{request: r, first: resp.Body, rest: resp.Remaining, conn: conn, buffers: r.handler.options.Bodies}
	if resp.Remaining.Size() < 0 && !ctx.Request.Header.IsHTTP11() {
		s.writeHTTP10(ctx)
		return outcome{stream: s}
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(s, int(resp.Remaining.Size()))
	return outcome{status: fasthttp.StatusOK, stream: s}
}

// writeHTTP10 answers a client of HTTP/1.0, which knows no chunks: the connection's end is the body's. A response that breaks
// off ends with a reset, so that the client can tell.
func (s *responseStream) writeHTTP10(ctx *fasthttp.RequestCtx) {
	_, err := s.conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	if err == nil {
		_, err = s.WriteTo(s.conn)
	}
	if c, ok := s.request.client.(interface{ Reset() }); ok && err != nil {
		c.Reset()
	}
	_ = s.Close() // it never fails
	ctx.SetConnectionClose()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(noHijack)
}

// noHijack does nothing: the response has been written, and the connection closes.
func noHijack(net.Conn) {}
