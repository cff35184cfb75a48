package endpoints

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/endpointmerge"
	"tackhub.example/tackhub/internal/inventory"
	"tackhub.example/tackhub/internal/statefile"
)

// After an upgrade a node serves from the state that the previous version saved until its sources have reported.
// testdata/state was written by a running subsystem before the packages were renamed (December 2026); its sources were a CSV
// file, a static server and discovery, with one server draining and one moving. Never regenerate it.

// fixtureState returns the state that testdata/state contains.
func fixtureState() SavedState {
	noRack := map[string]string{"rack": ""}
	fromFile := map[string]string{"address": "hosts.csv", "pod": "hosts.csv", "size": "hosts.csv", "zone": "hosts.csv"}
	return SavedState{
		Saved: time.Date(2026, time.December, 3, 6, 58, 58, 863198973, time.UTC),
		Revisions: map[string]string{"discovery": "42", "static": "file",
			"hosts.csv": "e7041f11bdd7ac815d6a8efaa5befd63fcfe62ec5d9fb40e05397cffde70d437"},
		Members: []endpointmerge.Member{
			{Server: inventory.Server{ID: "d5", Address: "[fd00::5]:80", Zone: "c", Pod: "9", Size: 0.5, Phase: inventory.Serving, Started: 1764588000456.5},
				FieldSources: map[string]string{"address": "discovery", "pod": "discovery", "size": "discovery", "started": "discovery", "zone": "discovery"}},
			{Server: inventory.Server{ID: "fixed", Address: "10.9.9.9:80", Zone: "a", Phase: inventory.Serving},
				FieldSources: map[string]string{"address": "static", "zone": "static"}},
			{Server: inventory.Server{ID: "s1", Address: "10.0.1.1:80", Zone: "a", Pod: "7", Size: 2.5, Phase: inventory.Serving, Started: 1764588000123,
				Tags: []string{"ssd", "big"}, Extra: map[string]string{"rack": `r "1", <left>`}},
				FieldSources: map[string]string{"address": "discovery", "pod": "hosts.csv", "size": "hosts.csv", "started": "discovery", "tags": "hosts.csv", "zone": "hosts.csv"}},
			{Server: inventory.Server{ID: "s2", Address: "10.0.0.2:80", Zone: "b", Pod: "8", Phase: inventory.Draining, Extra: noRack},
				FieldSources: map[string]string{"address": "hosts.csv", "phase": "hosts.csv", "pod": "hosts.csv", "zone": "hosts.csv"}},
			{Server: inventory.Server{ID: "s3", Address: "10.0.0.3:80", Zone: "b", Pod: "8", Size: 1, Phase: inventory.Serving, Extra: noRack}, FieldSources: fromFile},
			{Server: inventory.Server{ID: "s4", Address: "10.0.0.4:80", Zone: "b", Pod: "8", Size: 1, Phase: inventory.Serving, Extra: noRack}, FieldSources: fromFile,
				MovingTo: "b/10"},
		},
	}
}

const fixtureFile = "inventory.000000000001"

func TestReadSavedStateFixture(t *testing.T) {
	var out strings.Builder
	got, err := readSavedState(&out, filepath.Join("testdata", "state"))
	if err != nil || out.Len() > 0 {
		t.Fatalf("error = %v, printed %q, want neither", err, out.String())
	}
	if !reflect.DeepEqual(got, fixtureState()) {
		t.Errorf("state = %+v\nwant %+v", got, fixtureState())
	}
}

// The saved state must have the same bytes as the fixture, so that the previous version can read it after a rollback.
func TestWriteSavedStateMatchesFixture(t *testing.T) {
	data, err := json.Marshal(fixtureState())
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := statefile.New(statefile.OS{}, dir, stateName, stateVersion).Save(data); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(dir, fixtureFile))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "state", fixtureFile))
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("wrote %s\nwant  %s", got, want)
	}
}

// A node whose sources have not reported serves from the saved state, with each server's zone, size and start time. Nobody has said that the
// pods are still the same, so each server is a group by itself: a repeat would run twice at a server that has left its pod.
func TestServeFromSavedState(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "state", fixtureFile))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fixtureFile), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	node := newFakeNode()
	node.start(t, "[inventory]\nstate_dir=\""+dir+"\"\n[[inventory.file]]\npath=\"/nowhere/hosts.csv\"\n")
	const cell = 1 << 40 // the first that is assigned
	want := balancer.EndpointUpdate{Kind: balancer.FullUpdate, Endpoints: []balancer.Endpoint{
		{ID: "d5", State: balancer.Ready, Zone: "c", Cell: cell, Capacity: 0.5, Started: 1764588000456.5},
		{ID: "fixed", State: balancer.Ready, Zone: "a", Cell: cell + 1, Capacity: 1},
		{ID: "s1", State: balancer.Ready, Zone: "a", Cell: cell + 2, Capacity: 2.5, Started: 1764588000123},
		{ID: "s2", State: balancer.Draining, Zone: "b", Cell: cell + 3, Capacity: 1},
		{ID: "s3", State: balancer.Ready, Zone: "b", Cell: cell + 4, Capacity: 1},
		{ID: "s4", State: balancer.Ready, Zone: "b", Cell: cell + 5, Capacity: 1},
	}}
	if got := node.nextUpdate(t); !reflect.DeepEqual(got, want) {
		t.Errorf("update = %+v\nwant %+v", got, want)
	}
	for id, want := range map[balancer.ServerID]string{"d5": "[fd00::5]:80", "fixed": "10.9.9.9:80", "s1": "10.0.1.1:80", "s2": "",
		"s3": "10.0.0.3:80", "s4": "10.0.0.4:80"} {
		if got, ok := node.directory.Address(id); got != want || ok != (want != "") {
			t.Errorf("address of %s = %q (%v), want %q", id, got, ok, want)
		}
	}
}
