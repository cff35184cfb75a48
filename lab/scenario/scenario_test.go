package scenario

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"
)

const smallScenario = `
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

// The same seed must give the same schedule, byte for byte, and an additional fault must not change the arrivals.
func TestSeedDeterminesSchedule(t *testing.T) {
	first := mustSchedule(t, mustParse(t, smallScenario))
	if sameSeed := mustSchedule(t, mustParse(t, smallScenario)); !bytes.Equal(first.Bytes(), sameSeed.Bytes()) || first.Hash() != sameSeed.Hash() {
		t.Errorf("schedule hashes of the same seed = %s and %s, want equal schedules", first.Hash(), sameSeed.Hash())
	}
	if otherSeed := mustSchedule(t, mustParse(t, smallScenario, "seed=2")); bytes.Equal(first.Bytes(), otherSeed.Bytes()) {
		t.Errorf("seeds 1 and 2 both gave schedule %s, want different schedules", otherSeed.Hash())
	}
	more := smallScenario + "[[fault]]\nat = \"1s\"\nkind = \"slow\"\ntimes = 3\ntarget = \"2\"\n"
	withFault := mustSchedule(t, mustParse(t, more))
	if len(withFault.Arrivals) != len(first.Arrivals) || withFault.Arrivals[100] != first.Arrivals[100] || len(withFault.Events) != len(first.Events)+2 {
		t.Errorf("with one more fault: %d arrivals and %d events, want the same %d arrivals and two more events than %d",
			len(withFault.Arrivals), len(withFault.Events), len(first.Arrivals), len(first.Events))
	}
}

// Runs of different versions are compared by their schedule hashes, which are also recorded in the journal. A rename of Go
// fields of Fault once changed the hash of every scenario with faults, although the schedules were the same.
func TestScheduleHashIsStableAcrossVersions(t *testing.T) {
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
			t.Errorf("%s: schedule hash = %s, want %s as in earlier versions", file, got, want)
		}
	}
}

// The arrivals must match the steps, ramps and bursts of the load, and the shares and mean work of the classes.
func TestArrivalsMatchLoadSteps(t *testing.T) {
	s := mustParse(t, smallScenario, "warmup=0s", "duration=60s")
	sched := mustSchedule(t, s)
	countArrivals := func(from, to time.Duration) (n float64) {
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
		if got := countArrivals(c.from, c.to); math.Abs(got-c.want) > 4*math.Sqrt(c.want) {
			t.Errorf("%v to %v: %v arrivals, want %v within four standard deviations", c.from, c.to, got, c.want)
		}
	}
	firstClass, work := 0.0, 0.0
	for _, a := range sched.Arrivals {
		if a.Class == 0 {
			firstClass++
			work += a.Work.Seconds()
		}
	}
	if n := float64(len(sched.Arrivals)); math.Abs(firstClass/n-0.75) > 0.01 {
		t.Errorf("fraction of the first class = %v, want 0.75", firstClass/n)
	}
	if mean := work / firstClass; math.Abs(mean-0.020) > 0.0004 {
		t.Errorf("mean work = %v s, want 0.020 s within 2%%", mean)
	}
	if got := s.Capacity(); math.Abs(got-400) > 1e-6 {
		t.Errorf("capacity = %v requests/s, want 8 servers / 20 ms = 400", got)
	}
}

// A fault must start at one target after the other over its spread duration, and must end at each target after its duration.
func TestFaultEventsSpreadOverTargetsAndEnd(t *testing.T) {
	events := mustSchedule(t, mustParse(t, smallScenario)).Events
	if len(events) != 4 {
		t.Fatalf("%d events, want 4: start and end of the crash of two servers", len(events))
	}
	if events[0].At != 5*time.Second || events[1].At != 5500*time.Millisecond || !events[2].Ends || events[2].At != 8*time.Second {
		t.Errorf("events = %+v, want starts at 5 s and 5.5 s and the first end at 8 s", events)
	}
	if events[0].Server == events[1].Server || events[0].Server != events[2].Server {
		t.Errorf("servers of the events = %d, %d, %d, want two different servers and the end at the first", events[0].Server, events[1].Server, events[2].Server)
	}
}

// An invalid scenario must be rejected with an error that names the invalid key.
func TestParseRejectsInvalidScenario(t *testing.T) {
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
		text := strings.Replace(smallScenario, c.from, c.to, 1)
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s in place of %s: error = %v, want one that contains %s", c.to, c.from, err, c.want)
		}
	}
	for _, o := range []string{"seed", "fleet.serverz=3", "nodes.break=double-send"} {
		if _, err := Parse(smallScenario, o); err == nil {
			t.Errorf("override %q: no error, want one", o)
		}
	}
	if s := mustParse(t, smallScenario, "nodes.kind=least", "fleet.servers=4"); s.Nodes.Kind != "least" || s.Fleet.Servers != 4 {
		t.Errorf("nodes = %+v, fleet = %+v, want kind least and 4 servers", s.Nodes, s.Fleet)
	}
}
