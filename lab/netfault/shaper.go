// Package netfault simulates impaired network links on loopback: delay, jitter, loss, limited bandwidth, stalls and
// resets. A Shaper computes the arrival time of each segment or datagram. It does no I/O, and its random numbers depend
// only on its seed. Conn, PacketConn, Relay and PacketRelay apply the result to sockets, and Mesh connects many nodes by
// such links.
package netfault

import (
	"math/rand/v2"
	"time"
)

// Impairment describes one direction of a link. The zero value is an unimpaired link.
type Impairment struct {
	Loss      float64       // fraction of segments that are retransmitted (TCP) or of datagrams that are lost (UDP)
	RTO       time.Duration // first retransmission timeout; doubles with each loss of the same segment
	Delay     time.Duration // one way
	Jitter    time.Duration // upper limit of an additional delay, uniformly distributed from 0
	Bandwidth float64       // bytes per second; 0: unlimited
}

// Clean reports whether the direction is unimpaired.
func (p Impairment) Clean() bool {
	return p.Loss == 0 && p.Delay == 0 && p.Jitter == 0 && p.Bandwidth == 0
}

const (
	// segmentBytes is the payload of a TCP segment over Ethernet: 1,500 bytes minus 40 bytes of IP and TCP headers.
	segmentBytes = 1460

	// minRTO is the minimum retransmission timeout of Linux. RFC 6298 recommends 1 s.
	minRTO = 200 * time.Millisecond

	// maxRetransmissions limits the simulated retransmissions of one segment. Even at a loss of 0.5, the probability of
	// another one is below 0.001.
	maxRetransmissions = 10
)

// Shaper computes arrival times for one direction of one connection. Times are measured from the start of the connection.
type Shaper struct {
	impairment  Impairment
	rng         *rand.Rand
	lineFreeAt  time.Duration // when the line has transmitted all earlier bytes
	lastArrival time.Duration // latest arrival of an earlier segment; TCP delivers later segments no sooner
}

// NewShaper creates a shaper whose random numbers depend only on the seed and the stream number. It raises a
// retransmission timeout below minRTO to minRTO.
func NewShaper(p Impairment, seed, stream uint64) *Shaper {
	if p.RTO < minRTO {
		p.RTO = minRTO
	}
	return &Shaper{impairment: p, rng: rand.New(rand.NewPCG(seed, stream))}
}

// SegmentArrival returns when n bytes that are written now arrive on a TCP connection. A lost segment arrives after its
// retransmission and delays all later segments.
func (s *Shaper) SegmentArrival(now time.Duration, n int) time.Duration {
	arrival := s.transmitEnd(now, n) + s.propagationDelay()
	rto := s.impairment.RTO
	for i := 0; i < maxRetransmissions && s.rng.Float64() < s.impairment.Loss; i++ {
		arrival += rto
		rto *= 2
	}
	s.lastArrival = max(s.lastArrival, arrival)
	return s.lastArrival
}

// DatagramArrival returns when a datagram of n bytes arrives, and whether it is lost. Later datagrams may overtake it.
func (s *Shaper) DatagramArrival(now time.Duration, n int) (arrival time.Duration, lost bool) {
	arrival = s.transmitEnd(now, n) + s.propagationDelay()
	return arrival, s.rng.Float64() < s.impairment.Loss
}

// transmitEnd returns when the line has transmitted another n bytes.
func (s *Shaper) transmitEnd(now time.Duration, n int) time.Duration {
	s.lineFreeAt = max(s.lineFreeAt, now)
	if s.impairment.Bandwidth > 0 {
		s.lineFreeAt += time.Duration(float64(n) / s.impairment.Bandwidth * float64(time.Second))
	}
	return s.lineFreeAt
}

// propagationDelay returns the one-way delay of the link, including jitter.
func (s *Shaper) propagationDelay() time.Duration {
	d := s.impairment.Delay
	if s.impairment.Jitter > 0 {
		d += time.Duration(s.rng.Float64() * float64(s.impairment.Jitter))
	}
	return d
}
