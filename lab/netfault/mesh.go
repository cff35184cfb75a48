package netfault

import (
	"fmt"
	"net"
	"sync"

	"tackhub.example/tackhub/lab/loopback"
)

// Mesh connects nodes by one link for each directed pair, for datagrams and TCP connections. Each link has its own loopback
// address at which one node reaches the other, so a node only needs the list of these addresses.
type Mesh struct {
	pairs map[[2]int]*pair

	mu     sync.Mutex
	faults map[[2]int]PacketFaults // configured faults by sender and receiver
}

// pair relays traffic from one node to another. The datagram relay works in this direction only, the connection relay in
// both.
type pair struct {
	address string
	packets *PacketRelay
	link    *Link
	streams *Relay
}

// NewMesh opens a link for each directed pair of the addresses at which the nodes listen.
func NewMesh(nodes []string, seed uint64) (*Mesh, error) {
	m := &Mesh{pairs: map[[2]int]*pair{}, faults: map[[2]int]PacketFaults{}}
	for i := range nodes {
		for j, to := range nodes {
			if i == j {
				continue
			}
			p, err := openPair(to, seed<<20+uint64(i)<<10+uint64(j))
			if err != nil {
				m.Close()
				return nil, fmt.Errorf("link %d to %d: %w", i, j, err)
			}
			m.pairs[[2]int{i, j}] = p
		}
	}
	return m, nil
}

// openPair creates the relays of one pair.
func openPair(to string, seed uint64) (*pair, error) {
	p := &pair{link: NewLink(Impairment{}, Impairment{}, seed)}
	var err error
	if p.streams, err = NewRelay(net.JoinHostPort(loopback.NextHost(), "0"), to, p.link); err != nil {
		return nil, err
	}
	p.address = p.streams.Addr()
	if p.packets, err = NewPacketRelay(p.address, to, seed); err != nil {
		p.streams.Close()
		return nil, err
	}
	return p, nil
}

// Address returns the address at which one node reaches another.
func (m *Mesh) Address(from, to int) string { return m.pairs[[2]int{from, to}].address }

// SetFaults changes the faults of the link from one node to another.
func (m *Mesh) SetFaults(from, to int, change func(*PacketFaults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := [2]int{from, to}
	f := m.faults[key]
	change(&f)
	m.faults[key] = f
	m.pairs[key].packets.SetFaults(f)
	// A relay wraps the connection that k[0] opened to it, so Out leads to k[0] and In comes from k[0].
	for _, k := range [][2]int{key, {to, from}} {
		forward, reverse := m.faults[k], m.faults[[2]int{k[1], k[0]}]
		m.pairs[k].link.Impair(reverse.Impairment, forward.Impairment)
		m.pairs[k].link.StallDirection(In, forward.Cut)
		m.pairs[k].link.StallDirection(Out, reverse.Cut)
	}
}

// Close closes all links.
func (m *Mesh) Close() {
	var closing sync.WaitGroup
	for _, p := range m.pairs {
		closing.Go(func() {
			p.packets.Close()
			p.streams.Close()
		})
	}
	closing.Wait()
}
