package main

import (
	"context"
	"fmt"
	"os"

	"tackhub.example/tackhub/lab/podsoak"
	"tackhub.example/tackhub/lab/scenario"
)

// runInventory plays runs in which files move servers between pods, and prints the figures of each.
func (c *soakCmd) runInventory(ctx context.Context) error {
	argv, _, clean, err := nodeCommand(&scenario.Scenario{Nodes: scenario.Nodes{Kind: "tackhub"}}, c.Program, c.tags())
	if err != nil {
		return err
	}
	defer clean()
	failed := false
	for i := range max(1, c.Runs) {
		seed := c.Seed + uint64(i)
		outcome, err := c.runInventorySeed(ctx, seed, argv)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d, 1 nodes: %s\n", seed, outcome)
		for _, breach := range outcome.Breaches[:min(len(outcome.Breaches), maxBreachesShown)] {
			fmt.Printf("rule twice broken: %s\n", breach)
		}
		failed = failed || len(outcome.Breaches) > 0
	}
	if failed {
		return errRunFailed
	}
	return nil
}

// runInventorySeed plays one run in a folder of its own, which stays if logs are kept.
func (c *soakCmd) runInventorySeed(ctx context.Context, seed uint64, argv []string) (podsoak.Outcome, error) {
	dir := fmt.Sprintf("%s/seed-%d", c.Logs, seed)
	if c.Logs == "" {
		temporary, err := os.MkdirTemp("", "podsoak")
		if err != nil {
			return podsoak.Outcome{}, err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return podsoak.Outcome{}, err
	}
	return podsoak.Run(ctx, podsoak.Options{Seed: seed, Duration: c.Duration, Program: argv, Dir: dir, Quiet: c.Quiet})
}
