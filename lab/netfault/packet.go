package netfault

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// packetQueue limits the datagrams that have arrived but were not read. Further ones are lost, as with a full socket buffer.
const packetQueue = 1024

// PacketConn is a datagram socket on a simulated link. Datagrams may be lost, delayed or reordered.
type PacketConn struct {
	net.PacketConn
	link      *Link
	startedAt time.Time
	mu        sync.Mutex // guards the shapers and the deadline
	out       *Shaper
	in        *Shaper
	deadline  time.Time
	changed   chan struct{} // closed and replaced when the deadline changes
	ready     chan datagram
	endOnce   sync.Once
	ended     chan struct{}
}

type datagram struct {
	data []byte
	from net.Addr
}

// WrapPacket puts a datagram socket on the link.
func (l *Link) WrapPacket(pc net.PacketConn) *PacketConn {
	n := l.connCount.Add(1)
	p := &PacketConn{PacketConn: pc, link: l, startedAt: time.Now(), out: NewShaper(l.up, l.seed, 2*n),
		in: NewShaper(l.down, l.seed, 2*n+1), changed: make(chan struct{}), ready: make(chan datagram, packetQueue), ended: make(chan struct{})}
	go p.receive()
	return p
}

// WriteTo sends a datagram. It reports a lost datagram as sent, as on a real link.
func (p *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.mu.Lock()
	now := time.Since(p.startedAt)
	dueAt, lost := p.out.DatagramArrival(now, len(b))
	p.mu.Unlock()
	if lost || p.link.stallEnd(Out) != nil {
		return len(b), nil
	}
	copied := append([]byte(nil), b...)
	p.afterDelay(dueAt-now, func() { _, _ = p.PacketConn.WriteTo(copied, to) }) // a closed socket drops the datagram, as the link might
	return len(b), nil
}

// afterDelay calls a function after a delay, or immediately if the delay is not positive.
func (p *PacketConn) afterDelay(d time.Duration, do func()) {
	if d <= 0 {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// receive reads datagrams from the socket and makes them available to ReadFrom when they are due.
func (p *PacketConn) receive() {
	defer p.endOnce.Do(func() { close(p.ended) })
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.PacketConn.ReadFrom(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		now := time.Since(p.startedAt)
		dueAt, lost := p.in.DatagramArrival(now, n)
		p.mu.Unlock()
		if lost || p.link.stallEnd(In) != nil {
			continue
		}
		d := datagram{append([]byte(nil), buf[:n]...), from}
		p.afterDelay(dueAt-now, func() {
			select {
			case p.ready <- d:
			default: // the queue is full because the caller does not read
			}
		})
	}
}

// SetReadDeadline sets the deadline of ReadFrom, including a call that is already blocked. The socket is still read, so
// datagrams that arrive after the deadline are available to the next call.
func (p *PacketConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// readDeadline returns the deadline of ReadFrom and a channel that is closed when the deadline changes.
func (p *PacketConn) readDeadline() (deadline time.Time, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deadline, p.changed
}

// ReadFrom returns the next datagram that has arrived. It blocks until the read deadline or the end of the socket.
func (p *PacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		deadline, changed := p.readDeadline()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			expired = time.After(time.Until(deadline))
		}
		select {
		case <-expired:
			return 0, nil, os.ErrDeadlineExceeded
		case d := <-p.ready:
			return copy(b, d.data), d.from, nil
		case <-p.ended:
			return 0, nil, io.EOF
		case <-changed:
		}
	}
}
