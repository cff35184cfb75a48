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

// Check reads configuration and operator file as a start would, and prints what would run, or every
// fault. It reports whether a start would succeed.
func Check(out io.Writer, getenv func(string) string, operatorFile string) bool {
	c, faults := config.Check(getenv)
	file, err := loadOperatorFile(operatorFile)
	faults = append(faults, operatorFileFaults(operatorFile, err)...)
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

func operatorFileFaults(path string, err error) []operator.Diagnostic {
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
	describeNode(say, c)
	describeSettings(say, c.Settings.Balancer)
	say("peers     %s", onOrOff(len(c.GossipNodes) > 0, fmt.Sprintf("%d nodes", len(c.GossipNodes))))
	say("watch     %s", onOrOff(c.Shadow != nil, "other settings are watched"))
	describeSubsystems(say, file)
}

func describeNode(say func(format string, args ...any), c config.Config) {
	set := c.Settings.Balancer
	say("node      %s, node %d of %d, zone %q", c.Name, set.Node, set.Nodes, set.Zone)
	say("listen    %s", c.Listen)
	say("discovery %s, %d servers known", c.Discovery, len(c.Known.Members))
	if c.AdminAddress != "" {
		say("operator  %s", c.AdminAddress)
	}
	say("limits    %v cores, %v MB, %d descriptors", c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets)
}

func describeSettings(say func(format string, args ...any), set balancer.Settings) {
	slowStart := set.SlowStart
	say("rules     drain grace %v ms, cold from %v for %v ms, falls at %v times for %v ms, %d attempts", set.DrainGrace,
		slowStart.InitialCapacity, slowStart.Duration, slowStart.OverloadFactor, slowStart.OverloadWindow, set.MaxAttempts)
	for _, class := range set.Classes {
		say("class     %-16s %-6s aim %v ms, hard limit %v ms, worth %v", class.Name, idempotencyName(class),
			class.LatencyObjective, class.TotalTimeout, class.PriorityWeight)
	}
	say("tenants   %d", len(set.Tenants))
}

func describeSubsystems(say func(format string, args ...any), file *operator.File) {
	if file == nil {
		say("edge      no operator file")
	} else {
		say("edge      %s", file.Path)
	}
	for _, p := range Subsystems() {
		section := p.Section
		options := file.Options(section.Name)
		if options == nil {
			say("  [%s] off: %s", section.Name, section.Summary)
			continue
		}
		say("  [%s] on: %s", section.Name, strings.Join(operator.Describe(options), ", "))
	}
}

func onOrOff(on bool, what string) string {
	if on {
		return what
	}
	return "off"
}

func idempotencyName(c balancer.Class) string {
	switch c.Idempotency {
	case balancer.Idempotent:
		return "safe"
	case balancer.IdempotentWithKey:
		return "keyed"
	case balancer.NonIdempotent:
		return "unsafe"
	}
	return ""
}
