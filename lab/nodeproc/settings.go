package nodeproc

import (
	"fmt"
	"strconv"
	"time"

	"tackhub.example/tackhub/lab/scenario"
)

// configuration returns the content of a node's configuration file.
func (g *Group) configuration(node int, addr string) map[string]any {
	s := g.options.Scenario
	return map[string]any{
		"name":      "n" + strconv.Itoa(node),
		"listen":    addr,
		"discovery": g.options.Backends.Discovery(node),
		"seed":      fmt.Sprintf("%016x", s.Seed<<8+uint64(node)+1),
		"limits":    map[string]any{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"known":     map[string]any{"revision": 0, "complete": true, "members": g.options.Backends.InitialMembers(node)},
		"settings":  Settings(s, node),
	}
}

// Settings returns the settings that a scenario specifies for one node, as an object of the node's configuration file.
func Settings(s *scenario.Scenario, node int) map[string]any {
	reportForm := "none"
	if s.Fleet.Reports {
		reportForm = "answers"
	}
	return map[string]any{
		"classes":       classSettings(s),
		"client_habits": map[string]any{"marks_retry": s.Clients.MarksRetry},
		"counted_by":    "request",
		"discovery":     "automatic",
		"fleet_size":    s.Nodes.Count,
		"me":            node,
		"goal":          map[string]any{"whole": 0.6, "worst_window": 0.4},
		"obligations": map[string]any{
			"answer_slack_ms":        5,
			"cold_from":              s.Fleet.InitialSpeed,
			"cold_ms":                millis(s.Fleet.SlowStartDuration),
			"fall_ms":                millis(s.Fleet.CollapseWindow),
			"fall_multiple":          s.Fleet.CollapseMultiple,
			"stop_sending_within_ms": millis(s.Nodes.DrainGrace),
		},
		"policy_limits": map[string]any{
			"attempts_cap":       s.Nodes.Attempts,
			"conn_idle_ms":       60000,
			"connect_timeout_ms": 150,
			"may_cancel":         true,
			"probes":             s.Fleet.Probes,
			"retry_after":        true,
			"max_retry_after_ms": 2000,
			"second_copies":      false,
		},
		"report":           map[string]any{"how": reportForm, "names": []string{"concurrent", "queue", "util"}},
		"tick_ms":          1,
		"weights":          "none",
		"zone":             s.NodeZone(node),
		"zones":            s.Fleet.Zones,
		"realms":           tenantSettings(s),
		"over_share_worth": 0.2,
	}
}

// effectSetting maps the effect of a class in a scenario to its name in the settings.
var effectSetting = map[string]string{scenario.EffectSafe: "free", scenario.EffectKeyed: "guarded", scenario.EffectUnsafe: "single_shot"}

func classSettings(s *scenario.Scenario) []map[string]any {
	classes := []map[string]any{}
	for _, c := range s.Classes {
		group := c.Group
		if group == "" {
			group = "all"
		}
		classes = append(classes, map[string]any{
			"name":            c.Name,
			"aim_ms":          millis(c.LatencyObjective),
			"hard_limit_ms":   millis(c.Deadline),
			"dedup_window_ms": millis(c.Window),
			"effect":          effectSetting[c.Effect],
			"group":           group,
			"late_share":      0,
			"streamed":        false,
			"worth":           c.PriorityWeight,
		})
	}
	return classes
}

// tenantSettings returns the tenants' quotas and fractions. It is empty if the scenario has no quota.
func tenantSettings(s *scenario.Scenario) []map[string]any {
	tenants := []map[string]any{}
	if s.Clients.Quota <= 0 {
		return tenants
	}
	for i, fraction := range s.TenantShares() {
		tenants = append(tenants, map[string]any{
			"name":        fmt.Sprintf("t%03d", i),
			"quota_per_s": fraction * s.Clients.Quota,
			"share":       fraction,
		})
	}
	return tenants
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
