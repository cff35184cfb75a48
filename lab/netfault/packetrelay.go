package netfault

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Way is what a PacketRelay does to datagrams besides its Params.
type PacketFaults struct {
	Impairment
	Cut          bool
	Duplicate    float64       // share that comes twice, the second after a delay of its own
	Reorder      float64       // share that is held back, so that later ones overtake it
	ReorderDelay time.Duration // for how long
}

// mostUnderWay bounds the datagrams that a relay holds back; beyond it they are lost, as in a full queue.
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

	Passed, Lost int // guarded by mu; read them by Counts
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

// Set changes what is done to datagrams from now on. Those under way arrive as they were to.
func (r *PacketRelay) SetFaults(w PacketFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.Impairment != r.faults.Impairment {
		r.shaper = NewShaper(w.Impairment, r.seed, uint64(time.Since(r.began)))
		r.began = time.Now()
	}
	r.faults = w
}

// Counts are the datagrams that were passed on and those that were not.
func (r *PacketRelay) Counts() (passed, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Passed, r.Lost
}

func (r *PacketRelay) run() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		for _, in := range r.arrivals(n) {
			if in <= 0 {
				_, _ = r.conn.WriteToUDPAddrPort(buf[:n], r.to) // whose port is closed loses it
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

// fate is when the copies of a datagram arrive, after now.
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
		if lost || r.faults.Cut || at > 0 && r.inFlight >= maxInFlightPackets {
			r.Lost++
			continue
		}
		if at > 0 {
			r.inFlight++
		}
		r.Passed++
		out = append(out, at)
	}
	return out
}

// Close ends the relay.
func (r *PacketRelay) Close() {
	_ = r.conn.Close()
	r.running.Wait()
}
