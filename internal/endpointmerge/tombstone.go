package endpointmerge

// tombstones are the removals of servers that another source still lists: by server, by the source that removed it, the time.
//
// Without them a server that discovery has removed would stay a member for as long as a file lists it, though its process
// is gone. A removal counts until another source reports the server TombstoneTTL later: that report is newer than the
// removal, where an earlier one may have been made without knowing of it.
type tombstones map[string]map[string]Millis

func (t tombstones) add(source, id string, now Millis) {
	if t[id] == nil {
		t[id] = map[string]Millis{}
	}
	t[id][source] = now
}

// remove ends the removal of a server by one source, which lists it again.
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

// recordRemoval notes that a source has removed a server, if another source still lists it.
func (v *View) recordRemoval(name, id string) {
	delete(v.sources[name].lastSeen, id)
	for other, s := range v.sources {
		if other != name && s.lists(id) {
			v.tombstones.add(name, id, v.now)
			return
		}
	}
}

// qualifiesAsMember reports whether the sources make a server a member, conflicts about addresses aside.
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
	for removedBy, at := range v.tombstones[id] {
		if !v.overridden(id, removedBy, at) {
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

// overridden reports whether another source has reported a server after the removal's time was over.
func (v *View) overridden(id, removedBy string, at Millis) bool {
	expired := at + v.settings.TombstoneTTL
	for _, name := range v.settings.Sources {
		s := v.sources[name]
		if name != removedBy && s.lists(id) && s.lastSeen[id] >= expired {
			return true
		}
	}
	return false
}
