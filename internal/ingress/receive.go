package ingress

import (
	"errors"
	"io"
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

// paced reads a body as long as it comes fast enough.
type paced struct {
	c     *conn
	from  io.Reader
	began time.Time
	got   int
}

func (p *paced) Read(b []byte) (int, error) {
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
	if c.doomed != "" { // told to make way: what has come is still read
		return nil
	}
	least := c.began.Add(headTime)
	if at := began.Add(bodySlack + time.Duration(got)*time.Second/bodyRate); at.After(least) {
		least = at
	}
	return c.Conn.SetReadDeadline(least)
}

// receive reads a request's body: a small one whole into the request, a large one into a file. It tells why the request
// cannot be taken, and with which status, or "".
func (s *Server) receive(ctx *fasthttp.RequestCtx, c *conn) (status int, code string) {
	from := ctx.RequestBodyStream()
	if from == nil {
		return 0, ""
	}
	size := ctx.Request.Header.ContentLength()
	in := &paced{c: c, from: from, began: time.Now()}
	var small []byte
	var err error
	if size <= body.Small {
		small, err = io.ReadAll(io.LimitReader(in, body.Small+1))
	}
	if err == nil && (size > body.Small || len(small) > body.Small) {
		var f *body.File
		if f, err = s.o.Bodies.Keep(small, in); err == nil {
			c.keep(f)
			small = nil
		}
	}
	switch {
	case err == nil:
		ctx.Request.SetBodyRaw(small)
		return 0, ""
	case errors.Is(err, body.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, "body_too_large"
	case errors.Is(err, body.ErrNoRoom), errors.Is(err, body.ErrKeep):
		// Nothing was sent, so trying again is harmless, and elsewhere there may be room.
		s.o.Count.Operations.For(string(ctx.Request.Header.Peek("X-Class"))).Throttled.Inc()
		ctx.Response.Header.Set("Retry-After", "1")
		return fasthttp.StatusServiceUnavailable, "no_room"
	case isTimeout(err):
		return fasthttp.StatusRequestTimeout, "slow"
	}
	return fasthttp.StatusBadRequest, "unreadable"
}

// keep holds a request's body until the request has ended.
func (c *conn) keep(f *body.File) { c.large = f }

// LargeBody is the body of the request in hand where it is a large one, else nil.
func (c *conn) LargeBody() *body.File { return c.large }

func (c *conn) dropBody() {
	if c.large != nil {
		c.large.Release()
		c.large = nil
	}
}
