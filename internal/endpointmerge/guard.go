package endpointmerge

import (
	"slices"

	"tackhub.example/tackhub/internal/inventory"
)

// heldLists are complete lists that are held since they remove too much. The guard is against a file that was made from
// half of its data: it parses well, and would take the rest of the servers out of service.
type heldLists struct {
	lists     map[string]Snapshot // by source
	reported  map[string]string   // by source: the revision of the held list that an Outcome has named
	confirmed map[string]string   // by source: a revision that may pass
}

func newHeldLists() heldLists {
	return heldLists{lists: map[string]Snapshot{}, reported: map[string]string{}, confirmed: map[string]string{}}
}

// holdSnapshot holds a list that removes too much, and reports whether it did. Whatever list of the source was held before is
// replaced.
func (v *View) holdSnapshot(e Snapshot, out *Outcome) bool {
	before, wasHeld := v.held.lists[e.Source]
	delete(v.held.lists, e.Source)
	hold := v.removesTooMuch(e)
	sameAgain := hold && before.Revision == e.Revision
	if wasHeld && !sameAgain {
		out.Released = append(out.Released, e.Source)
	}
	if hold {
		v.held.lists[e.Source] = e
	}
	return hold
}

// removesTooMuch reports whether a list is to be held.
func (v *View) removesTooMuch(e Snapshot) bool {
	guarded := slices.Contains(v.settings.GuardedSources, e.Source) && v.settings.MaxRemovedFraction > 0
	if !guarded || v.held.confirmed[e.Source] == e.Revision {
		return false
	}
	removed, total := v.countRemoved(e)
	return removed >= max(1, v.settings.MinHeldRemovals) && float64(removed) > v.settings.MaxRemovedFraction*float64(total)
}

// countRemoved counts the members in service that a list would remove or drain, and all of them.
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
		phase, keeps := phases[id]
		inService := keeps && phase != inventory.Draining
		if !inService && v.dependsOnSource(e.Source, id) {
			removed++
		}
	}
	return removed, total
}

// dependsOnSource reports whether a member depends on a source's list: the source lists it now, or, where it has not reported yet,
// the list restored from disk does, or the source is required.
func (v *View) dependsOnSource(name, id string) bool {
	s := v.sources[name]
	if s.reported {
		return s.lists(id)
	}
	return v.sources[SourceRestored].lists(id) || slices.Contains(v.settings.RequiredSources, name)
}

// releaseHeld lets held lists pass that were confirmed or no longer remove too much, and names the others once.
func (v *View) releaseHeld(changed idSet, out *Outcome) {
	for _, name := range v.settings.Sources {
		e, held := v.held.lists[name]
		if !held {
			delete(v.held.reported, name)
			continue
		}
		if !v.removesTooMuch(e) {
			delete(v.held.lists, name)
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
