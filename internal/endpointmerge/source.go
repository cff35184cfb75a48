package endpointmerge

import (
	"slices"

	"tackhub.example/tackhub/internal/inventory"
)

// source holds the latest list of servers from one source.
type source struct {
	reported bool
	revision string
	servers  map[string]inventory.Server
	lastSeen map[string]Millis // by server id: time of the latest snapshot or delta that listed the server
}

func newSource() *source {
	return &source{servers: map[string]inventory.Server{}, lastSeen: map[string]Millis{}}
}

// lists reports whether a server is in the source's list.
func (s *source) lists(id string) bool {
	_, listed := s.servers[id]
	return listed
}

// update adds or replaces one server.
func (s *source) update(server inventory.Server, now Millis) {
	s.servers[server.ID] = server
	s.lastSeen[server.ID] = now
}

// handleSnapshot applies a complete list, or holds it if it removes too many servers.
func (v *View) handleSnapshot(e Snapshot, changed idSet, out *Outcome) {
	if v.sources[e.Source] == nil {
		return
	}
	if v.holdSnapshot(e, changed, out) {
		return
	}
	v.applySnapshot(e, changed)
}

// applySnapshot replaces the source's list with a complete list.
func (v *View) applySnapshot(e Snapshot, changed idSet) {
	s := v.sources[e.Source]
	if e.Source == SourceRestored {
		v.restoredOrigins = e.Origins
		v.restoredIsCurrent = e.Current
	}
	previousServers := s.servers
	s.servers = make(map[string]inventory.Server, len(e.Servers))
	for _, server := range e.Servers {
		s.update(server, v.now)
		v.tombstones.remove(e.Source, server.ID)
		changed[server.ID] = true
	}
	for id := range previousServers {
		if !s.lists(id) {
			v.recordRemoval(e.Source, id)
			changed[id] = true
		}
	}
	firstReport := !s.reported
	s.reported = true
	s.revision = e.Revision
	if firstReport {
		v.removeRestored(e.Source, changed)
	}
	if firstReport { // a required source removes the members that it does not list; any source may make groups certain
		v.recomputeMembers(changed)
	}
	for id := range v.tombstones { // this list may override an expired tombstone
		changed[id] = true
	}
}

// recomputeMembers adds all members to changed.
func (v *View) recomputeMembers(changed idSet) {
	for id := range v.members {
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
	if !s.reported {
		v.adoptRestored(e.Source)
		v.recomputeMembers(changed)
	}
	for _, server := range e.Updated {
		s.update(server, v.now)
		v.tombstones.remove(e.Source, server.ID)
		changed[server.ID] = true
	}
	for _, id := range e.Removed { // also a server that only the restored list names: the source may have named it before the start
		delete(s.servers, id)
		v.recordRemoval(e.Source, id)
		changed[id] = true
	}
}

// adoptRestored makes the servers of the restored list that come from a source the list of that source, since the changes that it
// reports first continue that list. A restored entry would otherwise go on beside the changed one, and drain a server that is back in
// service.
func (v *View) adoptRestored(name string) {
	s, restored := v.sources[name], v.sources[SourceRestored]
	for id, origins := range v.restoredOrigins {
		if !slices.Contains(origins, name) || !restored.lists(id) {
			continue
		}
		s.update(restored.servers[id], v.now)
		s.reported = true
		if len(origins) == 1 {
			delete(restored.servers, id)
		}
	}
}

// removeRestored removes the servers of the restored list that come from a source, unless the source's first list names them.
func (v *View) removeRestored(name string, changed idSet) {
	if name == SourceRestored {
		return
	}
	for id, origins := range v.restoredOrigins {
		if slices.Contains(origins, name) && !v.sources[name].lists(id) {
			v.recordRemoval(name, id)
			changed[id] = true
		}
	}
}

// withdraw deletes a source's list, held list and tombstones.
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
	v.held.remove(name, changed)
}

// dropRestored drops the list restored from disk once every source has reported.
func (v *View) dropRestored(changed idSet) {
	if v.Stale() && v.allReported() {
		v.withdraw(SourceRestored, changed)
	}
}
