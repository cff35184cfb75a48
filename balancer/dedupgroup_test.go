package balancer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// A server that changed its cell lost its records, so a list that changes nothing else than cells made a fleet begin anew.
func TestServerThatChangesItsCellKeepsItsRecords(t *testing.T) {
	servers := testEndpoints(4)
	servers[0].Started = 5
	b := newTestNode(t, settings(), servers...)
	s := b.balancer.servers.byID["s0"]
	s.timing.unitTime = 123
	s.outlier.ejected = true
	servers[0].Cell = 9
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: servers[:1]})
	if now := b.balancer.servers.byID["s0"]; now != s || now.Cell != 9 || now.timing.unitTime != 123 || !now.outlier.ejected {
		t.Errorf("server = %+v, want the same one with its records, in cell 9", now)
	}
	servers[0].Started = 6 // the neighbour: a process that has restarted begins anew
	b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: servers[:1]})
	if now := b.balancer.servers.byID["s0"]; now == s || now.timing.unitTime == 123 {
		t.Errorf("restarted server = %+v, want one without records", now)
	}
}

// A repeat was sent to a server that had moved to the cell after the first attempt, or that had left it and come back, and ran a second time
// there. A server that stays in the cell, restarts in it or is new is the neighbour: it gets the repeat.
func TestRepeatGoesOnlyToServersThatRememberItsKey(t *testing.T) {
	first := Endpoint{ID: "s0", Zone: "z", Cell: 1, Capacity: 1}
	other := Endpoint{ID: "s1", Zone: "z", Cell: 1, Capacity: 1}
	inCell := func(e Endpoint, cell int) Endpoint { e.Cell = cell; return e }
	removed := Endpoint{ID: "s1", State: Removed}
	restarted := other
	restarted.Started = 7
	for name, c := range map[string]struct {
		listed  Endpoint   // s1 when the first attempt begins; no ID: not listed
		updates []Endpoint // while the first attempt is out
		want    ServerID
	}{
		"stays":                      {other, nil, "s1"},
		"drains and is back":         {other, []Endpoint{{ID: "s1", State: Draining, Zone: "z", Cell: 1}, other}, "s1"},
		"restarts in the cell":       {other, []Endpoint{restarted}, "s1"},
		"joins":                      {inCell(other, 2), []Endpoint{other}, ""},
		"leaves":                     {other, []Endpoint{inCell(other, 2)}, ""},
		"leaves and is back":         {other, []Endpoint{inCell(other, 2), other}, ""},
		"is removed and is back":     {other, []Endpoint{removed, other}, "s1"},
		"is removed and moves":       {inCell(other, 2), []Endpoint{removed, other}, "s1"}, // forgotten once removed, so it is new
		"restarts in another cell":   {inCell(restarted, 2), []Endpoint{other}, ""},
		"is new":                     {Endpoint{}, []Endpoint{other}, "s1"},
		"the first leaves, it stays": {other, []Endpoint{inCell(first, 2)}, "s1"},
		"the first's new cell":       {inCell(other, 2), []Endpoint{inCell(first, 2)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestNode(t, settings(), first)
			id, acts := b.arrive("put", 2000)
			if c.listed.ID != "" { // listed before the first attempt, which the only other server gets
				b = newTestNode(t, settings(), first, c.listed)
				b.balancer.servers.byID["s1"].outlier.ejected = true
				id, acts = b.arrive("put", 2000)
				b.balancer.servers.byID["s1"].outlier.ejected = false
			}
			if sentTo(acts) != "s0" {
				t.Fatalf("actions = %v, want an attempt at s0", acts)
			}
			for _, update := range c.updates {
				b.now++
				b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{update}})
			}
			b.now += 10
			if to := sentTo(b.completeAttempt(id, 0, "s0", ConnectionLost, 10)); to != c.want {
				t.Errorf("repeat sent to %q, want %q", to, c.want)
			}
		})
	}
}

// groupModel is the reference: which servers are in which cell, and which of them remember a key.
type groupModel struct {
	cell    map[ServerID]int // 0: not listed
	pending map[RequestID]*keyMemory
	keys    map[RequestID]*keyMemory
}

// keyMemory is where the key of a request is remembered: since the first attempt that may have run, or if the open attempt runs.
type keyMemory struct {
	cell    int
	servers map[ServerID]bool
}

// start records that an attempt is sent to a server: the servers of its cell remember the key if it runs.
func (m *groupModel) start(id RequestID, server ServerID) {
	m.pending[id] = &keyMemory{m.cell[server], map[ServerID]bool{}}
	for other, cell := range m.cell {
		if cell == m.cell[server] {
			m.pending[id].servers[other] = true
		}
	}
}

// run records that the open attempt may have run.
func (m *groupModel) run(id RequestID) {
	if m.keys[id] == nil {
		m.keys[id] = m.pending[id]
	}
}

// change moves a server to a cell. It forgets what it remembered in the cell that it leaves, and does not get to know what the other servers of its
// new cell remember. A server that was not listed is a new one, to which its cell is open.
func (m *groupModel) change(server ServerID, cell int) {
	before := m.cell[server]
	if cell == before {
		return
	}
	m.cell[server] = cell
	for _, memories := range []map[RequestID]*keyMemory{m.pending, m.keys} {
		for _, memory := range memories {
			if before != 0 {
				delete(memory.servers, server)
			} else if memory.cell == cell {
				memory.servers[server] = true
			}
		}
	}
}

// For any order of moves between cells, removals, returns, restarts, attempts and resets, a repeat of a request with an idempotency key goes
// only where the model says that its key is remembered. Without the times of membership it reports moved servers that get repeats.
func TestAnyOrderOfMovesKeepsRepeatsWhereTheirKeyIsRemembered(t *testing.T) {
	repeats := 0
	rapid.Check(t, func(rt *rapid.T) { repeats += playMoves(t, rt) })
	if repeats == 0 {
		t.Error("no repeat was sent, so nothing was checked")
	}
}

// playMoves plays one sequence and returns the number of repeats.
func playMoves(t *testing.T, rt *rapid.T) (repeats int) {
	const servers, cells = 6, 3
	m := &groupModel{map[ServerID]int{}, map[RequestID]*keyMemory{}, map[RequestID]*keyMemory{}}
	var list []Endpoint
	for i := range servers {
		e := Endpoint{ID: ServerID(fmt.Sprintf("s%d", i)), Zone: "z", Cell: 1 + i%cells, Capacity: 1}
		list = append(list, e)
		m.change(e.ID, e.Cell)
	}
	b := newTestNode(t, settings(), list...)
	open := map[RequestID]StartAttempt{}
	attempts := map[RequestID]int{}
	follow := func(actions []Action) {
		for _, action := range actions {
			a, isAttempt := action.(StartAttempt)
			if !isAttempt {
				continue
			}
			if memory := m.keys[a.ID]; memory != nil {
				repeats++
				if !memory.servers[a.Server] {
					rt.Fatalf("the repeat of request %d goes to %s in cell %d, which doesn't remember its key", a.ID, a.Server, m.cell[a.Server])
				}
			}
			m.start(a.ID, a.Server)
			open[a.ID] = a
		}
	}
	for range rapid.IntRange(5, 60).Draw(rt, "steps") {
		b.now += float64(rapid.IntRange(1, 30).Draw(rt, "pause"))
		switch rapid.IntRange(0, 5).Draw(rt, "event") {
		case 0, 1:
			_, actions := b.arrive("put", 2000)
			follow(actions)
		case 2, 3:
			for id := range b.lastRequestID + 1 {
				a, isOpen := open[id]
				if !isOpen {
					continue
				}
				delete(open, a.ID)
				m.run(a.ID)
				number := attempts[a.ID]
				attempts[a.ID]++
				follow(b.completeAttempt(a.ID, number, a.Server, ConnectionLost, 10))
				break
			}
		default:
			e := &list[rapid.IntRange(0, servers-1).Draw(rt, "server")]
			e.Cell = rapid.IntRange(0, cells).Draw(rt, "cell")
			e.State = Ready
			if e.Cell == 0 {
				e.State = Removed
			}
			e.Started += float64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(rt, "restart"))
			m.change(e.ID, e.Cell)
			follow(b.step(EndpointUpdate{Kind: DeltaUpdate, Endpoints: []Endpoint{*e}}))
		}
	}
	return repeats
}
