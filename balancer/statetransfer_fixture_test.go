package balancer

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// fixtureFile is a state as the version before the renaming of this package handed it over to its
// successor.
const fixtureFile = "testdata/state-v1.json"

// fixturePlayer plays the sequence whose end the fixture holds.
func fixturePlayer(t *testing.T) *sequencePlayer {
	t.Helper()
	p := newSequencePlayer(t, 5)
	p.play()
	return p
}

// TestStateOfPreviousVersionIsRestored: in an upgrade the new process reads what the old one wrote.
// A field that is renamed in the code and so in the JSON would be lost without an error, and the
// new process would begin with no record of its servers. So the old form has to be read with no
// field left over, and has to come out again as it went in.
func TestStateOfPreviousVersionIsRestored(t *testing.T) {
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
	for _, part := range []string{"Unit", "Pace", "Width", "Lag", "HintMean", "Crowd", "ProbeTook", "Ease", "Retries", "Probes", "Classes", "Tenants"} {
		if a, b := jsonMember(t, raw, part), jsonMember(t, got, part); !bytes.Equal(a, b) {
			t.Errorf("%s was %s, is taken over as %s", part, a, b)
		}
	}
	want := map[ServerID]json.RawMessage{}
	for _, s := range serverRecords(t, raw) {
		want[s.id] = s.text
	}
	same := 0
	for _, s := range serverRecords(t, got) {
		if w, ok := want[s.id]; ok && bytes.Equal(w, s.text) {
			same++
		} else if ok && startTime(t, w) == startTime(t, s.text) {
			t.Errorf("server %s was\n%s\nis taken over as\n%s", s.id, w, s.text)
		}
	}
	if same < 3 {
		t.Errorf("%d servers taken over unchanged: the check hardly sees any", same)
	}
}

// serverJSON is one server's record as it stands in the file.
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
