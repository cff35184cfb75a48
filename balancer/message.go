package balancer

// The form of messages between nodes, and what of them is kept. When to tell and what to make of it is in
// logic.go.
//
// A message is a byte of version and kind, then for each server two bytes of its name's hash and its figures.
// Each replaces what the same node told of the same kind before, so a lost one is made good by the next.

import "slices"

const tellVersion = 0x10 // in the upper half of the first byte

// tellKind is what a message's figures mean.
type tellKind byte

const (
	tellLoads    tellKind = iota // requests that the node has at a server
	tellOutcomes                 // successes and failures that it saw there in its window
)

// entryLen is the bytes that a kind takes for each server.
func (k tellKind) entryLen() int { return 3 + int(k) }

// told is what another node last said of a server.
type told struct {
	from int
	kind tellKind
	a, b float64
	at   Millis
}

// speaker is a node and what it speaks of.
type speaker struct {
	from int
	kind tellKind
}

// message puts what this node has to say of its servers into bytes; those of which it has nothing are left out.
func (l *Balancer) message(kind tellKind) []byte {
	body := []byte{tellVersion | byte(kind)}
	for _, s := range l.list {
		entry := []byte{byte(s.name >> 8), byte(s.name), byte(min(255, s.inflight))}
		worth := s.inflight > 0
		if kind == tellOutcomes {
			ok, fail := s.window(l.now)
			entry, worth = append(entry[:2], byte(min(255, ok)), byte(min(255, fail))), fail > 0
		}
		if worth && len(body)+len(entry) <= MaxGossipBytes {
			body = append(body, entry...)
		}
	}
	return body
}

// hear keeps what another node tells. A message that cannot be read is dropped whole, and servers that this
// node's own list does not name are passed over.
func (l *Balancer) hear(e GossipReceived) {
	n := len(e.Body)
	if !l.set.GossipAllowed || e.From == l.set.Node || n == 0 || n > MaxGossipBytes || e.Body[0]&0xf0 != tellVersion {
		return
	}
	who := speaker{e.From, tellKind(e.Body[0] & 0x0f)}
	size := who.kind.entryLen()
	if who.kind > tellOutcomes || (n-1)%size != 0 {
		return
	}
	if who.kind == tellLoads {
		if at, ok := l.heardFrom[e.From]; ok {
			l.hearGap += lagGain * (l.now - at - l.hearGap)
		}
		l.heardFrom[e.From], l.heardAt = l.now, l.now
	}
	for _, s := range l.said[who] {
		s.told = slices.DeleteFunc(s.told, func(t told) bool { return t.from == who.from && t.kind == who.kind })
		s.lookedAt = -1
	}
	said := l.said[who][:0]
	for b := e.Body[1:]; len(b) > 0; b = b[size:] {
		if s := l.named[uint16(b[0])<<8|uint16(b[1])]; s != nil {
			s.told = append(s.told, told{who.from, who.kind, float64(b[2]), float64(b[size-1]), l.now})
			s.lookedAt = -1
			said = append(said, s)
		}
	}
	l.said[who] = said
}

// toldLoad is what the other nodes have at a server, by their last messages.
func (s *server) toldLoad() float64 {
	sum := 0.0
	for _, t := range s.told {
		if t.kind == tellLoads {
			sum += t.a
		}
	}
	return sum
}

// nameServers gives each server a short name, the same at every node. Of those that share one nothing is told.
func (l *Balancer) nameServers() {
	l.named = map[uint16]*server{}
	for _, s := range l.known {
		if s.hash == 0 {
			s.hash = hash(string(s.ID))
			s.name = uint16(s.hash)
		}
		if _, taken := l.named[s.name]; taken {
			l.named[s.name] = nil
			continue
		}
		l.named[s.name] = s
	}
}
