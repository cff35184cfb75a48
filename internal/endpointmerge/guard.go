package endpointmerge

import (
	"slices"

	"tackhub.example/tackhub/internal/inventory"
)

// heldLists records the complete lists that are held because they remove too many servers. Such a list may come from a file
// generated from partial data, which parses without errors but would take the missing servers out of service.
type heldLists struct {
	lists     map[string]Snapshot                    // by source
	servers   map[string]map[string]inventory.Server // of the lists, by source and id
	reported  map[string]string                      // by source: revision of the held list that an Outcome has reported
	confirmed map[string]string                      // by source: revision that an operator has confirmed
}

func newHeldLists() heldLists {
	return heldLists{lists: map[string]Snapshot{}, servers: map[string]map[string]inventory.Server{}, reported: map[string]string{}, confirmed: map[string]string{}}
}

// hold adds a list. The servers that it names are added to changed, since it may make their groups outdated.
func (h *heldLists) hold(e Snapshot, changed idSet) {
	h.lists[e.Source] = e
	h.servers[e.Source] = make(map[string]inventory.Server, len(e.Servers))
	for _, server := range e.Servers {
		h.servers[e.Source][server.ID] = server
		changed[server.ID] = true
	}
}

// remove removes the list of a source. The servers that it names are added to changed.
func (h *heldLists) remove(source string, changed idSet) {
	for id := range h.servers[source] {
		changed[id] = true
	}
	delete(h.lists, source)
	delete(h.servers, source)
}

// holdSnapshot holds a list that removes too many servers, and reports whether it did. The list replaces any list of the same
// source that was held before.
func (v *View) holdSnapshot(e Snapshot, changed idSet, out *Outcome) bool {
	before, wasHeld := v.held.lists[e.Source]
	v.held.remove(e.Source, changed)
	hold := v.removesTooMuch(e)
	unchanged := hold && before.Revision == e.Revision
	if wasHeld && !unchanged {
		out.Released = append(out.Released, e.Source)
	}
	if hold {
		v.held.hold(e, changed)
	}
	return hold
}

// removesTooMuch reports whether a list must be held: its source is guarded, the list is not confirmed, and it removes more
// members than the settings allow.
func (v *View) removesTooMuch(e Snapshot) bool {
	guarded := slices.Contains(v.settings.GuardedSources, e.Source) && v.settings.MaxRemovedFraction > 0
	if !guarded || v.held.confirmed[e.Source] == e.Revision {
		return false
	}
	removed, total := v.countRemoved(e)
	return removed >= max(1, v.settings.MinHeldRemovals) && float64(removed) > v.settings.MaxRemovedFraction*float64(total)
}

// countRemoved returns the number of members in service that a list would remove or drain, and the number of all members in
// service.
func (v *View) countRemoved(e Snapshot) (removed, total int) {
	phases := make(map[string]inventory.Phase, len(e.Servers))
	for _, server := range e.Servers {
		phases[server.ID] = server.Phase
	}
	for id, m := range v.members {
		if m.Phase == inventory.Draining {
			continue
		}
		total++
		phase, listed := phases[id]
		inService := listed && phase != inventory.Draining
		if !inService && v.dependsOnSource(e.Source, id) {
			removed++
		}
	}
	return removed, total
}

// dependsOnSource reports whether a member depends on a source's list. If the source has reported, this is true if the source
// lists the member. Otherwise it is true if the list restored from disk lists the member or if the source is required.
func (v *View) dependsOnSource(name, id string) bool {
	s := v.sources[name]
	if s.reported {
		return s.lists(id)
	}
	return v.sources[SourceRestored].lists(id) || slices.Contains(v.settings.RequiredSources, name)
}

// releaseHeld applies the held lists that were confirmed or no longer remove too many servers. It reports each of the others
// once.
func (v *View) releaseHeld(changed idSet, out *Outcome) {
	for _, name := range v.settings.Sources {
		e, held := v.held.lists[name]
		if !held {
			delete(v.held.reported, name)
			continue
		}
		if !v.removesTooMuch(e) {
			v.held.remove(name, changed)
			delete(v.held.reported, name)
			out.Released = append(out.Released, name)
			v.applySnapshot(e, changed)
			continue
		}
		if v.held.reported[name] != e.Revision {
			v.held.reported[name] = e.Revision
			removed, total := v.countRemoved(e)
			out.Held = append(out.Held, HeldList{Source: name, Revision: e.Revision, Removed: removed, Total: total})
		}
	}
}
