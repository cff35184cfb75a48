package endpointmerge

import (
	"maps"
	"slices"
	"strconv"

	"tackhub.example/tackhub/internal/inventory"
)

// member is a Member with the cell of its dedup group.
type member struct {
	Member
	cell int
}

// merge recomputes the members that an event may have changed, and those that claim the same addresses.
func (v *View) merge(changed idSet, out *Outcome) {
	candidates := map[string]*member{}
	contested := map[string]bool{} // addresses whose owner may have changed
	for id := range changed {
		if m := v.members[id]; m != nil {
			contested[m.Address] = true
		}
		c := v.candidate(id, out)
		candidates[id] = c
		v.addresses.claim(id, c, contested)
	}
	for address := range contested {
		for id := range v.addresses.claimants[address] {
			if _, known := candidates[id]; !known {
				candidates[id] = v.candidate(id, out)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(candidates)) {
		c := candidates[id]
		if c != nil && v.addressOwner(c.Address, candidates) != id {
			c = nil
		}
		v.applyCandidate(id, c, out)
	}
}

// candidate merges the fields of one server from all sources. It returns nil if the server does not qualify as a member or if
// no source states its address.
func (v *View) candidate(id string, out *Outcome) *member {
	if !v.qualifiesAsMember(id) {
		v.clearConflicts(id)
		return nil
	}
	c := &member{Member: Member{
		Server:       inventory.Server{ID: id, Phase: inventory.Serving},
		FieldSources: map[string]string{},
	}}
	c.Address = v.choose(c, FieldAddress, out)
	c.Zone = v.choose(c, FieldZone, out)
	c.Pod = v.choose(c, FieldPod, out)
	c.Size, _ = strconv.ParseFloat(v.choose(c, FieldSize, out), 64) // fieldText writes a valid number, or an empty text for 0
	for _, name := range v.precedence[""] {
		if s := v.sources[name]; s.lists(id) {
			c.addOtherFields(s.servers[id], name)
		}
	}
	v.setStarted(c)
	if c.Address == "" {
		return nil
	}
	return c
}

// addOtherFields merges one source's values of the fields without a precedence of their own. The member drains if any source
// drains it. For each of the other fields, the first value is kept.
func (m *member) addOtherFields(s inventory.Server, source string) {
	if s.Phase == inventory.Draining {
		m.Phase = inventory.Draining
		m.FieldSources[fieldPhase] = source
	}
	if m.Tags == nil && len(s.Tags) > 0 {
		m.Tags = s.Tags
		m.FieldSources[fieldTags] = source
	}
	for key, text := range s.Extra {
		if m.Extra == nil {
			m.Extra = map[string]string{}
		}
		if _, known := m.Extra[key]; !known {
			m.Extra[key] = text
		}
	}
}

// setStarted sets the process's start time by the precedence for addresses, since both fields describe the same process.
func (v *View) setStarted(m *member) {
	for _, name := range v.precedence[FieldAddress] {
		s, listed := v.sources[name].servers[m.ID]
		if listed && s.Started > 0 {
			m.Started = s.Started
			m.FieldSources[fieldStarted] = name
			return
		}
	}
}

// choose returns a field's value from the first source that states one. It records a conflict with the first other source that
// states a different value.
func (v *View) choose(m *member, field string, out *Outcome) string {
	chosen, chosenSource := "", ""
	conflicting := false
	for _, name := range v.precedence[field] {
		s, listed := v.sources[name].servers[m.ID]
		text := fieldText(s, field)
		if !listed || text == "" {
			continue
		}
		if chosenSource == "" {
			chosen = text
			chosenSource = name
			continue
		}
		differs := text != chosen && name != SourceRestored
		if differs && !conflicting {
			conflicting = true
			v.recordConflict(Conflict{ID: m.ID, Field: field, Chosen: chosen, Rejected: text, ChosenSource: chosenSource, RejectedSource: name}, out)
		}
	}
	if !conflicting {
		delete(v.conflicts, conflictKey(m.ID, field))
	}
	if chosenSource != "" {
		m.FieldSources[field] = chosenSource
	}
	return chosen
}

// fieldText returns a field with a precedence as text, or an empty text if the source does not state it.
func fieldText(s inventory.Server, field string) string {
	switch field {
	case FieldAddress:
		return s.Address
	case FieldZone:
		return s.Zone
	case FieldPod:
		return s.Pod
	case FieldSize:
		if s.Size != 0 {
			return strconv.FormatFloat(s.Size, 'g', -1, 64)
		}
	}
	return ""
}

// precedenceOf returns the sources in the order of precedence for a field: those configured for the field, then the others in
// the general order, then the restored list.
func (v *View) precedenceOf(field string) []string {
	var order []string
	for _, name := range v.settings.FieldPrecedence[field] {
		if v.sources[name] != nil && !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	for _, name := range v.settings.Sources {
		if !slices.Contains(order, name) {
			order = append(order, name)
		}
	}
	return append(order, SourceRestored)
}

// applyCandidate adds or updates a member from its candidate, or removes the member if the candidate is nil.
func (v *View) applyCandidate(id string, c *member, out *Outcome) {
	before := v.members[id]
	v.dirtyIDs[id] = true
	switch {
	case c == nil && before == nil:
	case c == nil:
		v.removeMember(before)
	case before == nil:
		v.addMember(c)
	default:
		v.updateMember(c, before, out)
	}
}

func (v *View) removeMember(m *member) { delete(v.members, m.ID) }

// addMember adds a new member. If no source states its start time and the initial list is complete, it counts as just started.
func (v *View) addMember(c *member) {
	c.cell = v.groups.cell(v.groupOf(c))
	if v.initialListComplete && c.Started == 0 && c.FieldSources[FieldAddress] != SourceRestored {
		c.Started = v.now
	}
	v.members[c.ID] = c
}

// updateMember replaces a member. A member whose address changed is a new process, which counts as just started if no source
// states its start time. A member whose group changed is in its new group at once: it no longer drops repeats with the servers of the
// old one, and stays in service.
func (v *View) updateMember(c, before *member, out *Outcome) {
	if c.Started == 0 {
		c.Started = before.Started
		if c.Address != before.Address && v.initialListComplete {
			c.Started = v.now
		}
	}
	c.cell = v.groups.cell(v.groupOf(c))
	if c.cell != before.cell {
		out.Moved++
	}
	v.members[c.ID] = c
}
