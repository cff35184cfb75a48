package endpointmerge

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tackhub.example/tackhub/internal/inventory"
)

// A server that a file moved to another pod stood on in the old one while it waited for its turn, and repeats that were sent between it and
// that pod ran twice. It must be in the new pod with the one push, and stay in service.
func TestMovedServerIsInItsNewPodAtOnce(t *testing.T) {
	settings := testSettings()
	settings.Sources = []string{"file"}
	s := sequence{t, New(settings)}
	initial := append(servers("p1", 2), server("s3", "p2"), server("s4", "p2"))
	s.step(1, Snapshot{Source: "file", Revision: "1", Servers: initial}, " s1@1 s2@1 s3@2 s4@2")
	s.step(2, Snapshot{Source: "file", Revision: "2", Servers: initial}, "") // the neighbour: the same file again
	moved := append(servers("p2", 2), server("s3", "p2"), server("s4", "p2"))
	if out := s.step(3, Snapshot{Source: "file", Revision: "3", Servers: moved}, " s1@2 s2@2"); out.Moved != 2 {
		t.Errorf("moved = %d, want 2", out.Moved)
	}
	s.step(4, Snapshot{Source: "file", Revision: "4", Servers: initial}, " s1@1 s2@1") // and back
	ownPods := append([]inventory.Server{server("s1", "q1"), server("s2", "q2")}, initial[2:]...)
	s.step(5, Snapshot{Source: "file", Revision: "5", Servers: ownPods}, " s1@3 s2@4")
	ownPods[0].Pod, ownPods[1].Pod = "", "" // no pod: each is a group by itself
	s.step(6, Snapshot{Source: "file", Revision: "6", Servers: ownPods}, " s1@5 s2@6")
	renamed := append(servers("", 2), server("s3", "r"), server("s4", "r")) // nothing shows that the servers of r know the keys of p2
	s.step(7, Snapshot{Source: "file", Revision: "7", Servers: renamed}, " s3@7 s4@7")
	if got := s.v.Members(); got[0].Pod != "" || got[2].Pod != "r" || got[2].MovingTo != "" {
		t.Errorf("members = %+v, want s1 without a pod and s3 in r", got)
	}
}

// Several servers get new pods in one step. The same events must give the pods the same cells in every run, since repeats of a request with
// an idempotency key are sent only to servers with the same cell.
func TestNumberNewPodsDeterministically(t *testing.T) {
	settings := testSettings()
	settings.Sources = []string{"file"}
	const members = 8
	for range 20 {
		s := sequence{t, New(settings)}
		s.step(1, Snapshot{Source: "file", Revision: "1", Servers: servers("p", members)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1 s7@1 s8@1")
		var onePodEach []inventory.Server
		for i, m := range servers("p", members) {
			m.Pod = string(rune('a' + i))
			onePodEach = append(onePodEach, m)
		}
		s.step(2, Snapshot{Source: "file", Revision: "2", Servers: onePodEach}, " s1@2 s2@3 s3@4 s4@5 s5@6 s6@7 s7@8 s8@9")
		if t.Failed() {
			return
		}
	}
}

// Repeats of a request with an idempotency key are sent only to servers with the same cell. Two zones use the same name for their
// pods, and some servers have no pod: a repeat that was sent from one of these groups to another would run a second time.
func TestPodsOfDifferentZonesAndServersWithoutPodAreDifferentGroups(t *testing.T) {
	settings := testSettings()
	settings.Sources = []string{"file"}
	s := sequence{t, New(settings)}
	list := []inventory.Server{server("s1", "rack-1"), server("s2", "rack-1"), server("s3", "rack-1"), server("s4", "rack-1"), server("s5", ""), server("s6", "")}
	list[2].Zone, list[3].Zone = "b", "b"
	s.step(1, Snapshot{Source: "file", Revision: "1", Servers: list}, " s1@1 s2@1 s3@2 s4@2 s5@3 s6@4")
	for i := range list[4:] {
		list[4+i].Pod = "rack-2"
	}
	s.step(2, Snapshot{Source: "file", Revision: "2", Servers: list}, " s5@5 s6@5")
	list[0].Zone = "b"
	s.step(3000, Snapshot{Source: "file", Revision: "3", Servers: list}, " s1@2")
}

// The cells of two views were counted anew, so that a repeat whose first attempt went by the one list was sent to another pod by the other
// one (SIGHUP that turns [inventory] on or off, or changes a key of it). The pods of discovery must have discovery's cells, and all others the
// same cells in the next view, and never a cell that another pod had.
func TestNextViewAssignsTheSameCells(t *testing.T) {
	settings := testSettings()
	groups := NewDedupGroups()
	discovered := func() []inventory.Server {
		return []inventory.Server{server("s1", "7"), server("s2", "7"), server("s3", "-2")}
	}
	static := []inventory.Server{server("s0", "p"), server("s4", "9"), server("s5", "q"), server("s6", "07")}
	first := sequence{t, NewWithGroups(settings, groups)}
	first.step(1, Snapshot{Source: "file", Revision: "1", Servers: static}, " s0@1 s4@#9 s5@2 s6@3")
	first.step(2, Snapshot{Source: "discovery", Revision: "1", Servers: discovered()}, " s1@#7 s2@#7 s3@#-2")
	next := sequence{t, NewWithGroups(settings, groups)}
	next.step(1, Snapshot{Source: "discovery", Revision: "1", Servers: discovered()}, " s1@#7 s2@#7 s3@#-2")
	static[0].Pod, static[2].Pod = "q", "r"
	next.step(2, Snapshot{Source: "file", Revision: "2", Servers: static}, " s0@2 s4@#9 s5@4 s6@3")
	otherZone := append(discovered(), server("s9", "7"))
	otherZone[3].Zone = "b"
	next.step(3, Snapshot{Source: "discovery", Revision: "2", Servers: otherZone}, " s9@5")
}

// A tool that names its pods anew with each push must not fill the memory, and an unused name that comes back must not get a cell that another
// pod has.
func TestUnusedGroupsAreRemoved(t *testing.T) {
	settings := testSettings()
	settings.Sources = []string{"file"}
	v := New(settings)
	cells := map[int]string{}
	for push := range 200 {
		list := servers("", 8)
		for i := range list {
			list[i].Pod = fmt.Sprintf("p%d-%d", push%150, i)
		}
		for _, e := range v.Step(Millis(push+1), Snapshot{Source: "file", Revision: fmt.Sprint(push), Servers: list}).Changes {
			name := v.members[e.ID].Pod
			if other, used := cells[e.Cell]; used && other != name {
				t.Fatalf("cell %d of %s was that of %s", e.Cell, name, other)
			}
			cells[e.Cell] = name
		}
	}
	if n := len(v.groups.cellByGroup); n > prunedGroups+16 {
		t.Errorf("%d groups have a cell after 200 pushes of 8, want at most %d", n, prunedGroups+16)
	}
}

// A process that starts with a saved list stood by the pods of that list, which the servers had left while it was down: repeats ran twice until
// the file had been read. A server must be a group by itself until the sources that state its pod have reported.
func TestSavedPodsAreNotTrustedUntilTheirSourcesHaveReported(t *testing.T) {
	settings := testSettings()
	saved := append(servers("p1", 2), server("s3", "7"))
	s := sequence{t, New(settings)}
	s.step(1, Snapshot{Source: SourceRestored, Revision: "saved", Servers: saved}, " s1@1 s2@2 s3@3")
	s.step(2, Snapshot{Source: "discovery", Revision: "1", Servers: append(servers("1", 2), server("s3", "7"))}, "") // the file overrides it
	s.step(3, Snapshot{Source: "file", Revision: "1", Servers: append(servers("p1", 1), server("s2", "p2"))}, " s1@4 s2@5 s3@#7")

	// The neighbour: the list of the view before this one is the latest news, also while its sources report again.
	s = sequence{t, New(settings)}
	s.step(1, Snapshot{Source: SourceRestored, Revision: "running", Servers: saved, Current: true}, " s1@1 s2@1 s3@#7")
	s.step(2, Snapshot{Source: "file", Revision: "1", Servers: servers("p1", 2)}, "")
	s.step(3, Snapshot{Source: "discovery", Revision: "1", Servers: []inventory.Server{server("s3", "7")}}, "")
}

// A list that is held because it removes too much still says that servers have changed their pods. Until it is released or replaced they are
// groups by themselves; the others stay as they are.
func TestServersThatAHeldListMovesAreGroupsByThemselves(t *testing.T) {
	settings := testSettings()
	settings.Sources = []string{"file"}
	s := sequence{t, New(settings)}
	initial := append(servers("p1", 3), server("s4", "p2"), server("s5", "p2"))
	s.step(1, Snapshot{Source: "file", Revision: "1", Servers: initial}, " s1@1 s2@1 s3@1 s4@2 s5@2")
	held := []inventory.Server{server("s1", "p2"), server("s2", "p1")}
	out := s.step(2, Snapshot{Source: "file", Revision: "2", Servers: held}, " s1@3")
	if len(out.Held) != 1 {
		t.Fatalf("held = %+v, want the list held", out.Held)
	}
	s.step(3, Snapshot{Source: "file", Revision: "1", Servers: initial}, " s1@1")
	s.step(4, Snapshot{Source: "file", Revision: "2", Servers: held}, " s1@3")
	s.step(5, Confirmed{Source: "file", Revision: "2"}, " s1@2 s3- s4- s5-")
}

// After any lists, removals, withdrawals and changes of the view, two servers have one cell only if the latest news puts them into one pod of one
// zone, and a server's cell changes only if its group does.
func TestCellsFollowTheLatestNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.GuardedSources = nil
		groups := NewDedupGroups()
		v := NewWithGroups(settings, groups)
		groupByCell := map[int]dedupGroup{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := rapid.SampledFrom(settings.Sources).Draw(t, "source")
			var e Event = Snapshot{Source: name, Revision: fmt.Sprint(i), Servers: drawServers(t, "list")}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				e = Withdrawn{Source: name}
			case 1: // SIGHUP with another key
				next := NewWithGroups(settings, groups)
				e = Snapshot{Source: SourceRestored, Revision: "running", Servers: serversOf(v.Members()), Current: true}
				v = next
			}
			v.Step(Millis(i+1), e)
			for _, entry := range v.Published() {
				group := v.groupOf(v.members[entry.ID])
				if other, known := groupByCell[entry.Cell]; known && other != group {
					t.Fatalf("cell %d of %+v was that of %+v", entry.Cell, group, other)
				}
				groupByCell[entry.Cell] = group
			}
		}
	})
}

// serversOf returns the servers of members.
func serversOf(members []Member) []inventory.Server {
	var out []inventory.Server
	for _, m := range members {
		out = append(out, m.Server)
	}
	return out
}
