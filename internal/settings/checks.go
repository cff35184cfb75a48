package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"tackhub.example/tackhub/balancer"
)

// Fault is an error in one setting. Key is the path of the setting, in which list entries are numbered
// from 0. Text describes the error for operators and refers to a class by its name.
type Fault struct{ Key, Text string }

// Error returns the fault's text with the prefix "options: ".
func (f Fault) Error() string { return "options: " + f.Text }

// faults is an error that contains all faults of a settings object.
type faults []Fault

// Error returns the texts of all faults in one line.
func (f faults) Error() string {
	out := make([]string, len(f))
	for i := range f {
		out[i] = f[i].Error()
	}
	return strings.Join(out, "; ")
}

// Faults returns the faults that an error of Parse contains. It always returns at least one.
func Faults(err error) []Fault {
	var found faults
	if errors.As(err, &found) {
		return found
	}
	return []Fault{{Text: strings.TrimPrefix(err.Error(), "options: ")}}
}

// checkClasses returns a fault for each class whose name is empty or repeated, or whose effect or group is
// unknown. The group is checked only for idempotent classes with a key.
func checkClasses(o *options) faults {
	var out faults
	for i, c := range o.Classes {
		path := fmt.Sprintf("classes[%d].", i)
		effect, effectKnown := idempotency[c.Effect]
		if !effectKnown {
			out = append(out, Fault{path + "effect",
				fmt.Sprintf("classes[%s].effect: %q is unknown, want free, guarded or single_shot", c.Name, c.Effect)})
		}
		if c.Name == "" || slices.ContainsFunc(o.Classes[:i], func(b class) bool { return b.Name == c.Name }) {
			out = append(out, Fault{path + "name", fmt.Sprintf("classes[%d].name: %q is empty or used by an earlier class", i, c.Name)})
		}
		if _, groupKnown := dedupScopes[c.Group]; effectKnown && !groupKnown && effect == balancer.IdempotentWithKey {
			out = append(out, Fault{path + "group", fmt.Sprintf("classes[%s].group: %q is unknown, want all, zone or cell", c.Name, c.Group)})
		}
	}
	return out
}

// checkRequired returns a fault for each required setting that is missing.
func checkRequired(o *options) faults {
	var out faults
	for _, k := range []struct {
		name    string
		present bool
	}{
		{"fleet_size", o.FleetSize != nil},
		{"obligations.cold_from", o.Rules.ColdFrom != nil},
		{"obligations.cold_ms", o.Rules.ColdMs != nil},
		{"obligations.fall_ms", o.Rules.FallMs != nil},
		{"obligations.fall_multiple", o.Rules.FallMultiple != nil},
		{"obligations.stop_sending_within_ms", o.Rules.StopMs != nil},
		{"policy_limits.attempts_cap", o.Limits.Attempts != nil},
		{"discovery", o.Discovery == "subscribe" || o.Discovery == "automatic"},
	} {
		if !k.present {
			out = append(out, Fault{k.name, k.name + " is missing or has an unknown value"})
		}
	}
	return out
}

// reportModes lists the values of report.how: load reports arrive with responses, with load probes or not at
// all. The empty value means that the key is missing.
var reportModes = []string{"", "answers", "probe", "none"}

// checkRanges returns a fault for each value that is out of range. A missing key has the value 0.
func checkRanges(o *options) faults {
	var out faults
	fault := func(key, format string, args ...any) {
		out = append(out, Fault{key, key + ": " + fmt.Sprintf(format, args...)})
	}
	if !slices.Contains(reportModes, o.Report.How) {
		fault("report.how", "%q is unknown, want answers, probe or none", o.Report.How)
	}
	if n := o.Goal.NinesWanted; n != nil && !(*n > 0) {
		fault("goal.nines_wanted", "%v is out of range, want a number greater than 0", *n)
	}
	if m := o.Goal.MissAllowed; m != nil && !(*m >= 0 && *m <= 1) {
		fault("goal.miss_allowed", "%v is out of range, want a fraction from 0 to 1", *m)
	}
	for _, k := range []numericOption{{"goal.log_loss_part", o.Goal.Nines}, {"goal.tail", o.Goal.Tail}} {
		if !(k.value >= 0 && k.value <= 1) {
			fault(k.key, "%v is out of range, want a fraction from 0 to 1", k.value)
		}
	}
	for i, r := range o.Realms { // with a repeated name, the last quota would apply to all realms of that name
		if slices.ContainsFunc(o.Realms[:i], func(b realm) bool { return b.Name == r.Name }) {
			fault(fmt.Sprintf("realms[%d].name", i), "%q is used by an earlier realm", r.Name)
		}
	}
	for i, c := range o.Classes {
		if !(c.LateShare >= 0 && c.LateShare <= 1) {
			out = append(out, Fault{fmt.Sprintf("classes[%d].late_share", i),
				fmt.Sprintf("classes[%s].late_share: %v is out of range, want a fraction from 0 to 1", c.Name, c.LateShare)})
		}
	}
	for _, k := range []numericOption{{"prices.cross_zone", o.Prices.CrossZone}, {"prices.handshake", o.Prices.Handshake},
		{"prices.peer", o.Prices.Peer}, {"prices.probe", o.Prices.Probe}, {"policy_limits.cpu_us_per_request", o.Limits.CPUPerRequest},
		{"policy_limits.conn_idle_ms", o.Limits.IdleMs}, {"policy_limits.connect_timeout_ms", o.Limits.ConnectMs},
		{"obligations.answer_slack_ms", o.Rules.AnswerSlackMs}, {"obligations.must_ask_in_ms", o.Rules.MustAskMs}} {
		if k.value < 0 {
			fault(k.key, "%v is negative, want 0 or more", k.value)
		}
	}
	return out
}

// numericOption is a numeric setting with its path.
type numericOption struct {
	key   string
	value float64
}
