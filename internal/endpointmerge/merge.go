package endpointmerge

import (
	"maps"
	"slices"
	"strconv"

	"tackhub.example/tackhub/internal/inventory"
)

// member is a member with what its moves to other groups need.
type member struct {
	Member
	cell int
	move move
}

// merge works out anew the members that an event may have changed, and those that want the same addresses.
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
		v.applyCandidate(id, c)
	}
}

// candidate merges what the sources say of one server; nil if it is no member, or nobody knows its address.
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
	c.Size, _ = strconv.ParseFloat(v.choose(c, FieldSize, out), 64) // written by fieldText, or empty for 0
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

// addOtherFields merges the fields without a precedence of their own: any drain counts, and the first word on the others.
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

// setStarted sets the time of the process's start by the precedence for addresses: who knows the address knows the process.
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

// choose is a field's value by the first source that has one. It notes the first other source that differs.
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

// fieldText is a field with a precedence, as text; empty where the source does not set it.
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

// precedenceOf is the order of sources for a field: the one that is set for it, then the others in theirs.
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

// applyCandidate makes a candidate the member, or removes the member if there is no candidate.
func (v *View) applyCandidate(id string, c *member) {
	before := v.members[id]
	v.dirtyIDs[id] = true
	switch {
	case c == nil && before == nil:
	case c == nil:
		v.removeMember(before)
	case before == nil:
		v.addMember(c)
	default:
		v.updateMember(c, before)
	}
}

func (v *View) removeMember(m *member) {
	if m.move.started() {
		v.movingCount--
	}
	delete(v.members, m.ID)
	delete(v.pendingMoves, m.ID)
}

// addMember adds a new member. If no source says when it started and the first list is complete, it has just started.
func (v *View) addMember(c *member) {
	c.cell = v.pods.number(c.Pod)
	if v.initialListComplete && c.Started == 0 && c.FieldSources[FieldAddress] != SourceRestored {
		c.Started = v.now
	}
	v.members[c.ID] = c
}

// updateMember replaces a member. One at another address is another process, which has just started.
func (v *View) updateMember(c, before *member) {
	if c.Started == 0 {
		c.Started = before.Started
		if c.Address != before.Address && v.initialListComplete {
			c.Started = v.now
		}
	}
	c.cell = before.cell
	c.move = before.move
	v.planMove(c, before.scope())
	v.members[c.ID] = c
	delete(v.pendingMoves, c.ID)
	if c.move.pending() {
		v.pendingMoves[c.ID] = c
	}
}
