package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// check names the first thing in the scenario that cannot be.
func (s *Scenario) check() error {
	f, n := s.Fleet, s.Nodes
	for _, c := range []struct {
		bad bool
		key string
		why string
	}{
		{s.Name == "", "name", "is missing"},
		{s.Duration <= 0, "duration", "must be above 0"},
		{s.Warmup < 0, "warmup", "must not be negative"},
		{f.Servers < 1 || f.Servers > 2000, "fleet.servers", "must be 1 to 2000"},
		{len(f.Zones) == 0, "fleet.zones", "needs at least one zone"},
		{f.PodSize < 1, "fleet.pod_size", "must be at least 1"},
		{f.Cores < 1, "fleet.cores", "must be at least 1"},
		{f.Speed <= 0, "fleet.speed", "must be above 0"},
		{f.SpeedSpread < 0 || f.SpeedSpread >= 1, "fleet.speed_spread", "must be 0 to 1"},
		{f.ColdSpeed <= 0 || f.ColdSpeed > 1, "fleet.cold_from", "must be above 0 and at most 1"},
		{f.SlowFactor < 1, "fleet.slow_times", "must be at least 1"},
		{n.Count < 1 || n.Count > 64, "nodes.count", "must be 1 to 64"},
		{!slices.Contains(nodeKinds, n.Kind), "nodes.kind", "must be one of " + strings.Join(nodeKinds, ", ")},
		{!slices.Contains(Defects, n.Defect), "nodes.break", "must be one of " + strings.Join(Defects[1:], ", ")},
		{n.Defect != "" && n.Kind == "tackhub", "nodes.break", "goes with a baseline only"},
		{len(s.Classes) == 0, "class", "needs at least one class"},
		{len(s.Load) == 0, "load", "needs at least one step"},
		{s.Clients.Tenants < 1, "clients.tenants", "must be at least 1"},
		{!slices.Contains(retries, s.Clients.Retry), "clients.retry", "must be one of " + strings.Join(retries, ", ")},
		{s.Clients.Coap < 0 || s.Clients.Coap > 1, "clients.coap", "must be 0 to 1"},
		{s.Clients.Devices < 1 || s.Clients.Devices > 1000, "clients.devices", "must be 1 to 1000"},
		{s.Clients.Duplicates < 0 || s.Clients.Duplicates > 8, "clients.dup", "must be 0 to 8"},
		{f.Coap < 0 || f.Coap > 1, "fleet.coap", "must be 0 to 1"},
		{f.Coap > 0 && s.Inventory == nil, "fleet.coap", "needs an [inventory]: discovery lists HTTP servers alone"},
		{s.Clients.CancelShare < 0 || s.Clients.CancelShare > 1, "clients.leave", "must be 0 to 1"},
		{s.Expect.Window <= 0, "expect.window", "must be above 0"},
	} {
		if c.bad {
			return fmt.Errorf("%s %s", c.key, c.why)
		}
	}
	if s.Inventory != nil && !s.Inventory.valid() {
		return fmt.Errorf("inventory: a form of csv or yaml, a time between rewrites, and shares from 0 to 1 are needed")
	}
	for name, l := range map[string]Impairment{"clients": s.Links.Clients, "servers": s.Links.Servers, "discovery": s.Links.Discovery} {
		if l.Loss < 0 || l.Loss >= 1 || l.Delay < 0 || l.Jitter < 0 || l.Bandwidth < 0 || !slices.Contains(directions, l.Direction) {
			return fmt.Errorf("link.%s: a loss of 0 to 1, no negative figure, and a direction of both, up or down are needed", name)
		}
	}
	if err := s.checkMesh(); err != nil {
		return err
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	return s.checkTimes()
}

// valid reports whether the form is known, the time between rewrites is above 0, and the shares are not negative and add up
// to at most 1.
func (i *Inventory) valid() bool {
	knownForm := i.Form == "csv" || i.Form == "yaml"
	validShares := i.Bad >= 0 && i.InPlace >= 0 && i.Bad+i.InPlace <= 1
	return knownForm && validShares && i.Every > 0
}

// checkClasses names the first class that cannot be.
func (s *Scenario) checkClasses() error {
	seen := map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("class[%d]", i)
		switch {
		case c.Name == "" || strings.ContainsAny(c.Name, "/ ?#"):
			return fmt.Errorf("%s.name %q cannot be the first part of a path", at, c.Name)
		case seen[c.Name]:
			return fmt.Errorf("%s.name %q comes twice", at, c.Name)
		case !slices.Contains(effectNames, c.Effect):
			return fmt.Errorf("%s.effect must be one of %s", at, strings.Join(effectNames, ", "))
		case !slices.Contains(groupNames, c.Group):
			return fmt.Errorf("%s.group must be all, zone or cell", at)
		case !slices.Contains(distributions, c.Dist):
			return fmt.Errorf("%s.dist must be one of %s", at, strings.Join(distributions[1:], ", "))
		case c.Share <= 0 || c.Worth < 0 || c.Work <= 0:
			return fmt.Errorf("%s needs a share and work above 0 and no negative worth", at)
		case c.Aim <= 0 || c.Deadline < c.Aim:
			return fmt.Errorf("%s needs an aim above 0 and a deadline no shorter", at)
		case c.Body < 0 || c.Body > 64<<10:
			return fmt.Errorf("%s.body must be 0 to 65536", at)
		case c.Effect == EffectKeyed && c.Window <= 0:
			return fmt.Errorf("%s.window must be above 0 for a keyed class", at)
		}
		seen[c.Name] = true
	}
	return nil
}

// checkTimes names the first step or fault that cannot be.
func (s *Scenario) checkTimes() error {
	end := s.Warmup + s.Duration
	last := time.Duration(-1)
	for i, l := range s.Load {
		if l.At <= last && i > 0 || l.At < 0 {
			return fmt.Errorf("load[%d].at must come after the step before", i)
		}
		if l.Rate < 0 || l.Times < 0 || l.Burst < 0 || l.Rate > 0 && l.Times > 0 {
			return fmt.Errorf("load[%d] needs a rate or times, not both, and nothing negative", i)
		}
		last = l.At
	}
	for i, f := range s.Faults {
		switch {
		case !slices.Contains(FaultKinds, f.Kind):
			return fmt.Errorf("fault[%d].kind %q is not one of %s", i, f.Kind, joinKinds(FaultKinds))
		case f.At < 0 || f.At >= end:
			return fmt.Errorf("fault[%d].at lies outside the run of %v", i, end)
		case f.Kind == FaultSlow && f.Factor <= 0:
			return fmt.Errorf("fault[%d].times must be above 0", i)
		case f.Kind == FaultNodePause && (f.For <= 0 || f.For > MaxPause):
			return fmt.Errorf("fault[%d].for must be above 0 and at most %v", i, MaxPause)
		case slices.ContainsFunc(f.FollowUpSignals, func(name string) bool { return !slices.Contains(signals, name) }):
			return fmt.Errorf("fault[%d].again may name %s", i, strings.Join(signals, ", "))
		case !slices.Contains(directions, f.Direction):
			return fmt.Errorf("fault[%d].way must be both, up or down", i)
		case f.Kind == FaultErrors && (f.Share <= 0 || f.Share > 1):
			return fmt.Errorf("fault[%d].share must be above 0 and at most 1", i)
		}
		if _, err := s.targets(f, nil); err != nil {
			return fmt.Errorf("fault[%d].target: %w", i, err)
		}
	}
	return nil
}

var (
	effectNames   = []string{EffectSafe, EffectKeyed, EffectUnsafe}
	groupNames    = []string{"", "all", "zone", "cell"}
	distributions = []string{"", "fixed", "exponential", "lognormal"}
	retries       = []string{"none", "now", "backoff", "follow", "ignore"}
	nodeKinds     = []string{"tackhub", "random", "least"}
	directions    = []string{"", "both", "up", "down"}
	signals       = []string{"TERM", "INT", "HUP", "USR1"}

	// Defects are what a baseline can be broken by, to try the auditor.
	Defects = []string{"", "double-send", "lost-answer", "late-drain", "swapped-answer", "late-answer", "cold-push", "refuse-run"}
)
