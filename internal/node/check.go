package node

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/config"
	"tackhub.example/tackhub/internal/operator"
)

// Check reads configuration and operator file as a start would, and prints what would run, or every fault. It tells
// whether a start would succeed.
func Check(out io.Writer, getenv func(string) string, edge string) bool {
	c, faults := config.Check(getenv)
	file, err := loadEdge(edge)
	faults = append(faults, edgeFaults(edge, err)...)
	if len(faults) == 0 {
		if _, err := balancer.New(c.Settings.Balancer, c.Seed); err != nil {
			faults = append(faults, operator.Diagnostic{File: getenv("ROUTER_CONFIG"), Key: "settings", Message: err.Error()})
		}
	}
	if len(faults) > 0 {
		for _, f := range faults {
			_, _ = fmt.Fprintln(out, f)
		}
		_, _ = fmt.Fprintf(out, "%d faults: a start would fail\n", len(faults))
		return false
	}
	describe(out, c, file)
	return true
}

func edgeFaults(path string, err error) []operator.Diagnostic {
	var faults operator.Diagnostics
	switch {
	case err == nil:
		return nil
	case errors.As(err, &faults):
		return faults
	}
	return []operator.Diagnostic{{File: path, Message: err.Error()}}
}

// describe prints the effective configuration.
func describe(out io.Writer, c config.Config, file *operator.File) {
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	set := c.Settings.Balancer
	say("node      %s, node %d of %d, zone %q", c.Name, set.Node, set.Nodes, set.Zone)
	say("listen    %s", c.Listen)
	say("discovery %s, %d servers known", c.Discovery, len(c.Known.Members))
	if c.Operator != "" {
		say("operator  %s", c.Operator)
	}
	say("limits    %v cores, %v MB, %d descriptors", c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets)
	say("rules     drain grace %v ms, cold from %v for %v ms, falls at %v times for %v ms, %d attempts",
		set.DrainGrace, set.SlowStart.InitialCapacity, set.SlowStart.Duration, set.SlowStart.OverloadFactor, set.SlowStart.OverloadWindow, set.MaxAttempts)
	for _, k := range set.Classes {
		say("class     %-16s %-6s aim %v ms, hard limit %v ms, worth %v", k.Name, effectName(k), k.LatencyObjective, k.TotalTimeout, k.PriorityWeight)
	}
	say("tenants   %d", len(set.Tenants))
	say("peers     %s", onOff(len(c.Peers) > 0, fmt.Sprintf("%d nodes", len(c.Peers))))
	say("watch     %s", onOff(c.Watch != nil, "other settings are watched"))
	if file == nil {
		say("edge      no operator file")
	} else {
		say("edge      %s", file.Path)
	}
	for _, p := range Parts() {
		o := file.Options(p.Section.Name)
		if o == nil {
			say("  [%s] off: %s", p.Section.Name, p.Section.Summary)
			continue
		}
		say("  [%s] on: %s", p.Section.Name, strings.Join(operator.Describe(o), ", "))
	}
}

func onOff(on bool, what string) string {
	if on {
		return what
	}
	return "off"
}

func effectName(c balancer.Class) string {
	return map[balancer.Idempotency]string{balancer.Idempotent: "safe", balancer.IdempotentWithKey: "keyed", balancer.NonIdempotent: "unsafe"}[c.Idempotency]
}
