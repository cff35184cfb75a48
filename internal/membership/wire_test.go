package membership

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// wireMessages has one message of each kind; the files of these names under testdata hold the bytes that a released version
// wrote for them. Nodes of an earlier and a later version work in one cluster, so a rename must change none of these bytes.
var wireMessages = map[string]Message{
	"ping": {Kind: Ping, Version: 1, Cluster: 0xc0ffee01, From: "n1", Start: 1_700_000_000_000_001, Address: "10.0.0.1:7946", Seq: 7,
		News: []Item{{Name: "n2", Start: 12, Inc: 3, State: Suspect, By: "n1", Age: 250}}},
	"ack": {Kind: Ack, Version: 1, Cluster: 0xc0ffee01, From: "n2", Start: 12, Inc: 4, Address: "10.0.0.2:7946", Seq: 7,
		Target: "n3", Self: uint8(Mute), View: 9},
	"relay": {Kind: Relay, Version: 1, Cluster: 0xc0ffee01, From: "n1", Start: 11, Address: "10.0.0.1:7946", Seq: 8, Target: "n3",
		Self: uint8(Alone), View: 10},
	"news": {Kind: News, Version: 1, Cluster: 0xc0ffee01, From: "n1", Start: 11, Address: "10.0.0.1:7946", Self: uint8(Deaf), View: 1 << 40,
		News: []Item{
			{Name: "n2", Start: 12, State: Joining, Address: "10.0.0.2:7946"},
			{Name: "n3", Start: 13, Inc: 1, State: Alive, Address: "10.0.0.3:7946", Age: 70_000},
			{Name: "n4", Start: 14, State: Unreachable, By: "n1", Age: 3000},
			{Name: "n5", Start: 15, State: Left, Address: "10.0.0.5:7946"},
			{Name: "n6", Start: 16, State: Replaced},
			{Name: "n7", Start: 17, State: Vouch, By: "n2", Age: 1},
		}},
	"full": {Kind: Full, Version: 1, Least: 1, Cluster: 0xc0ffee01, From: "n1", Start: 11, Inc: 2, Address: "10.0.0.1:7946", View: 3,
		News: []Item{{Name: "n1", Start: 11, Inc: 2, State: Alive, Address: "10.0.0.1:7946"}}},
	"full_reply": {Kind: FullReply, Version: 1, Cluster: 0xc0ffee01, From: "n2", Start: 12, Address: "10.0.0.2:7946", View: 4,
		News: []Item{{Name: "n2", Start: 12, State: Alive, Address: "10.0.0.2:7946"}}},
	"renew": {Kind: Renew, Version: 1, Cluster: 0xc0ffee01, From: "n1", Start: 11, Address: "10.0.0.1:7946", Seq: 21, For: 12, Sum: 0xdeadbeef},
	"grant": {Kind: Grant, Version: 1, Cluster: 0xc0ffee01, From: "n2", Start: 12, Address: "10.0.0.2:7946", Seq: 21, For: 11, Sum: 0xdeadbeef},
	"lifeline": {Kind: Lifeline, Version: 1, Cluster: 0xc0ffee01, From: "n1", Start: 11, Inc: 5, Address: "10.0.0.1:7946",
		Self: uint8(Outdated)},
	"word": {Kind: Word, Version: 1, Cluster: 0xc0ffee01, From: "n1", Start: 11, Address: "10.0.0.1:7946", Node: 4, Body: []byte{0, 1, 0xff}},
	"loads": {Kind: Loads, Version: 1, Cluster: 0xc0ffee01, From: "n1", Start: 11, Address: "10.0.0.1:7946",
		Loads: []LoadItem{
			{Name: "n1", Start: 11, At: 60_000, Shed: 5, Tried: 1000, Won: 990, Counts: []uint64{700, 400, 690, 395}},
			{Name: "n2", Start: 12, At: 61_000, Age: 300, Counts: []uint64{0, 1, 0, 1}},
		}},
}

func TestWireFormIsThatOfReleasedVersions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.msgpack")
	if err != nil || len(files) != len(wireMessages) {
		t.Fatalf("%d files for %d messages, %v", len(files), len(wireMessages), err)
	}
	for name, want := range wireMessages {
		raw, err := os.ReadFile("testdata/" + name + ".msgpack")
		if err != nil {
			t.Fatal(err)
		}
		var got Message
		if rest, err := got.UnmarshalMsg(raw); err != nil || len(rest) > 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded %+v, want %+v; %d bytes left, %v", name, got, want, len(rest), err)
		}
		if again, err := want.MarshalMsg(nil); err != nil || !bytes.Equal(again, raw) {
			t.Errorf("%s: encoded %x, want %x; %v", name, again, raw, err)
		}
	}
}

// The names of states and conditions are read by `tackhub members` of another version.
func TestStatusFormIsThatOfReleasedVersions(t *testing.T) {
	for state, name := range map[State]string{Joining: "joining", Alive: "alive", Suspect: "suspect", Unreachable: "unreachable",
		Left: "left", Replaced: "replaced", Vouch: "vouch", 0: "unknown", 99: "unknown"} {
		if state.String() != name {
			t.Errorf("state %d is %q, want %q", uint8(state), state, name)
		}
	}
	for condition, name := range map[Condition]string{Whole: "whole", Alone: "alone", Deaf: "hears nobody", Mute: "not heard",
		Outdated: "outdated", 99: "unknown"} {
		if condition.String() != name {
			t.Errorf("condition %d is %q, want %q", uint8(condition), condition, name)
		}
	}
}
