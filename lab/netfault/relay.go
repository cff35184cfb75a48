package netfault

import (
	"io"
	"net"
	"sync"
)

// Relay carries TCP connections over a link between two parties neither of which is the lab's own. Each half-close is
// passed on once, after what was sent before it.
type Relay struct {
	listener net.Listener
	to       string
	link     *Link

	mu      sync.Mutex
	closed  bool
	conns   map[net.Conn]struct{}
	running sync.WaitGroup
}

// NewRelay listens on an address and carries what comes to another.
func NewRelay(listen, to string, link *Link) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, link: link, conns: map[net.Conn]struct{}{}}
	r.running.Go(r.accept)
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// accept carries connections until the relay is closed.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.carry(c) })
	}
}

// track remembers a connection so that Close ends it; false where the relay is closed already.
func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

// untrack closes a connection and forgets it.
func (r *Relay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// carry connects to the other side and copies both directions.
func (r *Relay) carry(c net.Conn) {
	if !r.track(c) {
		return
	}
	defer r.untrack(c)
	to, err := net.Dial("tcp", r.to)
	if err != nil { // who connected sees a reset, the nearest to the refusal that a relay can give
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	if !r.track(to) {
		return
	}
	defer r.untrack(to)
	near := r.link.Wrap(c)
	defer func() { // what is still in flight on the link passes first
		_ = near.Close()
		<-near.ended
	}()
	var both sync.WaitGroup
	both.Go(func() { copyUntilEOF(to, near) })
	both.Go(func() { copyUntilEOF(near, to) })
	both.Wait()
}

// copyUntilEOF copies one direction and passes on its half-close. An error closes both connections.
func copyUntilEOF(to, from net.Conn) {
	_, err := io.Copy(to, from)
	if err != nil {
		_ = to.Close()
		_ = from.Close()
		return
	}
	if t, ok := to.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite()
	}
}

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	open := make([]net.Conn, 0, len(r.conns))
	for c := range r.conns {
		open = append(open, c)
	}
	r.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	r.link.Reset()
	r.running.Wait()
}
