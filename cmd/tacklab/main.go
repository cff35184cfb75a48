// Command tacklab runs experiments on loopback: it simulates servers and discovery, starts nodes as processes, sends
// requests in an open loop and injects faults. An auditor then checks the run against the four rules.
//
// Exit codes: 0 if no rule was broken and every expectation was met, 1 if a rule was broken or an expectation was not met,
// 2 if the run could not be performed or is invalid.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"tackhub.example/tackhub/lab/baseline"
)

// The exit codes of the command.
const (
	exitOK = iota
	exitFailed
	exitInvalid
)

var cli struct {
	Demo     demoCmd             `cmd:"" help:"Start servers, discovery and two nodes, play half a minute with one server dying, and tell how it went."`
	Run      runCmd              `cmd:"" help:"Play one scenario and judge it."`
	Compare  compareCmd          `cmd:"" help:"Play two arms in turn and give their paired differences with confidence intervals."`
	Sweep    sweepCmd            `cmd:"" help:"Play one scenario for each value of a key."`
	Soak     soakCmd             `cmd:"" help:"Play seeded runs of planned stops under faults and audit them; prints a time line of each break."`
	Members  membersCmd          `cmd:"" help:"Measure failure detection among simulated members, on a virtual clock."`
	KnownRed knownRedCmd         `cmd:"" help:"Run CI's tests and runs; those that KNOWN-RED.txt lists may fail."`
	List     listCmd             `cmd:"" help:"Name the scenarios of a folder."`
	Schedule scheduleCmd         `cmd:"" help:"Print what a scenario will do, and the hash of its schedule."`
	Stands   simulatedServersCmd `cmd:"" help:"Start stand-in servers and a discovery for a node that you start by hand."`
	Baseline baselineCmd         `cmd:"" hidden:"" help:"Serve as a plain balancer; started by tacklab itself."`
}

// errRunFailed means that a run broke a rule or did not meet an expectation. The command has already printed which.
var errRunFailed = errors.New("short")

// baselineCmd serves as a baseline balancer. tacklab starts it as a process for each node of a baseline.
type baselineCmd struct {
	Policy string `enum:"random,least" default:"random"`
	Break  string
}

// Run serves until SIGTERM.
func (c *baselineCmd) Run() error {
	return baseline.Run(baseline.Options{Policy: c.Policy, Defect: c.Break})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	os.Exit(run(ctx))
}

func run(ctx context.Context) int {
	parser, err := kong.New(&cli, kong.Name("tacklab"),
		kong.Description("Experiments with tackhub on loopback. Exit codes: 0 ok, 1 rule broken or expectation not met, 2 run impossible or invalid."),
		kong.UsageOnError(), kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "tacklab:", err)
		return exitInvalid
	}
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "tacklab:", err)
		return exitInvalid
	}
	switch err := parsed.Run(); {
	case err == nil:
		return exitOK
	case errors.Is(err, errRunFailed):
		return exitFailed
	default:
		fmt.Fprintln(os.Stderr, "tacklab:", err)
		return exitInvalid
	}
}
