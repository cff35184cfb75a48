// Package netfault makes the link between two parties worse than loopback: delay, jitter, loss, a narrow line, silence,
// resets. What happens to each segment or datagram is worked out by a Shaper, which is pure and draws chance from its
// seed alone; Conn, PacketConn and Relay carry it out on sockets.
package netfault

import (
	"math/rand/v2"
	"time"
)

// Params are what one direction of a link does.
type Params struct {
	Loss      float64       // share of segments that must be sent again (TCP), or of datagrams that vanish (UDP)
	RTO       time.Duration // the first retransmission time-out; it doubles with each loss of one segment
	Delay     time.Duration // one way
	Jitter    time.Duration // added evenly between 0 and it
	Bandwidth float64       // bytes a second; 0: no limit
}

// Clean tells whether nothing at all is done.
func (p Params) Clean() bool {
	return p.Loss == 0 && p.Delay == 0 && p.Jitter == 0 && p.Bandwidth == 0
}

const (
	// segmentBytes is what a TCP segment carries over Ethernet: 1,500 less the two headers.
	segmentBytes = 1460

	// leastRTO is the floor of the retransmission time-out that Linux keeps; RFC 6298 would have it at 1 s.
	leastRTO = 200 * time.Millisecond

	// mostLosses of one segment in a row are played: at a loss of a half the next one is less likely than a thousandth.
	mostLosses = 10
)

// Shaper works out one direction of one connection. Times are spans since the connection began.
type Shaper struct {
	p    Params
	rng  *rand.Rand
	free time.Duration // when the line has put out what came before
	last time.Duration // when what came before is there: TCP keeps the order
}

// NewShaper makes a shaper whose chance comes from the seed and the stream alone.
func NewShaper(p Params, seed, stream uint64) *Shaper {
	if p.RTO < leastRTO {
		p.RTO = leastRTO
	}
	return &Shaper{p: p, rng: rand.New(rand.NewPCG(seed, stream))}
}

// Segment tells when n bytes that are handed over now arrive on a TCP connection. A lost segment comes after its
// retransmission, and what follows waits behind it.
func (s *Shaper) Segment(now time.Duration, n int) time.Duration {
	at := s.onLine(now, n) + s.way()
	rto := s.p.RTO
	for i := 0; i < mostLosses && s.rng.Float64() < s.p.Loss; i++ {
		at += rto
		rto *= 2
	}
	s.last = max(s.last, at)
	return s.last
}

// Datagram tells when a datagram arrives, if it does. A later one may overtake it.
func (s *Shaper) Datagram(now time.Duration, n int) (at time.Duration, lost bool) {
	at = s.onLine(now, n) + s.way()
	return at, s.rng.Float64() < s.p.Loss
}

// onLine is when the line has put n bytes out.
func (s *Shaper) onLine(now time.Duration, n int) time.Duration {
	s.free = max(s.free, now)
	if s.p.Bandwidth > 0 {
		s.free += time.Duration(float64(n) / s.p.Bandwidth * float64(time.Second))
	}
	return s.free
}

func (s *Shaper) way() time.Duration {
	d := s.p.Delay
	if s.p.Jitter > 0 {
		d += time.Duration(s.rng.Float64() * float64(s.p.Jitter))
	}
	return d
}
