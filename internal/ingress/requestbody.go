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
	// headTimeout bounds the arrival of a request's head, and of a small request as a whole. A client may take 2 s to send
	// it; one that sends nothing, or a part, must be rejected or closed within 3 s of connecting.
	headTimeout = 2500 * time.Millisecond

	// minBodyRate, in bytes a second, is the least average rate of a body. Clients send at least 64 kB a second; the fifth
	// below is for pieces that come unevenly.
	minBodyRate = 64_000 * 4 / 5

	// bodySlack is how far a body may lag behind that rate: one late piece.
	bodySlack = 500 * time.Millisecond

	// aheadTime is how long before its expected end a large request of known size is passed to the handler. A server takes
	// about as long to read a megabyte or two, and a slow client must not occupy a connection to one for long.
	aheadTime = 500 * time.Millisecond

	// unknownSize is the size of a body that the client did not announce.
	unknownSize = -1

	codeUnreadable = "unreadable"
)

// pacedReader reads a body as long as it comes fast enough.
type pacedReader struct {
	conn  *conn
	from  io.Reader
	began time.Time
	got   int // bytes
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if err := p.conn.setBodyDeadline(p.began, p.got); err != nil {
		return 0, err
	}
	n, err := p.from.Read(b)
	p.got += n
	return n, err
}

// setBodyDeadline sets until when the next bytes of a body must come.
func (c *conn) setBodyDeadline(began time.Time, got int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutShort {
		return nil
	}
	deadline := c.requestBegan.Add(headTimeout)
	atMinRate := began.Add(bodySlack + time.Duration(got)*time.Second/minBodyRate)
	if atMinRate.After(deadline) {
		deadline = atMinRate
	}
	return c.Conn.SetReadDeadline(deadline)
}

// endsSoon returns a function that reports whether the rest of a body of some size should come within aheadTime, at its rate
// so far.
func (p *pacedReader) endsSoon(size int64) func(got int64) bool {
	return func(got int64) bool {
		took := time.Since(p.began)
		if took <= 0 || got <= 0 {
			return false
		}
		rest := float64(size-got) * float64(took) / float64(got)
		return rest <= float64(aheadTime)
	}
}

// readBody reads a request's body: a small one completely into the request, a large one into a file, as far as it must be
// there for the request to be handled. It returns why the request is rejected; nil: it is not.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *conn) *proxy.Rejection {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	size := int64(ctx.Request.Header.ContentLength())
	in := &pacedReader{conn: c, from: stream, began: time.Now()}
	var first []byte
	var err error
	if size <= body.MaxInMemory {
		first, err = io.ReadAll(io.LimitReader(in, body.MaxInMemory+1))
	}
	large := size > body.MaxInMemory || len(first) > body.MaxInMemory
	if err == nil && large {
		err = s.readLargeBody(c, in, first, size)
		first = nil
	}
	if err != nil {
		rejected := s.bodyRejection(ctx, c, err)
		return &rejected
	}
	ctx.Request.SetBodyRaw(first)
	return nil
}

// readLargeBody reads a large body into a file. First was read of it already.
func (s *Server) readLargeBody(c *conn, in *pacedReader, first []byte, size int64) error {
	f, err := s.options.Bodies.Create(max(unknownSize, size))
	if err != nil {
		return err
	}
	c.largeBody = f // dropBody releases it
	c.bodyRest = in
	var pause func(int64) bool
	if size >= 0 {
		pause = in.endsSoon(size)
	}
	_, err = f.Fill(io.MultiReader(bytes.NewReader(first), in), pause, nil)
	return err
}

// bodyRejection rejects a request whose body could not be read.
func (s *Server) bodyRejection(ctx *fasthttp.RequestCtx, c *conn, err error) proxy.Rejection {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return proxy.Rejection{Status: fasthttp.StatusRequestEntityTooLarge, Code: codeBodyTooLarge}
	case errors.Is(err, body.ErrNoCapacity), errors.Is(err, body.ErrStorage):
		// Nothing was forwarded completely, so a retry is harmless, and another node may have capacity.
		s.logNoCapacity(err)
		ctx.Response.Header.Set("Retry-After", "1")
		return proxy.Rejection{Status: fasthttp.StatusServiceUnavailable, Code: codeNoRoom}
	case isTimeout(err):
		return slowRejection(c)
	}
	return proxy.Rejection{Status: fasthttp.StatusBadRequest, Code: codeUnreadable}
}

// slowRejection rejects a request that was not complete in time, because the client was slow or because the node shuts down.
// In the latter case nothing of it has run, and another node may have time for it.
func slowRejection(c *conn) proxy.Rejection {
	if c != nil && c.closesFor(closeDrained) {
		return proxy.Rejection{Status: fasthttp.StatusServiceUnavailable, Code: proxy.CodeDraining}
	}
	return proxy.Rejection{Status: fasthttp.StatusRequestTimeout, Code: "slow"}
}

// logNoCapacity logs that large bodies are rejected. The error shows whether the disk is the cause.
func (s *Server) logNoCapacity(err error) {
	if !s.allowLog(&s.logLimits.noCapacity) {
		return
	}
	s.options.Log.Warn("large requests are rejected", "code", codeNoRoom, "error", err,
		"refused", s.options.Counters.Bodies.Refused.Get())
}

// LargeBody is the current request's body if it is a large one, else nil.
func (c *conn) LargeBody() *body.File { return c.largeBody }

// ReadBody reads the rest of a large body, and calls ended before its last byte can be forwarded. It returns why the request
// is rejected; nil: it is not.
func (c *conn) ReadBody(ctx *fasthttp.RequestCtx, ended func()) *proxy.Rejection {
	c.setUploading(true)
	_, err := c.largeBody.Fill(c.bodyRest, nil, ended)
	c.setUploading(false)
	if err != nil {
		rejected := c.server.bodyRejection(ctx, c, err)
		return &rejected
	}
	return nil
}

// dropBody releases the current request's large body.
func (c *conn) dropBody() {
	if c.largeBody == nil {
		return
	}
	c.largeBody.Abort()
	c.largeBody.Release()
	c.largeBody = nil
	c.bodyRest = nil
}
