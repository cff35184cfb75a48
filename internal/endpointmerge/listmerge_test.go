package endpointmerge

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"tackhub.example/tackhub/internal/inventory"
)

func settings() Settings {
	return Settings{Sources: []string{"file", "discovery"}, FieldPrecedence: map[string][]string{FieldAddress: {"discovery", "file"}},
		GuardedSources: []string{"file"}, MaxRemovedShare: 0.3, MinHeldRemovals: 2, PodHold: 2000, MaxMovingShare: 0.5, TombstoneTTL: 60_000}
}

func server(id, pod string) inventory.Server {
	return inventory.Server{ID: id, Address: "10.0.0." + id[1:] + ":80", Zone: "a", Pod: pod, Phase: inventory.Serving}
}

func servers(pod string, n int) []inventory.Server {
	var out []inventory.Server
	for i := range n {
		out = append(out, server(fmt.Sprintf("s%d", i+1), pod))
	}
	return out
}

// script plays events and compares what each pushes, written as text.
type script struct {
	t *testing.T
	v *View
}

func (s script) at(now Millis, e Event, want string) Outcome {
	s.t.Helper()
	out := s.v.Step(now, e)
	got := ""
	for _, p := range out.Changes {
		got += " " + p.ID
		switch {
		case p.Removed:
			got += "-"
		case p.Draining:
			got += "~"
		}
		if !p.Removed {
			got += fmt.Sprint("@", p.Cell)
		}
	}
	if got != want {
		s.t.Errorf("at %v %T: pushed%s, want%s", now, e, got, want)
	}
	return out
}

// The file owns pods and sizes, discovery owns addresses; a drain by either drains; what only one knows is a member too.
func TestMergeByField(t *testing.T) {
	v := New(settings())
	v.Step(1, Snapshot{Source: "file", Revision: "f1", Servers: []inventory.Server{
		{ID: "s1", Address: "10.0.0.1:80", Zone: "a", Pod: "p7", Size: 2, Extra: map[string]string{"rack": "r1"}}, server("s2", "p7")}})
	out := v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: []inventory.Server{
		{ID: "s1", Address: "10.9.9.9:80", Zone: "a", Pod: "4", Started: 500, Phase: inventory.Draining}, server("s3", "5")}})
	got := v.Members()
	if len(got) != 3 || got[0].Address != "10.9.9.9:80" || got[0].Pod != "p7" || got[0].Size != 2 || got[0].Phase != inventory.Draining ||
		got[0].Started != 500 || got[0].Extra["rack"] != "r1" {
		t.Fatalf("members %+v", got)
	}
	want := map[string]string{"address": "discovery", "pod": "file", "zone": "file", "size": "file", "phase": "discovery", "started": "discovery"}
	if !reflect.DeepEqual(got[0].FieldSources, want) {
		t.Errorf("from %v, want %v", got[0].FieldSources, want)
	}
	if len(out.Conflicts) != 2 || len(v.Conflicts()) != 2 {
		t.Errorf("conflicts %v, want address and pod of s1", out.Conflicts)
	}
	if out = v.Step(3, Snapshot{Source: "discovery", Revision: "2", Servers: []inventory.Server{server("s3", "5")}}); len(v.Conflicts()) != 0 {
		t.Errorf("conflicts %v stand after their end", v.Conflicts())
	}
}

// A server that discovery has taken away is not raised by a file that merely still lists it.
func TestTombstones(t *testing.T) {
	s := script{t, New(settings())}
	s.at(1, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 3)}, " s1@1 s2@1 s3@1")
	s.at(2, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 3)}, "")
	s.at(3, Delta{Source: "discovery", Revision: "2", Removed: []string{"s2"}}, " s2-")
	s.at(4, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 3)}, "")
	s.at(5, Delta{Source: "discovery", Revision: "3", Updated: servers("p", 2)[1:]}, " s2@1") // it is back
	s.at(6, Delta{Source: "discovery", Revision: "4", Removed: []string{"s2"}}, " s2-")
	s.at(61_000, Tick{}, "") // the tombstone is old, but nobody has spoken since
	s.at(61_001, Snapshot{Source: "file", Revision: "f3", Servers: servers("p", 3)}, " s2@1")
	s.at(61_002, Delta{Source: "discovery", Revision: "5", Removed: []string{"s3"}}, " s3-")
	s.at(61_003, Withdrawn{"discovery"}, " s3@1") // its tombstones go with it
}

// A list that takes away too much is held until it is confirmed, replaced, or borne out by another source.
func TestMassRemovalIsHeld(t *testing.T) {
	s := script{t, New(settings())}
	s.at(1, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 6)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1")
	s.at(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 6)}, "")
	out := s.at(3, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 2)}, "")
	if want := []HeldList{{"file", "f2", 4, 6}}; !reflect.DeepEqual(out.Held, want) {
		t.Errorf("held %v, want %v", out.Held, want)
	}
	if out = s.at(4, Tick{}, ""); out.Held != nil {
		t.Error("one held list was told twice")
	}
	out = s.at(5, Snapshot{Source: "file", Revision: "f3", Servers: servers("p", 5)}, " s6-") // a good one replaces it
	if len(out.Released) == 0 {
		t.Error("the release was not told")
	}
	s.at(6, Snapshot{Source: "file", Revision: "f4", Servers: servers("p", 1)}, "")
	if out = s.at(6, Snapshot{Source: "file", Revision: "f4", Servers: servers("p", 1)}, ""); out.Released != nil || out.Held != nil {
		t.Errorf("read again, a held list was told as %v, %v", out.Released, out.Held)
	}
	s.at(7, Confirmed{"file", "f3"}, "") // another revision's confirmation
	s.at(8, Confirmed{"file", "f4"}, " s2- s3- s4- s5-")
	s.at(9, Confirmed{"file", "f5"}, "") // given beforehand, it holds for that list
	s.at(10, Snapshot{Source: "file", Revision: "f6", Servers: servers("p", 6)}, " s2@1 s3@1 s4@1 s5@1 s6@1")
	s.at(11, Snapshot{Source: "file", Revision: "f7", Servers: servers("p", 2)}, "")
	s.at(12, Delta{Source: "discovery", Revision: "2", Removed: []string{"s3", "s4", "s5"}}, " s3- s4- s5- s6-") // borne out: one more is little
	drained := servers("p", 2)
	drained[0].Phase, drained[1].Phase = inventory.Draining, inventory.Draining
	s.at(13, Snapshot{Source: "file", Revision: "f8", Servers: drained}, "") // draining all is taking away as well
}

// A server whose pod changes gets nothing new under the old one until the window is over; a pod that only gets another
// name goes on undisturbed.
func TestPodsMove(t *testing.T) {
	set := settings()
	set.Sources, set.MaxMovingShare = []string{"file"}, 0.3
	s := script{t, New(set)}
	two := append(servers("p1", 2), server("s3", "p2"), server("s4", "p2"))
	s.at(1, Snapshot{Source: "file", Revision: "1", Servers: two}, " s1@1 s2@1 s3@2 s4@2")
	renamed := append(servers("q1", 2), server("s3", "p2"), server("s4", "p2"))
	s.at(2, Snapshot{Source: "file", Revision: "2", Servers: renamed}, "")
	moved := append(servers("p2", 2), server("s3", "p2"), server("s4", "p2")) // both join a pod that others have
	out := s.at(3, Snapshot{Source: "file", Revision: "3", Servers: moved}, " s1~@1")
	if out.NextTick != 2003 || out.MovesStarted != 1 {
		t.Errorf("wake at %v, %d moved; want 2003 and 1 of 4 at a time", out.NextTick, out.MovesStarted)
	}
	s.at(2002, Tick{}, "")
	s.at(2003, Tick{}, " s1@2 s2~@1")
	s.at(2500, Snapshot{Source: "file", Revision: "4", Servers: append(servers("q1", 2)[1:], moved[0], moved[2], moved[3])}, " s2@1") // back before it moved
	if got := s.v.Members(); got[0].Pod != "p2" || got[1].Pod != "q1" || got[1].MovingTo != "" {
		t.Errorf("members %+v", got)
	}
	s.at(2600, Snapshot{Source: "file", Revision: "5", Servers: []inventory.Server{server("s1", "p1"), server("s2", "q1"), server("s3", "p2"), server("s4", "p2")}}, " s1~@2")
	s.at(4600, Tick{}, " s1@3") // the old name came back: it is another pod than the one that is q1 now
}

// A new process at an old address is another server; a server that comes later than the first view is taken for cold.
func TestAddressesAndStarts(t *testing.T) {
	set := settings()
	set.Sources = []string{"file"}
	v := New(set)
	v.Step(1000, Snapshot{Source: "file", Revision: "1", Servers: servers("p", 3)})
	out := v.Step(2000, Snapshot{Source: "file", Revision: "2", Servers: append(servers("p", 2), inventory.Server{ID: "n3", Address: "10.0.0.3:80", Pod: "p"})})
	if len(out.Changes) != 2 || out.Changes[0].ID != "n3" || out.Changes[0].Started != 2000 || !out.Changes[1].Removed || out.Changes[1].ID != "s3" {
		t.Errorf("pushed %+v", out.Changes)
	}
	for _, m := range v.Members() {
		if m.ID != "n3" && m.Started != 0 {
			t.Errorf("%s was there from the start, and is taken to have started at %v", m.ID, m.Started)
		}
	}
	set.Sources = []string{"file", "discovery"}
	v = New(set)
	v.Step(1, Snapshot{Source: "file", Revision: "1", Servers: servers("p", 1)})
	v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: []inventory.Server{{ID: "x1", Address: "10.0.0.1:80"}}})
	if got := v.Members(); len(got) != 1 || got[0].ID != "x1" {
		t.Errorf("two ids at one address: %+v, want discovery's, which owns addresses", got)
	}
	v.Step(3, Delta{Source: "discovery", Revision: "2", Removed: []string{"x1"}})
	if got := v.Members(); len(got) != 1 || got[0].ID != "s1" {
		t.Errorf("after the other is gone: %+v", got)
	}
}

// A view from disk serves until every source has spoken, and guards against a cut-off list at the start.
func TestRestored(t *testing.T) {
	s := script{t, New(settings())}
	s.at(1, Snapshot{Source: SourceRestored, Revision: "7", Servers: servers("p", 6)}, " s1@1 s2@1 s3@1 s4@1 s5@1 s6@1")
	if !s.v.Stale() {
		t.Error("a recovered view is not stale")
	}
	s.at(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, "")
	s.at(3, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 6)}, "")
	s.at(4, Snapshot{Source: "file", Revision: "f2", Servers: servers("p", 6)}, "")
	if s.v.Stale() {
		t.Error("stale after all have spoken")
	}
	set := settings()
	set.RequiredSources = []string{"file"}
	s = script{t, New(set)}
	s.at(1, Snapshot{Source: "discovery", Revision: "1", Servers: servers("p", 2)}, " s1@1 s2@1")
	s.at(2, Snapshot{Source: "file", Revision: "f1", Servers: servers("p", 1)}, " s2-") // one of two is not the least of a mass removal
}

// genServers draws lists over few ids, addresses and pods, so that they meet.
func genServers(t *rapid.T, label string) []inventory.Server {
	var out []inventory.Server
	ids, addresses := map[int]bool{}, map[int]bool{}
	for range rapid.IntRange(0, 8).Draw(t, label) {
		id, a := rapid.IntRange(1, 9).Draw(t, "id"), rapid.IntRange(1, 9).Draw(t, "address")
		if ids[id] || addresses[a] {
			continue
		}
		ids[id], addresses[a] = true, true
		out = append(out, inventory.Server{ID: fmt.Sprint("s", id), Address: fmt.Sprint("10.0.0.", a, ":80"), Zone: "a",
			Pod: rapid.SampledFrom([]string{"", "p1", "p2"}).Draw(t, "pod"), Started: float64(rapid.IntRange(0, 2).Draw(t, "started"))})
	}
	return out
}

// The order in which sources first speak does not matter once all have; saying a thing again changes nothing; what was
// pushed makes up the view; no server is there that no source names, and no two have one address.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.Sources, set.GuardedSources = []string{"file", "discovery", "static"}, nil
		said := map[string][]inventory.Server{}
		for _, name := range set.Sources {
			said[name] = genServers(t, name)
		}
		var views []*View
		for _, order := range [][]string{{"file", "discovery", "static"}, {"static", "discovery", "file"}, {"discovery", "static", "file"}} {
			v := New(set)
			for i, name := range order {
				v.Step(Millis(i+1), Snapshot{Source: name, Revision: "1", Servers: said[name]})
			}
			for now := Millis(3000); now < 60_000; now += 2500 { // let moves arrive
				v.Step(now, Tick{})
			}
			views = append(views, v)
		}
		if a, b, c := views[0].Members(), views[1].Members(), views[2].Members(); !reflect.DeepEqual(a, b) || !reflect.DeepEqual(a, c) {
			t.Fatalf("order matters:\n%+v\n%+v\n%+v", a, b, c)
		}
		v := views[0]
		if out := v.Step(70_000, Snapshot{Source: "file", Revision: "1", Servers: said["file"]}); len(out.Changes) > 0 {
			t.Fatalf("said again, it pushed %+v", out.Changes)
		}
	})
}

// Under any course of events, what was pushed makes up the view, and the view holds what it promises.
func TestAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		v, held := New(set), map[string]Entry{}
		named := map[string]map[string]bool{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := Millis(i*rapid.SampledFrom([]int{1, 900, 30_000}).Draw(t, "pace") + 1)
			name := rapid.SampledFrom(set.Sources).Draw(t, "source")
			var e Event
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				list := genServers(t, "list")
				e = Snapshot{Source: name, Revision: fmt.Sprint(i), Servers: list}
				named[name] = union(named[name], list)
			case 2:
				list := genServers(t, "list")
				e = Delta{Source: name, Revision: fmt.Sprint(i), Updated: list, Removed: []string{fmt.Sprint("s", rapid.IntRange(1, 9).Draw(t, "gone"))}}
				named[name] = union(named[name], list)
			case 3:
				e = Tick{}
			default:
				e = Confirmed{name, fmt.Sprint(rapid.IntRange(0, i).Draw(t, "revision"))}
			}
			for _, p := range v.Step(max(now, v.now), e).Changes {
				if p.Removed {
					delete(held, p.ID)
					continue
				}
				held[p.ID] = p
			}
			check(t, v, held, named)
		}
	})
}

func union(m map[string]bool, list []inventory.Server) map[string]bool {
	if m == nil {
		m = map[string]bool{}
	}
	for _, s := range list {
		m[s.ID] = true
	}
	return m
}

func check(t *rapid.T, v *View, held map[string]Entry, named map[string]map[string]bool) {
	addresses, cells, moving := map[string]string{}, map[int]string{}, 0
	members := v.Members()
	if len(members) != len(held) {
		t.Fatalf("%d members, %d pushed", len(members), len(held))
	}
	for _, m := range members {
		e := held[m.ID]
		if e.Address != m.Address || e.Zone != m.Zone {
			t.Fatalf("member %+v, pushed %+v", m, e)
		}
		if other, ok := addresses[m.Address]; ok {
			t.Fatalf("%s and %s have one address", other, m.ID)
		}
		if pod, ok := cells[e.Cell]; ok && pod != m.Pod {
			t.Fatalf("pods %q and %q have one number", pod, m.Pod)
		}
		addresses[m.Address], cells[e.Cell] = m.ID, m.Pod
		if !named["file"][m.ID] && !named["discovery"][m.ID] {
			t.Fatalf("%s is named by nobody", m.ID)
		}
		if m.MovingTo != "" && e.Draining {
			moving++
		}
	}
	if most := max(1, len(members)/2+1); moving > most+1 {
		t.Fatalf("%d of %d move at once", moving, len(members))
	}
}

// BenchmarkMerge10000 merges a whole list of ten thousand, and single changes of it.
func BenchmarkMerge10000(b *testing.B) {
	var list []inventory.Server
	for i := range 10_000 {
		list = append(list, inventory.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("10.", i>>16, ".", i>>8&255, ".", i&255, ":80"), Zone: "a", Pod: fmt.Sprint(i / 4), Started: 1})
	}
	set := settings()
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			v := New(set)
			v.Step(1, Snapshot{Source: "file", Revision: "1", Servers: list})
			if out := v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: list}); len(out.Changes) != 0 || v.Len() != 10_000 {
				b.Fatal(len(out.Changes), v.Len())
			}
		}
	})
	b.Run("one change", func(b *testing.B) {
		b.ReportAllocs()
		v := New(set)
		v.Step(1, Snapshot{Source: "file", Revision: "1", Servers: list})
		v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: list})
		i := 0
		for b.Loop() {
			i++
			s := list[i%10_000]
			s.Started = float64(i + 10)
			if out := v.Step(float64(i+10), Delta{Source: "discovery", Revision: "2", Updated: []inventory.Server{s}}); len(out.Changes) != 1 {
				b.Fatal(out.Changes)
			}
		}
	})
}
