package netfault

import (
	"fmt"
	"net"
	"sync"

	"tackhub.example/tackhub/lab/loopback"
)

// Mesh is a link for each directed pair of nodes, for datagrams and for connections. A node reaches each other node by an
// address that belongs to the link, so loopback and an address book are all it needs.
type Mesh struct {
	pairs map[[2]int]*pair

	mu     sync.Mutex
	faults map[[2]int]PacketFaults // as set, by direction
}

// pair is how one node reaches another: datagrams go this direction alone, connections need both.
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
			p, err := open(to, seed<<20+uint64(i)<<10+uint64(j))
			if err != nil {
				m.Close()
				return nil, fmt.Errorf("link %d to %d: %w", i, j, err)
			}
			m.pairs[[2]int{i, j}] = p
		}
	}
	return m, nil
}

// open makes the relays of one pair.
func open(to string, seed uint64) (*pair, error) {
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

// Address is the address at which one node reaches another.
func (m *Mesh) Address(from, to int) string { return m.pairs[[2]int{from, to}].address }

// SetFaults changes what the link from one node to another does.
func (m *Mesh) SetFaults(from, to int, change func(*PacketFaults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := [2]int{from, to}
	f := m.faults[key]
	change(&f)
	m.faults[key] = f
	m.pairs[key].packets.SetFaults(f)
	// On a connection that the first node opened the link's Out leads to that node, In comes from it.
	for _, k := range [][2]int{key, {to, from}} {
		there, back := m.faults[k], m.faults[[2]int{k[1], k[0]}]
		m.pairs[k].link.Impair(back.Impairment, there.Impairment)
		m.pairs[k].link.StallDirection(In, there.Cut)
		m.pairs[k].link.StallDirection(Out, back.Cut)
	}
}

// Close ends all links.
func (m *Mesh) Close() {
	var all sync.WaitGroup
	for _, p := range m.pairs {
		all.Go(func() {
			p.packets.Close()
			p.streams.Close()
		})
	}
	all.Wait()
}
