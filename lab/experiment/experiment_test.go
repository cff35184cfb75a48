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

// programs are the built node and the built lab, whose baselines the tests start.
var programs string

// started is the code of the programs that the tests build and start. buildAndRun reads it so that the linker keeps that code
// in the test binary: without it the binary would be the same after a change of the node, and `go test` would print the
// cached result of an older node.
var started = []any{node.Serve, baseline.Run}

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tacklab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	runtime.KeepAlive(started)
	out, err := exec.Command("go", "build", "-o", dir+"/", "tackhub.example/tackhub/cmd/tackhub", "tackhub.example/tackhub/cmd/tacklab").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func small(t *testing.T, overrides ...string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load("../scenarios/small.toml", overrides...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func playOut(t *testing.T, s *scenario.Scenario) *Result {
	t.Helper()
	argv := []string{filepath.Join(programs, "tackhub")}
	if s.Nodes.Kind != "tackhub" {
		argv = []string{filepath.Join(programs, "tacklab"), "baseline", "--policy", s.Nodes.Kind}
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

// The node keeps every rule and meets every expectation of a scenario with a crash and a drain.
func TestNodeKeepsTheRules(t *testing.T) {
	r := playOut(t, small(t))
	if r.Verdict != VerdictOK {
		t.Errorf("verdict %s: short %v, void %q, breaches %v\nfigures %+v", r.Verdict, r.Unmet, r.VoidReason, r.Breaches, r.Figures)
	}
	if r.Figures.Asked < 400 || r.Figures.Crashes != 0 || r.Figures.MemoryMB == 0 || r.Figures.Sockets == 0 {
		t.Errorf("figures %+v", r.Figures)
	}
	if sum := r.Figures.Served + r.Figures.Rejected + r.Figures.Failed + r.Figures.Lost + r.Figures.Cancelled + r.Figures.NotConnected; sum < 0.999 {
		t.Errorf("the endings make %v of what was asked", sum)
	}
}

// The auditor sees each defect that a baseline can be given, on sockets, under the rule that it breaks.
func TestAuditorSeesEachDefect(t *testing.T) {
	for defect, rule := range map[string]string{
		"double-send":    audit.RuleDuplicateExecution,
		"lost-answer":    audit.RuleUnanswered,
		"swapped-answer": audit.RuleWrongResponse,
		"late-answer":    audit.RuleLate,
		"refuse-run":     audit.RuleRejectedThoughExecuted,
		"late-drain":     audit.RuleDrain,
		"cold-push":      audit.RuleColdCollapse,
	} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			over := []string{"nodes.kind=least", "nodes.break=" + defect, "duration=3s", "warmup=500ms", "rig_late=1s"}
			switch defect {
			case "late-drain": // a drain early enough for the grace to end within the run, and no return after it
				over = append(over, "nodes.drain_grace=300ms", "fault=[{at=\"800ms\", kind=\"drain\", target=\"4\"}]")
			case "cold-push": // all of both nodes' load on one server that bears a fifth of a core
				over = append(over, "load=[{rate=150}]", "fleet.cold_from=0.2", "fault=[{at=\"700ms\", kind=\"cold-return\", target=\"server:1\"}]")
			default:
				over = append(over, "fault=[]")
			}
			r := playOut(t, small(t, over...))
			if r.BreachesByRule[rule] == 0 || r.Verdict != VerdictShort {
				t.Errorf("verdict %s, breaches %v, void %q, want %s among them", r.Verdict, r.BreachesByRule, r.VoidReason, rule)
			}
		})
	}
}

// A baseline without a defect breaks no rule in a run without faults, so what the auditor reports of one with a defect
// comes from the defect.
func TestBaselineWithoutDefectIsClean(t *testing.T) {
	r := playOut(t, small(t, "nodes.kind=random", "duration=3s", "fault=[]", "rig_late=1s"))
	if len(r.Breaches) > 0 || r.Figures.Served < 0.99 {
		t.Errorf("breaches %v, figures %+v", r.Breaches, r.Figures)
	}
}

// A run that is interrupted is void and leaves no process behind. One in which the lab itself was late is void too.
func TestVoidRuns(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := small(t, "duration=60s", "fault=[]")
	pids := make(chan string, 1)
	r, err := Run(ctx, Options{Scenario: s, Command: []string{filepath.Join(programs, "tackhub")},
		Started: func(nodes []string) { pids <- nodes[0]; time.AfterFunc(200*time.Millisecond, cancel) }})
	if err != nil || r.Verdict != VerdictVoid || r.VoidReason != "cut off" {
		t.Fatalf("%v, verdict %v", err, r)
	}
	cancel()
	if out, _ := exec.Command("pgrep", "-f", programs).Output(); len(out) > 0 {
		t.Errorf("processes are left: %s", out)
	}
	r = playOut(t, small(t, "duration=1s", "fault=[]", "rig_late=1us"))
	if r.Verdict != VerdictVoid {
		t.Errorf("a late rig gave verdict %s", r.Verdict)
	}
	if _, err := Run(context.Background(), Options{Scenario: s, Command: []string{"/bin/false"}}); err == nil {
		t.Error("a node that does not start gave a result")
	}
}

// The time until worth is back is measured over whole windows.
func TestRecoveryIsTimed(t *testing.T) {
	s := small(t, "duration=20s", "warmup=0s", "expect.window=1s")
	ops := opsOf(s, func(at time.Duration) bool { return at < 5*time.Second || at >= 8*time.Second })
	d, ok := recovered(s, ops, scenario.Recover{From: 5 * time.Second, To: 0.95})
	if !ok || d < 2900*time.Millisecond || d > 3100*time.Millisecond {
		t.Errorf("recovered after %v (%v), want 3 s", d, ok)
	}
	if w := worstWindow(s, ops); w != 0 {
		t.Errorf("worst window %v, want 0", w)
	}
	if f := figures(s, ops); f.Worth < 0.84 || f.Worth > 0.86 {
		t.Errorf("worth %v, want 0.85", f.Worth)
	}
	if _, ok = recovered(s, opsOf(s, func(at time.Duration) bool { return at < 5*time.Second }), scenario.Recover{From: 5 * time.Second, To: 0.95}); ok {
		t.Error("recovered, though nothing was served again")
	}
}
