package balancer

import (
	"math"
	"testing"
)

// TestSlowStartByAnotherClock: the wall clock of this machine was stepped by an hour before the node started, so that the starts
// that discovery tells lie an hour off.
func TestSlowStartByAnotherClock(t *testing.T) {
	const hour = 3_600_000
	set := settings()
	set.SlowStart.InitialCapacity, set.SlowStart.Duration = 0.3, 9000
	for name, c := range map[string]struct {
		form  UpdateKind
		off   Millis
		least float64 // of the capacity that it counts with at once ...
		most  float64
		after Millis // ... and when it counts whole
	}{
		"clocks agree":           {DeltaUpdate, -1000, 0.3, 0.4, 9000},
		"node's clock is ahead":  {DeltaUpdate, -hour, 0.3, 0.4, 9000},
		"node's clock is behind": {DeltaUpdate, hour, 0.3, 0.3, 9000},
		"behind, whole list":     {FullUpdate, hour, 0.3, 0.3, 9000},
	} {
		b := newBed(t, set, Endpoint{ID: "warm", Capacity: 1})
		b.now += 2 * hour
		b.step(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "warm", Capacity: 1}}})
		entries := []Endpoint{{ID: "warm", Capacity: 1}, {ID: "cold", Capacity: 1, Started: b.now + c.off}}
		b.step(EndpointUpdate{Kind: c.form, Endpoints: entries})
		cold := b.l.servers.byID["cold"]
		if got := b.l.minimumCapacity(cold); got < c.least-1e-9 || got > c.most {
			t.Errorf("%s: counts %.2f of its capacity at once, want %.2f to %.2f", name, got, c.least, c.most)
		}
		b.now += c.after
		b.step(TimerFired{"sweep"})
		if got := b.l.minimumCapacity(cold); math.Abs(got-1) > 1e-9 {
			t.Errorf("%s: still counts %.2f of its capacity after its time", name, got)
		}
	}
}
