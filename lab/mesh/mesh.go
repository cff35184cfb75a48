// Package mesh stands between nodes that talk to one another: every directed pair has a link of its own, for datagrams and
// for connections, which can be cut, lose, delay, double and reorder. A node reaches each other one by an address that is
// the link's, so that nobody needs more than loopback and an address book.
package mesh

import (
	"fmt"
	"net"
	"sync"

	"tackhub.example/tackhub/lab/hosts"
	"tackhub.example/tackhub/lab/link"
)

// Mesh is the links among some nodes.
type Mesh struct {
	n     int
	pairs map[[2]int]*pair

	mu  sync.Mutex
	way map[[2]int]link.Way // as set, by direction
}

// pair is how one node reaches another: datagrams go its way alone, connections need both.
type pair struct {
	address string
	packets *link.PacketRelay
	link    *link.Link
	streams *link.Relay
}

// New opens a link for each pair of the addresses at which the nodes listen.
func New(nodes []string, seed uint64) (*Mesh, error) {
	m := &Mesh{n: len(nodes), pairs: map[[2]int]*pair{}, way: map[[2]int]link.Way{}}
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

func open(to string, seed uint64) (*pair, error) {
	p := &pair{link: link.New(link.Params{}, link.Params{}, seed)}
	var err error
	if p.streams, err = link.NewRelay(net.JoinHostPort(hosts.Next(), "0"), to, p.link); err != nil {
		return nil, err
	}
	p.address = p.streams.Addr()
	if p.packets, err = link.NewPacketRelay(p.address, to, seed); err != nil {
		p.streams.Close()
		return nil, err
	}
	return p, nil
}

// Address is how one node reaches another.
func (m *Mesh) Address(from, to int) string { return m.pairs[[2]int{from, to}].address }

// Set changes what the link from one node to another does.
func (m *Mesh) Set(from, to int, change func(*link.Way)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := [2]int{from, to}
	w := m.way[key]
	change(&w)
	m.way[key] = w
	m.pairs[key].packets.Set(w)
	// On a connection that the first node opened the link's Out leads to that node, In comes from it.
	for _, k := range [][2]int{key, {to, from}} {
		there, back := m.way[k], m.way[[2]int{k[1], k[0]}]
		m.pairs[k].link.Impair(back.Params, there.Params)
		m.pairs[k].link.Mute(link.In, there.Cut)
		m.pairs[k].link.Mute(link.Out, back.Cut)
	}
}

// Cut cuts the link from one node to another, or makes it whole.
func (m *Mesh) Cut(from, to int, on bool) { m.Set(from, to, func(w *link.Way) { w.Cut = on }) }

// IsCut tells whether it is cut.
func (m *Mesh) IsCut(from, to int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.way[[2]int{from, to}].Cut
}

// Counts are the datagrams that one node's links have passed on and lost.
func (m *Mesh) Counts(from int) (passed, lost int) {
	for k, p := range m.pairs {
		if k[0] == from {
			a, b := p.packets.Counts()
			passed, lost = passed+a, lost+b
		}
	}
	return passed, lost
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
