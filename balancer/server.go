package balancer

import (
	"hash/fnv"
	"math"
	"slices"
)

// server holds this node's records and estimates of one server.
type server struct {
	Endpoint
	score    float64 // from 0 to 1; the picker draws in proportion to it
	timing   serverTiming
	outcomes outcomeWindow
	outlier  ejectionState

	membership    groupMembership
	slowStart     slowStartState
	classFailures []failureRate // by class index
	zoneFailures  *failureRate  // shared by all servers of the zone

	attempts        serverAttempts
	idleConnections int
	load            serverLoad
	estimate        serverEstimate
	placement       placementEstimate // for the request that is being placed

	nameHash      uint64
	gossipTag     uint16 // identifies the server in gossip messages
	gossipReports []gossipReport
}

// serverSet holds the listed servers, and removed servers that still have open attempts.
type serverSet struct {
	byID    map[ServerID]*server
	known   []*server // in the order in which they were first listed
	ready   []*server // the known servers in state Ready
	version int       // number of changes of the endpoint list and of ejections
}

// serverAttempts holds the attempts of this node at one server.
type serverAttempts struct {
	requests       []*request // with an open attempt at the server, oldest first
	inFlight       int        // number of open attempts
	missing        int        // open attempts that the latest load report does not include
	awaitingBody   int        // open attempts whose body is incomplete: the server does not have them yet
	latestAnswered Millis     // latest send time of a successful attempt
}

// atServer returns how many of this node's requests the server has, according to its latest load report.
func (a *serverAttempts) atServer() float64 {
	return float64(a.inFlight - a.missing - a.awaitingBody)
}

// forgetRemovedServers deletes the servers that were removed from the endpoint list and have no open
// attempt.
func (b *Balancer) forgetRemovedServers() {
	b.servers.known = slices.DeleteFunc(b.servers.known, func(s *server) bool {
		forget := s.State == Removed && s.attempts.inFlight == 0
		if forget {
			delete(b.servers.byID, s.ID)
		}
		return forget
	})
}

// removeRequest removes a request from those with an open attempt at the server.
func (s *server) removeRequest(r *request) {
	if i := slices.Index(s.attempts.requests, r); i >= 0 {
		s.attempts.requests = slices.Delete(s.attempts.requests, i, i+1)
	}
}

// superseded reports whether an unanswered attempt is no evidence of a slow server, because the attempt
// is missing, a later attempt has been answered, or the request's body is still being received.
func (s *server) superseded(a *attempt) bool {
	return a.missing || a.sentAt < s.attempts.latestAnswered || math.IsInf(a.sentAt, 1)
}

// oldestAttempt returns the oldest open attempt that is not superseded, and its request; nil if there
// is none.
func (s *server) oldestAttempt() (*request, *attempt) {
	for _, r := range s.attempts.requests {
		if a := r.openAttemptAt(s); a != nil && !s.superseded(a) {
			return r, a
		}
	}
	return nil, nil
}

// recordConnection counts the idle connection that remains after an attempt or a probe that the
// server answered.
func (s *server) recordConnection(outcome Outcome) {
	if outcome == OK || outcome == Errored || outcome == Overloaded {
		s.idleConnections++
	}
}

// handleConnectionClosed removes a closed connection from the count of idle connections.
func (b *Balancer) handleConnectionClosed(e ConnectionClosed) {
	if s := b.servers.byID[e.Server]; s != nil {
		s.idleConnections = max(0, s.idleConnections-1)
	}
}

// CountEndpoints returns the number of listed servers and how many of them normally get no requests
// because they are ejected or draining. The counts change only if EndpointVersion changes.
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

// EndpointVersion returns the number of changes of the endpoint list and of ejections so far.
func (b *Balancer) EndpointVersion() int { return b.servers.version }

// ZoneOf returns the zone of a server, or an empty string if the server is unknown.
func (b *Balancer) ZoneOf(id ServerID) string {
	if s := b.servers.byID[id]; s != nil {
		return s.Zone
	}
	return ""
}

// stableHash returns a hash of text that is the same on every node and in every version.
func stableHash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
