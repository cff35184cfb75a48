package ingress

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/body"
)

const (
	// headTime bounds the arrival of a request's head, and of a small request whole: by the operators' page a client may
	// take 2 s for it. Who says nothing, or half of something, is to be told or closed within 3 s of connecting.
	headTime = 2500 * time.Millisecond

	// bodyRate in bytes a second is the least at which a body must come on the whole. A client may send 64 kB a second;
	// the fifth below is for pieces that come unevenly.
	bodyRate = 64_000 * 4 / 5

	// bodySlack is what a body may lag behind its rate: a piece that is late.
	bodySlack = 500 * time.Millisecond
)

// pacedBody reads a body as long as it comes fast enough.
type pacedBody struct {
	c     *conn
	from  io.Reader
	began time.Time
	got   int
}

func (p *pacedBody) Read(b []byte) (int, error) {
	if err := p.c.pace(p.began, p.got); err != nil {
		return 0, err
	}
	n, err := p.from.Read(b)
	p.got += n
	return n, err
}

// pace sets until when the next bytes of a body must have come.
func (c *conn) pace(began time.Time, got int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutShort {
		return nil
	}
	least := c.began.Add(headTime)
	if at := began.Add(bodySlack + time.Duration(got)*time.Second/bodyRate); at.After(least) {
		least = at
	}
	return c.Conn.SetReadDeadline(least)
}

// aheadFor is how long before its end a large request of told length is taken up, at its rate so far: a server takes about
// as long to read a megabyte or two, and a slow client must not hold a connection to one for long.
const aheadFor = 500 * time.Millisecond

// soon tells whether the rest of a body should come within aheadFor.
func (p *pacedBody) soon(size int64) func(int64) bool {
	return func(got int64) bool {
		took := time.Since(p.began)
		return took > 0 && got > 0 && float64(size-got)*float64(took)/float64(got) <= float64(aheadFor)
	}
}

// receive reads a request's body: a small one whole into the request, a large one into a file, as far as it must be there
// for the request to be taken up. It tells why the request cannot be, and with which status, or "".
func (s *Server) receive(ctx *fasthttp.RequestCtx, c *conn) (status int, code string) {
	from := ctx.RequestBodyStream()
	if from == nil {
		return 0, ""
	}
	size := int64(ctx.Request.Header.ContentLength())
	in := &pacedBody{c: c, from: from, began: time.Now()}
	var small []byte
	var err error
	if size <= body.MaxInMemory {
		small, err = io.ReadAll(io.LimitReader(in, body.MaxInMemory+1))
	}
	if err == nil && (size > body.MaxInMemory || len(small) > body.MaxInMemory) {
		err = s.receiveLarge(c, in, small, size)
		small = nil
	}
	if err != nil {
		return s.bodyFault(ctx, c, err)
	}
	ctx.Request.SetBodyRaw(small)
	return 0, ""
}

func (s *Server) receiveLarge(c *conn, in *pacedBody, first []byte, size int64) error {
	f, err := s.o.Bodies.Create(max(-1, size))
	if err != nil {
		return err
	}
	c.large, c.rest = f, in // from now on it goes with the request
	var pause func(int64) bool
	if size >= 0 {
		pause = in.soon(size)
	}
	_, err = f.Fill(io.MultiReader(bytes.NewReader(first), in), pause, nil)
	return err
}

// bodyFault is what a client is told whose body could not be taken.
func (s *Server) bodyFault(ctx *fasthttp.RequestCtx, c *conn, err error) (status int, code string) {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, "body_too_large"
	case errors.Is(err, body.ErrNoCapacity), errors.Is(err, body.ErrStorage):
		// Nothing was sent whole, so trying again is harmless, and elsewhere there may be room.
		s.sayNoRoom(err)
		ctx.Response.Header.Set("Retry-After", "1")
		return fasthttp.StatusServiceUnavailable, "no_room"
	case isTimeout(err):
		return slowOr(c)
	}
	return fasthttp.StatusBadRequest, "unreadable"
}

// slowOr is what a client is told whose request was not whole in time: that it was slow, or that the node ends. Then nothing
// of it has run, and another node may have time for it.
func slowOr(c *conn) (status int, code string) {
	if c != nil && c.closesFor(endDrained) {
		return fasthttp.StatusServiceUnavailable, "draining"
	}
	return fasthttp.StatusRequestTimeout, "slow"
}

// sayEvery is how often the log tells that there is no room for large bodies, or that descriptors run short: each time is counted.
const sayEvery = 10 * time.Second

// due tells whether the log may say again what it said then, and notes that it does.
func (s *Server) due(said *atomic.Int64) bool {
	now, last := int64(time.Since(s.made)), said.Load()
	return (last == 0 || now-last >= int64(sayEvery)) && said.CompareAndSwap(last, now)
}

// sayNoRoom tells whoever is on call that large bodies are refused, and whether the disk is why.
func (s *Server) sayNoRoom(err error) {
	if !s.due(&s.saidRoom) {
		return
	}
	s.o.Log.Warn("large requests are refused", "code", "no_room", "error", err, "refused", s.o.Count.Bodies.Refused.Get())
}

// LargeBody is the body of the request in hand where it is a large one, else nil.
func (c *conn) LargeBody() *body.File { return c.large }

// ReadBody reads what is still to come of a large body, and calls ended before its last byte can go on. It tells why the
// body cannot be taken, and with which status, or "".
func (c *conn) ReadBody(ctx *fasthttp.RequestCtx, ended func()) (status int, code string) {
	c.coming(true)
	_, err := c.large.Fill(c.rest, nil, ended)
	c.coming(false)
	if err != nil {
		return c.server.bodyFault(ctx, c, err)
	}
	return 0, ""
}

// coming notes whether the rest of a large body is waited for.
func (c *conn) coming(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploading = on
}

func (c *conn) dropBody() {
	if c.large != nil {
		c.large.Abort()
		c.large.Release()
		c.large, c.rest = nil, nil
	}
}
