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

// statusNoPiece tells a client of a protocol without large answers that there is one.
const statusNoPiece = fasthttp.StatusBadGateway

// passing is a large answer on its way to the client. It holds one piece at a time: a client that reads slowly holds the
// server up. fasthttp writes the head, calls WriteTo, and closes the connection where that fails, before the length or
// the last chunk, so that the client can tell.
type passing struct {
	r       *request
	first   []byte
	rest    engine.RemainingBody
	to      io.Writer // the client's connection
	store   *body.Store
	whole   bool
	over    bool
	written int64
}

// SupportsBodyWriteTo has fasthttp call WriteTo.
func (p *passing) SupportsBodyWriteTo() bool { return true }

// Read gives the answer where it is not written by WriteTo.
func (p *passing) Read(b []byte) (int, error) {
	if len(p.first) > 0 {
		n := copy(b, p.first)
		p.first = p.first[n:]
		return n, nil
	}
	n, err := p.rest.Read(b)
	p.whole = errors.Is(err, io.EOF)
	return n, err
}

// WriteTo writes what comes as it comes. Where the size is told, straight to the connection: w would hold the last bytes
// that have come back until more do. Else w makes a chunk of each piece and holds nothing.
func (p *passing) WriteTo(w io.Writer) (int64, error) {
	if p.rest.Size() >= 0 {
		w = p.to
	}
	b, err := p.store.AcquireBuffer()
	if err != nil {
		return 0, err
	}
	defer p.store.ReleaseBuffer(b)
	for {
		n, err := p.Read(b[:])
		if n > 0 {
			m, werr := w.Write(b[:n])
			p.written += int64(m)
			if werr != nil {
				return p.written, werr
			}
		}
		switch {
		case p.whole && p.rest.Size() >= 0 && p.written != p.rest.Size():
			p.whole = false
			return p.written, io.ErrUnexpectedEOF
		case p.whole:
			return p.written, nil
		case err != nil:
			return p.written, err
		}
	}
}

// Close books the ending, which only now is known.
func (p *passing) Close() error {
	if p.over {
		return nil
	}
	p.over = true
	p.rest.Close()
	p.r.release()
	count := &p.r.desk.o.Count.Bodies
	if p.whole {
		count.Passed.Inc()
		p.r.count(ending{status: fasthttp.StatusOK})
	} else {
		count.Broken.Inc()
		p.r.count(ending{status: fasthttp.StatusBadGateway, kind: engine.Failed})
	}
	return nil
}

// pass begins a large answer.
func (r *request) pass(ctx *fasthttp.RequestCtx, client Client, a engine.Response) ending {
	to, ok := client.(io.Writer)
	if !ok { // CoAP keeps to small ones
		a.Remaining.Close()
		return ending{status: statusNoPiece, kind: engine.Failed}
	}
	// From here on no timer but the stream's own ends it: the request counts as answered.
	a.Remaining.SetDeadline(time.Now().Add(clock.Span(r.until - r.desk.o.Clock.Now())))
	p := &passing{r: r, first: a.Body, rest: a.Remaining, to: to, store: r.desk.o.Bodies}
	if a.Remaining.Size() < 0 && !ctx.Request.Header.IsHTTP11() {
		p.plain(ctx, client)
		return ending{passing: p}
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.Response.SetBodyStream(p, int(a.Remaining.Size()))
	return ending{status: fasthttp.StatusOK, passing: p}
}

// plain answers a client of HTTP/1.0, which knows no chunks: the end of the connection ends the body. One that breaks off
// is reset, so that the client can tell.
func (p *passing) plain(ctx *fasthttp.RequestCtx, client Client) {
	_, err := p.to.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	if err == nil {
		_, err = p.WriteTo(p.to)
	}
	if c, ok := client.(interface{ Reset() }); ok && err != nil {
		c.Reset()
	}
	_ = p.Close()
	ctx.SetConnectionClose()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(noHijack)
}

// noHijack leaves the connection to its end: the answer has been written.
func noHijack(net.Conn) {}

// hasBody tells whether a request has a body.
func (t *taken) hasBody() bool { return len(t.body) > 0 || t.large != nil }

// size is the body's in bytes.
func (t *taken) size() int64 {
	if t.large != nil {
		return t.large.Size()
	}
	return int64(len(t.body))
}
