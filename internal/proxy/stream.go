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

// statusStreamingUnsupported is the status for a client whose protocol does not support large responses.
const statusStreamingUnsupported = fasthttp.StatusBadGateway

// responseStream is a large response that is written to the client while it is received from the server. It buffers one block
// at a time, so a client that reads slowly slows the server down. fasthttp writes the head and calls WriteTo. If that fails,
// fasthttp closes the connection before the announced length or the last chunk is written, so the client detects the failure.
type responseStream struct {
	request   *request
	prefix    []byte // the beginning of the body, sent before remaining
	remaining engine.RemainingBody
	conn      io.Writer // the client's connection
	buffers   *body.Store
	complete  bool // the server's response has been read to its end
	closed    bool
	written   int64 // bytes written to the client
}

// SupportsBodyWriteTo makes fasthttp call WriteTo.
func (s *responseStream) SupportsBodyWriteTo() bool { return true }

// Read returns the response's next bytes, and io.EOF at its end.
func (s *responseStream) Read(b []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(b, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	n, err := s.remaining.Read(b)
	s.complete = errors.Is(err, io.EOF)
	return n, err
}

// WriteTo writes the body as it is received. If the size is known, it writes to the connection and not to w, which would
// buffer the latest bytes until more arrive. If the size is unknown, w sends each write as a chunk without buffering.
func (s *responseStream) WriteTo(w io.Writer) (int64, error) {
	if s.remaining.Size() >= 0 {
		w = s.conn
	}
	b := s.buffers.AcquireBuffer()
	defer s.buffers.ReleaseBuffer(b)
	for {
		n, err := s.Read(b)
		if n > 0 {
			m, writeErr := w.Write(b[:n])
			s.written += int64(m)
			if writeErr != nil {
				return s.written, writeErr
			}
		}
		switch {
		case s.complete && s.sizeMismatch():
			s.complete = false
			return s.written, io.ErrUnexpectedEOF
		case s.complete:
			return s.written, nil
		case err != nil:
			return s.written, err
		}
	}
}

// sizeMismatch reports whether the server announced a size and another number of bytes was written.
func (s *responseStream) sizeMismatch() bool {
	return s.remaining.Size() >= 0 && s.written != s.remaining.Size()
}

// Close ends the request and counts its outcome, which is not known earlier. Only the first call has an effect.
func (s *responseStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.remaining.Close()
	s.request.handler.largeResponses.record(s.request.class.Name, s.written)
	s.request.releaseID()
	count := &s.request.handler.options.Counters.Bodies
	if s.complete {
		count.Forwarded.Inc()
		s.request.count(outcome{status: fasthttp.StatusOK})
	} else {
		count.Truncated.Inc()
		s.request.count(outcome{status: fasthttp.StatusBadGateway, kind: engine.Failed})
	}
	return nil
}

// startStream prepares a large response to be streamed to the client.
func (r *request) startStream(ctx *fasthttp.RequestCtx, resp engine.Response) outcome {
	conn, ok := r.client.(io.Writer)
	if !ok { // CoAP does not support streaming
		resp.Remaining.Close()
		return outcome{status: statusStreamingUnsupported, kind: engine.Failed}
	}
	// From here on, the request counts as answered, and only the stream's own timeouts apply.
	if !r.handler.largeResponses.expected(r.class.Name) {
		resp.Remaining.SetDeadline(time.Now().Add(clock.Duration(r.deadline - r.handler.options.Clock.Now())))
	}
	s := &responseStream{request: r, prefix: resp.Body, remaining: resp.Remaining, conn: conn, buffers: r.handler.options.Bodies}
	if resp.Remaining.Size() < 0 && !ctx.Request.Header.IsHTTP11() {
		s.writeHTTP10(ctx)
		return outcome{stream: s}
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(s, int(resp.Remaining.Size()))
	return outcome{status: fasthttp.StatusOK, stream: s}
}

// writeHTTP10 answers an HTTP/1.0 client, which does not support chunks: the end of the connection marks the end of the body.
// An incomplete response ends with a connection reset, so the client detects it.
func (s *responseStream) writeHTTP10(ctx *fasthttp.RequestCtx) {
	_, err := s.conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	if err == nil {
		_, err = s.WriteTo(s.conn)
	}
	if c, ok := s.request.client.(interface{ Reset() }); ok && err != nil {
		c.Reset()
	}
	_ = s.Close() // always returns nil
	ctx.SetConnectionClose()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(noopHijackHandler)
}

// noopHijackHandler does nothing, because the response is written already. fasthttp closes the connection after it.
func noopHijackHandler(net.Conn) {}
