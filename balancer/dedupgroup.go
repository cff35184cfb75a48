package balancer

// DedupGroup is a set of servers that together drop repeats of a request with an idempotency key: those
// of one zone or of one cell. The zero value is the group of all servers.
type DedupGroup struct {
	Scope DedupScope
	Zone  string // with DedupWithinZone
	Cell  int    // with DedupWithinCell
}

// Contains reports whether a server of a zone and cell belongs to the group.
func (g DedupGroup) Contains(zone string, cell int) bool {
	switch g.Scope {
	case DedupWithinZone:
		return g.Zone == zone
	case DedupWithinCell:
		return g.Cell == cell
	}
	return true
}

// dedupGroup returns the group that remembers the key of a request of a class which is sent to the
// server now.
func (s *server) dedupGroup(class *classState) DedupGroup {
	if class.Idempotency != IdempotentWithKey {
		return DedupGroup{}
	}
	switch class.DedupScope {
	case DedupWithinZone:
		return DedupGroup{Scope: DedupWithinZone, Zone: s.Zone}
	case DedupWithinCell:
		return DedupGroup{Scope: DedupWithinCell, Cell: s.Cell}
	}
	return DedupGroup{}
}

// groupMembership is since when a server has been in its zone and in its cell. The time is 0 for a
// server that has been in them since it was first listed: the servers of a group share their keys also
// with a new one.
type groupMembership struct {
	zoneSince Millis
	cellSince Millis
}

// since returns since when the server has been in its group of a scope.
func (m groupMembership) since(scope DedupScope) Millis {
	switch scope {
	case DedupWithinZone:
		return m.zoneSince
	case DedupWithinCell:
		return m.cellSince
	}
	return 0
}

// changeCell moves a server to a cell. Its process is the same, so its records stay. It remembers the
// keys of the cell only from now on.
func (s *server) changeCell(cell int, now Millis) {
	if s.Cell == cell {
		return
	}
	s.Cell = cell
	s.membership.cellSince = now
}

// inheritMembership keeps the times of the former process of a server for the groups that it has not
// left. The servers of a group drop repeats together, also when one of them restarts.
func (s *server) inheritMembership(former *server, now Millis) {
	s.membership = former.membership
	if s.Zone != former.Zone {
		s.membership.zoneSince = now
		s.membership.cellSince = now
	}
	if s.Cell != former.Cell {
		s.membership.cellSince = now
	}
}

// dedupBinding binds the repeats of a request with an idempotency key to the servers that remember the key.
type dedupBinding struct {
	bound  bool
	group  DedupGroup // of the server of the first attempt that may have run, when that attempt was sent
	sentAt Millis     // of that attempt
	until  Millis     // end of the dedup window
}

// remembers reports whether a server drops a repeat. Invariant: the server has been in the group since
// before the first attempt that may have run. A server that has moved to it since may not know the key, and
// one that has left the group does not use it any more.
func (d dedupBinding) remembers(s *server) bool {
	return d.group.Contains(s.Zone, s.Cell) && s.membership.since(d.group.Scope) <= d.sentAt
}
