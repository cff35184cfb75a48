package endpointmerge

import (
	"sort"

	"tackhub.example/tackhub/internal/inventory"
)

// defaultSize is the relative capacity of a server of which no source states one.
const defaultSize = 1

// publishChanges collects the members that differ from what was published before.
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

// entry is the member as it is published. One that moves drains meanwhile.
func (m *member) entry() Entry {
	e := Entry{
		ID:       m.ID,
		Address:  m.Address,
		Zone:     m.Zone,
		Cell:     m.cell,
		Size:     m.Size,
		Started:  m.Started,
		Draining: m.Phase == inventory.Draining || m.move.started(),
	}
	if e.Size == 0 {
		e.Size = defaultSize
	}
	return e
}

// Published is the complete list as it was published last, by id.
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
