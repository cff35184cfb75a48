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

// demoCmd runs a built-in scenario, as an introduction for new users.
type demoCmd struct {
	Program string        `help:"The tackhub to run." type:"path"`
	For     time.Duration `default:"24s" help:"How long it plays; at least 20s, for the server to die and come back."`
}

// Run runs the built-in scenario and prints its progress and result.
func (c *demoCmd) Run(ctx context.Context) error {
	if c.For < 20*time.Second {
		return fmt.Errorf("--for %v: must be at least 20s", c.For)
	}
	s, err := scenario.Parse(demoScenario, "duration="+c.For.String())
	if err != nil {
		return err
	}
	fmt.Printf("%d servers in %d zones, %d nodes, %.0f requests per second; a server crashes at 8s and restarts in slow start at 12s. The demo takes about %v.\n",
		s.Fleet.Servers, len(s.Fleet.Zones), s.Nodes.Count, s.Load[0].CapacityMultiple*s.Capacity(), expectedDuration(s))
	fmt.Println("worth: fraction of the requests' priority weight served within the latency objective; excluded: servers ejected by a node")
	r, err := runScenario(ctx, s, commonFlags{Program: c.Program}, progressPrinter(s), func(nodes []string) {
		fmt.Printf("\nTry it yourself while it runs, from another terminal:\n  curl -i -H 'X-Request-Id: %s' -H 'X-Class: still' -H 'X-Tenant: t000' -H 'X-Deadline-Ms: 400' 'http://%s/still?w=20000'\n"+
			"  curl -s http://%s/_counters\n\n", backend.AttemptID(1<<40, 0), nodes[0], nodes[0])
	})
	if err != nil {
		return err
	}
	return printOutcome(r)
}
