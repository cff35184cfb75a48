package balancer

import (
	"hash/fnv"
	"math"
	"slices"
)

// server is what this node knows of one server.
type server struct {
	Endpoint
	score    float64 // from 0 to 1; the picker draws in proportion to it
	timing   serverTiming
	outcomes outcomeWindow
	outlier  ejectionState

	slowStart     slowStartState
	classFailures []failureRate // by the class's index
	zoneFailures  *failureRate  // shared by the servers of its zone

	attempts        serverAttempts
	idleConnections int
	load            serverLoad
	estimate        serverEstimate
	placement       placementEstimate // of the request that is being placed

	nameHash      uint64
	gossipTag     uint16 // its name in gossip
	gossipReports []gossipReport
}

// serverSet is the servers that this node knows of.
type serverSet struct {
	byID    map[ServerID]*server
	known   []*server // in the order in which they were first listed
	ready   []*server // of these, the ones that may get requests
	version int       // counts changes of the list and of ejections
}

// serverAttempts are this node's attempts at one server.
type serverAttempts struct {
	requests       []*request // with an open attempt here, oldest first
	inFlight       int        // open attempts here
	missing        int        // of these, not in the server's latest report
	awaitingBody   int        // of these, still without their whole body: the server can't hold them yet
	latestAnswered Millis     // when the latest attempt that was answered had been sent
}

// held is how many of this node's requests the server holds, as far as its latest report shows.
func (a *serverAttempts) held() float64 {
	return float64(a.inFlight - a.missing - a.awaitingBody)
}

// forgetRemovedServers drops the servers that have left the list, once no attempt is out at them.
func (b *Balancer) forgetRemovedServers() {
	b.servers.known = slices.DeleteFunc(b.servers.known, func(s *server) bool {
		forget := s.State == Removed && s.attempts.inFlight == 0
		if forget {
			delete(b.servers.byID, s.ID)
		}
		return forget
	})
}

// removeRequest takes a request off the ones with an open attempt here.
func (s *server) removeRequest(r *request) {
	if i := slices.Index(s.attempts.requests, r); i >= 0 {
		s.attempts.requests = slices.Delete(s.attempts.requests, i, i+1)
	}
}

// superseded reports whether an attempt is missing at the server or was overtaken by the answer to a
// later one. An attempt whose body is still coming is with no server, so its silence says nothing
// either.
func (s *server) superseded(a *attempt) bool {
	return a.missing || a.sentAt < s.attempts.latestAnswered || math.IsInf(a.sentAt, 1)
}

// oldestAttempt is the longest outstanding attempt that is not superseded.
func (s *server) oldestAttempt() (*request, *attempt) {
	for _, r := range s.attempts.requests {
		if a := r.openAttemptAt(s); a != nil && !s.superseded(a) {
			return r, a
		}
	}
	return nil, nil
}

// recordConnection counts the connection that an attempt or a probe leaves open: one stays after an
// answer.
func (s *server) recordConnection(outcome Outcome) {
	if outcome == OK || outcome == Errored || outcome == Overloaded {
		s.idleConnections++
	}
}

func (b *Balancer) handleConnectionClosed(e ConnectionClosed) {
	if s := b.servers.byID[e.Server]; s != nil {
		s.idleConnections = max(0, s.idleConnections-1)
	}
}

// CountEndpoints counts the listed servers and, of these, the ones that get no requests in the
// ordinary way: ejected or draining. The counts change only when EndpointVersion does.
func (b *Balancer) CountEndpoints() (listed, avoided int) {
	for _, s := range b.servers.known {
		if s.State == Removed {
			continue
		}
		listed++
		if s.outlier.ejected || s.State != Ready {
			avoided++
		}
	}
	return listed, avoided
}

// EndpointVersion counts the changes of the endpoint list and of the ejections.
func (b *Balancer) EndpointVersion() int { return b.servers.version }

// ZoneOf is a server's zone; empty where the server is not known.
func (b *Balancer) ZoneOf(id ServerID) string {
	if s := b.servers.byID[id]; s != nil {
		return s.Zone
	}
	return ""
}

// stableHash is the same at every node and in every version.
func stableHash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
