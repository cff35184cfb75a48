package netfault

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// chunk is what arrives together.
type chunk struct {
	at time.Duration
	b  []byte
}

// pipe is one direction: chunks in order, each with the time at which it is due.
type pipe struct {
	mu             sync.Mutex
	cond           *sync.Cond
	shaper         *Shaper
	queue          []chunk
	bytes          int
	maxDelay       time.Duration // the largest delay since Conn.ResetMaxDelay
	done           error         // no more comes; what is queued still passes
	failed         error         // nothing passes any more
	timer          *time.Timer
	deadlinePassed bool     // the read deadline has passed
	ready          [][]byte // due, not yet read
	rest           []byte
	end            error // what follows the last chunk that was due
}

func newPipe(s *Shaper) *pipe {
	p := &pipe{shaper: s}
	p.cond = sync.NewCond(&p.mu)
	return p
}

// put queues bytes. It waits while too many are in flight.
func (p *pipe) put(now time.Duration, b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.bytes > maxInFlightBytes && p.failed == nil && p.done == nil {
		p.cond.Wait()
	}
	if p.failed != nil {
		return p.failed
	}
	if p.done != nil {
		return net.ErrClosed
	}
	at := p.shaper.SegmentArrival(now, len(b))
	p.maxDelay = max(p.maxDelay, at-now)
	p.queue = append(p.queue, chunk{at, append([]byte(nil), b...)})
	p.bytes += len(b)
	p.cond.Broadcast()
	return nil
}

// next waits for the next chunk; its bytes count as in flight until delivered.
func (p *pipe) next() (chunk, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && p.done == nil && p.failed == nil {
		p.cond.Wait()
	}
	switch {
	case p.failed != nil:
		return chunk{}, p.failed
	case len(p.queue) == 0:
		return chunk{}, p.done
	}
	out := p.queue[0]
	p.queue = p.queue[1:]
	return out, nil
}

// delivered says that n bytes have passed.
func (p *pipe) delivered(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes -= n
	p.cond.Broadcast()
}

// finish ends the direction after what is queued.
func (p *pipe) finish(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil || errors.Is(p.done, io.EOF) {
		p.done = err
	}
	p.cond.Broadcast()
	return nil
}

// waitFailed waits until the connection is closed, after its sending has ended.
func (p *pipe) waitFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.failed == nil && errors.Is(p.done, io.EOF) {
		p.cond.Wait()
	}
}

// fail ends the direction at once; what is queued is lost.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = err
	}
	p.cond.Broadcast()
}

// setDeadline sets the read deadline; the zero time removes it.
func (p *pipe) setDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	p.deadlinePassed = false
	if t.IsZero() {
		return
	}
	p.timer = time.AfterFunc(time.Until(t), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.deadlinePassed = true
		p.cond.Broadcast()
	})
}

// read returns what is due. It waits for the first byte, the deadline or the end.
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

// maxInFlightBytes bounds the bytes in flight in one direction. Beyond it a writer waits, as on a full socket.
const maxInFlightBytes = 256 << 10
