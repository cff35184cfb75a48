package netfault

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// chunk is a sequence of bytes that arrive together. dueAt is measured from the start of the connection.
type chunk struct {
	dueAt time.Duration
	data  []byte
}

// pipe is one direction of a Conn: chunks in order, each with the time at which it is due.
type pipe struct {
	mu             sync.Mutex
	cond           *sync.Cond
	shaper         *Shaper
	queue          []chunk
	bytes          int           // in flight: queued or not yet read or written to the socket
	maxDelay       time.Duration // the largest delay since Conn.ResetMaxDelay
	finishErr      error         // set if nothing more is queued; queued chunks are still delivered
	failErr        error         // set if nothing is delivered any more
	timer          *time.Timer   // expires at the read deadline
	deadlinePassed bool          // the read deadline has passed
	ready          [][]byte      // chunks that are due but not read yet
	unread         []byte
	readErr        error // returned by read after the last ready chunk
}

func newPipe(s *Shaper) *pipe {
	p := &pipe{shaper: s}
	p.cond = sync.NewCond(&p.mu)
	return p
}

// put queues bytes. It blocks while too many bytes are in flight.
func (p *pipe) put(now time.Duration, b []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.bytes > maxInFlightBytes && p.failErr == nil && p.finishErr == nil {
		p.cond.Wait()
	}
	if p.failErr != nil {
		return p.failErr
	}
	if p.finishErr != nil {
		return net.ErrClosed
	}
	dueAt := p.shaper.SegmentArrival(now, len(b))
	p.maxDelay = max(p.maxDelay, dueAt-now)
	p.queue = append(p.queue, chunk{dueAt, append([]byte(nil), b...)})
	p.bytes += len(b)
	p.cond.Broadcast()
	return nil
}

// next waits for the next chunk and returns it. Its bytes count as in flight until delivered or read is called.
func (p *pipe) next() (chunk, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && p.finishErr == nil && p.failErr == nil {
		p.cond.Wait()
	}
	switch {
	case p.failErr != nil:
		return chunk{}, p.failErr
	case len(p.queue) == 0:
		return chunk{}, p.finishErr
	}
	out := p.queue[0]
	p.queue = p.queue[1:]
	return out, nil
}

// delivered records that n bytes are no longer in flight.
func (p *pipe) delivered(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes -= n
	p.cond.Broadcast()
}

// finish ends the direction after the queued chunks. next returns err when no queued chunk is left.
func (p *pipe) finish(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finishErr == nil || errors.Is(p.finishErr, io.EOF) {
		p.finishErr = err
	}
	p.cond.Broadcast()
	return nil
}

// waitFailed waits until a half-closed direction is closed or fails.
func (p *pipe) waitFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.failErr == nil && errors.Is(p.finishErr, io.EOF) {
		p.cond.Wait()
	}
}

// fail ends the direction immediately. Queued chunks are lost.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failErr == nil {
		p.failErr = err
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

// read returns bytes that are due. It blocks until there are any, the deadline passes or the direction ends.
func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.unread) == 0 {
		switch {
		case p.failErr != nil:
			return 0, p.failErr
		case p.deadlinePassed:
			return 0, os.ErrDeadlineExceeded
		case len(p.ready) > 0:
			p.unread = p.ready[0]
			p.ready = p.ready[1:]
		case p.readErr != nil:
			return 0, p.readErr
		default:
			p.cond.Wait()
		}
	}
	n := copy(b, p.unread)
	p.unread = p.unread[n:]
	p.bytes -= n
	p.cond.Broadcast()
	return n, nil
}

// maxInFlightBytes limits the bytes in flight in one direction. A writer blocks above it, as on a full socket buffer.
const maxInFlightBytes = 256 << 10
