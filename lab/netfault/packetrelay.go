package netfault

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// PacketFaults are what a PacketRelay does to datagrams.
type PacketFaults struct {
	Impairment
	Cut          bool
	Duplicate    float64       // share that comes twice, the second after a delay of its own
	Reorder      float64       // share that is delayed, so that later ones overtake it
	ReorderDelay time.Duration // of those
}

// maxInFlightPackets bounds the datagrams that a relay delays at a time; beyond it they are lost, as in a full queue.
const maxInFlightPackets = 4096

// PacketRelay carries datagrams one way: what comes to its socket goes on to another address, from that socket.
type PacketRelay struct {
	conn *net.UDPConn
	to   netip.AddrPort

	mu       sync.Mutex
	faults   PacketFaults
	shaper   *Shaper
	seed     uint64
	began    time.Time
	inFlight int
	running  sync.WaitGroup
}

// NewPacketRelay listens on an address and carries what comes to another.
func NewPacketRelay(listen, to string, seed uint64) (*PacketRelay, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, err
	}
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &PacketRelay{conn: conn, to: target, seed: seed, began: time.Now(), shaper: NewShaper(Impairment{}, seed, 0)}
	r.running.Go(r.run)
	return r, nil
}

// SetFaults changes what is done to datagrams from now on. Those in flight arrive as planned.
func (r *PacketRelay) SetFaults(f PacketFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Impairment != r.faults.Impairment {
		r.shaper = NewShaper(f.Impairment, r.seed, uint64(time.Since(r.began)))
		r.began = time.Now()
	}
	r.faults = f
}

// run carries datagrams until the relay is closed.
func (r *PacketRelay) run() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		for _, in := range r.arrivals(n) {
			if in <= 0 {
				_, _ = r.conn.WriteToUDPAddrPort(buf[:n], r.to) // a closed port loses it
				continue
			}
			b := append([]byte(nil), buf[:n]...)
			time.AfterFunc(in, func() {
				_, _ = r.conn.WriteToUDPAddrPort(b, r.to)
				r.mu.Lock()
				r.inFlight--
				r.mu.Unlock()
			})
		}
	}
}

// arrivals are when the copies of a datagram of n bytes arrive, from now; none where it is lost.
func (r *PacketRelay) arrivals(n int) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	copies := 1
	if r.shaper.rng.Float64() < r.faults.Duplicate {
		copies = 2
	}
	for range copies {
		now := time.Since(r.began)
		at, lost := r.shaper.DatagramArrival(now, n)
		at -= now
		if r.shaper.rng.Float64() < r.faults.Reorder {
			at += r.faults.ReorderDelay
		}
		queueFull := at > 0 && r.inFlight >= maxInFlightPackets
		if lost || r.faults.Cut || queueFull {
			continue
		}
		if at > 0 {
			r.inFlight++
		}
		out = append(out, at)
	}
	return out
}

// Close ends the relay. Datagrams in flight are lost.
func (r *PacketRelay) Close() {
	_ = r.conn.Close()
	r.running.Wait()
}
