package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"tackhub.example/tackhub/internal/faults"
	"tackhub.example/tackhub/lab/scenario"
	"tackhub.example/tackhub/lab/soak"
)

// maxBreachesShown bounds the time lines that are printed for one run.
const maxBreachesShown = 5

// soakCmd plays seeded runs of planned stops under faults.
type soakCmd struct {
	Seed     uint64        `default:"1" help:"Seed of the first run."`
	Runs     int           `default:"1" help:"Runs, each with the next seed."`
	Nodes    int           `help:"Nodes in each run; drawn from the seed without it."`
	Duration time.Duration `default:"10s" help:"Of each run; ten seconds at the least."`
	Kind     string        `help:"Kind of the nodes, as in a scenario: tackhub, or a baseline that is to be caught."`
	Quiet    bool          `help:"No faults and no planned stops: a run that must be clean."`
	Plan     string        `help:"Replay the plan in this file instead." type:"existingfile"`
	Print    bool          `help:"Print the plans and play nothing."`
	Shrink   bool          `help:"Make the first plan that breaks smaller, and print what is left."`
	Faults   bool          `help:"Build the nodes so that accept and connect fail at times, with every error that Linux documents."`
	Program  string        `help:"The tackhub to run. Without it: the one beside tacklab, or a fresh build." type:"path"`
	Logs     string        `help:"Keep the nodes' configurations and logs in this folder." type:"path"`
}

// Run plays all runs and prints what each came to.
func (c *soakCmd) Run(ctx context.Context) error {
	plans, err := c.plans()
	if err != nil {
		return err
	}
	if c.Print {
		return printPlans(plans)
	}
	argv, build, clean, err := nodeCommand(plans[0], c.Program, c.tags())
	if err != nil {
		return err
	}
	defer clean()
	var all soak.Figures
	broke := false
	for _, s := range plans {
		o, err := c.runPlan(ctx, s, argv, build)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d, %d nodes: %s\n", s.Seed, s.Nodes.Count, o.Figures)
		all.Add(o.Figures)
		if !o.Broke() {
			continue
		}
		printBreaches(o)
		if c.Shrink && !broke {
			c.shrink(ctx, s, argv, build)
		}
		broke = true
	}
	fmt.Printf("all: %s\n", all)
	if broke {
		return errRunFailed
	}
	return nil
}

// faultTag is the build tag of nodes whose system calls fail at times.
const faultTag = "faultinject"

func (c *soakCmd) tags() string {
	if c.Faults {
		return faultTag
	}
	return ""
}

// plans are the runs to play, each read back from its printed form: what is printed is what is played.
func (c *soakCmd) plans() ([]*scenario.Scenario, error) {
	if c.Plan != "" {
		s, err := scenario.Load(c.Plan)
		if err != nil {
			return nil, err
		}
		return []*scenario.Scenario{s}, nil
	}
	var out []*scenario.Scenario
	for i := range max(1, c.Runs) {
		text, err := soak.Text(soak.Plan(soak.Options{Seed: c.Seed + uint64(i), Nodes: c.Nodes, Duration: c.Duration, Quiet: c.Quiet, Kind: c.Kind}))
		if err != nil {
			return nil, err
		}
		s, err := scenario.Parse(text)
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", c.Seed+uint64(i), err)
		}
		out = append(out, s)
	}
	return out, nil
}

func printPlans(plans []*scenario.Scenario) error {
	for _, s := range plans {
		text, err := soak.Text(s)
		if err != nil {
			return err
		}
		fmt.Println(text)
	}
	return nil
}

func (c *soakCmd) runPlan(ctx context.Context, s *scenario.Scenario, argv []string, build string) (*soak.Outcome, error) {
	dir := c.Logs
	if dir != "" {
		dir = fmt.Sprintf("%s/seed-%d", dir, s.Seed)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
	}
	var env []string
	if c.Faults {
		env = append(env, fmt.Sprintf("%s=%d", faults.SeedVariable, s.Seed))
	}
	return soak.Play(ctx, s, argv, env, dir, build)
}

// printBreaches prints the breaches of a run with their time lines.
func printBreaches(o *soak.Outcome) {
	for i, b := range o.Result.Breaches {
		if i == maxBreachesShown {
			fmt.Printf("and %d more\n", len(o.Result.Breaches)-i)
			break
		}
		fmt.Printf("rule %s broken at %.3f: %s\n", b.Rule, b.At.Seconds(), b.Text)
		soak.WriteTimeline(os.Stdout, o.Result, b)
	}
}

// shrink prints the smallest plan found that still breaks a rule.
func (c *soakCmd) shrink(ctx context.Context, s *scenario.Scenario, argv []string, build string) {
	small, err := soak.Shrink(s, func(less *scenario.Scenario) (bool, error) {
		o, err := c.runPlan(ctx, less, argv, build)
		return err == nil && o.Broke(), err
	})
	if err != nil {
		fmt.Println("shrinking ended:", err)
	}
	_ = printPlans([]*scenario.Scenario{small}) // it was printed once already
}
