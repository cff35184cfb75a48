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

// Check validates the configuration and the operator file in the same way as Serve. It prints the
// effective configuration if there are no faults, and every fault otherwise. It reports whether there are
// no faults.
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
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	describeNode(printf, c)
	describeSettings(printf, c.Settings.Balancer)
	printf("peers     %s", onOrOff(len(c.GossipNodes) > 0, fmt.Sprintf("%d nodes", len(c.GossipNodes))))
	printf("watch     %s", onOrOff(c.Shadow != nil, "shadow settings are evaluated"))
	describeSubsystems(printf, file)
}

func describeNode(printf func(format string, args ...any), c config.Config) {
	settings := c.Settings.Balancer
	printf("node      %s, node %d of %d, zone %q", c.Name, settings.Node, settings.Nodes, settings.Zone)
	printf("listen    %s", c.Listen)
	printf("discovery %s, %d servers known", c.Discovery, len(c.Known.Members))
	if c.AdminAddress != "" {
		printf("operator  %s", c.AdminAddress)
	}
	printf("limits    %v cores, %v MB, %d descriptors", c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets)
}

func describeSettings(printf func(format string, args ...any), settings balancer.Settings) {
	slowStart := settings.SlowStart
	printf("rules     drain grace %v ms, slow start from %v for %v ms, overload at %v times for %v ms, %d attempts", settings.DrainGrace,
		slowStart.InitialCapacity, slowStart.Duration, slowStart.OverloadFactor, slowStart.OverloadWindow, settings.MaxAttempts)
	for _, class := range settings.Classes {
		printf("class     %-16s %-6s aim %v ms, hard limit %v ms, worth %v", class.Name, idempotencyName(class),
			class.LatencyObjective, class.TotalTimeout, class.PriorityWeight)
	}
	printf("tenants   %d", len(settings.Tenants))
}

func describeSubsystems(printf func(format string, args ...any), file *operator.File) {
	if file == nil {
		printf("edge      no operator file")
	} else {
		printf("edge      %s", file.Path)
	}
	for _, definition := range Subsystems() {
		section := definition.Section
		options := file.Options(section.Name)
		if options == nil {
			printf("  [%s] off: %s", section.Name, section.Summary)
			continue
		}
		printf("  [%s] on: %s", section.Name, strings.Join(operator.Describe(options), ", "))
	}
}

func onOrOff(on bool, description string) string {
	if on {
		return description
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
