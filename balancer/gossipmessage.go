package balancer

import "slices"

// A gossip message is a byte of version and kind and then, for each server, two bytes of its tag
// and its figures. Each message replaces what the same node sent of the same kind before, so the
// next one makes up for a lost one.

// gossipVersion is the upper half of a message's first byte; the kind is the lower half.
const (
	gossipVersion     = 0x10
	gossipVersionMask = 0xf0
	gossipKindMask    = 0x0f
	// maxGossipFigure is the greatest figure that a byte holds.
	maxGossipFigure = 255
)

// gossipKind is what a message's figures mean.
type gossipKind byte

const (
	gossipLoads    gossipKind = iota // requests that the node has at a server
	gossipOutcomes                   // successes and failures that it saw there in its window
)

// entryLen is how many bytes a kind takes for each server.
func (k gossipKind) entryLen() int { return 3 + int(k) }

// gossipReport is the latest report of another node on a server.
type gossipReport struct {
	from   int
	kind   gossipKind
	first  float64 // requests; or successes
	second float64 // failures; of loads the same as first
	at     Millis
}

// gossipSource is a node and the kind of its message.
type gossipSource struct {
	from int
	kind gossipKind
}

// encodeGossip encodes a message; servers of which there is nothing to say are left out.
func (b *Balancer) encodeGossip(kind gossipKind) []byte {
	body := []byte{gossipVersion | byte(kind)}
	for _, s := range b.servers.ready {
		figures, worthSaying := b.gossipFigures(s, kind)
		if worthSaying && len(body)+kind.entryLen() <= MaxGossipBytes {
			body = append(body, byte(s.gossipTag>>8), byte(s.gossipTag))
			body = append(body, figures...)
		}
	}
	return body
}

// gossipFigures are a server's figures in a message of a kind, and whether they say anything.
func (b *Balancer) gossipFigures(s *server, kind gossipKind) (figures []byte, worthSaying bool) {
	if kind == gossipLoads {
		return []byte{gossipFigure(s.attempts.inFlight)}, s.attempts.inFlight > 0
	}
	successes, failures := s.outcomeCounts(b.now)
	return []byte{gossipFigure(successes), gossipFigure(failures)}, failures > 0
}

func gossipFigure(n int) byte { return byte(min(maxGossipFigure, n)) }

// handleGossip keeps what another node sent. A message that can't be decoded is dropped whole, and
// servers that this node's own list doesn't name are skipped.
func (b *Balancer) handleGossip(e GossipReceived) {
	if !b.settings.GossipAllowed || e.From == b.settings.Node || !validGossip(e.Body) {
		return
	}
	source := gossipSource{e.From, gossipKind(e.Body[0] & gossipKindMask)}
	if source.kind == gossipLoads {
		b.recordHeard(e.From)
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
			from:   source.from,
			kind:   source.kind,
			first:  float64(entry[2]),
			second: float64(entry[size-1]),
			at:     b.now,
		})
		s.estimate.at = estimateOutdated
		reported = append(reported, s)
	}
	b.gossip.reportedBy[source] = reported
}

// validGossip reports whether a message has this version's form.
func validGossip(body []byte) bool {
	if len(body) == 0 || len(body) > MaxGossipBytes || body[0]&gossipVersionMask != gossipVersion {
		return false
	}
	kind := gossipKind(body[0] & gossipKindMask)
	return kind <= gossipOutcomes && (len(body)-1)%kind.entryLen() == 0
}

// recordHeard notes that a node was heard, and how long after its message before.
func (b *Balancer) recordHeard(from int) {
	if at, known := b.gossip.heardFrom[from]; known {
		b.gossip.interval += reportLagSmoothing * (b.now - at - b.gossip.interval)
	}
	b.gossip.heardFrom[from] = b.now
	b.gossip.heardAt = b.now
}

// forgetReports drops the reports of a node's previous message.
func (b *Balancer) forgetReports(source gossipSource) {
	for _, s := range b.gossip.reportedBy[source] {
		s.gossipReports = slices.DeleteFunc(s.gossipReports, func(report gossipReport) bool {
			return report.from == source.from && report.kind == source.kind
		})
		s.estimate.at = estimateOutdated
	}
}

// gossipedLoad is how many requests the other nodes have at a server, by their latest messages.
func (s *server) gossipedLoad() float64 {
	sum := 0.0
	for _, report := range s.gossipReports {
		if report.kind == gossipLoads {
			sum += report.first
		}
	}
	return sum
}

// assignGossipTags gives each server a short name, the same at every node. Servers that share one
// are left out of messages that arrive.
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
