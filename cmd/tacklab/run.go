package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"tackhub.example/tackhub/lab/experiment"
	"tackhub.example/tackhub/lab/report"
	"tackhub.example/tackhub/lab/scenario"
)

// commonFlags are the flags that several commands share.
type commonFlags struct {
	Set     []string `help:"Set a key of the scenario, such as fleet.servers=30. May be given again." placeholder:"KEY=VALUE" sep:"none"`
	Program string   `help:"The tackhub to run. Without it: the one beside tacklab, or a fresh build." type:"path"`
	Seed    *uint64  `help:"Seed instead of the scenario's."`
	Logs    string   `help:"Keep the nodes' configurations and logs in this folder." type:"path"`
}

func (f commonFlags) overrides() []string {
	out := append([]string(nil), f.Set...)
	if f.Seed != nil {
		out = append(out, fmt.Sprintf("seed=%d", *f.Seed))
	}
	return out
}

// runCmd runs one scenario.
type runCmd struct {
	Scenario string `arg:"" help:"The scenario's file." type:"existingfile"`
	commonFlags
	JSON   string `help:"Write the whole result to this file." type:"path"`
	Report string `help:"Write report.html and result.json into this folder." type:"path"`
	Quiet  bool   `help:"Only the closing line."`
}

// Run runs the scenario, writes the requested files and prints the result.
func (c *runCmd) Run(ctx context.Context) error {
	s, err := scenario.Load(c.Scenario, c.overrides()...)
	if err != nil {
		return err
	}
	var progress func(experiment.Progress)
	if !c.Quiet {
		progress = progressPrinter(s)
	}
	r, err := runScenario(ctx, s, c.commonFlags, progress, nil)
	if err != nil {
		return err
	}
	if err := c.write(r); err != nil {
		return err
	}
	return printOutcome(r)
}

// write writes the requested result files.
func (c *runCmd) write(r *experiment.Result) error {
	if c.JSON != "" {
		raw, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(raw, '\n'), 0o644); err != nil {
			return err
		}
	}
	if c.Report != "" {
		return report.Write(c.Report, r)
	}
	return nil
}

// runScenario runs a scenario with the program and the log directory of the flags.
func runScenario(ctx context.Context, s *scenario.Scenario, flags commonFlags, progress func(experiment.Progress), started func([]string)) (*experiment.Result, error) {
	argv, build, clean, err := nodeCommand(s, flags.Program, "")
	if err != nil {
		return nil, err
	}
	defer clean()
	var env []string
	if s.Nodes.OperatorFile != "" {
		env = append(env, "TACKHUB_EDGE="+s.Nodes.OperatorFile)
	}
	if flags.Logs != "" {
		if err := os.MkdirAll(flags.Logs, 0o755); err != nil {
			return nil, err
		}
	}
	return experiment.Run(ctx, experiment.Options{Scenario: s, Command: argv, Env: env, Dir: flags.Logs, Build: build,
		Progress: progress, Started: started})
}

// progressPrinter returns a function that prints one line for each progress report. The first call also prints a header line.
func progressPrinter(s *scenario.Scenario) func(experiment.Progress) {
	headerPrinted := false
	return func(p experiment.Progress) {
		if !headerPrinted {
			fmt.Printf("%6s %7s %6s %8s %8s %8s %7s  %s\n", "s", "asked", "worth", "p50 ms", "p99 ms", "refused", "failed", "excluded, events")
			headerPrinted = true
		}
		sort.Strings(p.Ejected)
		notes := append([]string(nil), p.Ejected...)
		if n := len(p.Events); n > 4 {
			p.Events = append(p.Events[:3], fmt.Sprintf("and %d more", n-3))
		}
		if len(p.Events) > 0 {
			notes = append(notes, "["+strings.Join(p.Events, ", ")+"]")
		}
		warmup := ""
		if p.At < s.Warmup {
			warmup = "(warm-up) "
		}
		fmt.Printf("%6.1f %7d %6.3f %8.1f %8.1f %8d %7d  %s%s\n", p.At.Seconds(), p.Requests, p.Goodput, p.P50, p.P99, p.Rejected,
			p.Failed, warmup, strings.Join(notes, " "))
	}
}

// printOutcome prints breaches, unmet expectations and the summary line. It returns nil if the verdict is ok, errRunFailed
// if the run failed, and another error if it is invalid.
func printOutcome(r *experiment.Result) error {
	for i, b := range r.Breaches {
		if i == 5 {
			fmt.Printf("and %d more breaches\n", len(r.Breaches)-i)
			break
		}
		fmt.Printf("rule %s broken at %.3fs: %s\n", b.Rule, b.At.Seconds(), b.Text)
	}
	for _, expectation := range r.Unmet {
		fmt.Printf("short: %s\n", expectation)
	}
	if r.InvalidReason != "" {
		fmt.Printf("void: %s\n", r.InvalidReason)
	}
	fmt.Println(summaryLine(r))
	switch r.Verdict {
	case experiment.VerdictOK:
		return nil
	case experiment.VerdictFailed:
		return errRunFailed
	}
	return fmt.Errorf("the run of scenario %q is invalid: %s", r.Scenario, r.InvalidReason)
}

// summaryLine returns the summary of a run in one line.
func summaryLine(r *experiment.Result) string {
	f := r.Figures
	out := fmt.Sprintf("verdict: %s, %s seed %d: worth %.4f worst-window %.4f worst-tenant %.4f p50 %.1fms p99 %.1fms refused %.4f failed %.4f tries %.2f rate %.0f/s breaches %d node %.1fMB %d fds %.2f cores rig-late %.2fms",
		r.Verdict, r.Scenario, r.Seed, f.Goodput, f.WorstWindow, f.WorstTenant, f.P50, f.P99, f.Rejected, f.Failed+f.Lost+f.NotConnected,
		f.Attempts, f.Rate, len(r.Breaches), f.MemoryMB, f.Sockets, f.CPU, f.SendDelayP99)
	if f.RecoverySeconds != nil {
		out += fmt.Sprintf(" recovered-after %.1fs", *f.RecoverySeconds)
	}
	if m := r.Members; m != nil {
		out += fmt.Sprintf(" members: %d samples, noticed within %.1fs, healed in %.1fs, %d views, shares %.3f at most, %.3f in the mean, mesh %.0f B/s, %.3f cores at most",
			m.Samples, m.Detection, m.Convergence, m.ViewChanges, m.QuotaMax, m.QuotaMean, f.MeshBytes, f.MaxCPU)
	}
	return out
}

// listCmd lists the scenarios of a directory.
type listCmd struct {
	Dir string `arg:"" optional:"" default:"lab/scenarios" help:"The folder." type:"path"`
}

// Run prints a line for each scenario.
func (c *listCmd) Run() error {
	files, err := filepath.Glob(filepath.Join(c.Dir, "*.toml"))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("no scenario files (*.toml) in %s", c.Dir)
	}
	for _, f := range files {
		s, err := scenario.Load(f)
		if err != nil {
			return err
		}
		fmt.Printf("%-28s %4d servers %2d nodes %6s  %s\n", s.Name, s.Fleet.Servers, s.Nodes.Count, s.Duration, s.About)
	}
	return nil
}

// scheduleCmd prints the schedule of a scenario.
type scheduleCmd struct {
	Scenario string `arg:"" type:"existingfile"`
	commonFlags
	Out string `help:"Write the schedule's bytes to this file, to compare two." type:"path"`
}

// Run prints the fault events and the hash of the schedule.
func (c *scheduleCmd) Run() error {
	s, err := scenario.Load(c.Scenario, c.overrides()...)
	if err != nil {
		return err
	}
	sched, err := s.Schedule()
	if err != nil {
		return err
	}
	for _, e := range sched.Events {
		event := e.Kind
		if e.Ends {
			event += " ends"
		}
		fmt.Printf("%8.3fs %-20s server %d node %d\n", e.At.Seconds(), event, e.Server, e.Node)
	}
	total := s.Warmup + s.Duration
	fmt.Printf("%s: %d arrivals in %v, capacity %.0f/s, schedule %s\n", s.Name, len(sched.Arrivals), total, s.Capacity(), sched.Hash())
	if c.Out != "" {
		return os.WriteFile(c.Out, sched.Bytes(), 0o644)
	}
	return nil
}

// expectedDuration returns the approximate duration of a scenario's run.
func expectedDuration(s *scenario.Scenario) time.Duration {
	return s.Warmup + s.Duration + 2*time.Second
}
