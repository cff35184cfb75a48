package netfault

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// packetQueue bounds the datagrams that have arrived and were not read: beyond it they are lost, as in a socket.
const packetQueue = 1024

// PacketConn is a datagram socket on a link: some datagrams are lost, some arrive late, and one may overtake another.
type PacketConn struct {
	net.PacketConn
	link     *Link
	began    time.Time
	mu       sync.Mutex // guards the shapers and the deadline
	out      *Shaper
	in       *Shaper
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
	ready    chan datagram
	once     sync.Once
	ended    chan struct{}
}

type datagram struct {
	b    []byte
	from net.Addr
}

// WrapPacket puts a datagram socket on the link.
func (l *Link) WrapPacket(pc net.PacketConn) *PacketConn {
	n := l.connCount.Add(1)
	p := &PacketConn{PacketConn: pc, link: l, began: time.Now(), out: NewShaper(l.up, l.seed, 2*n),
		in: NewShaper(l.down, l.seed, 2*n+1), changed: make(chan struct{}), ready: make(chan datagram, packetQueue), ended: make(chan struct{})}
	go p.pull()
	return p
}

// WriteTo sends a datagram. One that is lost is reported as sent, as on a real link.
func (p *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	p.mu.Lock()
	now := time.Since(p.began)
	at, lost := p.out.DatagramArrival(now, len(b))
	p.mu.Unlock()
	if lost || p.link.stallEnd(Out) != nil {
		return len(b), nil
	}
	copied := append([]byte(nil), b...)
	p.after(at-now, func() { _, _ = p.PacketConn.WriteTo(copied, to) }) // a socket that is gone loses it like the link
	return len(b), nil
}

// after does something after a delay; at once where there is none.
func (p *PacketConn) after(d time.Duration, do func()) {
	if d <= 0 {
		do()
		return
	}
	time.AfterFunc(d, do)
}

// pull reads datagrams from the socket and makes them readable when they are due.
func (p *PacketConn) pull() {
	defer p.once.Do(func() { close(p.ended) })
	buf := make([]byte, 64<<10)
	for {
		n, from, err := p.PacketConn.ReadFrom(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		now := time.Since(p.began)
		at, lost := p.in.DatagramArrival(now, n)
		p.mu.Unlock()
		if lost || p.link.stallEnd(In) != nil {
			continue
		}
		d := datagram{append([]byte(nil), buf[:n]...), from}
		p.after(at-now, func() {
			select {
			case p.ready <- d:
			default: // nobody reads: the socket's buffer is full
			}
		})
	}
}

// SetReadDeadline sets the deadline of ReadFrom, of a call that waits already as well. The socket itself is read on: what arrives
// later is there for the next call.
func (p *PacketConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// readDeadline returns the deadline of ReadFrom, and what is closed once there is another.
func (p *PacketConn) readDeadline() (deadline time.Time, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deadline, p.changed
}

// ReadFrom returns the next datagram that has arrived.
func (p *PacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		deadline, changed := p.readDeadline()
		var late <-chan time.Time
		if !deadline.IsZero() {
			late = time.After(time.Until(deadline))
		}
		select {
		case <-late:
			return 0, nil, os.ErrDeadlineExceeded
		case d := <-p.ready:
			return copy(b, d.b), d.from, nil
		case <-p.ended:
			return 0, nil, io.EOF
		case <-changed:
		}
	}
}
