package balancer

import "slices"

// A gossip message starts with a byte that holds version and kind, followed by an entry for each server.
// An entry consists of two bytes with the server's tag, and one or two counts of one byte each. A message
// replaces the previous one of the same node and kind, so the next message corrects the loss of one.

const (
	// gossipVersion is the version, in the upper four bits of a message's first byte. The lower four bits
	// are the kind.
	gossipVersion     = 0x10
	gossipVersionMask = 0xf0
	gossipKindMask    = 0x0f
	// maxGossipCount is the greatest count that one byte can represent.
	maxGossipCount = 255
)

// gossipKind is the meaning of a message's counts.
type gossipKind byte

const (
	gossipLoads    gossipKind = iota // requests that the node has in flight at a server
	gossipOutcomes                   // successes and failures that it recorded there, in its error window
)

// entryLen returns the length of a server's entry, in bytes.
func (k gossipKind) entryLen() int { return 3 + int(k) }

// gossipReport is the latest report from another node about a server.
type gossipReport struct {
	from            int // number of the node
	kind            gossipKind
	loadOrSuccesses float64 // requests in flight, or successes
	failures        float64 // for gossipLoads equal to loadOrSuccesses and unused
	receivedAt      Millis
}

// gossipSource identifies the messages of one node and kind.
type gossipSource struct {
	from int // number of the node
	kind gossipKind
}

// encodeGossip encodes a message. It omits servers without anything to report, and servers that don't fit
// into MaxGossipBytes.
func (b *Balancer) encodeGossip(kind gossipKind) []byte {
	body := []byte{gossipVersion | byte(kind)}
	for _, s := range b.servers.ready {
		counts, relevant := b.gossipCounts(s, kind)
		if relevant && len(body)+kind.entryLen() <= MaxGossipBytes {
			body = append(body, byte(s.gossipTag>>8), byte(s.gossipTag))
			body = append(body, counts...)
		}
	}
	return body
}

// gossipCounts returns a server's counts for a kind of message, and whether there is anything to report.
func (b *Balancer) gossipCounts(s *server, kind gossipKind) (counts []byte, relevant bool) {
	if kind == gossipLoads {
		return []byte{gossipByte(s.attempts.inFlight)}, s.attempts.inFlight > 0
	}
	successes, failures := s.outcomeCounts(b.now)
	return []byte{gossipByte(successes), gossipByte(failures)}, failures > 0
}

func gossipByte(n int) byte { return byte(min(maxGossipCount, n)) }

// handleGossip stores a message from another node. It ignores an invalid message completely, and skips
// servers that are not in this node's endpoint list.
func (b *Balancer) handleGossip(e GossipReceived) {
	if !b.settings.GossipAllowed || e.From == b.settings.Node || !validGossip(e.Body) {
		return
	}
	source := gossipSource{e.From, gossipKind(e.Body[0] & gossipKindMask)}
	if source.kind == gossipLoads {
		b.recordGossipTime(e.From)
	}
	b.forgetReports(source)
	reported := b.gossip.reportedBy[source][:0]
	size := source.kind.entryLen()
	for entry := e.Body[1:]; len(entry) > 0; entry = entry[size:] {
		s := b.gossip.serversByTag[uint16(entry[0])<<8|uint16(entry[1])]
		if s == nil {
			continue
		}
		s.gossipReports = append(s.gossipReports, gossipReport{
			from:            source.from,
			kind:            source.kind,
			loadOrSuccesses: float64(entry[2]),
			failures:        float64(entry[size-1]),
			receivedAt:      b.now,
		})
		s.estimate.computedAt = estimateOutdated
		reported = append(reported, s)
	}
	b.gossip.reportedBy[source] = reported
}

// validGossip reports whether a message has a known version and kind and a valid length.
func validGossip(body []byte) bool {
	if len(body) == 0 || len(body) > MaxGossipBytes || body[0]&gossipVersionMask != gossipVersion {
		return false
	}
	kind := gossipKind(body[0] & gossipKindMask)
	return kind <= gossipOutcomes && (len(body)-1)%kind.entryLen() == 0
}

// recordGossipTime records the arrival time of a node's message and updates the smoothed interval between
// messages.
func (b *Balancer) recordGossipTime(from int) {
	if previous, known := b.gossip.heardFrom[from]; known {
		b.gossip.interval += reportLagSmoothing * (b.now - previous - b.gossip.interval)
	}
	b.gossip.heardFrom[from] = b.now
	b.gossip.heardAt = b.now
}

// forgetReports removes the reports of a node's previous message.
func (b *Balancer) forgetReports(source gossipSource) {
	for _, s := range b.gossip.reportedBy[source] {
		s.gossipReports = slices.DeleteFunc(s.gossipReports, func(report gossipReport) bool {
			return report.from == source.from && report.kind == source.kind
		})
		s.estimate.computedAt = estimateOutdated
	}
}

// gossipedLoad returns the number of requests that the other nodes have in flight at a server, according
// to their latest messages.
func (s *server) gossipedLoad() float64 {
	sum := 0.0
	for _, report := range s.gossipReports {
		if report.kind == gossipLoads {
			sum += report.loadOrSuccesses
		}
	}
	return sum
}

// assignGossipTags assigns each server a tag of two bytes, which is the same at every node. If several
// servers have equal tags, reports about them are ignored.
func (b *Balancer) assignGossipTags() {
	b.gossip.serversByTag = map[uint16]*server{}
	for _, s := range b.servers.known {
		if s.nameHash == 0 {
			s.nameHash = stableHash(string(s.ID))
			s.gossipTag = uint16(s.nameHash)
		}
		if _, taken := b.gossip.serversByTag[s.gossipTag]; taken {
			b.gossip.serversByTag[s.gossipTag] = nil
			continue
		}
		b.gossip.serversByTag[s.gossipTag] = s
	}
}
