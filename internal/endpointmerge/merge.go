package endpointmerge

import (
	"sort"
	"strconv"

	"tackhub.example/tackhub/internal/inventory"
)

// order is the precedence of sources for a field.
func (v *View) order(field string) []string {
	var out []string
	for _, name := range v.set.FieldPrecedence[field] {
		if v.sources[name] != nil && !contains(out, name) {
			out = append(out, name)
		}
	}
	for _, name := range v.set.Sources {
		if !contains(out, name) {
			out = append(out, name)
		}
	}
	return append(out, SourceRestored)
}

// listed tells whether a server is a member by what sources say, addresses aside.
func (v *View) listed(id string) bool {
	any := false
	for _, s := range v.sources {
		if _, ok := s.servers[id]; ok {
			any = true
		}
	}
	if !any {
		delete(v.tombs, id)
		return false
	}
	for _, name := range v.set.RequiredSources {
		if s := v.sources[name]; s != nil && s.spoken {
			if _, ok := s.servers[id]; !ok {
				return false
			}
		}
	}
	for by, at := range v.tombs[id] {
		if !v.overruled(id, by, at) {
			return false
		}
	}
	return true
}

// overruled tells whether another source has spoken of a server after a tombstone's time: then its word is newer than the
// removal. Until then it is taken for stale.
func (v *View) overruled(id, by string, at Millis) bool {
	for name, s := range v.sources {
		if _, ok := s.servers[id]; ok && name != by && name != SourceRestored && s.at[id] >= at+v.set.TombstoneTTL {
			return true
		}
	}
	return false
}

// merge works out the members among the ids that something was said of, and those that want the same addresses.
func (v *View) merge(dirty map[string]bool, out *Outcome) {
	candidates := map[string]*member{}
	addresses := map[string]bool{}
	for id := range dirty {
		if m := v.members[id]; m != nil {
			addresses[m.Address] = true
		}
		c := v.candidate(id, out)
		candidates[id] = c
		v.claim(id, c, addresses)
	}
	for address := range addresses { // who else wants it is to be looked at as well
		for id := range v.claims[address] {
			if _, ok := candidates[id]; !ok {
				candidates[id] = v.candidate(id, out)
			}
		}
	}
	for _, id := range sortedKeys(candidates) {
		c := candidates[id]
		if c != nil && v.owner(c.Address, candidates) != id {
			c = nil
		}
		v.settle(id, c, out)
	}
}

// claim notes which address a candidate wants, and gives up what it wanted before.
func (v *View) claim(id string, c *member, addresses map[string]bool) {
	if old, ok := v.wants[id]; ok && (c == nil || old != c.Address) {
		addresses[old] = true
		delete(v.wants, id)
		delete(v.claims[old], id)
		if len(v.claims[old]) == 0 {
			delete(v.claims, old)
		}
	}
	if c == nil {
		return
	}
	if v.claims[c.Address] == nil {
		v.claims[c.Address] = map[string]bool{}
	}
	v.wants[id], v.claims[c.Address][id], addresses[c.Address] = c.Address, true, true
}

// candidate merges one server's fields; nil where it is no member.
func (v *View) candidate(id string, out *Outcome) *member {
	if !v.listed(id) {
		v.noConflicts(id)
		return nil
	}
	m := &member{Member: Member{Server: inventory.Server{ID: id, Phase: inventory.Serving}, FieldSources: map[string]string{}}}
	m.Address = v.pick(m, FieldAddress, func(s inventory.Server) string { return s.Address }, out)
	m.Zone = v.pick(m, FieldZone, func(s inventory.Server) string { return s.Zone }, out)
	m.Pod = v.pick(m, FieldPod, func(s inventory.Server) string { return s.Pod }, out)
	size := v.pick(m, FieldSize, func(s inventory.Server) string {
		if s.Size == 0 {
			return ""
		}
		return strconv.FormatFloat(s.Size, 'g', -1, 64)
	}, out)
	m.Size, _ = strconv.ParseFloat(size, 64) // it was written from a number
	for _, name := range v.orders[""] {
		s, ok := v.sources[name].servers[id]
		if !ok {
			continue
		}
		if s.Phase == inventory.Draining {
			m.Phase, m.FieldSources["phase"] = inventory.Draining, name
		}
		if m.Tags == nil && len(s.Tags) > 0 {
			m.Tags, m.FieldSources["tags"] = s.Tags, name
		}
		for k, text := range s.Extra {
			if m.Extra == nil {
				m.Extra = map[string]string{}
			}
			if _, had := m.Extra[k]; !had {
				m.Extra[k] = text
			}
		}
	}
	for _, name := range v.orders[FieldAddress] { // who knows the address knows the process
		if s, ok := v.sources[name].servers[id]; ok && s.Started > 0 {
			m.Started, m.FieldSources["started"] = s.Started, name
			break
		}
	}
	if m.Address == "" {
		return nil
	}
	return m
}

// pick is a field's value by the first source that speaks of it, and notes who differs.
func (v *View) pick(m *member, field string, of func(inventory.Server) string, out *Outcome) string {
	taken, from := "", ""
	key := m.ID + " " + field
	found := false
	for _, name := range v.orders[field] {
		s, ok := v.sources[name].servers[m.ID]
		if !ok || of(s) == "" {
			continue
		}
		switch {
		case from == "":
			taken, from = of(s), name
		case of(s) != taken && name != SourceRestored && !found:
			found = true
			c := Conflict{m.ID, field, taken, of(s), from, name}
			if v.conflicts[key] != c {
				if _, had := v.conflicts[key]; had || len(v.conflicts) < conflictsKept {
					v.conflicts[key] = c
					out.Conflicts = append(out.Conflicts, c)
				}
			}
		}
	}
	if !found {
		delete(v.conflicts, key)
	}
	if from != "" {
		m.FieldSources[field] = from
	}
	return taken
}

func (v *View) noConflicts(id string) {
	for _, f := range Fields {
		delete(v.conflicts, id+" "+f)
	}
}

// owner is the one of those who want an address that gets it: by the precedence of the source that says so, then the one
// that started later, then by id. Two servers at one address cannot both be; a new process there is another server.
func (v *View) owner(address string, fresh map[string]*member) string {
	best, bestRank, bestStarted := "", 0, 0.0
	order := v.orders[FieldAddress]
	for id := range v.claims[address] {
		m := fresh[id]
		if m == nil {
			continue
		}
		rank := 0
		for i, name := range order {
			if name == m.FieldSources[FieldAddress] {
				rank = i
			}
		}
		better := best == "" || rank < bestRank || rank == bestRank && (m.Started > bestStarted ||
			m.Started == bestStarted && id < best)
		if better {
			best, bestRank, bestStarted = id, rank, m.Started
		}
	}
	return best
}

// settle makes a candidate the member, or takes the member out.
func (v *View) settle(id string, c *member, out *Outcome) {
	was := v.members[id]
	v.touched[id] = true
	switch {
	case c == nil && was == nil:
		return
	case c == nil:
		if was.until > 0 {
			v.moving--
		}
		delete(v.members, id)
		delete(v.movers, id)
		return
	case was == nil:
		c.cell = v.cellOf(c.Pod)
		if v.settled && c.Started == 0 && c.FieldSources[FieldAddress] != SourceRestored {
			c.Started = v.now // nobody tells when it started: new to us, it is taken for cold
		}
		v.members[id] = c
		return
	}
	if c.Started == 0 {
		c.Started = was.Started
		if c.Address != was.Address && v.settled {
			c.Started = v.now // another process
		}
	}
	c.cell, c.until, c.queue, c.next = was.cell, was.until, was.queue, was.next
	v.regroup(c, was)
	v.members[id] = c
	if delete(v.movers, id); c.queue || c.until > 0 {
		v.movers[id] = c
	}
}

// regroup lets a member whose group is to change keep its old one for now.
func (v *View) regroup(c, was *member) {
	want, have := group{c.Zone, c.Pod}, group{was.Zone, was.Pod}
	c.Zone, c.Pod = have.zone, have.pod
	switch {
	case want == have:
		if c.until > 0 { // back before it moved: nothing new went there meanwhile
			v.moving--
		}
		c.until, c.queue, c.next, c.MovingTo = 0, false, group{}, ""
	case v.set.PodHold <= 0:
		c.Zone, c.Pod, c.cell = want.zone, want.pod, v.cellOf(want.pod)
	default:
		c.next, c.MovingTo = want, want.zone+"/"+want.pod
		c.queue = c.until == 0
	}
}

// move carries groups' changes on: names that change while the groups stay, holds that are over, and the next in turn.
func (v *View) move(out *Outcome) {
	var waits []*member
	for _, m := range v.movers {
		if m.until > 0 && v.now >= m.until {
			v.moving--
			v.arrive(m)
		}
		if m.queue {
			waits = append(waits, m)
		}
		if m.until > 0 && (out.NextTick == 0 || m.until < out.NextTick) {
			out.NextTick = m.until
		}
	}
	if len(waits) == 0 {
		return
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i].ID < waits[j].ID })
	waits = v.rename(waits)
	most := max(1, int(v.set.MaxMovingShare*float64(len(v.members))))
	for _, m := range waits {
		if v.moving >= most {
			break
		}
		m.queue, m.until = false, v.now+v.set.PodHold
		v.touched[m.ID] = true
		v.moving++
		out.MovesStarted++
		if out.NextTick == 0 || m.until < out.NextTick {
			out.NextTick = m.until
		}
	}
}

func (v *View) arrive(m *member) {
	m.Zone, m.Pod, m.cell = m.next.zone, m.next.pod, v.cellOf(m.next.pod)
	m.until, m.queue, m.next, m.MovingTo = 0, false, group{}, ""
	v.touched[m.ID] = true
	delete(v.movers, m.ID)
}

// rename finds pods that all their members leave together for a name that nobody else has: the pod is the same, so
// nothing needs to be held. It gives those that really move.
func (v *View) rename(waits []*member) []*member {
	size, names := map[group]int{}, map[string]int{} // members of a group, and of a name in all zones
	for _, m := range v.members {
		size[group{m.Zone, m.Pod}]++
		names[m.Pod]++
	}
	leaving, joins := map[group]map[group]int{}, map[string]int{}
	for _, m := range v.movers {
		joins[m.next.pod]++
	}
	for _, m := range waits {
		from := group{m.Zone, m.Pod}
		if leaving[from] == nil {
			leaving[from] = map[group]int{}
		}
		leaving[from][m.next]++
	}
	same := map[group]bool{}
	for from, to := range leaving {
		for next, n := range to {
			same[from] = n == size[from] && n == names[from.pod] && joins[next.pod] == n && names[next.pod] == 0 && next.zone == from.zone
		}
	}
	var out []*member
	for _, m := range waits {
		if !same[group{m.Zone, m.Pod}] {
			out = append(out, m)
			continue
		}
		if old := m.Pod; v.cells[old] == m.cell { // a pod that takes the old name later is another
			delete(v.cells, old)
		}
		v.cells[m.next.pod], v.podOf[m.cell] = m.cell, m.next.pod
		m.Pod = m.next.pod
		m.queue, m.next, m.MovingTo = false, group{}, ""
		delete(v.movers, m.ID)
	}
	return out
}

// cellOf is the number of a pod.
func (v *View) cellOf(pod string) int {
	if n, ok := v.cells[pod]; ok && v.podOf[n] == pod {
		return n
	}
	v.nextCell++
	v.cells[pod], v.podOf[v.nextCell] = v.nextCell, pod
	return v.nextCell
}

// push gives what differs from what was pushed before.
func (v *View) push(out *Outcome) {
	for id := range v.touched {
		m, was := v.members[id], v.pushed[id]
		if m == nil {
			if was.ID != "" {
				delete(v.pushed, id)
				was.Removed = true
				out.Changes = append(out.Changes, was)
			}
			continue
		}
		e := Entry{ID: id, Address: m.Address, Zone: m.Zone, Cell: m.cell, Size: m.Size, Started: m.Started,
			Draining: m.Phase == inventory.Draining || m.until > 0}
		if e.Size == 0 {
			e.Size = 1
		}
		if was != e {
			v.pushed[id] = e
			out.Changes = append(out.Changes, e)
		}
	}
	clear(v.touched)
	sort.Slice(out.Changes, func(i, j int) bool { return out.Changes[i].ID < out.Changes[j].ID })
}

// Pushed is everything as it was pushed last, by id.
func (v *View) Published() []Entry {
	out := make([]Entry, 0, len(v.pushed))
	for _, e := range v.pushed {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func sortedKeys(m map[string]*member) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
