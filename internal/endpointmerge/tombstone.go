package endpointmerge

// tombstones records the time at which a source removed a server that another source still listed, by server id and by the
// source that removed it.
//
// Without tombstones, a server that discovery has removed would stay a member as long as a file lists it, although its process
// has ended. A removal counts until another source reports the server at least TombstoneTTL later. An earlier report may be
// based on data from before the removal.
type tombstones map[string]map[string]Millis

func (t tombstones) add(source, id string, now Millis) {
	if t[id] == nil {
		t[id] = map[string]Millis{}
	}
	t[id][source] = now
}

// remove deletes the tombstone of a source that lists the server again.
func (t tombstones) remove(source, id string) {
	removals := t[id]
	if removals == nil {
		return
	}
	delete(removals, source)
	if len(removals) == 0 {
		delete(t, id)
	}
}

// recordRemoval adds a tombstone for a server that a source has removed, if another source still lists it.
func (v *View) recordRemoval(name, id string) {
	delete(v.sources[name].lastSeen, id)
	for other, s := range v.sources {
		if other != name && s.lists(id) {
			v.tombstones.add(name, id, v.now)
			return
		}
	}
}

// qualifiesAsMember reports whether the sources' lists, the required sources and the tombstones allow a server to be a member.
// Conflicts over addresses are not considered.
func (v *View) qualifiesAsMember(id string) bool {
	if !v.listedByAny(id) {
		delete(v.tombstones, id)
		return false
	}
	for _, name := range v.settings.RequiredSources {
		s := v.sources[name]
		if s != nil && s.reported && !s.lists(id) {
			return false
		}
	}
	for removedBy, removedAt := range v.tombstones[id] {
		if !v.overridden(id, removedBy, removedAt) {
			return false
		}
	}
	return true
}

func (v *View) listedByAny(id string) bool {
	for _, s := range v.sources {
		if s.lists(id) {
			return true
		}
	}
	return false
}

// overridden reports whether another source has reported a server after its tombstone expired.
func (v *View) overridden(id, removedBy string, removedAt Millis) bool {
	expiresAt := removedAt + v.settings.TombstoneTTL
	for _, name := range v.settings.Sources {
		s := v.sources[name]
		if name != removedBy && s.lists(id) && s.lastSeen[id] >= expiresAt {
			return true
		}
	}
	return false
}
