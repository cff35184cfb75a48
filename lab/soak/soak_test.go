package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/baseline"
	"tackhub.example/tackhub/lab/scenario"
)

// replay reads a plan back from its printed form.
func replay(t *testing.T, s *scenario.Scenario) *scenario.Scenario {
	t.Helper()
	text, err := Text(s)
	if err != nil {
		t.Fatal(err)
	}
	again, err := scenario.Parse(text)
	if err != nil {
		t.Fatalf("%v in\n%s", err, text)
	}
	return again
}

func hash(t *testing.T, s *scenario.Scenario) string {
	t.Helper()
	schedule, err := s.Schedule()
	if err != nil {
		t.Fatal(err)
	}
	return schedule.Hash()
}

// One seed gives one plan, and what is printed of it replays the same schedule. A plan has planned stops, and a quiet one has
// no faults.
func TestPlansReplay(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(60) {
		s := Plan(Options{Seed: seed})
		first := hash(t, replay(t, s))
		if again := hash(t, replay(t, Plan(Options{Seed: seed}))); again != first {
			t.Errorf("seed %d: two plans differ", seed)
		}
		if seen[first] {
			t.Errorf("seed %d: the same as another seed's", seed)
		}
		seen[first] = true
		stops := 0
		for _, f := range s.Faults {
			if f.Kind == "node-replace" {
				stops++
			}
		}
		if stops == 0 {
			t.Errorf("seed %d: no planned stop", seed)
		}
	}
	if quiet := Plan(Options{Seed: 1, Quiet: true}); len(quiet.Faults) > 0 {
		t.Errorf("a quiet plan has faults: %v", quiet.Faults)
	}
}

// Shrinking removes every fault but the one that breaks a rule.
func TestShrinkKeepsTheBreakingFault(t *testing.T) {
	s := Plan(Options{Seed: 3})
	want := s.Faults[len(s.Faults)/2]
	isWanted := func(f scenario.Fault) bool { return f.At == want.At && f.Kind == want.Kind && f.Target == want.Target }
	small, err := Shrink(s, func(less *scenario.Scenario) (bool, error) { return slices.ContainsFunc(less.Faults, isWanted), nil })
	if err != nil || len(small.Faults) != 1 || !isWanted(small.Faults[0]) {
		t.Errorf("%v, left %v, want %v alone", err, small.Faults, want)
	}
}

// started is the code of the program that a test builds and starts. Reading it keeps that code in the test binary: without it
// the binary would be the same after a change of the code, and `go test` would print the cached result of an older program.
var started = baseline.Run

// The lab's baseline exits soon after SIGTERM whatever it has in flight. The soak must report the requests that it
// drops.
func TestSoakSeesDroppedRequests(t *testing.T) {
	runtime.KeepAlive(started)
	lab := filepath.Join(t.TempDir(), "tacklab")
	if out, err := exec.Command("go", "build", "-o", lab, "tackhub.example/tackhub/cmd/tacklab").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	s := replay(t, Plan(Options{Seed: 4, Kind: "least"}))
	s.RigLate = time.Minute // a busy machine does not hide it
	o, err := Play(context.Background(), s, []string{lab, "baseline", "--policy", "least"}, nil, "", "test")
	if err != nil {
		t.Fatal(err)
	}
	if o.Result.BreachesByRule[audit.RuleUnanswered] == 0 || !o.Broke() || o.Figures.Stops == 0 {
		t.Errorf("a node that drops its requests is not caught: %s", o.Figures)
	}
}
