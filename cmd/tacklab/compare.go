package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"tackhub.example/tackhub/lab/experiment"
	"tackhub.example/tackhub/lab/scenario"
	"tackhub.example/tackhub/lab/stats"
)

// confidence is the confidence level of all intervals.
const confidence = 0.95

// metrics are the rows of the comparison table: the figures that are compared between the two arms.
var metrics = []struct {
	name  string
	value func(experiment.Figures) float64
}{
	{"worth", func(f experiment.Figures) float64 { return f.Goodput }},
	{"worst window", func(f experiment.Figures) float64 { return f.WorstWindow }},
	{"worst tenant", func(f experiment.Figures) float64 { return f.WorstTenant }},
	{"p50 ms", func(f experiment.Figures) float64 { return f.P50 }},
	{"p99 ms", func(f experiment.Figures) float64 { return f.P99 }},
	{"refused", func(f experiment.Figures) float64 { return f.Rejected }},
	{"failed", func(f experiment.Figures) float64 { return f.Failed + f.Lost + f.NotConnected }},
	{"work times", func(f experiment.Figures) float64 { return f.WorkRatio }},
	{"memory MB", func(f experiment.Figures) float64 { return f.MemoryMB }},
	{"cpu cores", func(f experiment.Figures) float64 { return f.CPU }},
}

// compareCmd runs two arms alternately and compares them.
type compareCmd struct {
	A        string   `arg:"" help:"The first arm's scenario." type:"existingfile"`
	B        string   `arg:"" help:"The second arm's scenario; may be the same file." type:"existingfile"`
	Runs     int      `default:"5" help:"Pairs of runs, each with a seed of its own."`
	SetA     []string `help:"Set a key in the first arm." placeholder:"KEY=VALUE" sep:"none"`
	SetB     []string `help:"Set a key in the second arm." placeholder:"KEY=VALUE" sep:"none"`
	ProgramA string   `help:"The first arm's tackhub." type:"path"`
	ProgramB string   `help:"The second arm's tackhub." type:"path"`
	Seed     uint64   `default:"1" help:"Seed of the first pair; each pair adds one."`
	JSON     string   `help:"Write all figures to this file." type:"path"`
}

// Run interleaves the arms, A B, B A, A B and so on, so that gradual changes of the machine affect both arms equally.
func (c *compareCmd) Run(ctx context.Context) error {
	if c.Runs < 2 {
		return fmt.Errorf("--runs %d: a confidence interval needs at least 2 pairs of runs", c.Runs)
	}
	var figures [2][]experiment.Figures
	var breaches [2]map[string]int
	breaches[0], breaches[1] = map[string]int{}, map[string]int{}
	for i := range c.Runs {
		order := []int{0, 1}
		if i%2 == 1 {
			order = []int{1, 0}
		}
		for _, arm := range order {
			r, err := c.runOne(ctx, arm, c.Seed+uint64(i))
			if err != nil {
				return err
			}
			figures[arm] = append(figures[arm], r.Figures)
			for rule, n := range r.BreachesByRule {
				breaches[arm][rule] += n
			}
			fmt.Printf("%s %s\n", string("AB"[arm]), summaryLine(r))
		}
	}
	differences := c.printTable(figures)
	for arm, rules := range breaches {
		fmt.Printf("%s: rules broken: %s\n", string("AB"[arm]), formatRules(rules))
	}
	if c.JSON == "" {
		return nil
	}
	raw, err := json.MarshalIndent(map[string]any{"a": figures[0], "b": figures[1], "differences": differences}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(raw, '\n'), 0o644)
}

// runOne runs one arm once. It returns an error if the run is invalid, because a pair without both runs cannot be compared.
func (c *compareCmd) runOne(ctx context.Context, arm int, seed uint64) (*experiment.Result, error) {
	file, overrides, program := c.A, c.SetA, c.ProgramA
	if arm == 1 {
		file, overrides, program = c.B, c.SetB, c.ProgramB
	}
	s, err := scenario.Load(file, append(append([]string(nil), overrides...), fmt.Sprintf("seed=%d", seed))...)
	if err != nil {
		return nil, err
	}
	r, err := runScenario(ctx, s, commonFlags{Program: program}, nil, nil)
	if err != nil {
		return nil, err
	}
	if r.Verdict == experiment.VerdictInvalid {
		return nil, fmt.Errorf("the run of arm %s with seed %d is invalid: %s", string("AB"[arm]), seed, r.InvalidReason)
	}
	return r, nil
}

// printTable prints a table of the metrics of both arms, and returns the paired differences by metric.
func (c *compareCmd) printTable(figures [2][]experiment.Figures) map[string]stats.Interval {
	differences := map[string]stats.Interval{}
	fmt.Printf("%-13s %10s %10s %12s  %s\n", "", "A", "B", "B - A", "95% interval of the difference")
	for _, metric := range metrics {
		a, b := metricValues(figures[0], metric.value), metricValues(figures[1], metric.value)
		difference := stats.Paired(a, b, confidence)
		differences[metric.name] = difference
		mark := ""
		if difference.ExcludesZero() {
			mark = "  clear"
		}
		fmt.Printf("%-13s %10.4f %10.4f %+12.4f  [%+.4f, %+.4f]%s\n", metric.name,
			stats.Mean(a, confidence).Mean, stats.Mean(b, confidence).Mean, difference.Mean, difference.Low, difference.High, mark)
	}
	return differences
}

// metricValues returns the values of one metric in all runs.
func metricValues(f []experiment.Figures, value func(experiment.Figures) float64) []float64 {
	out := make([]float64, len(f))
	for i := range f {
		out[i] = value(f[i])
	}
	return out
}

// formatRules returns the broken rules with the number of breaches of each.
func formatRules(breachesByRule map[string]int) string {
	if len(breachesByRule) == 0 {
		return "none"
	}
	var out []string
	for rule, n := range breachesByRule {
		out = append(out, fmt.Sprintf("%s %d", rule, n))
	}
	return strings.Join(out, ", ")
}

// sweepCmd runs a scenario with several values of one key.
type sweepCmd struct {
	Scenario string   `arg:"" type:"existingfile"`
	Key      string   `arg:"" help:"The key, such as clients.retries."`
	Values   []string `arg:"" help:"Its values."`
	commonFlags
	Runs int `default:"1" help:"Runs for each value, each with a seed of its own."`
}

// Run prints a line for each run and the means for each value.
func (c *sweepCmd) Run(ctx context.Context) error {
	for _, value := range c.Values {
		var worth, p99 []float64
		for i := range max(1, c.Runs) {
			s, err := scenario.Load(c.Scenario, append(c.overrides(), c.Key+"="+value)...)
			if err != nil {
				return err
			}
			s.Seed += uint64(i)
			r, err := runScenario(ctx, s, c.commonFlags, nil, nil)
			if err != nil {
				return err
			}
			if r.Verdict == experiment.VerdictInvalid {
				return fmt.Errorf("the run with %s=%s is invalid: %s", c.Key, value, r.InvalidReason)
			}
			fmt.Printf("%s=%s %s\n", c.Key, value, summaryLine(r))
			worth, p99 = append(worth, r.Figures.Goodput), append(p99, r.Figures.P99)
		}
		meanWorth, meanP99 := stats.Mean(worth, confidence), stats.Mean(p99, confidence)
		fmt.Printf("%s=%s mean worth %.4f (sd %.4f), mean p99 %.1f ms (sd %.1f), %d runs\n", c.Key, value, meanWorth.Mean, meanWorth.SD,
			meanP99.Mean, meanP99.SD, meanWorth.N)
	}
	return nil
}
