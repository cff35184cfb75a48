package netfault

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// queueBytes bounds what is under way in one direction; who sends more waits, as on a full socket.
const maxInFlightBytes = 256 << 10

// Link is the way between two parties, with all connections on it.
type Link struct {
	up, down  Impairment // up: what the wrapped side writes; down: what it reads
	seed      uint64
	connCount atomic.Uint64

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	stalls [2]chan struct{} // by direction: not nil while nothing passes; closed at the end of the silence
}

// Impair changes what is done to connections that begin from now on.
func (l *Link) Impair(up, down Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.down = up, down
}

// Direction is one way of a link, as the wrapped side sees it.
type Direction int

// The directions.
const (
	Out Direction = iota // what the wrapped side writes
	In                   // what it reads
)

// NewLink makes a link.
func NewLink(up, down Impairment, seed uint64) *Link {
	return &Link{up: up, down: down, seed: seed, conns: map[*Conn]struct{}{}}
}

// Silence stops all that is under way, in both directions, until it is ended.
func (l *Link) Stall(on bool) {
	l.StallDirection(Out, on)
	l.StallDirection(In, on)
}

// Mute stops what is under way in one direction until it is ended.
func (l *Link) StallDirection(d Direction, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.stalls[d] == nil:
		l.stalls[d] = make(chan struct{})
	case !on && l.stalls[d] != nil:
		close(l.stalls[d])
		l.stalls[d] = nil
	}
}

func (l *Link) stallEnd(d Direction) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalls[d]
}

// Reset breaks all connections and gives how many there were.
func (l *Link) Reset() int {
	l.mu.Lock()
	open := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Reset()
	}
	return len(open)
}

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

// Conn is a connection on a link. Reads and writes pass through the link's shapers; the order is kept, and the end of
// sending comes after what was sent before.
type Conn struct {
	net.Conn
	link  *Link
	began time.Time
	out   *pipe
	in    *pipe

	once  sync.Once
	ended chan struct{}
}

// Write hands bytes to the link. It waits while too much is under way.
func (c *Conn) Write(b []byte) (int, error) {
	for n := 0; n < len(b); n += segmentBytes {
		part := b[n:min(len(b), n+segmentBytes)]
		if err := c.out.put(time.Since(c.began), part); err != nil {
			return n, err
		}
	}
	return len(b), nil
}

// CloseWrite ends the sending once what was sent has passed.
func (c *Conn) CloseWrite() error { return c.out.finish(io.EOF) }

// Read gives what has arrived.
func (c *Conn) Read(b []byte) (int, error) { return c.in.read(b) }

// SetReadDeadline bounds reads from what has arrived.
func (c *Conn) SetReadDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// SetDeadline bounds reads; writes are bounded by Close.
func (c *Conn) SetDeadline(t time.Time) error { c.in.setDeadline(t); return nil }

// Mark begins a new account of delays.
func (c *Conn) ResetMaxDelay() {
	for _, p := range []*pipe{c.out, c.in} {
		p.mu.Lock()
		p.maxDelay = 0
		p.mu.Unlock()
	}
}

// Delay is what the link has added since Mark: the worst delay of either direction, summed.
func (c *Conn) MaxDelay() time.Duration {
	sum := time.Duration(0)
	for _, p := range []*pipe{c.out, c.in} {
		p.mu.Lock()
		sum += p.maxDelay
		p.mu.Unlock()
	}
	return sum
}

// UnderWay tells whether the link still holds bytes of either direction.
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

// Close lets what was sent pass, then closes.
func (c *Conn) Close() error {
	c.in.fail(net.ErrClosed)
	return c.out.finish(net.ErrClosed)
}

// Reset breaks the connection at once; what is under way is lost.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.end()
}

// end closes the socket and all that waits on it.
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

// push writes what is under way to the socket when it is due.
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

// pull reads from the socket, and lets it be read when it is due.
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

// wait sleeps until a moment of the connection, and as long as the link is silent.
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

// parcel is what arrives together.
type chunk struct {
	at time.Duration
	b  []byte
}

// pipe is one direction: parcels in order, each with its time.
type pipe struct {
	mu             sync.Mutex
	cond           *sync.Cond
	shaper         *Shaper
	queue          []chunk
	bytes          int
	maxDelay       time.Duration // delay since Mark
	done           error         // no more comes; what is queued still passes
	failed         error         // nothing passes any more
	timer          *time.Timer
	deadlinePassed bool     // the read deadline has passed
	ready          [][]byte // due, not yet read
	rest           []byte
	end            error // what follows the last parcel that was due
}

func newPipe(s *Shaper) *pipe {
	p := &pipe{shaper: s}
	p.cond = sync.NewCond(&p.mu)
	return p
}

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

// next waits for the next parcel; its bytes count as under way until gone.
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

func (p *pipe) delivered(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes -= n
	p.cond.Broadcast()
}

func (p *pipe) finish(err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil || errors.Is(p.done, io.EOF) {
		p.done = err
	}
	p.cond.Broadcast()
	return nil
}

// closed waits until the connection is closed, after its sending has ended.
func (p *pipe) waitFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.failed == nil && errors.Is(p.done, io.EOF) {
		p.cond.Wait()
	}
}

func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = err
	}
	p.cond.Broadcast()
}

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
