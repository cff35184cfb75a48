// Package settings reads the operators' settings object, the same on the simulator's wire and in a node's
// configuration file, into the decision module's settings.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"tackhub.example/tackhub/balancer"
)

type class struct {
	Name       string  `json:"name"`
	AimMs      float64 `json:"aim_ms"`
	AimStretch float64 `json:"aim_stretch"`
	WindowMs   float64 `json:"dedup_window_ms"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	HardMs     float64 `json:"hard_limit_ms"`
	LateShare  float64 `json:"late_share"`
	Streamed   bool    `json:"streamed"`
	Worth      float64 `json:"worth"`
}

type realm struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

type options struct {
	Classes []class `json:"classes"`
	Habits  struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	CountedBy string `json:"counted_by"`
	Discovery string `json:"discovery"`
	Family    struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"family_info"`
	FleetSize *int `json:"fleet_size"`
	Goal      struct {
		Whole       float64  `json:"whole"`
		WorstClass  float64  `json:"worst_class"`
		WorstTenant float64  `json:"worst_tenant"`
		WorstWindow float64  `json:"worst_window"`
		Tail        float64  `json:"tail"`
		MissAllowed *float64 `json:"miss_allowed"`
		Nines       float64  `json:"log_loss_part"`
		NinesWanted *float64 `json:"nines_wanted"`
	} `json:"goal"`
	Me     int `json:"me"`
	Limits struct {
		Attempts      *int    `json:"attempts_cap"`
		IdleMs        float64 `json:"conn_idle_ms"`
		ConnectMs     float64 `json:"connect_timeout_ms"`
		MaxRetryAfter float64 `json:"max_retry_after_ms"`
		CPUPerRequest float64 `json:"cpu_us_per_request"`
		MayCancel     bool    `json:"may_cancel"`
		Peers         bool    `json:"peers"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
		SecondCopies  bool    `json:"second_copies"`
	} `json:"policy_limits"`
	Rules struct {
		AnswerSlackMs float64  `json:"answer_slack_ms"`
		ColdFrom      *float64 `json:"cold_from"`
		ColdMs        *float64 `json:"cold_ms"`
		FallMs        *float64 `json:"fall_ms"`
		FallMultiple  *float64 `json:"fall_multiple"`
		MustAskMs     float64  `json:"must_ask_in_ms"`
		StopMs        *float64 `json:"stop_sending_within_ms"`
	} `json:"obligations"`
	OverShare float64 `json:"over_share_worth"`
	Prices    struct {
		CrossZone float64 `json:"cross_zone"`
		Handshake float64 `json:"handshake"`
		LateFail  float64 `json:"late_fail"`
		Peer      float64 `json:"peer"`
		Probe     float64 `json:"probe"`
	} `json:"prices"`
	Realms []realm `json:"realms"`
	Report struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"report"`
	TickMs  float64 `json:"tick_ms"`
	Weights string  `json:"weights"`
	Zone    string  `json:"zone"`
}

var effects = map[string]balancer.Idempotency{"free": balancer.Idempotent, "guarded": balancer.IdempotentWithKey, "single_shot": balancer.NonIdempotent}

var groups = map[string]balancer.DedupScope{"all": balancer.DedupAcrossFleet, "zone": balancer.DedupWithinZone, "cell": balancer.DedupWithinCell}

// Settings are the module's settings and the few further figures that whoever carries its decisions out needs.
type Settings struct {
	Balancer          balancer.Settings
	InFlightIndex     int             // place of the requests in flight in a load report; -1 where none is to be had
	QueuedIndex       int             // place of the requests that wait, likewise
	ReportFields      []string        // the names of a report's figures, in order
	ServerIdleTimeout balancer.Millis // servers close a connection that has stood idle for this time
	ResponseSlack     balancer.Millis // how late after the client's deadline a final answer still counts
}

// Fault is one thing that is wrong with the settings. Key is where it stands, with places in lists as numbers; the text
// names it as whoever wrote the file does, with a class by its name.
type Fault struct{ Key, Text string }

// Error is the fault's text.
func (f Fault) Error() string { return "options: " + f.Text }

// faults are all that is wrong, told in one line.
type faults []Fault

// Error tells every fault.
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

// Parse reads the settings object. A key that a rule needs and that is missing or not known is an error,
// never a guess.
func Parse(raw json.RawMessage) (Settings, error) {
	var o options
	if err := json.Unmarshal(raw, &o); err != nil {
		return Settings{}, fmt.Errorf("options: %w", err)
	}
	if wrong := slices.Concat(required(&o), classes(&o), ranges(&o)); len(wrong) > 0 {
		return Settings{}, wrong
	}
	set := decisions(&o)
	loadAt, waitingAt := slices.Index(o.Report.Names, "concurrent"), slices.Index(o.Report.Names, "depth")
	if o.Report.How == "none" || o.Report.How == "probe" && !o.Limits.Probes { // nobody may ask for them
		loadAt, waitingAt = -1, -1
	}
	set.LoadReports = loadAt >= 0
	set.ReportsFromProbesOnly = o.Report.How == "probe"
	return Settings{Balancer: set, InFlightIndex: loadAt, QueuedIndex: waitingAt, ReportFields: o.Report.Names, ServerIdleTimeout: o.Limits.IdleMs,
		ResponseSlack: o.Rules.AnswerSlackMs}, nil
}

// decisions are the settings that the module itself takes.
func decisions(o *options) balancer.Settings {
	s := balancer.Settings{
		Node: o.Me, Nodes: *o.FleetSize, Zone: o.Zone, OverQuotaFraction: o.OverShare,
		Goal: balancer.ObjectiveWeights{Overall: o.Goal.Whole, WorstWindow: o.Goal.WorstWindow, WorstClass: o.Goal.WorstClass,
			WorstTenant: o.Goal.WorstTenant, TailLatency: o.Goal.Tail, Availability: o.Goal.Nines},
		WeightByWork: o.CountedBy == "work", WatchEndpoints: o.Discovery == "subscribe",
		CapacitiesListed: o.Weights == "nominal" || o.Weights == "rough", ClientsMarkRetries: o.Habits.MarksRetry,
		DrainGrace: *o.Rules.StopMs, SlowStart: balancer.SlowStart{InitialCapacity: *o.Rules.ColdFrom,
			Duration: *o.Rules.ColdMs, OverloadFactor: *o.Rules.FallMultiple, OverloadWindow: *o.Rules.FallMs}, WatchDeadline: o.Rules.MustAskMs,
		MaxAttempts: *o.Limits.Attempts, CancelAllowed: o.Limits.MayCancel, ProbesAllowed: o.Limits.Probes,
		RetryAfterAllowed: o.Limits.RetryAfter, MaxRetryAfter: o.Limits.MaxRetryAfter,
		ConnectTimeout: o.Limits.ConnectMs, Tick: o.TickMs,
		Prices: balancer.Prices{CrossZone: o.Prices.CrossZone, Probe: o.Prices.Probe, Gossip: o.Prices.Peer,
			Handshake: o.Prices.Handshake}, GossipAllowed: o.Limits.Peers,
		KeyAffinity: o.Family.WarmKeys, CPUPerRequest: o.Limits.CPUPerRequest,
	}
	for _, c := range o.Classes {
		s.Classes = append(s.Classes, balancer.Class{Name: c.Name, Idempotency: effects[c.Effect], DedupScope: groups[c.Group], DedupWindow: c.WindowMs,
			LatencyObjective: c.AimMs, ObjectivePerWork: c.AimStretch, TotalTimeout: c.HardMs, PriorityWeight: c.Worth, LateFraction: c.LateShare})
	}
	for _, t := range o.Realms {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return s
}

// classes names every class whose effect or group is not known.
func classes(o *options) faults {
	var out faults
	for i, c := range o.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		effect, ok := effects[c.Effect]
		if !ok {
			out = append(out, Fault{at + "effect", fmt.Sprintf("classes[%s].effect: %q is not known", c.Name, c.Effect)})
		}
		if c.Name == "" || slices.ContainsFunc(o.Classes[:i], func(b class) bool { return b.Name == c.Name }) {
			out = append(out, Fault{at + "name", fmt.Sprintf("classes[%d].name: %q is empty or comes twice", i, c.Name)})
		}
		if _, known := groups[c.Group]; ok && !known && effect == balancer.IdempotentWithKey {
			out = append(out, Fault{at + "group", fmt.Sprintf("classes[%s].group: %q is not known", c.Name, c.Group)})
		}
	}
	return out
}

// required names every missing key that a rule needs.
func required(o *options) faults {
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

// ranges names every figure that cannot be. What is missing is as it was before the key was known.
func ranges(o *options) faults {
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
