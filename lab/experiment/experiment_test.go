package experiment

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"tackhub.example/tackhub/internal/node"
	"tackhub.example/tackhub/lab/audit"
	"tackhub.example/tackhub/lab/baseline"
	"tackhub.example/tackhub/lab/scenario"
)

// programDir contains the programs that TestMain builds: the node, and the lab with the baselines.
var programDir string

// linkedPrograms refers to the code of the programs that the tests build and start, so that the linker keeps that code in
// the test binary. Otherwise the binary would not change with the node, and `go test` would print the cached result of an
// older node.
var linkedPrograms = []any{node.Serve, baseline.Run}

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tacklab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programDir = dir
	runtime.KeepAlive(linkedPrograms)
	out, err := exec.Command("go", "build", "-o", dir+"/", "tackhub.example/tackhub/cmd/tackhub", "tackhub.example/tackhub/cmd/tacklab").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func loadSmall(t *testing.T, overrides ...string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load("../scenarios/small.toml", overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func runScenario(t *testing.T, s *scenario.Scenario) *Result {
	t.Helper()
	argv := []string{filepath.Join(programDir, "tackhub")}
	if s.Nodes.Kind != "tackhub" {
		argv = []string{filepath.Join(programDir, "tacklab"), "baseline", "--policy", s.Nodes.Kind}
		if s.Nodes.Defect != "" {
			argv = append(argv, "--break", s.Nodes.Defect)
		}
	}
	r, err := Run(context.Background(), Options{Scenario: s, Command: argv, Build: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The node must break no rule and meet every expectation in a scenario with a crash and a drain.
func TestNodeBreaksNoRuleDuringCrashAndDrain(t *testing.T) {
	r := runScenario(t, loadSmall(t))
	if r.Verdict != VerdictOK {
		t.Errorf("verdict = %s, want ok: unmet %v, invalid %q, breaches %v\nfigures %+v", r.Verdict, r.Unmet, r.InvalidReason, r.Breaches, r.Figures)
	}
	if r.Figures.Requests < 400 || r.Figures.Crashes != 0 || r.Figures.MemoryMB == 0 || r.Figures.Sockets == 0 {
		t.Errorf("figures = %+v, want at least 400 requests, no crash, and memory and sockets above 0", r.Figures)
	}
	if sum := r.Figures.Served + r.Figures.Rejected + r.Figures.Failed + r.Figures.Lost + r.Figures.Cancelled + r.Figures.NotConnected; sum < 0.999 {
		t.Errorf("sum of the outcomes' fractions = %v, want at least 0.999", sum)
	}
}

// The auditor must report each defect of a real baseline process under the rule that the defect breaks.
func TestAuditorReportsEachBaselineDefect(t *testing.T) {
	for defect, rule := range map[string]string{
		"double-send":    audit.RuleDuplicateExecution,
		"lost-answer":    audit.RuleUnanswered,
		"swapped-answer": audit.RuleWrongResponse,
		"late-answer":    audit.RuleLate,
		"refuse-run":     audit.RuleRejectedThoughExecuted,
		"late-drain":     audit.RuleDrain,
		"cold-push":      audit.RuleSlowStartCollapse,
	} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			overrides := []string{"nodes.kind=least", "nodes.break=" + defect, "duration=3s", "warmup=500ms", "rig_late=1s"}
			switch defect {
			case "late-drain": // the drain starts early, so that the grace period ends within the run, and has no end
				overrides = append(overrides, "nodes.drain_grace=300ms", "fault=[{at=\"800ms\", kind=\"drain\", target=\"4\"}]")
			case "cold-push": // both nodes send their whole load to one server that starts with a fifth of its speed
				overrides = append(overrides, "load=[{rate=150}]", "fleet.cold_from=0.2", "fault=[{at=\"700ms\", kind=\"cold-return\", target=\"server:1\"}]")
			default:
				overrides = append(overrides, "fault=[]")
			}
			r := runScenario(t, loadSmall(t, overrides...))
			if r.BreachesByRule[rule] == 0 || r.Verdict != VerdictFailed {
				t.Errorf("verdict = %s, breaches = %v, invalid %q, want verdict short and a breach of %s", r.Verdict, r.BreachesByRule, r.InvalidReason, rule)
			}
		})
	}
}

// A baseline without a defect must break no rule in a run without faults. Otherwise the breaches in
// TestAuditorReportsEachBaselineDefect might not come from the defects.
func TestBaselineWithoutDefectBreaksNoRule(t *testing.T) {
	r := runScenario(t, loadSmall(t, "nodes.kind=random", "duration=3s", "fault=[]", "rig_late=1s"))
	if len(r.Breaches) > 0 || r.Figures.Served < 0.99 {
		t.Errorf("breaches = %v, figures = %+v, want no breach and at least 99%% served", r.Breaches, r.Figures)
	}
}

// An interrupted run must be invalid and leave no process running. A run in which the lab itself sends late must be invalid
// too.
func TestInterruptedOrLateRunIsInvalid(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := loadSmall(t, "duration=60s", "fault=[]")
	addresses := make(chan string, 1)
	r, err := Run(ctx, Options{Scenario: s, Command: []string{filepath.Join(programDir, "tackhub")},
		Started: func(nodes []string) { addresses <- nodes[0]; time.AfterFunc(200*time.Millisecond, cancel) }})
	if err != nil || r.Verdict != VerdictInvalid || r.InvalidReason != "the run was interrupted" {
		t.Fatalf("interrupted run: error = %v, result = %v, want verdict void with the reason that the run was interrupted", err, r)
	}
	cancel()
	if out, _ := exec.Command("pgrep", "-f", programDir).Output(); len(out) > 0 {
		t.Errorf("processes still running after the run: %s", out)
	}
	r = runScenario(t, loadSmall(t, "duration=1s", "fault=[]", "rig_late=1us"))
	if r.Verdict != VerdictInvalid {
		t.Errorf("verdict with late sends = %s, want void", r.Verdict)
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Command: []string{"/bin/false"}}); err == nil {
		t.Error("node that fails to start: no error, want one")
	}
}

// The recovery time must end at the start of the first window whose goodput reaches the expected value.
func TestRecoveryTimeAfterOutage(t *testing.T) {
	s := loadSmall(t, "duration=20s", "warmup=0s", "expect.window=1s")
	ops := fixedRateOperations(s, func(at time.Duration) bool { return at < 5*time.Second || at >= 8*time.Second })
	recovery, ok := recoveryTime(s, ops, scenario.Recover{From: 5 * time.Second, Goodput: 0.95})
	if !ok || recovery < 2900*time.Millisecond || recovery > 3100*time.Millisecond {
		t.Errorf("recovery time = %v, %v, want 3 s within 0.1 s", recovery, ok)
	}
	if w := worstWindow(s, ops); w != 0 {
		t.Errorf("worst window = %v, want 0", w)
	}
	if f := computeFigures(s, ops); f.Goodput < 0.84 || f.Goodput > 0.86 {
		t.Errorf("goodput = %v, want 0.85 within 0.01", f.Goodput)
	}
	if _, ok = recoveryTime(s, fixedRateOperations(s, func(at time.Duration) bool { return at < 5*time.Second }), scenario.Recover{From: 5 * time.Second, Goodput: 0.95}); ok {
		t.Error("recovery reported although nothing was served after the outage")
	}
}
