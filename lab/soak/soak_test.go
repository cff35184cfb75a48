package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/baseline"
	"tackhub.example/tackhub/lab/scenario"
)

// parsePrinted prints a plan and parses the text.
func parsePrinted(t *testing.T, s *scenario.Scenario) *scenario.Scenario {
	t.Helper()
	text, err := PlanText(s)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := scenario.Parse(text)
	if err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	return parsed
}

// scheduleHash returns the hash of the schedule of a scenario.
func scheduleHash(t *testing.T, s *scenario.Scenario) string {
	t.Helper()
	schedule, err := s.Schedule()
	if err != nil {
		t.Fatal(err)
	}
	return schedule.Hash()
}

// A seed must always give the same plan, and its printed form must replay the same schedule. Otherwise a failing run could not
// be reproduced. Each plan has planned stops, and a quiet plan has no faults.
func TestPrintedPlanReplaysSameSchedule(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(60) {
		s := Plan(Options{Seed: seed})
		schedule := scheduleHash(t, parsePrinted(t, s))
		if secondSchedule := scheduleHash(t, parsePrinted(t, Plan(Options{Seed: seed}))); secondSchedule != schedule {
			t.Errorf("seed %d: two plans have different schedules, want the same schedule", seed)
		}
		if seen[schedule] {
			t.Errorf("seed %d: same schedule as another seed, want a different one", seed)
		}
		seen[schedule] = true
		stops := 0
		for _, f := range s.Faults {
			if f.Kind == "node-replace" {
				stops++
			}
		}
		if stops == 0 {
			t.Errorf("seed %d: planned stops = 0, want at least 1", seed)
		}
	}
	if quietPlan := Plan(Options{Seed: 1, Quiet: true}); len(quietPlan.Faults) > 0 {
		t.Errorf("quiet plan: faults = %v, want none", quietPlan.Faults)
	}
}

// Shrink must remove every fault except the one that breaches a rule.
func TestShrinkKeepsOnlyBreakingFault(t *testing.T) {
	s := Plan(Options{Seed: 3})
	want := s.Faults[len(s.Faults)/2]
	isWanted := func(f scenario.Fault) bool { return f.At == want.At && f.Kind == want.Kind && f.Target == want.Target }
	smallest, err := Shrink(s, func(smaller *scenario.Scenario) (bool, error) {
		return slices.ContainsFunc(smaller.Faults, isWanted), nil
	})
	if err != nil || len(smallest.Faults) != 1 || !isWanted(smallest.Faults[0]) {
		t.Errorf("Shrink: error %v, faults = %v, want only %v", err, smallest.Faults, want)
	}
}

// baselineCode refers to the code of the program that a test builds and starts. The reference makes that code part of the test
// binary: otherwise the binary would not change with the code, and `go test` would print the cached result of an older program.
var baselineCode = baseline.Run

// The lab's baseline exits soon after SIGTERM and drops its requests in flight. The soak must report these as unanswered.
func TestSoakReportsDroppedRequests(t *testing.T) {
	runtime.KeepAlive(baselineCode)
	lab := filepath.Join(t.TempDir(), "tacklab")
	if out, err := exec.Command("go", "build", "-o", lab, "tackhub.example/tackhub/cmd/tacklab").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	s := parsePrinted(t, Plan(Options{Seed: 4, Kind: "least"}))
	s.MaxSendDelay = time.Minute // a busy machine must not make the run invalid
	outcome, err := Run(context.Background(), s, []string{lab, "baseline", "--policy", "least"}, nil, "", "test")
	if err != nil {
		t.Fatal(err)
	}
	if outcome.Result.BreachesByRule[audit.RuleUnanswered] == 0 || !outcome.Failed() || outcome.Figures.Stops == 0 {
		t.Errorf("node that drops its requests: want a breach of rule lost, a failure and a stop, got %s", outcome.Figures)
	}
}

// A soak with withdrawals must withdraw the whole fleet for longer than the drain grace; else no request could break the rule on
// drains. The other faults of a seed must stay as they are without withdrawals.
func TestWithdrawalsExceedDrainGrace(t *testing.T) {
	beyondGrace := 0
	for seed := range uint64(50) {
		plain, s := Plan(Options{Seed: seed}), Plan(Options{Seed: seed, Withdrawals: true})
		if !slices.EqualFunc(plain.Faults, s.Faults[:len(plain.Faults)], func(a, b scenario.Fault) bool { return reflect.DeepEqual(a, b) }) {
			t.Errorf("seed %d: withdrawals change the other faults of the plan", seed)
		}
		scheduleHash(t, parsePrinted(t, s))
		for _, f := range s.Faults[len(plain.Faults):] {
			if f.Target == "all" && f.For > s.Nodes.DrainGrace {
				beyondGrace++
			}
		}
	}
	if beyondGrace < 50 {
		t.Errorf("withdrawals of the fleet beyond the grace in 50 runs = %d, want at least 50", beyondGrace)
	}
}

// In a soak with devices repeats must arrive while their requests run, and devices must move to another node after a rejection; else no
// request could be rejected although it runs. The planned stops of a seed must stay as they are without devices.
func TestDevicesRepeatRunningRequests(t *testing.T) {
	const ackTimeout = 180 * time.Millisecond // the longest of a device in the lab
	withDelay := 0
	for seed := range uint64(50) {
		plain, s := Plan(Options{Seed: seed}), Plan(Options{Seed: seed, Devices: true})
		scheduleHash(t, parsePrinted(t, s))
		if len(plain.Faults) == 0 || s.Faults[0].Kind != plain.Faults[0].Kind || s.Faults[0].At != plain.Faults[0].At {
			t.Errorf("seed %d: devices change the first planned stop", seed)
		}
		if s.Clients.Coap == 0 || s.Clients.Retry == "none" || s.Classes[0].Work < ackTimeout {
			t.Errorf("seed %d: clients %+v and work %v, want devices that retry and work of at least %v", seed, s.Clients, s.Classes[0].Work, ackTimeout)
		}
		if s.Links.Clients.Delay > 0 {
			withDelay++
		}
	}
	if withDelay < 10 || withDelay > 40 {
		t.Errorf("%d of 50 runs have a delay, want about half", withDelay)
	}
}

// In a soak with uploads the repeat of a keyed request must be able to reach a CoAP server after the window of its key; else no run could
// show that it is sent too late. The planned stops of a seed must stay as they are without uploads.
func TestUploadsOutlastWindow(t *testing.T) {
	const blockSize = 1 << 10
	outlasting := 0
	for seed := range uint64(50) {
		plain, s := Plan(Options{Seed: seed}), Plan(Options{Seed: seed, Uploads: true})
		scheduleHash(t, parsePrinted(t, s))
		if !slices.EqualFunc(plain.Faults, s.Faults[:len(plain.Faults)], func(a, b scenario.Fault) bool { return reflect.DeepEqual(a, b) }) {
			t.Errorf("seed %d: uploads change the other faults of the plan", seed)
		}
		put := s.Classes[1]
		took := time.Duration(put.Body/blockSize) * 2 * s.Links.Servers.Delay
		if took > put.Window && put.Window < put.Deadline && s.Fleet.Coap > 0 {
			outlasting++
		}
	}
	if outlasting < 25 {
		t.Errorf("uploads that take longer than the window in 50 runs = %d, want at least 25", outlasting)
	}
}

// A run under pressure must have the least memory and descriptors that a deployment gives a node, and a response that the node cuts off must be
// excused only if its server or node had a fault.
func TestPressurePlanAndExcuses(t *testing.T) {
	sockets := map[int]bool{}
	for seed := range uint64(20) {
		s := Plan(Options{Seed: seed, Pressure: true})
		sockets[s.Nodes.Sockets] = true
		if !s.Clients.Pressure || s.Nodes.MemoryMB != pressureMemoryMB {
			t.Errorf("seed %d: pressure %v with %v MB, want true with %d MB", seed, s.Clients.Pressure, s.Nodes.MemoryMB, pressureMemoryMB)
		}
	}
	if len(sockets) != len(pressureSockets) {
		t.Errorf("descriptor limits in 20 plans = %v, want all of %v", sockets, pressureSockets)
	}
	s := &scenario.Scenario{Faults: []scenario.Fault{
		{At: 10 * time.Second, Kind: scenario.FaultNodePause, Target: "node:0", For: time.Second},
		{At: 20 * time.Second, Kind: scenario.FaultHang, Target: "1", For: time.Second},
		{At: 40 * time.Second, Kind: scenario.FaultNodeReplace, Target: "node:1"},
	}}
	c := NewClients(s)
	for _, test := range []struct {
		node     int
		from, to time.Duration
		want     bool
	}{{0, 9 * time.Second, 12 * time.Second, false}, {0, 18 * time.Second, 21 * time.Second, true}, {0, 40 * time.Second, 41 * time.Second, false},
		{1, 40 * time.Second, 41 * time.Second, true}} {
		if got := c.excused(test.node, test.from, test.to); got != test.want {
			t.Errorf("node %d, %v to %v: excused = %v, want %v", test.node, test.from, test.to, got, test.want)
		}
	}
}
