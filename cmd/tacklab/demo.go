package main

import (
	"context"
	_ "embed"
	"fmt"
	"time"

	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/scenario"
)

//go:embed demo.toml
var demoScenario string

// demoCmd is a newcomer's first command.
type demoCmd struct {
	Program string        `help:"The tackhub to run." type:"path"`
	For     time.Duration `default:"24s" help:"How long it plays; at least 20s, for the server to die and come back."`
}

// Run plays the scenario that is built in.
func (c *demoCmd) Run(ctx context.Context) error {
	if c.For < 20*time.Second {
		return fmt.Errorf("--for %v: the demo needs at least 20s", c.For)
	}
	s, err := scenario.Parse(demoScenario, "duration="+c.For.String())
	if err != nil {
		return err
	}
	fmt.Printf("%d servers in %d zones, %d nodes, %.0f requests a second; a server dies at 8s and comes back cold at 12s. About %v.\n",
		s.Fleet.Servers, len(s.Fleet.Zones), s.Nodes.Count, s.Load[0].Times*s.Capacity(), expectedDuration(s))
	fmt.Println("worth: the share of the requests' worth answered within its aim; excluded: servers that a node leaves out")
	r, err := runScenario(ctx, s, commonFlags{Program: c.Program}, progressPrinter(s), func(nodes []string) {
		fmt.Printf("\nTry it yourself while it runs, from another terminal:\n  curl -i -H 'X-Request-Id: %s' -H 'X-Class: still' -H 'X-Tenant: t000' -H 'X-Deadline-Ms: 400' 'http://%s/still?w=20000'\n"+
			"  curl -s http://%s/_counters\n\n", backend.AttemptID(1<<40, 0), nodes[0], nodes[0])
	})
	if err != nil {
		return err
	}
	return printOutcome(r)
}
