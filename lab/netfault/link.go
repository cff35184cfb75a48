package netfault

import (
	"sync"
	"sync/atomic"
)

// Link is a simulated network link between two endpoints, with all connections on it. One endpoint's sockets are wrapped.
type Link struct {
	up, down  Impairment // up: written by the wrapped side; down: read by it
	seed      uint64
	connCount atomic.Uint64 // connections and sockets ever wrapped; selects the random number stream of each

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	stalls [2]chan struct{} // by direction: nil unless stalled; closed at the end of the stall
}

// Impair sets the impairments of connections that are wrapped from now on.
func (l *Link) Impair(up, down Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.down = up, down
}

// Direction is one direction of a link, from the point of view of the wrapped side.
type Direction int

// Directions of a link.
const (
	Out Direction = iota // written by the wrapped side
	In                   // read by the wrapped side
)

// NewLink creates a link. up impairs what the wrapped side writes, down what it reads.
func NewLink(up, down Impairment, seed uint64) *Link {
	return &Link{up: up, down: down, seed: seed, conns: map[*Conn]struct{}{}}
}

// Stall starts or ends a stall of both directions. During a stall nothing is delivered, but connections stay open.
func (l *Link) Stall(stalled bool) {
	l.StallDirection(Out, stalled)
	l.StallDirection(In, stalled)
}

// StallDirection starts or ends a stall of one direction. It has no effect if the direction is already in that state.
func (l *Link) StallDirection(d Direction, stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case stalled && l.stalls[d] == nil:
		l.stalls[d] = make(chan struct{})
	case !stalled && l.stalls[d] != nil:
		close(l.stalls[d])
		l.stalls[d] = nil
	}
}

// stallEnd returns a channel that is closed at the end of a direction's stall, or nil if the direction is not stalled.
func (l *Link) stallEnd(d Direction) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalls[d]
}

// Reset resets all connections and returns their number.
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
