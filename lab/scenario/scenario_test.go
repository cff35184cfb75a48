package scenario

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"
)

const small = `
name = "small"
duration = "20s"
[fleet]
servers = 8
[[class]]
name = "look"
effect = "safe"
share = 3
worth = 1
aim = "100ms"
deadline = "300ms"
work = "20ms"
dist = "lognormal"
sigma = 0.5
[[class]]
name = "bill"
effect = "unsafe"
share = 1
worth = 8
aim = "100ms"
deadline = "300ms"
work = "20ms"
[[load]]
rate = 200
[[load]]
at = "10s"
rate = 400
ramp = "4s"
burst = 50
[[fault]]
at = "5s"
for = "3s"
kind = "crash"
target = "25%"
over = "1s"
`

func mustParse(t *testing.T, text string, overrides ...string) *Scenario {
	t.Helper()
	s, err := Parse(text, overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func mustSchedule(t *testing.T, s *Scenario) *Schedule {
	t.Helper()
	out, err := s.Schedule()
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// One seed gives one schedule, byte for byte, and a further fault moves no arrival.
func TestSeedDeterminesSchedule(t *testing.T) {
	a := mustSchedule(t, mustParse(t, small))
	if b := mustSchedule(t, mustParse(t, small)); !bytes.Equal(a.Bytes(), b.Bytes()) || a.Hash() != b.Hash() {
		t.Error("two schedules of one seed differ")
	}
	if c := mustSchedule(t, mustParse(t, small, "seed=2")); bytes.Equal(a.Bytes(), c.Bytes()) {
		t.Error("two seeds gave one schedule")
	}
	// one more fault moves no arrival
	more := small + "[[fault]]\nat = \"1s\"\nkind = \"slow\"\ntimes = 3\ntarget = \"2\"\n"
	d := mustSchedule(t, mustParse(t, more))
	if len(d.Arrivals) != len(a.Arrivals) || d.Arrivals[100] != a.Arrivals[100] || len(d.Events) != len(a.Events)+2 {
		t.Error("a further fault moved the arrivals, or did not come")
	}
}

// Runs of different versions are compared by their schedules' hashes, and the journal names them. When Go fields of a fault
// were renamed once, every hash of a scenario with faults changed, though the same things happened at the same times.
func TestScheduleHashStaysBetweenVersions(t *testing.T) {
	for file, want := range map[string]string{"links": "b1691d3b36c8e0aa", "small": "fa5dc9e59a8ac100", "steady": "6bae9dff22b7940a"} {
		s, err := Load("../scenarios/" + file + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		sched, err := s.Schedule()
		if err != nil {
			t.Fatal(err)
		}
		if got := sched.Hash(); got != want {
			t.Errorf("%s: schedule %s, the version before had %s", file, got, want)
		}
	}
}

// The arrivals follow the load's steps, ramps and bursts, and the classes' shares and work.
func TestArrivalsFollowTheLoad(t *testing.T) {
	s := mustParse(t, small, "warmup=0s", "duration=60s")
	sched := mustSchedule(t, s)
	between := func(from, to time.Duration) (n float64) {
		for _, a := range sched.Arrivals {
			if a.At >= from && a.At < to {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		from, to time.Duration
		want     float64
	}{{0, 10 * time.Second, 2000}, {10 * time.Second, 14 * time.Second, 1200 + 50}, {20 * time.Second, 60 * time.Second, 16000}} {
		if got := between(c.from, c.to); math.Abs(got-c.want) > 4*math.Sqrt(c.want) {
			t.Errorf("%v to %v: %v arrivals, want %v within four standard deviations", c.from, c.to, got, c.want)
		}
	}
	look, work := 0.0, 0.0
	for _, a := range sched.Arrivals {
		if a.Class == 0 {
			look++
			work += a.Work.Seconds()
		}
	}
	if n := float64(len(sched.Arrivals)); math.Abs(look/n-0.75) > 0.01 {
		t.Errorf("share of the first class %v, want 0.75", look/n)
	}
	if mean := work / look; math.Abs(mean-0.020) > 0.0004 {
		t.Errorf("mean work %v s, want 0.020 within 2%%", mean)
	}
	if got := s.Capacity(); math.Abs(got-400) > 1e-6 {
		t.Errorf("capacity %v a second, want 8 servers / 20 ms = 400", got)
	}
}

// A fault ends after its time, and its targets are hit one after the other over its span.
func TestFaultsEndAndSpread(t *testing.T) {
	events := mustSchedule(t, mustParse(t, small)).Events
	if len(events) != 4 {
		t.Fatalf("%d events, want two servers' crash and end", len(events))
	}
	if events[0].At != 5*time.Second || events[1].At != 5500*time.Millisecond || !events[2].Ends || events[2].At != 8*time.Second {
		t.Errorf("events %+v", events)
	}
	if events[0].Server == events[1].Server || events[0].Server != events[2].Server {
		t.Errorf("servers hit: %d, %d, back: %d", events[0].Server, events[1].Server, events[2].Server)
	}
}

// Each invalid scenario is rejected with the key that is wrong.
func TestInvalidScenariosAreRejected(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`name = "small"`, ``, "name"},
		{`servers = 8`, `servers = 0`, "fleet.servers"},
		{`servers = 8`, `serverz = 8`, "fleet.serverz"},
		{`duration = "20s"`, `duration = "20"`, "duration"},
		{`effect = "unsafe"`, `effect = "keyed"`, "class[1].window"},
		{`dist = "lognormal"`, `dist = "normal"`, "class[0].dist"},
		{`kind = "crash"`, `kind = "explode"`, "fault[0].kind"},
		{`target = "25%"`, `target = "9"`, "fault[0].target"},
		{`target = "25%"`, `target = "zone:z"`, "fault[0].target"},
		{`at = "5s"`, `at = "50s"`, "fault[0].at"},
		{`rate = 200`, `rate = -1`, "load[0]"},
	} {
		text := strings.Replace(small, c.from, c.to, 1)
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s instead of %s: %v, want it to name %s", c.to, c.from, err, c.want)
		}
	}
	for _, o := range []string{"seed", "fleet.serverz=3", "nodes.break=double-send"} {
		if _, err := Parse(small, o); err == nil {
			t.Errorf("override %s was taken", o)
		}
	}
	if s := mustParse(t, small, "nodes.kind=least", "fleet.servers=4"); s.Nodes.Kind != "least" || s.Fleet.Servers != 4 {
		t.Errorf("overrides gave %+v %+v", s.Nodes, s.Fleet)
	}
}
