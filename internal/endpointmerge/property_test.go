package endpointmerge

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"tackhub.example/tackhub/internal/inventory"
)

// drawServers draws a list from few ids, addresses and pods, so that lists overlap and conflict.
func drawServers(t *rapid.T, label string) []inventory.Server {
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

// Once all sources have reported, the order of their first reports makes no difference. A list that is reported again changes
// nothing.
func TestMergeIsOrderIndependentAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		settings.Sources, settings.GuardedSources = []string{"file", "discovery", "static"}, nil
		listBySource := map[string][]inventory.Server{}
		for _, name := range settings.Sources {
			listBySource[name] = drawServers(t, name)
		}
		var views []*View
		for _, order := range [][]string{{"file", "discovery", "static"}, {"static", "discovery", "file"}, {"discovery", "static", "file"}} {
			v := New(settings)
			for i, name := range order {
				v.Step(Millis(i+1), Snapshot{Source: name, Revision: "1", Servers: listBySource[name]})
			}
			views = append(views, v)
		}
		if a, b, c := views[0].Members(), views[1].Members(), views[2].Members(); !reflect.DeepEqual(a, b) || !reflect.DeepEqual(a, c) {
			t.Fatalf("members differ by the order of reports:\n%+v\n%+v\n%+v", a, b, c)
		}
		v := views[0]
		if out := v.Step(70_000, Snapshot{Source: "file", Revision: "1", Servers: listBySource["file"]}); len(out.Changes) > 0 {
			t.Fatalf("changes after the same list was reported again = %+v, want none", out.Changes)
		}
	})
}

// After any sequence of events the published changes must add up to the merged list, and the list must keep its invariants.
func TestInvariantsAfterRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		v, published := New(settings), map[string]Entry{}
		listedIDs := map[string]map[string]bool{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := Millis(i*rapid.SampledFrom([]int{1, 900, 30_000}).Draw(t, "pace") + 1)
			name := rapid.SampledFrom(settings.Sources).Draw(t, "source")
			var e Event
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				list := drawServers(t, "list")
				e = Snapshot{Source: name, Revision: fmt.Sprint(i), Servers: list}
				listedIDs[name] = addIDs(listedIDs[name], list)
			case 2:
				list := drawServers(t, "list")
				e = Delta{Source: name, Revision: fmt.Sprint(i), Updated: list, Removed: []string{fmt.Sprint("s", rapid.IntRange(1, 9).Draw(t, "gone"))}}
				listedIDs[name] = addIDs(listedIDs[name], list)
			case 3:
				e = Tick{}
			default:
				e = Confirmed{name, fmt.Sprint(rapid.IntRange(0, i).Draw(t, "revision"))}
			}
			for _, p := range v.Step(max(now, v.now), e).Changes {
				if p.Removed {
					delete(published, p.ID)
					continue
				}
				published[p.ID] = p
			}
			checkInvariants(t, v, published, listedIDs)
		}
	})
}

func addIDs(m map[string]bool, list []inventory.Server) map[string]bool {
	if m == nil {
		m = map[string]bool{}
	}
	for _, s := range list {
		m[s.ID] = true
	}
	return m
}

func checkInvariants(t *rapid.T, v *View, published map[string]Entry, listedIDs map[string]map[string]bool) {
	addresses, groups, cells := map[string]string{}, map[int]dedupGroup{}, map[dedupGroup]int{}
	members := v.Members()
	if len(members) != len(published) {
		t.Fatalf("%d members but %d published entries", len(members), len(published))
	}
	for _, m := range members {
		e := published[m.ID]
		if e.Address != m.Address || e.Zone != m.Zone {
			t.Fatalf("member = %+v but published entry = %+v", m, e)
		}
		if other, ok := addresses[m.Address]; ok {
			t.Fatalf("%s and %s have the same address %s", other, m.ID, m.Address)
		}
		group := v.groupOf(v.members[m.ID])
		if other, ok := groups[e.Cell]; ok && other != group {
			t.Fatalf("groups %+v and %+v have the same cell %d", other, group, e.Cell)
		}
		if cell, ok := cells[group]; ok && cell != e.Cell {
			t.Fatalf("servers of group %+v have cells %d and %d", group, cell, e.Cell)
		}
		addresses[m.Address], groups[e.Cell], cells[group] = m.ID, group, e.Cell
		if !listedIDs["file"][m.ID] && !listedIDs["discovery"][m.ID] {
			t.Fatalf("member %s was never listed by a source", m.ID)
		}
		if e.Draining != (m.Phase == inventory.Draining) {
			t.Fatalf("%s drains: %v in the published list, want %v as its sources say", m.ID, e.Draining, m.Phase == inventory.Draining)
		}
	}
}
