package netfault

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// PacketFaults are the faults that a PacketRelay applies to datagrams.
type PacketFaults struct {
	Impairment
	Cut          bool          // all datagrams are lost
	Duplicate    float64       // fraction that is duplicated; each copy has its own delay
	Reorder      float64       // fraction that is delayed by ReorderDelay, so that later ones overtake it
	ReorderDelay time.Duration // in addition to the link's delay
}

// maxInFlightPackets limits the datagrams that a relay delays at the same time. Further ones are lost, as in a full queue.
const maxInFlightPackets = 4096

// PacketRelay forwards datagrams in one direction: from its socket to a target address, with its socket as the source.
type PacketRelay struct {
	conn *net.UDPConn
	to   netip.AddrPort

	mu        sync.Mutex
	faults    PacketFaults
	shaper    *Shaper
	seed      uint64
	startedAt time.Time
	inFlight  int
	running   sync.WaitGroup
}

// NewPacketRelay listens on one address and forwards datagrams to another.
func NewPacketRelay(listen, to string, seed uint64) (*PacketRelay, error) {
	listenAddr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, fmt.Errorf("packet relay to %s: %w", to, err)
	}
	r := &PacketRelay{conn: conn, to: target, seed: seed, startedAt: time.Now(), shaper: NewShaper(Impairment{}, seed, 0)}
	r.running.Go(r.run)
	return r, nil
}

// SetFaults changes the faults for datagrams that arrive from now on. It does not affect datagrams in flight.
func (r *PacketRelay) SetFaults(f PacketFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Impairment != r.faults.Impairment {
		r.shaper = NewShaper(f.Impairment, r.seed, uint64(time.Since(r.startedAt)))
		r.startedAt = time.Now()
	}
	r.faults = f
}

// run forwards datagrams until the relay is closed.
func (r *PacketRelay) run() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		for _, delay := range r.arrivals(n) {
			if delay <= 0 {
				_, _ = r.conn.WriteToUDPAddrPort(buf[:n], r.to) // errors are ignored: a closed target port loses the datagram
				continue
			}
			datagram := append([]byte(nil), buf[:n]...)
			time.AfterFunc(delay, func() {
				_, _ = r.conn.WriteToUDPAddrPort(datagram, r.to)
				r.mu.Lock()
				r.inFlight--
				r.mu.Unlock()
			})
		}
	}
}

// arrivals returns the delay of each copy of a datagram of n bytes. It leaves out the copies that are lost.
func (r *PacketRelay) arrivals(n int) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	copies := 1
	if r.shaper.rng.Float64() < r.faults.Duplicate {
		copies = 2
	}
	for range copies {
		now := time.Since(r.startedAt)
		delay, lost := r.shaper.DatagramArrival(now, n)
		delay -= now
		if r.shaper.rng.Float64() < r.faults.Reorder {
			delay += r.faults.ReorderDelay
		}
		queueFull := delay > 0 && r.inFlight >= maxInFlightPackets
		if lost || r.faults.Cut || queueFull {
			continue
		}
		if delay > 0 {
			r.inFlight++
		}
		out = append(out, delay)
	}
	return out
}

// Close stops the relay. Datagrams in flight are lost.
func (r *PacketRelay) Close() {
	_ = r.conn.Close()
	r.running.Wait()
}
