package front

import "time"

// limitLogInterval is the shortest time between two log lines about the same limit.
const limitLogInterval = 10 * time.Second

// limits are the reasons for which a message is rejected or dropped because a limit of the server is reached, rather than for what it
// contains.
var limits = map[string]bool{
	string(refusalEndpointFull):   true,
	string(refusalInFlight):       true,
	string(refusalTableFull):      true,
	string(refusalTooManyUploads): true,
	string(dropRate):              true,
	string(dropRefusalsFull):      true,
}

// limitLog is the state of the log lines about limits, by reason.
type limitLog map[string]*limitLogEntry

// limitLogEntry is the state of the log lines about one limit.
type limitLogEntry struct {
	loggedAt time.Duration
	since    int // messages since the latest line, without the one that the line is about
}

// add counts a message that was rejected or dropped at a limit. It reports whether a line is due, and how many messages there were since
// the latest line.
func (l limitLog) add(now time.Duration, reason string) (since int, due bool) {
	entry := l[reason]
	if entry == nil {
		l[reason] = &limitLogEntry{loggedAt: now}
		return 1, true
	}
	entry.since++
	if now-entry.loggedAt < limitLogInterval {
		return 0, false
	}
	since = entry.since
	entry.loggedAt, entry.since = now, 0
	return since, true
}

// countRefusal counts a request that the server rejects itself. The caller holds the lock.
func (s *Server) countRefusal(reason refusalReason) {
	s.options.Count.Refused.Inc(string(reason))
	s.logLimit(string(reason))
}

// countDrop counts a datagram that the server drops. The caller holds the lock.
func (s *Server) countDrop(reason dropReason) {
	s.options.Count.Drops.Inc(string(reason))
	s.logLimit(string(reason))
}

// logLimit logs that a limit is reached, at most once per limitLogInterval for each.
func (s *Server) logLimit(reason string) {
	if !limits[reason] {
		return
	}
	if since, due := s.limitLog.add(s.now(), reason); due {
		s.options.Log.Warn("CoAP limit reached", "code", "coap_limit", "reason", reason, "messages", since)
	}
}
