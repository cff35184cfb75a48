package netfault

import (
	"io"
	"net"
	"sync"
)

// Relay forwards TCP connections over a simulated link between two endpoints outside the lab's process. It forwards each
// half-close once, after all bytes sent before it.
type Relay struct {
	listener net.Listener
	to       string
	link     *Link

	mu      sync.Mutex
	closed  bool
	conns   map[net.Conn]struct{}
	running sync.WaitGroup
}

// NewRelay listens on one address and forwards connections to another.
func NewRelay(listen, to string, link *Link) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, to: to, link: link, conns: map[net.Conn]struct{}{}}
	r.running.Go(r.accept)
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// accept forwards connections until the relay is closed.
func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.forward(c) })
	}
}

// track registers a connection so that Close closes it. If the relay is already closed, track closes the connection and
// returns false.
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

// untrack closes a connection and removes it from the registered ones.
func (r *Relay) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// forward connects to the target and copies both directions until both have ended.
func (r *Relay) forward(c net.Conn) {
	if !r.track(c) {
		return
	}
	defer r.untrack(c)
	target, err := net.Dial("tcp", r.to)
	if err != nil { // the client gets a reset, because a relay that has accepted a connection can't refuse it any more
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return
	}
	if !r.track(target) {
		return
	}
	defer r.untrack(target)
	wrapped := r.link.Wrap(c)
	defer func() { // waits until the bytes in flight on the link are delivered
		_ = wrapped.Close()
		<-wrapped.ended
	}()
	var directions sync.WaitGroup
	directions.Go(func() { copyUntilEOF(target, wrapped) })
	directions.Go(func() { copyUntilEOF(wrapped, target) })
	directions.Wait()
}

// copyUntilEOF copies one direction and forwards its half-close. It closes both connections after an error.
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

// Close stops the relay and closes all its connections.
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
