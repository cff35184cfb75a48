package membership

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// wireMessages contains one message of each kind. The files with these names under testdata contain the bytes that a released version
// encoded for them. Nodes of different versions run in one cluster, so a rename must not change any of these bytes.
var wireMessages = map[string]Message{
	"ping": {Kind: Ping, Version: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 1_700_000_000_000_001, Address: "10.0.0.1:7946", Seq: 7,
		Updates: []Update{{Name: "n2", Generation: 12, Incarnation: 3, State: Suspect, Reporter: "n1", Age: 250}}},
	"ack": {Kind: Ack, Version: 1, ClusterHash: 0xc0ffee01, From: "n2", Generation: 12, Incarnation: 4, Address: "10.0.0.2:7946", Seq: 7,
		Target: "n3", Connectivity: uint8(OutboundLost), ViewNumber: 9},
	"ping_request": {Kind: PingRequest, Version: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 11, Address: "10.0.0.1:7946", Seq: 8, Target: "n3",
		Connectivity: uint8(NoPeers), ViewNumber: 10},
	"gossip": {Kind: Gossip, Version: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 11, Address: "10.0.0.1:7946", Connectivity: uint8(InboundLost), ViewNumber: 1 << 40,
		Updates: []Update{
			{Name: "n2", Generation: 12, State: Joining, Address: "10.0.0.2:7946"},
			{Name: "n3", Generation: 13, Incarnation: 1, State: Alive, Address: "10.0.0.3:7946", Age: 70_000},
			{Name: "n4", Generation: 14, State: Unreachable, Reporter: "n1", Age: 3000},
			{Name: "n5", Generation: 15, State: Left, Address: "10.0.0.5:7946"},
			{Name: "n6", Generation: 16, State: Replaced},
			{Name: "n7", Generation: 17, State: HeardFrom, Reporter: "n2", Age: 1},
		}},
	"sync_request": {Kind: SyncRequest, Version: 1, MinVersion: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 11, Incarnation: 2, Address: "10.0.0.1:7946", ViewNumber: 3,
		Updates: []Update{{Name: "n1", Generation: 11, Incarnation: 2, State: Alive, Address: "10.0.0.1:7946"}}},
	"sync_reply": {Kind: SyncReply, Version: 1, ClusterHash: 0xc0ffee01, From: "n2", Generation: 12, Address: "10.0.0.2:7946", ViewNumber: 4,
		Updates: []Update{{Name: "n2", Generation: 12, State: Alive, Address: "10.0.0.2:7946"}}},
	"renew_lease": {Kind: RenewLease, Version: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 11, Address: "10.0.0.1:7946", Seq: 21, ForGeneration: 12, MembersHash: 0xdeadbeef},
	"grant_lease": {Kind: GrantLease, Version: 1, ClusterHash: 0xc0ffee01, From: "n2", Generation: 12, Address: "10.0.0.2:7946", Seq: 21, ForGeneration: 11, MembersHash: 0xdeadbeef},
	"liveness_stream": {Kind: LivenessStream, Version: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 11, Incarnation: 5, Address: "10.0.0.1:7946",
		Connectivity: uint8(Superseded)},
	"broadcast": {Kind: Broadcast, Version: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 11, Address: "10.0.0.1:7946", Node: 4, Body: []byte{0, 1, 0xff}},
	"load_reports": {Kind: LoadReports, Version: 1, ClusterHash: 0xc0ffee01, From: "n1", Generation: 11, Address: "10.0.0.1:7946",
		LoadReports: []LoadReport{
			{Name: "n1", Generation: 11, At: 60_000, Shed: 5, Attempts: 1000, Successes: 990, Counts: []uint64{700, 400, 690, 395}},
			{Name: "n2", Generation: 12, At: 61_000, Age: 300, Counts: []uint64{0, 1, 0, 1}},
		}},
}

func TestMessageEncodingMatchesReleasedVersion(t *testing.T) {
	files, err := filepath.Glob("testdata/*.msgpack")
	if err != nil || len(files) != len(wireMessages) {
		t.Fatalf("testdata has %d message files, want %d; %v", len(files), len(wireMessages), err)
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
		if encoded, err := want.MarshalMsg(nil); err != nil || !bytes.Equal(encoded, raw) {
			t.Errorf("%s: encoded %x, want %x; %v", name, encoded, raw, err)
		}
	}
}

// `tackhub members` of another version reads the names of states and connectivities, so they must not change.
func TestStatusNamesMatchReleasedVersion(t *testing.T) {
	for state, name := range map[State]string{Joining: "joining", Alive: "alive", Suspect: "suspect", Unreachable: "unreachable",
		Left: "left", Replaced: "replaced", HeardFrom: "vouch", 0: "unknown", 99: "unknown"} {
		if state.String() != name {
			t.Errorf("name of state %d = %q, want %q", uint8(state), state, name)
		}
	}
	for connectivity, name := range map[Connectivity]string{Connected: "whole", NoPeers: "alone", InboundLost: "hears nobody", OutboundLost: "not heard",
		Superseded: "outdated", 99: "unknown"} {
		if connectivity.String() != name {
			t.Errorf("name of connectivity %d = %q, want %q", uint8(connectivity), connectivity, name)
		}
	}
}
