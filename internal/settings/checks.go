package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"tackhub.example/tackhub/balancer"
)

// Fault is one thing that is wrong with the settings. Key is where it stands, with places in lists
// as numbers; the text names it as whoever wrote the file does, with a class by its name.
type Fault struct{ Key, Text string }

// Error is the fault's text.
func (f Fault) Error() string { return "options: " + f.Text }

// faults are all that is wrong, as one error.
type faults []Fault

// Error names every fault, in one line.
func (f faults) Error() string {
	out := make([]string, len(f))
	for i := range f {
		out[i] = f[i].Error()
	}
	return strings.Join(out, "; ")
}

// All are the faults that an error of Parse holds, at least one.
func All(err error) []Fault {
	var many faults
	if errors.As(err, &many) {
		return many
	}
	return []Fault{{Text: strings.TrimPrefix(err.Error(), "options: ")}}
}

// checkClasses names every class whose effect or group is not known.
func checkClasses(o *options) faults {
	var out faults
	for i, c := range o.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		effect, ok := idempotency[c.Effect]
		if !ok {
			out = append(out, Fault{at + "effect", fmt.Sprintf("classes[%s].effect: %q is not known", c.Name, c.Effect)})
		}
		if c.Name == "" || slices.ContainsFunc(o.Classes[:i], func(b class) bool { return b.Name == c.Name }) {
			out = append(out, Fault{at + "name", fmt.Sprintf("classes[%d].name: %q is empty or comes twice", i, c.Name)})
		}
		if _, known := dedupScopes[c.Group]; ok && !known && effect == balancer.IdempotentWithKey {
			out = append(out, Fault{at + "group", fmt.Sprintf("classes[%s].group: %q is not known", c.Name, c.Group)})
		}
	}
	return out
}

// checkRequired names every missing key that a rule needs.
func checkRequired(o *options) faults {
	var out faults
	for _, k := range []struct {
		name string
		ok   bool
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
		if !k.ok {
			out = append(out, Fault{k.name, k.name + " is missing or not known"})
		}
	}
	return out
}

// reportForms are where load reports come along; empty stands for a file that names none.
var reportForms = []string{"", "answers", "probe", "none"}

// checkRanges names every value that is out of range. A missing key counts as 0.
func checkRanges(o *options) faults {
	var out faults
	fault := func(key, format string, args ...any) {
		out = append(out, Fault{key, key + ": " + fmt.Sprintf(format, args...)})
	}
	if !slices.Contains(reportForms, o.Report.How) {
		fault("report.how", "%q is not known", o.Report.How)
	}
	if n := o.Goal.NinesWanted; n != nil && !(*n > 0) {
		fault("goal.nines_wanted", "%v nines cannot be wanted, they must be over 0", *n)
	}
	if m := o.Goal.MissAllowed; m != nil && !(*m >= 0 && *m <= 1) {
		fault("goal.miss_allowed", "%v is not a share from 0 to 1", *m)
	}
	for _, k := range []figure{{"goal.log_loss_part", o.Goal.Nines}, {"goal.tail", o.Goal.Tail}} {
		if !(k.value >= 0 && k.value <= 1) {
			fault(k.key, "%v is not a share from 0 to 1", k.value)
		}
	}
	for i, r := range o.Realms { // of two by one name the later one's quota would hold for both
		if slices.ContainsFunc(o.Realms[:i], func(b realm) bool { return b.Name == r.Name }) {
			fault(fmt.Sprintf("realms[%d].name", i), "%q comes twice", r.Name)
		}
	}
	for i, c := range o.Classes {
		if !(c.LateShare >= 0 && c.LateShare <= 1) {
			out = append(out, Fault{fmt.Sprintf("classes[%d].late_share", i),
				fmt.Sprintf("classes[%s].late_share: %v is not a share from 0 to 1", c.Name, c.LateShare)})
		}
	}
	for _, k := range []figure{{"prices.cross_zone", o.Prices.CrossZone}, {"prices.handshake", o.Prices.Handshake}, {"prices.peer", o.Prices.Peer},
		{"prices.probe", o.Prices.Probe}, {"policy_limits.cpu_us_per_request", o.Limits.CPUPerRequest},
		{"policy_limits.conn_idle_ms", o.Limits.IdleMs}, {"policy_limits.connect_timeout_ms", o.Limits.ConnectMs},
		{"obligations.answer_slack_ms", o.Rules.AnswerSlackMs}, {"obligations.must_ask_in_ms", o.Rules.MustAskMs}} {
		if k.value < 0 {
			fault(k.key, "%v is under 0", k.value)
		}
	}
	return out
}

// figure is a number and where it stands.
type figure struct {
	key   string
	value float64
}
