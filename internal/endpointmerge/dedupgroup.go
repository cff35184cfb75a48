package endpointmerge

import "strconv"

// dedupGroup identifies the servers that together drop repeats of a request with an idempotency key: those of a pod in its zone, since pods
// of the same name in different zones are different groups. A server of which it is not known who drops its repeats is a group by itself.
type dedupGroup struct {
	zone       string
	pod        string
	onlyServer string // id of the only member; "" for the group of a pod
}

// firstAssignedCell is the first number that is assigned to a group. Discovery's cells are far below.
const firstAssignedCell = 1 << 40

// prunedGroups is the number of unused groups from which on they are removed.
const prunedGroups = 64

// DedupGroups assigns cells, the numbers that the balancer compares, to groups. A pod whose name is a number has that number as its cell,
// as in discovery's list, so that its cell stays the same when the inventory is turned on or off. All views of a process share the
// assignment, one view at a time: the cells of one view are compared with those of the next one.
type DedupGroups struct {
	cellByGroup map[dedupGroup]int
	groupByCell map[int]dedupGroup
	nextCell    int
}

// NewDedupGroups returns an assignment without groups.
func NewDedupGroups() *DedupGroups {
	return &DedupGroups{cellByGroup: map[dedupGroup]int{}, groupByCell: map[int]dedupGroup{}, nextCell: firstAssignedCell}
}

// cell returns the cell of a group, and assigns one if the group has none. A cell above firstAssignedCell is never assigned twice.
func (g *DedupGroups) cell(group dedupGroup) int {
	if cell, assigned := g.cellByGroup[group]; assigned {
		return cell
	}
	cell, isNumber := group.number()
	if _, taken := g.groupByCell[cell]; !isNumber || taken {
		cell = g.nextCell
		g.nextCell++
	}
	g.cellByGroup[group] = cell
	g.groupByCell[cell] = group
	return cell
}

// number returns the number that is the name of a pod.
func (d dedupGroup) number() (int, bool) {
	number, err := strconv.Atoi(d.pod)
	isCanonical := err == nil && strconv.Itoa(number) == d.pod
	return number, isCanonical && d.onlyServer == "" && number < firstAssignedCell
}

// prune removes the groups that no member uses, once there are many of them.
func (g *DedupGroups) prune(members map[string]*member) {
	if len(g.cellByGroup) <= len(members)+prunedGroups {
		return
	}
	used := map[int]bool{}
	for _, m := range members {
		used[m.cell] = true
	}
	for cell, group := range g.groupByCell {
		if !used[cell] {
			delete(g.groupByCell, cell)
			delete(g.cellByGroup, group)
		}
	}
}

// groupOf returns the group of a member, by the latest news that the view has.
func (v *View) groupOf(m *member) dedupGroup {
	if m.Pod == "" || v.groupIsOutdated(m) {
		return dedupGroup{onlyServer: m.ID}
	}
	return dedupGroup{zone: m.Zone, pod: m.Pod}
}

// groupFields are the fields that determine a member's group.
var groupFields = []string{FieldPod, FieldZone}

// groupIsOutdated reports whether the group that a member's fields state may no longer be its own: they come from a list that an earlier
// process saved, a source that overrides them has not reported since, or a list that states another group is held.
func (v *View) groupIsOutdated(m *member) bool {
	for _, field := range groupFields {
		source, stated := m.FieldSources[field]
		if !stated {
			continue
		}
		if source == SourceRestored && !v.restoredIsCurrent {
			return true
		}
		if v.overridingSourcePending(field, source) || v.heldListDiffers(m, field, source) {
			return true
		}
	}
	return false
}

// overridingSourcePending reports whether a source with a higher precedence for a field has reported to the view from which this one was
// restored, or to the process that saved it, and not to this view.
func (v *View) overridingSourcePending(field, source string) bool {
	if !v.Stale() || source == SourceRestored {
		return false
	}
	for _, name := range v.precedence[field] {
		if name == source {
			return false
		}
		if !v.sources[name].reported {
			return true
		}
	}
	return false
}

// heldListDiffers reports whether a held list states another value for a field than its present source, which it would override.
func (v *View) heldListDiffers(m *member, field, source string) bool {
	for _, name := range v.precedence[field] {
		held, listed := v.held.servers[name][m.ID]
		if text := fieldText(held, field); listed && text != "" && text != fieldText(m.Server, field) {
			return true
		}
		if name == source {
			return false
		}
	}
	return false
}
