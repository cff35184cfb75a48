package endpointmerge

import (
	"maps"
	"slices"
)

// group is where servers drop repetitions of a keyed request together.
type dedupScope struct{ zone, pod string }

func (g dedupScope) String() string { return g.zone + "/" + g.pod }

// move is a member's change to another group. Its zero value is none. It is queued first, while too many others move, and
// started then: the member gets no new requests until the move ends.
type move struct {
	queued bool
	ends   Millis // once started; 0 before
	to     dedupScope
}

func (m move) started() bool { return m.ends > 0 }
func (m move) pending() bool { return m.queued || m.started() }

func (m *member) group() dedupScope { return dedupScope{m.Zone, m.Pod} }

// planMove has a member keep its present group, and queues its move if its sources now give it another.
func (v *View) planMove(m *member, present dedupScope) {
	wanted := m.group()
	if wanted == present {
		if m.move.started() { // back before the move ended: no new requests went to it meanwhile
			v.moving--
		}
		m.move = move{}
		m.MovingTo = ""
		return
	}
	if v.settings.PodHold <= 0 {
		m.cell = v.pods.number(wanted.pod)
		return
	}
	m.Zone = present.zone
	m.Pod = present.pod
	m.MovingTo = wanted.String()
	m.move.to = wanted
	m.move.queued = !m.move.started()
}

// advanceMoves ends the moves whose time is over, renames pods, and starts the next moves in the queue.
func (v *View) advanceMoves(out *Outcome) {
	var queue []*member
	for _, id := range slices.Sorted(maps.Keys(v.relocating)) { // in order, since the ends of moves give new pods their numbers
		m := v.relocating[id]
		if m.move.started() && v.now >= m.move.ends {
			v.moving--
			v.endMove(m)
		}
		if m.move.queued {
			queue = append(queue, m)
		}
		if m.move.started() {
			out.tickAt(m.move.ends)
		}
	}
	if len(queue) == 0 {
		return
	}
	v.startMoves(v.renamePods(queue), out)
}

// startMoves starts as many moves as MaxMovingShare allows, and one at least.
func (v *View) startMoves(queue []*member, out *Outcome) {
	maxMoving := max(1, int(v.settings.MaxMovingShare*float64(len(v.members))))
	for _, m := range queue {
		if v.moving >= maxMoving {
			return
		}
		m.move.queued = false
		m.move.ends = v.now + v.settings.PodHold
		v.moving++
		v.touched[m.ID] = true
		out.MovesStarted++
		out.tickAt(m.move.ends)
	}
}

// tickAt asks for a Tick at a time, if none is due earlier.
func (o *Outcome) tickAt(at Millis) {
	if o.NextTick == 0 || at < o.NextTick {
		o.NextTick = at
	}
}

// endMove gives a member its new group.
func (v *View) endMove(m *member) {
	m.Zone = m.move.to.zone
	m.Pod = m.move.to.pod
	m.cell = v.pods.number(m.Pod)
	m.move = move{}
	m.MovingTo = ""
	v.touched[m.ID] = true
	delete(v.relocating, m.ID)
}

// renamePods finds the pods that are only renamed: all their members leave together, within their zone, for a name that
// no other member has or will have. Those members change their pod's name at once and stay in service, since the servers of
// the group stay the same. It returns the members that really move.
func (v *View) renamePods(queue []*member) []*member {
	renamed := v.renamedGroups(queue)
	var moving []*member
	for _, m := range queue {
		if !renamed[m.group()] {
			moving = append(moving, m)
			continue
		}
		v.pods.rename(m.cell, m.Pod, m.move.to.pod)
		m.Pod = m.move.to.pod
		m.move.queued = false
		m.move.to = dedupScope{}
		m.MovingTo = ""
		delete(v.relocating, m.ID)
	}
	return moving
}

// renamedGroups are the groups whose queued moves are a renaming.
func (v *View) renamedGroups(queue []*member) map[dedupScope]bool {
	groupSize := map[dedupScope]int{}
	podSize := map[string]int{} // in all zones
	for _, m := range v.members {
		groupSize[m.group()]++
		podSize[m.Pod]++
	}
	joining := map[string]int{} // by pod
	for _, m := range v.relocating {
		joining[m.move.to.pod]++
	}
	leaving := map[dedupScope]map[dedupScope]int{} // by present and new group
	for _, m := range queue {
		from := m.group()
		if leaving[from] == nil {
			leaving[from] = map[dedupScope]int{}
		}
		leaving[from][m.move.to]++
	}
	renamed := map[dedupScope]bool{}
	for from, destinations := range leaving {
		for to, n := range destinations {
			allLeave := n == groupSize[from] && n == podSize[from.pod]
			nameIsFree := podSize[to.pod] == 0 && joining[to.pod] == n
			renamed[from] = allLeave && nameIsFree && to.zone == from.zone
		}
	}
	return renamed
}
