package soak

import (
	"bytes"
	"context"
	"fmt"

	"github.com/BurntSushi/toml"

	"tackhub.example/tackhub/lab/experiment"
	"tackhub.example/tackhub/lab/scenario"
)

// Text is a plan in the form of a scenario file.
func Text(s *scenario.Scenario) (string, error) {
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(s); err != nil {
		return "", fmt.Errorf("printing the plan of %s: %w", s.Name, err)
	}
	return out.String(), nil
}

// Outcome is what a played run came to.
type Outcome struct {
	Scenario *scenario.Scenario
	Result   *experiment.Result
	Figures  Figures
}

// Broke reports whether a rule was broken or a node crashed.
func (o *Outcome) Broke() bool { return len(o.Result.Breaches) > 0 || o.Figures.Crashes > 0 }

// Play plays a plan with the nodes that a command starts. An error says that it could not be played, or proves nothing.
func Play(ctx context.Context, s *scenario.Scenario, command, env []string, dir, build string) (*Outcome, error) {
	clients := NewClients(s)
	r, err := experiment.Run(ctx, experiment.Options{Scenario: s, Command: command, Env: env, Dir: dir, Build: build, Companion: clients})
	if err != nil {
		return nil, err
	}
	if r.VoidReason != "" {
		return nil, fmt.Errorf("%s is void: %s", s.Name, r.VoidReason)
	}
	return &Outcome{Scenario: s, Result: r, Figures: Summarize(r, clients, s.KillAfter())}, nil
}

// Shrink removes one fault after the other for as long as what is left still breaks a rule, and returns the smallest
// plan found. Breaches that depend on chance in the system may come back only in some plays.
func Shrink(s *scenario.Scenario, breaks func(*scenario.Scenario) (bool, error)) (*scenario.Scenario, error) {
	for i := len(s.Faults) - 1; i >= 0; i-- {
		less := *s
		less.Faults = append(append([]scenario.Fault(nil), s.Faults[:i]...), s.Faults[i+1:]...)
		still, err := breaks(&less)
		if err != nil {
			return s, err
		}
		if still {
			s = &less
		}
	}
	return s, nil
}
