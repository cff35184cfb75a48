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

// maxBreachesShown is the maximum number of breaches printed with their timelines for one run.
const maxBreachesShown = 5

// soakCmd runs plans generated from seeds, with planned stops of nodes and with faults.
type soakCmd struct {
	Seed        uint64        `default:"1" help:"Seed of the first run."`
	Runs        int           `default:"1" help:"Runs, each with the next seed."`
	Nodes       int           `help:"Nodes in each run; drawn from the seed without it."`
	Duration    time.Duration `default:"10s" help:"Of each run; ten seconds at the least."`
	Kind        string        `help:"Kind of the nodes, as in a scenario: tackhub, or a baseline that is to be caught."`
	Quiet       bool          `help:"No faults and no planned stops: a run that must be clean."`
	Withdrawals bool          `help:"Let the list withdraw all servers, or those of a zone, several times in a run, and have them back."`
	Uploads     bool          `help:"Let requests with an effect have long bodies, and half of the servers speak CoAP."`
	Devices     bool          `help:"Let CoAP devices send a part of the operations; they repeat messages and move to the next node after a rejection."`
	Pressure    bool          `help:"Nodes with 48 MB and few descriptors; slow, stopping and flooding clients, long heads, responses in lumps, repeated ids."`
	Inventory   bool          `help:"One node whose servers files move between pods, with [inventory] turned on and off, restarts and upgrades; keyed requests are reset."`
	Plan        string        `help:"Replay the plan in this file instead." type:"existingfile"`
	Print       bool          `help:"Print the plans and play nothing."`
	Shrink      bool          `help:"Make the first plan that breaks smaller, and print what is left."`
	Faults      bool          `help:"Build the nodes so that accept and connect fail at times, with every error that Linux documents."`
	Program     string        `help:"The tackhub to run. Without it: the one beside tacklab, or a fresh build." type:"path"`
	Logs        string        `help:"Keep the nodes' configurations and logs in this folder." type:"path"`
}

// Run runs all plans and prints the figures of each and of all together.
func (c *soakCmd) Run(ctx context.Context) error {
	if c.Inventory {
		return c.runInventory(ctx)
	}
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
	var total soak.Figures
	failed := false
	for _, s := range plans {
		outcome, err := c.runPlan(ctx, s, argv, build)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d, %d nodes: %s\n", s.Seed, s.Nodes.Count, outcome.Figures)
		total.Add(outcome.Figures)
		if !outcome.Failed() {
			continue
		}
		printBreaches(outcome)
		if c.Shrink && !failed {
			c.shrink(ctx, s, argv, build)
		}
		failed = true
	}
	fmt.Printf("all: %s\n", total)
	if failed {
		return errRunFailed
	}
	return nil
}

// faultTag is the build tag for nodes that inject system call errors.
const faultTag = "faultinject"

func (c *soakCmd) tags() string {
	if c.Faults {
		return faultTag
	}
	return ""
}

// plans returns the plans to run. Each generated plan is parsed from its printed form, so that the printed plan is exactly
// the one that runs.
func (c *soakCmd) plans() ([]*scenario.Scenario, error) {
	if c.Plan != "" {
		s, err := scenario.Load(c.Plan)
		if err != nil {
			return nil, err
		}
		return []*scenario.Scenario{s}, nil
	}
	var generated []*scenario.Scenario
	for i := range max(1, c.Runs) {
		text, err := soak.PlanText(soak.Plan(soak.Options{
			Seed:        c.Seed + uint64(i),
			Nodes:       c.Nodes,
			Duration:    c.Duration,
			Quiet:       c.Quiet,
			Kind:        c.Kind,
			Withdrawals: c.Withdrawals,
			Devices:     c.Devices,
			Uploads:     c.Uploads,
			Pressure:    c.Pressure,
		}))
		if err != nil {
			return nil, err
		}
		s, err := scenario.Parse(text)
		if err != nil {
			return nil, fmt.Errorf("seed %d: %w", c.Seed+uint64(i), err)
		}
		generated = append(generated, s)
	}
	return generated, nil
}

func printPlans(plans []*scenario.Scenario) error {
	for _, s := range plans {
		text, err := soak.PlanText(s)
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
	return soak.Run(ctx, s, argv, env, dir, build)
}

// printBreaches prints the first breaches of a run with their timelines.
func printBreaches(outcome *soak.Outcome) {
	for i, b := range outcome.Result.Breaches {
		if i == maxBreachesShown {
			fmt.Printf("and %d more\n", len(outcome.Result.Breaches)-i)
			break
		}
		fmt.Printf("rule %s broken at %.3fs: %s\n", b.Rule, b.At.Seconds(), b.Text)
		soak.WriteTimeline(os.Stdout, outcome.Result, b)
	}
}

// shrink prints the smallest plan found that still breaks a rule.
func (c *soakCmd) shrink(ctx context.Context, s *scenario.Scenario, argv []string, build string) {
	smallest, err := soak.Shrink(s, func(candidate *scenario.Scenario) (bool, error) {
		outcome, err := c.runPlan(ctx, candidate, argv, build)
		return err == nil && outcome.Failed(), err
	})
	if err != nil {
		fmt.Println("shrinking stopped:", err)
	}
	_ = printPlans([]*scenario.Scenario{smallest}) // encoding already succeeded for the original plan
}
