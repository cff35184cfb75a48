package netfault

import (
	"errors"
	"io"
	"os"
)

// read gives what is due. It waits for the first byte, for the deadline or for the end.
func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.rest) == 0 {
		switch {
		case p.failed != nil:
			return 0, p.failed
		case p.deadlinePassed:
			return 0, os.ErrDeadlineExceeded
		case len(p.ready) > 0:
			p.rest = p.ready[0]
			p.ready = p.ready[1:]
		case p.end != nil:
			return 0, p.end
		default:
			p.cond.Wait()
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	p.bytes -= n
	p.cond.Broadcast()
	return n, nil
}

// deliver moves parcels to where they can be read, each when it is due.
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
