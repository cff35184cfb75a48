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

// The responses of discovery, the "known" list of config.json and the list that a process transfers to its successor in an
// upgrade have the same JSON format. testdata/list.json was written by json.Marshal of a List before the packages were renamed
// (December 2026); a process of an older version still transfers that format to its successor.

// goldenList is the content of testdata/list.json.
var goldenList = List{Revision: 1 << 52, Complete: true, Members: []Member{
	{ID: "s-1", HostPort: "10.1.0.18:8081", Locality: "a", Cell: 3, Phase: "SERVING", Size: 1.5, UpSince: 1764588000123},
	{ID: "s-2", HostPort: "[fd00::1]:8081", Locality: "zone \"b\"", Cell: -1, Phase: "DRAINING", Size: 1, UpSince: 0.5},
	{ID: "s-3", Phase: "DELETED"},
	{ID: "s-4", HostPort: "10.1.0.20:8081", Phase: "odd", Size: 2},
}}

func TestListJSONMatchesGoldenFile(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join("testdata", "list.json"))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := ParseList(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(parsed, goldenList) {
		t.Errorf("ParseList = %+v\nwant        %+v", parsed, goldenList)
	}
	var decoded List // as a successor decodes the transferred list
	if err := json.Unmarshal(golden, &decoded); err != nil || !reflect.DeepEqual(decoded, goldenList) {
		t.Errorf("decoded %+v, %v\nwant    %+v", decoded, err, goldenList)
	}
	wantEndpoints := []balancer.Endpoint{
		{ID: "s-1", State: balancer.Ready, Zone: "a", Cell: 3, Capacity: 1.5, Started: 1764588000123},
		{ID: "s-2", State: balancer.Draining, Zone: "zone \"b\"", Cell: -1, Capacity: 1, Started: 0.5},
		{ID: "s-3", State: balancer.Removed},
		{ID: "s-4", State: balancer.Draining, Capacity: 2},
	}
	if got := parsed.Endpoints(); !reflect.DeepEqual(got, wantEndpoints) {
		t.Errorf("Endpoints = %+v\nwant        %+v", got, wantEndpoints)
	}
	encoded, err := json.Marshal(goldenList)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, bytes.TrimSpace(golden)) {
		t.Errorf("encoded %s\nwant    %s", encoded, golden)
	}
}
