package endpoints

import (
	"reflect"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/operator"
)

// Each key of the section [inventory] must be parsed into its field.
func TestParseAllOptionKeys(t *testing.T) {
	const text = `[inventory]
discovery = false
precedence = ["b", "static"]
require = ["b"]
remove_share = 0.25
remove_least = 4
pod_hold = "31s"
move_share = 0.5
tombstone = "11m"
settle = "12ms"
poll = "13ms"
state_dir = "folder"
save_every = "14s"
[inventory.order]
zone = ["static"]
[[inventory.file]]
path = "a.csv"
name = "b"
aliases = { host = "address" }
min_rows = 3
trailer = true
checksum = true
[[inventory.static]]
id = "s"
address = "10.0.0.1:80"
zone = "z"
pod = "p"
size = 1.5
`
	f, err := operator.Parse("edge.toml", text, []operator.Section{Subsystem().Section})
	if err != nil {
		t.Fatal(err)
	}
	want := &Options{
		Files:  []File{{Path: "a.csv", Name: "b", Aliases: map[string]string{"host": "address"}, MinRows: 3, Trailer: true, Checksum: true}},
		Static: []StaticServer{{ID: "s", Address: "10.0.0.1:80", Zone: "z", Pod: "p", Size: 1.5}}, Precedence: []string{"b", "static"},
		Order: map[string][]string{"zone": {"static"}}, Require: []string{"b"}, RemoveShare: 0.25, RemoveLeast: 4,
		PodHold: operator.Duration(31 * time.Second), MoveShare: 0.5, Tombstone: operator.Duration(11 * time.Minute),
		Settle: operator.Duration(12 * time.Millisecond), Poll: operator.Duration(13 * time.Millisecond), StateDir: "folder",
		SaveEvery: operator.Duration(14 * time.Second),
	}
	if got := f.Options("inventory"); !reflect.DeepEqual(got, want) {
		t.Errorf("options = %+v\nwant %+v", got, want)
	}
}
