// Package netfault makes the link between two parties worse than loopback: delay, jitter, loss, low bandwidth, stalls,
// resets. What happens to each segment or datagram is worked out by a Shaper, which is pure and takes its random
// numbers from its seed alone. Conn, PacketConn, Relay and PacketRelay carry it out on sockets, and Mesh connects many
// nodes by such links.
package netfault

import (
	"math/rand/v2"
	"time"
)

// Impairment is what one direction of a link does. The zero value does nothing.
type Impairment struct {
	Loss      float64       // share of segments that must be sent again (TCP), or of datagrams that vanish (UDP)
	RTO       time.Duration // the first retransmission time-out; it doubles with each loss of one segment
	Delay     time.Duration // one way
	Jitter    time.Duration // added evenly between 0 and it
	Bandwidth float64       // bytes a second; 0: no limit
}

// Clean reports whether nothing at all is done.
func (p Impairment) Clean() bool {
	return p.Loss == 0 && p.Delay == 0 && p.Jitter == 0 && p.Bandwidth == 0
}

const (
	// segmentBytes is what a TCP segment carries over Ethernet: 1,500 less the two headers.
	segmentBytes = 1460

	// minRTO is the floor of the retransmission time-out that Linux keeps; RFC 6298 would have it at 1 s.
	minRTO = 200 * time.Millisecond

	// maxRetransmissions of one segment in a row are played: at a loss of a half the next one is less likely than a thousandth.
	maxRetransmissions = 10
)

// Shaper works out one direction of one connection. Times are spans since the connection began.
type Shaper struct {
	impairment  Impairment
	rng         *rand.Rand
	lineFree    time.Duration // when the line has sent what came before
	lastArrival time.Duration // of what came before: TCP keeps the order
}

// NewShaper makes a shaper whose random numbers depend on the seed and the stream alone. A retransmission timeout below
// minRTO is raised to it.
func NewShaper(p Impairment, seed, stream uint64) *Shaper {
	if p.RTO < minRTO {
		p.RTO = minRTO
	}
	return &Shaper{impairment: p, rng: rand.New(rand.NewPCG(seed, stream))}
}

// SegmentArrival is when n bytes that are written now arrive on a TCP connection. A lost segment arrives after its
// retransmission, and what follows waits behind it.
func (s *Shaper) SegmentArrival(now time.Duration, n int) time.Duration {
	at := s.transmitted(now, n) + s.propagation()
	rto := s.impairment.RTO
	for i := 0; i < maxRetransmissions && s.rng.Float64() < s.impairment.Loss; i++ {
		at += rto
		rto *= 2
	}
	s.lastArrival = max(s.lastArrival, at)
	return s.lastArrival
}

// DatagramArrival is when a datagram arrives, if it does. A later one may overtake it.
func (s *Shaper) DatagramArrival(now time.Duration, n int) (at time.Duration, lost bool) {
	at = s.transmitted(now, n) + s.propagation()
	return at, s.rng.Float64() < s.impairment.Loss
}

// transmitted is when the line has sent n bytes.
func (s *Shaper) transmitted(now time.Duration, n int) time.Duration {
	s.lineFree = max(s.lineFree, now)
	if s.impairment.Bandwidth > 0 {
		s.lineFree += time.Duration(float64(n) / s.impairment.Bandwidth * float64(time.Second))
	}
	return s.lineFree
}

// propagation is the delay from the line to the other end.
func (s *Shaper) propagation() time.Duration {
	d := s.impairment.Delay
	if s.impairment.Jitter > 0 {
		d += time.Duration(s.rng.Float64() * float64(s.impairment.Jitter))
	}
	return d
}
