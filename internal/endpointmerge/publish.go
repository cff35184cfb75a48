package endpointmerge

import (
	"sort"

	"tackhub.example/tackhub/internal/inventory"
)

// defaultSize is the relative capacity of a server if no source states one.
const defaultSize = 1

// publishChanges updates the published list and adds every entry that changed to the outcome.
func (v *View) publishChanges(out *Outcome) {
	for id := range v.dirtyIDs {
		before, wasPublished := v.published[id]
		m := v.members[id]
		if m == nil {
			if wasPublished {
				delete(v.published, id)
				before.Removed = true
				out.Changes = append(out.Changes, before)
			}
			continue
		}
		if e := m.entry(); e != before {
			v.published[id] = e
			out.Changes = append(out.Changes, e)
		}
	}
	clear(v.dirtyIDs)
	sortByID(out.Changes)
}

// entry returns the published form of a member.
func (m *member) entry() Entry {
	e := Entry{
		ID:       m.ID,
		Address:  m.Address,
		Zone:     m.Zone,
		Cell:     m.cell,
		Size:     m.Size,
		Started:  m.Started,
		Draining: m.Phase == inventory.Draining,
	}
	if e.Size == 0 {
		e.Size = defaultSize
	}
	return e
}

// Published returns the complete published list, sorted by id.
func (v *View) Published() []Entry {
	entries := make([]Entry, 0, len(v.published))
	for _, e := range v.published {
		entries = append(entries, e)
	}
	sortByID(entries)
	return entries
}

func sortByID(entries []Entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
}
