package endpointmerge

import (
	"reflect"
	"testing"

	"tackhub.example/tackhub/internal/inventory"
)

// The file has precedence for pods and sizes, discovery for addresses. A server drains if either source drains it, and is a
// member if at least one source lists it.
func TestMergeFieldsByPrecedence(t *testing.T) {
	v := New(testSettings())
	v.Step(1, Snapshot{Source: "file", Revision: "f1", Servers: []inventory.Server{
		{ID: "s1", Address: "10.0.0.1:80", Zone: "a", Pod: "p7", Size: 2, Extra: map[string]string{"rack": "r1"}}, server("s2", "p7")}})
	out := v.Step(2, Snapshot{Source: "discovery", Revision: "1", Servers: []inventory.Server{
		{ID: "s1", Address: "10.9.9.9:80", Zone: "a", Pod: "4", Started: 500, Phase: inventory.Draining}, server("s3", "5")}})
	got := v.Members()
	if len(got) != 3 || got[0].Address != "10.9.9.9:80" || got[0].Pod != "p7" || got[0].Size != 2 || got[0].Phase != inventory.Draining ||
		got[0].Started != 500 || got[0].Extra["rack"] != "r1" {
		t.Fatalf("members = %+v, want 3, with s1 merged from both sources", got)
	}
	want := map[string]string{"address": "discovery", "pod": "file", "zone": "file", "size": "file", "phase": "discovery", "started": "discovery"}
	if !reflect.DeepEqual(got[0].FieldSources, want) {
		t.Errorf("field sources = %v, want %v", got[0].FieldSources, want)
	}
	if len(out.Conflicts) != 2 || len(v.Conflicts()) != 2 {
		t.Errorf("conflicts = %v, want address and pod of s1", out.Conflicts)
	}
	if out = v.Step(3, Snapshot{Source: "discovery", Revision: "2", Servers: []inventory.Server{server("s3", "5")}}); len(v.Conflicts()) != 0 {
		t.Errorf("conflicts after discovery removed s1 = %v, want none", v.Conflicts())
	}
}
