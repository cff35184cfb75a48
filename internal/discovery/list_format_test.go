package discovery

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"tackhub.example/tackhub/balancer"
)

// discovery's answers, the "known" list of config.json and the list that a process hands over to its successor in an
// upgrade all have this one JSON form. testdata/list.json was written by json.Marshal of a List as it stood before the
// packages' names were revised (December 2026); an old process still hands that form over to a new one.

// formatList is what testdata/list.json holds.
var formatList = List{Revision: 1 << 52, Complete: true, Members: []Member{
	{ID: "s-1", HostPort: "10.1.0.18:8081", Locality: "a", Cell: 3, Phase: "SERVING", Size: 1.5, UpSince: 1764588000123},
	{ID: "s-2", HostPort: "[fd00::1]:8081", Locality: "zone \"b\"", Cell: -1, Phase: "DRAINING", Size: 1, UpSince: 0.5},
	{ID: "s-3", Phase: "DELETED"},
	{ID: "s-4", HostPort: "10.1.0.20:8081", Phase: "odd", Size: 2},
}}

func TestListFormat(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	read, err := ParseList(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, formatList) {
		t.Errorf("parsed  %+v\nwant    %+v", read, formatList)
	}
	var decoded List // as a successor decodes what was handed over to it
	if err := json.Unmarshal(golden, &decoded); err != nil || !reflect.DeepEqual(decoded, formatList) {
		t.Errorf("decoded %+v (%v)\nwant    %+v", decoded, err, formatList)
	}
	wantEntries := []balancer.Endpoint{
		{ID: "s-1", State: balancer.Ready, Zone: "a", Cell: 3, Capacity: 1.5, Started: 1764588000123},
		{ID: "s-2", State: balancer.Draining, Zone: "zone \"b\"", Cell: -1, Capacity: 1, Started: 0.5},
		{ID: "s-3", State: balancer.Removed},
		{ID: "s-4", State: balancer.Draining, Capacity: 2},
	}
	if got := read.Endpoints(); !reflect.DeepEqual(got, wantEntries) {
		t.Errorf("entries %+v\nwant    %+v", got, wantEntries)
	}
	written, err := json.Marshal(formatList)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, bytes.TrimSpace(golden)) {
		t.Errorf("wrote %s\nwant  %s", written, golden)
	}
}
