package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// check returns an error that names the first invalid key of the scenario, or nil.
func (s *Scenario) check() error {
	fleet, nodes := s.Fleet, s.Nodes
	for _, rule := range []struct {
		invalid     bool
		key         string
		requirement string
	}{
		{s.Name == "", "name", "is missing"},
		{s.Duration <= 0, "duration", "must be above 0"},
		{s.Warmup < 0, "warmup", "must not be negative"},
		{fleet.Servers < 1 || fleet.Servers > 2000, "fleet.servers", "must be 1 to 2000"},
		{len(fleet.Zones) == 0, "fleet.zones", "needs at least one zone"},
		{fleet.PodSize < 1, "fleet.pod_size", "must be at least 1"},
		{fleet.Cores < 1, "fleet.cores", "must be at least 1"},
		{fleet.Speed <= 0, "fleet.speed", "must be above 0"},
		{fleet.SpeedSpread < 0 || fleet.SpeedSpread >= 1, "fleet.speed_spread", "must be at least 0 and below 1"},
		{fleet.InitialSpeed <= 0 || fleet.InitialSpeed > 1, "fleet.cold_from", "must be above 0 and at most 1"},
		{fleet.SlowdownFactor < 1, "fleet.slow_times", "must be at least 1"},
		{nodes.Count < 1 || nodes.Count > 64, "nodes.count", "must be 1 to 64"},
		{!slices.Contains(nodeKinds, nodes.Kind), "nodes.kind", "must be one of " + strings.Join(nodeKinds, ", ")},
		{!slices.Contains(Defects, nodes.Defect), "nodes.break", "must be one of " + strings.Join(Defects[1:], ", ")},
		{nodes.Defect != "" && nodes.Kind == "tackhub", "nodes.break", "is supported only if nodes.kind is a baseline (random or least)"},
		{len(s.Classes) == 0, "class", "needs at least one class"},
		{len(s.Load) == 0, "load", "needs at least one step"},
		{s.Clients.Tenants < 1, "clients.tenants", "must be at least 1"},
		{!slices.Contains(retryPolicies, s.Clients.Retry), "clients.retry", "must be one of " + strings.Join(retryPolicies, ", ")},
		{s.Clients.Coap < 0 || s.Clients.Coap > 1, "clients.coap", "must be 0 to 1"},
		{s.Clients.Devices < 1 || s.Clients.Devices > 1000, "clients.devices", "must be 1 to 1000"},
		{s.Clients.Duplicates < 0 || s.Clients.Duplicates > 8, "clients.dup", "must be 0 to 8"},
		{fleet.Coap < 0 || fleet.Coap > 1, "fleet.coap", "must be 0 to 1"},
		{fleet.Coap > 0 && s.Inventory == nil, "fleet.coap", "needs an [inventory], because discovery lists only HTTP servers"},
		{s.Clients.CancelFraction < 0 || s.Clients.CancelFraction > 1, "clients.leave", "must be 0 to 1"},
		{s.Expect.Window <= 0, "expect.window", "must be above 0"},
	} {
		if rule.invalid {
			return fmt.Errorf("%s %s", rule.key, rule.requirement)
		}
	}
	if s.Inventory != nil && !s.Inventory.valid() {
		return fmt.Errorf("inventory: form %q must be csv or yaml, every %v must be above 0, bad %v and saving %v must not be negative and add up to at most 1",
			s.Inventory.Format, s.Inventory.RewriteInterval, s.Inventory.InvalidFraction, s.Inventory.InPlaceFraction)
	}
	for name, link := range map[string]Impairment{"clients": s.Links.Clients, "servers": s.Links.Servers, "discovery": s.Links.Discovery} {
		if link.Loss < 0 || link.Loss >= 1 || link.Delay < 0 || link.Jitter < 0 || link.Bandwidth < 0 || !slices.Contains(directions, link.Direction) {
			return fmt.Errorf("link.%s: loss must be at least 0 and below 1, no value may be negative, and direction must be both, up or down", name)
		}
	}
	if err := s.checkMesh(); err != nil {
		return err
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	return s.checkLoadAndFaults()
}

// valid reports whether the format is known, the interval between rewrites is above 0, and the fractions are not negative
// and add up to at most 1.
func (i *Inventory) valid() bool {
	knownFormat := i.Format == "csv" || i.Format == "yaml"
	validFractions := i.InvalidFraction >= 0 && i.InPlaceFraction >= 0 && i.InvalidFraction+i.InPlaceFraction <= 1
	return knownFormat && validFractions && i.RewriteInterval > 0
}

// checkClasses returns an error that names the first invalid class, or nil.
func (s *Scenario) checkClasses() error {
	seen := map[string]bool{}
	for i, class := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		switch {
		case class.Name == "" || strings.ContainsAny(class.Name, "/ ?#"):
			return fmt.Errorf("%s.name %q is the first segment of request paths: it must not be empty or contain /, ?, # or a space",
				key, class.Name)
		case seen[class.Name]:
			return fmt.Errorf("%s.name %q is already used by another class", key, class.Name)
		case !slices.Contains(effectNames, class.Effect):
			return fmt.Errorf("%s.effect %q must be one of %s", key, class.Effect, strings.Join(effectNames, ", "))
		case !slices.Contains(groupNames, class.Group):
			return fmt.Errorf("%s.group %q must be all, zone or cell", key, class.Group)
		case !slices.Contains(distributions, class.Dist):
			return fmt.Errorf("%s.dist %q must be one of %s", key, class.Dist, strings.Join(distributions[1:], ", "))
		case class.Share <= 0 || class.PriorityWeight < 0 || class.Work <= 0:
			return fmt.Errorf("%s: share %v and work %v must be above 0, and worth %v must not be negative",
				key, class.Share, class.Work, class.PriorityWeight)
		case class.LatencyObjective <= 0 || class.Deadline < class.LatencyObjective:
			return fmt.Errorf("%s: aim %v must be above 0 and at most the deadline %v", key, class.LatencyObjective, class.Deadline)
		case class.Body < 0 || class.Body > 64<<10:
			return fmt.Errorf("%s.body %d must be 0 to 65536", key, class.Body)
		case class.Effect == EffectKeyed && class.Window <= 0:
			return fmt.Errorf("%s.window %v must be above 0 for a keyed class", key, class.Window)
		}
		seen[class.Name] = true
	}
	return nil
}

// checkLoadAndFaults returns an error that names the first invalid load step or fault, or nil.
func (s *Scenario) checkLoadAndFaults() error {
	end := s.Warmup + s.Duration
	previousAt := time.Duration(-1)
	for i, step := range s.Load {
		if step.At <= previousAt && i > 0 || step.At < 0 {
			return fmt.Errorf("load[%d].at %v must not be negative and must be later than the previous step", i, step.At)
		}
		if step.Rate < 0 || step.CapacityMultiple < 0 || step.Burst < 0 || step.Rate > 0 && step.CapacityMultiple > 0 {
			return fmt.Errorf("load[%d]: set either rate or times, not both; rate, times and burst must not be negative", i)
		}
		previousAt = step.At
	}
	for i, fault := range s.Faults {
		switch {
		case !slices.Contains(FaultKinds, fault.Kind):
			return fmt.Errorf("fault[%d].kind %q is not one of %s", i, fault.Kind, joinKinds(FaultKinds))
		case fault.At < 0 || fault.At >= end:
			return fmt.Errorf("fault[%d].at %v must not be negative and must be before the end of the run at %v", i, fault.At, end)
		case fault.Kind == FaultSlow && fault.Factor <= 0:
			return fmt.Errorf("fault[%d].times %v must be above 0", i, fault.Factor)
		case fault.Kind == FaultNodePause && (fault.For <= 0 || fault.For > MaxPause):
			return fmt.Errorf("fault[%d].for %v must be above 0 and at most %v", i, fault.For, MaxPause)
		case slices.ContainsFunc(fault.FollowUpSignals, func(name string) bool { return !slices.Contains(followUpSignals, name) }):
			return fmt.Errorf("fault[%d].again %q may contain only %s", i, fault.FollowUpSignals, strings.Join(followUpSignals, ", "))
		case !slices.Contains(directions, fault.Direction):
			return fmt.Errorf("fault[%d].way %q must be both, up or down", i, fault.Direction)
		case fault.Kind == FaultErrors && (fault.Fraction <= 0 || fault.Fraction > 1):
			return fmt.Errorf("fault[%d].share %v must be above 0 and at most 1", i, fault.Fraction)
		}
		if _, err := s.faultEvents(fault, nil); err != nil {
			return fmt.Errorf("fault[%d].target: %w", i, err)
		}
	}
	return nil
}

var (
	effectNames     = []string{EffectSafe, EffectKeyed, EffectUnsafe}
	groupNames      = []string{"", "all", "zone", "cell"}
	distributions   = []string{"", "fixed", "exponential", "lognormal"}
	retryPolicies   = []string{"none", "now", "backoff", "follow", "ignore"}
	nodeKinds       = []string{"tackhub", "random", "least"}
	directions      = []string{"", "both", "up", "down"}
	followUpSignals = []string{"TERM", "INT", "HUP", "USR1"}

	// Defects lists the intentional defects of a baseline, which serve to test the auditor. The empty string means no defect.
	Defects = []string{"", "double-send", "lost-answer", "late-drain", "swapped-answer", "late-answer", "cold-push", "refuse-run"}
)
