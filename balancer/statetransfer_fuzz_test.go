package balancer

import (
	"encoding/json"
	"os"
	"testing"
)

// FuzzRestoredState restores arbitrary states, since a predecessor may have any version. A state must neither cause a panic nor leave NaN in a
// score, a budget or a time.
func FuzzRestoredState(f *testing.F) {
	recorded, err := os.ReadFile("testdata/state-v1.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(recorded)
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"Servers":[{"ID":"s0","Seen":true},{"ID":"s1","Ok":[1,-5],"Fail":[2],"Seconds":[100,9223372036854775807],"Recent":[true,false]}]}`))
	f.Add([]byte(`{"Unit":1e308,"Pace":1e-308,"Width":-3,"Lag":-1e300,"HintMean":1e308,"Crowd":1e308,"Retries":1e308,"Probes":-1e308}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var state State
		if json.Unmarshal(raw, &state) != nil {
			return
		}
		set := settings()
		set.LoadReports, set.ProbesAllowed = true, true
		b := newTestNode(t, set, testEndpoints(4)...)
		b.step(StateTransferred{state})
		for i := range 20 {
			id, acts := b.arrive("read", 2000)
			if server := sentTo(acts); server != "" {
				b.completeAttempt(id, 0, server, Outcome(i%8), Millis(i%3))
			}
			b.advance(250)
		}
		failOnNaN(t, b.balancer)
		if _, err := json.Marshal(b.balancer.Snapshot()); err != nil {
			t.Errorf("encoding the state for the next transfer: %v", err)
		}
	})
}
