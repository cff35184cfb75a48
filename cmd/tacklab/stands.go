package main

import (
	"context"
	"fmt"
	"time"

	"tackhub.example/tackhub/lab/backend"
	"tackhub.example/tackhub/lab/scenario"
)

// simulatedServersCmd starts simulated servers and discovery for a node that the user starts manually.
type simulatedServersCmd struct {
	Discovery string   `default:"127.0.0.1:8500" help:"Where the discovery is to listen."`
	Servers   int      `default:"6" help:"How many servers."`
	Set       []string `help:"Set a key of the scenario, such as fleet.cores=2." placeholder:"KEY=VALUE" sep:"none"`
}

// Run serves until the command is interrupted.
func (c *simulatedServersCmd) Run(ctx context.Context) error {
	overrides := append([]string{"nodes.count=1", fmt.Sprintf("fleet.servers=%d", c.Servers), "fault=[]"}, c.Set...)
	s, err := scenario.Parse(demoScenario, overrides...)
	if err != nil {
		return err
	}
	sched, err := s.Schedule()
	if err != nil {
		return err
	}
	fleet, err := backend.New(s, sched.Speeds, time.Now())
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.Listen(0, c.Discovery); err != nil {
		return err
	}
	fmt.Printf("%d servers, discovery at %s; interrupt to stop\n", c.Servers, c.Discovery)
	<-ctx.Done()
	return nil
}
