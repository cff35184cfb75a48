package soak

import (
	"bytes"
	"context"
	"fmt"

	"github.com/BurntSushi/toml"

	"tackhub.example/tackhub/lab/experiment"
	"tackhub.example/tackhub/lab/scenario"
)

// PlanText returns a plan in the format of a scenario file.
func PlanText(s *scenario.Scenario) (string, error) {
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(s); err != nil {
		return "", fmt.Errorf("cannot encode the plan of %s: %w", s.Name, err)
	}
	return out.String(), nil
}

// Outcome is the result of a run.
type Outcome struct {
	Scenario *scenario.Scenario
	Result   *experiment.Result
	Figures  Figures
}

// Failed reports whether the run breached a rule or a node crashed.
func (o *Outcome) Failed() bool { return len(o.Result.Breaches) > 0 || o.Figures.Crashes > 0 }

// Run runs a plan with the nodes that a command starts. It returns an error if the plan could not be run or the run is invalid.
func Run(ctx context.Context, s *scenario.Scenario, command, env []string, dir, build string) (*Outcome, error) {
	clients := NewClients(s)
	r, err := experiment.Run(ctx, experiment.Options{Scenario: s, Command: command, Env: env, Dir: dir, Build: build, Companion: clients})
	if err != nil {
		return nil, err
	}
	if r.InvalidReason != "" {
		return nil, fmt.Errorf("run %s is invalid: %s", s.Name, r.InvalidReason)
	}
	return &Outcome{Scenario: s, Result: r, Figures: Summarize(r, clients, s.KillAfter())}, nil
}

// Shrink tries to remove each fault in turn, and keeps a removal if the remaining plan still breaches a rule. It returns the
// smallest plan found. A breach that depends on timing may not occur in every run of the same plan.
func Shrink(s *scenario.Scenario, breaks func(*scenario.Scenario) (bool, error)) (*scenario.Scenario, error) {
	for i := len(s.Faults) - 1; i >= 0; i-- {
		smaller := *s
		smaller.Faults = append(append([]scenario.Fault(nil), s.Faults[:i]...), s.Faults[i+1:]...)
		stillBreaks, err := breaks(&smaller)
		if err != nil {
			return s, err
		}
		if stillBreaks {
			s = &smaller
		}
	}
	return s, nil
}
