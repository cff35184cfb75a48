package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Wrap puts a TCP connection on the link.
func (l *Link) Wrap(nc net.Conn) *Conn {
	n := l.connCount.Add(1)
	l.mu.Lock()
	c := &Conn{Conn: nc, link: l, began: time.Now(), ended: make(chan struct{}),
		out: newPipe(NewShaper(l.up, l.seed, 2*n)), in: newPipe(NewShaper(l.down, l.seed, 2*n+1))}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	go c.push()
	go c.pull()
	go c.deliver()
	return c
}

// Conn is a TCP connection on a link. Reads and writes pass through the link's shapers; the order is kept, and a
// half-close comes after what was written before.
type Conn struct {
	net.Conn
	link  *Link
	began time.Time
	out   *pipe
	in    *pipe

	once  sync.Once
	ended chan struct{}
}

// Write hands bytes to the link. It waits while too many are in flight.
func (c *Conn) Write(b []byte) (int, error) {
	for n := 0; n < len(b); n += segmentBytes {
		part := b[n:min(len(b), n+segmentBytes)]
		if err := c.out.put(time.Since(c.began), part); err != nil {
			return n, err
		}
	}
	return len(b), nil
}

// CloseWrite half-closes the connection once what was written has passed.
func (c *Conn) CloseWrite() error { return c.out.finish(io.EOF) }

// Read returns what has arrived.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// SetReadDeadline sets the deadline of Read.
func (c *Conn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// SetDeadline sets the deadline of Read; a blocked Write ends with Close.
func (c *Conn) SetDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// ResetMaxDelay begins a new measurement for MaxDelay.
func (c *Conn) ResetMaxDelay() {
	for _, p := range []*pipe{c.out, c.in} {
		p.mu.Lock()
		p.maxDelay = 0
		p.mu.Unlock()
	}
}

// MaxDelay is what the link has added since ResetMaxDelay: the largest delay of each direction, summed.
func (c *Conn) MaxDelay() time.Duration {
	sum := time.Duration(0)
	for _, p := range []*pipe{c.out, c.in} {
		p.mu.Lock()
		sum += p.maxDelay
		p.mu.Unlock()
	}
	return sum
}

// InFlight reports whether the link still holds bytes of either direction.
func (c *Conn) InFlight() bool {
	for _, p := range []*pipe{c.out, c.in} {
		p.mu.Lock()
		n := p.bytes
		p.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// Close closes the connection once what was written has passed.
func (c *Conn) Close() error {
	c.in.fail(net.ErrClosed)
	return c.out.finish(net.ErrClosed)
}

// Reset breaks the connection at once; what is in flight is lost.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.end()
}

// end closes the socket and unblocks whoever waits.
func (c *Conn) end() {
	c.once.Do(func() {
		close(c.ended)
		_ = c.Conn.Close()
		c.in.fail(io.ErrUnexpectedEOF)
		c.out.fail(net.ErrClosed)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
}

// push writes chunks to the socket when they are due.
func (c *Conn) push() {
	for {
		p, err := c.out.next()
		if err == nil || errors.Is(err, io.EOF) { // the end passes a silent link no sooner than bytes do
			err = errors.Join(err, c.waitUntilDue(Out, p.at))
		}
		if err == nil {
			_, err = c.Conn.Write(p.b)
			c.out.delivered(len(p.b))
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF): // only the sending ends
			if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
				_ = t.CloseWrite()
			}
			c.out.waitFailed() // what the other side still sends is read until then
			c.end()
			return
		default:
			c.end()
			return
		}
	}
}

// pull reads from the socket into the incoming pipe.
func (c *Conn) pull() {
	buf := make([]byte, segmentBytes)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 && c.in.put(time.Since(c.began), buf[:n]) != nil {
			return
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			c.in.fail(err)
			return
		}
		_ = c.in.finish(io.EOF)
		return
	}
}

// deliver makes incoming chunks readable when they are due.
func (c *Conn) deliver() {
	for {
		q, err := c.in.next()
		if werr := error(nil); err == nil || errors.Is(err, io.EOF) { // the end passes a silent link no sooner than bytes do
			if werr = c.waitUntilDue(In, q.at); werr != nil {
				err = werr
			}
		}
		c.in.mu.Lock()
		if err != nil {
			c.in.end = err
		} else {
			c.in.ready = append(c.in.ready, q.b)
		}
		c.in.cond.Broadcast()
		c.in.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// waitUntilDue waits until a moment of the connection, and until the end of a stall.
func (c *Conn) waitUntilDue(d Direction, at time.Duration) error {
	if span := at - time.Since(c.began); span > 0 {
		t := time.NewTimer(span)
		defer t.Stop()
		select {
		case <-t.C:
		case <-c.ended:
			return net.ErrClosed
		}
	}
	for s := c.link.stallEnd(d); s != nil; s = c.link.stallEnd(d) {
		select {
		case <-s:
		case <-c.ended:
			return net.ErrClosed
		}
	}
	return nil
}
