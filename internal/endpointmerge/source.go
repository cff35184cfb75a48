package endpointmerge

import (
	"slices"

	"tackhub.example/tackhub/internal/inventory"
)

// source is what one source reported last.
type source struct {
	reported bool
	revision string
	servers  map[string]inventory.Server
	lastSeen map[string]Millis // by id: when it last reported the server
}

func newSource() *source {
	return &source{servers: map[string]inventory.Server{}, lastSeen: map[string]Millis{}}
}

// lists reports whether a server is in the source's list.
func (s *source) lists(id string) bool {
	_, listed := s.servers[id]
	return listed
}

// update sets one server.
func (s *source) update(server inventory.Server, now Millis) {
	s.servers[server.ID] = server
	s.lastSeen[server.ID] = now
}

// handleSnapshot takes a complete list, or holds it.
func (v *View) handleSnapshot(e Snapshot, changed idSet, out *Outcome) {
	if v.sources[e.Source] == nil {
		return
	}
	if v.holdSnapshot(e, out) {
		return
	}
	v.applySnapshot(e, changed)
}

// applySnapshot makes a complete list the source's own.
func (v *View) applySnapshot(e Snapshot, changed idSet) {
	s := v.sources[e.Source]
	before := s.servers
	s.servers = make(map[string]inventory.Server, len(e.Servers))
	for _, server := range e.Servers {
		s.update(server, v.now)
		v.tombstones.remove(e.Source, server.ID)
		changed[server.ID] = true
	}
	for id := range before {
		if !s.lists(id) {
			v.recordRemoval(e.Source, id)
			changed[id] = true
		}
	}
	firstReport := !s.reported
	s.reported = true
	s.revision = e.Revision
	if firstReport && slices.Contains(v.settings.RequiredSources, e.Source) {
		for id := range v.members { // from now on the source removes what it does not list
			changed[id] = true
		}
	}
	for id := range v.tombstones { // one that has expired is overridden by this report
		changed[id] = true
	}
}

// handleDelta applies changes to a source's list.
func (v *View) handleDelta(e Delta, changed idSet) {
	s := v.sources[e.Source]
	if s == nil {
		return
	}
	s.revision = e.Revision
	for _, server := range e.Updated {
		s.update(server, v.now)
		v.tombstones.remove(e.Source, server.ID)
		changed[server.ID] = true
	}
	for _, id := range e.Removed {
		if s.lists(id) {
			delete(s.servers, id)
			v.recordRemoval(e.Source, id)
			changed[id] = true
		}
	}
}

// withdraw forgets all that a source reported.
func (v *View) withdraw(name string, changed idSet) {
	s := v.sources[name]
	if s == nil {
		return
	}
	for id := range s.servers {
		changed[id] = true
	}
	for id, removals := range v.tombstones {
		delete(removals, name)
		changed[id] = true
	}
	*s = *newSource()
	delete(v.held.lists, name)
}

// dropRestored drops the list restored from disk once every source has reported for itself.
func (v *View) dropRestored(changed idSet) {
	if v.Stale() && v.allReported() {
		v.withdraw(SourceRestored, changed)
	}
}
