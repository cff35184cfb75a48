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
	queued      bool
	endsAt      Millis // once started; 0 before
	destination dedupScope
}

func (m move) started() bool { return m.endsAt > 0 }
func (m move) pending() bool { return m.queued || m.started() }

func (m *member) scope() dedupScope { return dedupScope{m.Zone, m.Pod} }

// planMove has a member keep its present group, and queues its move if its sources now give it another.
func (v *View) planMove(m *member, present dedupScope) {
	wanted := m.scope()
	if wanted == present {
		if m.move.started() { // back before the move ended: no new requests went to it meanwhile
			v.movingCount--
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
	m.move.destination = wanted
	m.move.queued = !m.move.started()
}

// advanceMoves ends the moves whose time is over, renames pods, and starts the next moves in the queue.
func (v *View) advanceMoves(out *Outcome) {
	var queue []*member
	for _, id := range slices.Sorted(maps.Keys(v.pendingMoves)) { // in order, since the ends of moves give new pods their numbers
		m := v.pendingMoves[id]
		if m.move.started() && v.now >= m.move.endsAt {
			v.movingCount--
			v.endMove(m)
		}
		if m.move.queued {
			queue = append(queue, m)
		}
		if m.move.started() {
			out.tickAt(m.move.endsAt)
		}
	}
	if len(queue) == 0 {
		return
	}
	v.startMoves(v.renamePods(queue), out)
}

// startMoves starts as many moves as MaxMovingShare allows, and one at least.
func (v *View) startMoves(queue []*member, out *Outcome) {
	maxMoving := max(1, int(v.settings.MaxMovingFraction*float64(len(v.members))))
	for _, m := range queue {
		if v.movingCount >= maxMoving {
			return
		}
		m.move.queued = false
		m.move.endsAt = v.now + v.settings.PodHold
		v.movingCount++
		v.dirtyIDs[m.ID] = true
		out.MovesStarted++
		out.tickAt(m.move.endsAt)
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
	m.Zone = m.move.destination.zone
	m.Pod = m.move.destination.pod
	m.cell = v.pods.number(m.Pod)
	m.move = move{}
	m.MovingTo = ""
	v.dirtyIDs[m.ID] = true
	delete(v.pendingMoves, m.ID)
}

// renamePods finds the pods that are only renamed: all their members leave together, within their zone, for a name that
// no other member has or will have. Those members change their pod's name at once and stay in service, since the servers of
// the group stay the same. It returns the members that really move.
func (v *View) renamePods(queue []*member) []*member {
	renamed := v.renamedScopes(queue)
	var moving []*member
	for _, m := range queue {
		if !renamed[m.scope()] {
			moving = append(moving, m)
			continue
		}
		v.pods.rename(m.cell, m.Pod, m.move.destination.pod)
		m.Pod = m.move.destination.pod
		m.move.queued = false
		m.move.destination = dedupScope{}
		m.MovingTo = ""
		delete(v.pendingMoves, m.ID)
	}
	return moving
}

// renamedScopes are the groups whose queued moves are a renaming.
func (v *View) renamedScopes(queue []*member) map[dedupScope]bool {
	groupSize := map[dedupScope]int{}
	podSize := map[string]int{} // in all zones
	for _, m := range v.members {
		groupSize[m.scope()]++
		podSize[m.Pod]++
	}
	joining := map[string]int{} // by pod
	for _, m := range v.pendingMoves {
		joining[m.move.destination.pod]++
	}
	leaving := map[dedupScope]map[dedupScope]int{} // by present and new group
	for _, m := range queue {
		from := m.scope()
		if leaving[from] == nil {
			leaving[from] = map[dedupScope]int{}
		}
		leaving[from][m.move.destination]++
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
