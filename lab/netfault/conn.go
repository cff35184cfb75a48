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
	c := &Conn{Conn: nc, link: l, startedAt: time.Now(), ended: make(chan struct{}),
		out: newPipe(NewShaper(l.up, l.seed, 2*n)), in: newPipe(NewShaper(l.down, l.seed, 2*n+1))}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	go c.writeWhenDue()
	go c.readSocket()
	go c.deliverWhenDue()
	return c
}

// Conn is a TCP connection on a simulated link. Reads and writes pass through the link's shapers. Bytes keep their order, and
// a half-close takes effect after all bytes written before it.
type Conn struct {
	net.Conn
	link      *Link
	startedAt time.Time
	out       *pipe
	in        *pipe

	terminateOnce sync.Once
	ended         chan struct{}
}

// Write queues bytes on the link. It blocks while too many bytes are in flight.
func (c *Conn) Write(b []byte) (int, error) {
	for n := 0; n < len(b); n += segmentBytes {
		segment := b[n:min(len(b), n+segmentBytes)]
		if err := c.out.put(time.Since(c.startedAt), segment); err != nil {
			return n, err
		}
	}
	return len(b), nil
}

// CloseWrite half-closes the connection after all written bytes have been delivered.
func (c *Conn) CloseWrite() error { return c.out.finish(io.EOF) }

// Read returns bytes that have arrived.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// SetReadDeadline sets the deadline of Read.
func (c *Conn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// SetDeadline sets the deadline of Read only. A blocked Write ends when the connection is closed.
func (c *Conn) SetDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// ResetMaxDelay starts a new measurement for MaxDelay.
func (c *Conn) ResetMaxDelay() {
	for _, p := range []*pipe{c.out, c.in} {
		p.mu.Lock()
		p.maxDelay = 0
		p.mu.Unlock()
	}
}

// MaxDelay returns the delay that the link has added since ResetMaxDelay: the sum of the largest delays of each direction.
func (c *Conn) MaxDelay() time.Duration {
	sum := time.Duration(0)
	for _, p := range []*pipe{c.out, c.in} {
		p.mu.Lock()
		sum += p.maxDelay
		p.mu.Unlock()
	}
	return sum
}

// InFlight reports whether bytes are in flight in either direction.
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

// Close ends reads immediately and closes the connection after all written bytes have been delivered.
func (c *Conn) Close() error {
	c.in.fail(net.ErrClosed)
	return c.out.finish(net.ErrClosed)
}

// Reset resets the connection immediately. Bytes in flight are lost.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.terminate()
}

// terminate closes the socket and unblocks all pending operations of the connection.
func (c *Conn) terminate() {
	c.terminateOnce.Do(func() {
		close(c.ended)
		_ = c.Conn.Close()
		c.in.fail(io.ErrUnexpectedEOF)
		c.out.fail(net.ErrClosed)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
}

// writeWhenDue writes outgoing chunks to the socket when they are due, until the connection ends.
func (c *Conn) writeWhenDue() {
	for {
		outgoing, err := c.out.next()
		if err == nil || errors.Is(err, io.EOF) { // a stall delays the half-close as well as bytes
			err = errors.Join(err, c.waitUntilDue(Out, outgoing.dueAt))
		}
		if err == nil {
			_, err = c.Conn.Write(outgoing.data)
			c.out.delivered(len(outgoing.data))
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF): // half-close: the other direction stays open
			if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
				_ = t.CloseWrite()
			}
			c.out.waitFailed() // meanwhile, bytes from the other side are still read
			c.terminate()
			return
		default:
			c.terminate()
			return
		}
	}
}

// readSocket reads from the socket into the incoming pipe.
func (c *Conn) readSocket() {
	buf := make([]byte, segmentBytes)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 && c.in.put(time.Since(c.startedAt), buf[:n]) != nil {
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

// deliverWhenDue makes incoming chunks readable when they are due.
func (c *Conn) deliverWhenDue() {
	for {
		incoming, err := c.in.next()
		if waitErr := error(nil); err == nil || errors.Is(err, io.EOF) { // a stall delays the half-close as well as bytes
			if waitErr = c.waitUntilDue(In, incoming.dueAt); waitErr != nil {
				err = waitErr
			}
		}
		c.in.mu.Lock()
		if err != nil {
			c.in.readErr = err
		} else {
			c.in.ready = append(c.in.ready, incoming.data)
		}
		c.in.cond.Broadcast()
		c.in.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// waitUntilDue waits until the given time since the start of the connection, and until the direction is not stalled. It
// returns net.ErrClosed if the connection ends first.
func (c *Conn) waitUntilDue(d Direction, dueAt time.Duration) error {
	if wait := dueAt - time.Since(c.startedAt); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.ended:
			return net.ErrClosed
		}
	}
	for stallEnded := c.link.stallEnd(d); stallEnded != nil; stallEnded = c.link.stallEnd(d) {
		select {
		case <-stallEnded:
		case <-c.ended:
			return net.ErrClosed
		}
	}
	return nil
}
