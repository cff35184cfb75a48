package endpointmerge

import (
	"fmt"
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// BenchmarkMerge10000 measures merging two complete lists of 10,000 servers, and merging single changes to them.
func BenchmarkMerge10000(b *testing.B) {
	var list []inventory.Server
	for i := range 10_000 {
		list = append(list, inventory.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("10.", i>>16, ".", i>>8&255, ".", i&255, ":80"), Zone: "a", Pod: fmt.Sprint(i / 4), Started: 1})
	}
	settings := testSettings()
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			v := New(settings)
			v.Step(1, Snapshot{Source: "file", Revision: "1", Servers: list})
			if out := v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: list}); len(out.Changes) != 0 || v.Len() != 10_000 {
				b.Fatal(len(out.Changes), v.Len())
			}
		}
	})
	b.Run("one change", func(b *testing.B) {
		b.ReportAllocs()
		v := New(settings)
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
