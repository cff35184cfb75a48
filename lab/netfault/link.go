package netfault

import (
	"sync"
	"sync/atomic"
)

// Link is what lies between two parties, with all connections on it.
type Link struct {
	up, down  Impairment // up: what the wrapped side writes; down: what it reads
	seed      uint64
	connCount atomic.Uint64 // of connections and sockets ever wrapped: each has a stream of random numbers of its own

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	stalls [2]chan struct{} // by direction: not nil while nothing passes; closed at the end of the stall
}

// Impair changes what is done to connections that are wrapped from now on.
func (l *Link) Impair(up, down Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.down = up, down
}

// Direction is one direction of a link, as the wrapped side sees it.
type Direction int

// The directions.
const (
	Out Direction = iota // what the wrapped side writes
	In                   // what it reads
)

// NewLink makes a link. up is what the wrapped side writes, down what it reads.
func NewLink(up, down Impairment, seed uint64) *Link {
	return &Link{up: up, down: down, seed: seed, conns: map[*Conn]struct{}{}}
}

// Stall begins or ends a stall of both directions: nothing passes, nothing breaks.
func (l *Link) Stall(on bool) {
	l.StallDirection(Out, on)
	l.StallDirection(In, on)
}

// StallDirection begins or ends a stall of one direction. A begin within a stall changes nothing, nor does an end
// outside of one.
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

// stallEnd is closed at the end of a direction's stall; nil where there is none.
func (l *Link) stallEnd(d Direction) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stalls[d]
}

// Reset breaks all connections and returns how many there were.
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
