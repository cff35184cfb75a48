package balancer

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// fixtureFile contains a state as the version before the renaming of this package's Go fields transferred it.
const fixtureFile = "testdata/state-v1.json"

// fixturePlayer plays the sequence whose final state is in the fixture.
func fixturePlayer(t *testing.T) *sequencePlayer {
	t.Helper()
	p := newSequencePlayer(t, 5)
	p.play()
	return p
}

// In an upgrade the new process reads the state of the old version. A field that is renamed in the JSON would be
// lost without an error, and the new process would start without its server records. So the old JSON must
// decode without unknown fields and must be encoded again unchanged.
func TestRestoreStateOfPreviousVersion(t *testing.T) {
	if *record {
		raw, err := json.MarshalIndent(fixturePlayer(t).balancer.Snapshot(), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(fixtureFile, append(raw, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(fixtureFile)
	if err != nil {
		t.Fatal(err)
	}
	var state State
	strict := json.NewDecoder(bytes.NewReader(raw))
	strict.DisallowUnknownFields()
	if err := strict.Decode(&state); err != nil {
		t.Fatal(err)
	}
	old := fixturePlayer(t)
	successor, err := New(old.set, 99)
	if err != nil {
		t.Fatal(err)
	}
	successor.Step(old.now, EndpointUpdate{Kind: FullUpdate, Endpoints: old.servers})
	successor.Step(old.now, StateTransferred{State: state})
	got, err := json.MarshalIndent(successor.Snapshot(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"Unit", "Pace", "Width", "Lag", "HintMean", "Crowd", "ProbeTook", "Ease", "Retries", "Probes", "Classes", "Tenants"} {
		if before, after := jsonMember(t, raw, name), jsonMember(t, got, name); !bytes.Equal(before, after) {
			t.Errorf("%s after the transfer = %s, want %s", name, after, before)
		}
	}
	want := map[ServerID]json.RawMessage{}
	for _, s := range serverRecords(t, raw) {
		want[s.id] = s.text
	}
	unchanged := 0
	for _, s := range serverRecords(t, got) {
		if w, ok := want[s.id]; ok && bytes.Equal(w, s.text) {
			unchanged++
		} else if ok && startTime(t, w) == startTime(t, s.text) {
			t.Errorf("server %s after the transfer =\n%s\nwant\n%s", s.id, s.text, w)
		}
	}
	if unchanged < 3 {
		t.Errorf("servers with unchanged records = %d, want at least 3", unchanged)
	}
}

// serverJSON is the encoded record of one server.
type serverJSON struct {
	id   ServerID
	text json.RawMessage
}

func jsonMember(t *testing.T, raw []byte, name string) json.RawMessage {
	t.Helper()
	var all map[string]json.RawMessage
	if err := json.Unmarshal(raw, &all); err != nil {
		t.Fatal(err)
	}
	return all[name]
}

func serverRecords(t *testing.T, raw []byte) []serverJSON {
	t.Helper()
	var all []json.RawMessage
	if err := json.Unmarshal(jsonMember(t, raw, "Servers"), &all); err != nil {
		t.Fatal(err)
	}
	var out []serverJSON
	for _, text := range all {
		var id struct{ ID ServerID }
		if err := json.Unmarshal(text, &id); err != nil {
			t.Fatal(err)
		}
		out = append(out, serverJSON{id.ID, text})
	}
	return out
}

func startTime(t *testing.T, raw json.RawMessage) float64 {
	t.Helper()
	var at struct{ Started float64 }
	if err := json.Unmarshal(raw, &at); err != nil {
		t.Fatal(err)
	}
	return at.Started
}
