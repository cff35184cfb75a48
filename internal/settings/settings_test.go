package settings

import (
	"strings"
	"testing"

	"tackhub.example/tackhub/balancer"
)

const validSettings = `{"classes":[{"name":"look","effect":"free","aim_ms":300,"hard_limit_ms":900,"worth":1},
 {"name":"store","effect":"guarded","group":"zone","aim_ms":300,"hard_limit_ms":900,"dedup_window_ms":500,"worth":2}],
 "client_habits":{"marks_retry":true},"counted_by":"work","discovery":"subscribe","fleet_size":3,"me":1,"goal":{"whole":1},
 "obligations":{"answer_slack_ms":5,"cold_from":0.3,"cold_ms":9000,"fall_ms":1000,"fall_multiple":3,
 "must_ask_in_ms":10000,"stop_sending_within_ms":1500},"policy_limits":{"attempts_cap":4,"conn_idle_ms":10000,
 "connect_timeout_ms":250,"may_cancel":true,"probes":true},"realms":[{"name":"t","quota_per_s":5}],
 "report":{"how":"answers","names":["depth","concurrent"]},"weights":"rough","zone":"a","unheard_of":{"x":1}}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	got := s.Balancer
	if got.Nodes != 3 || got.Node != 1 || !got.WatchEndpoints || !got.WeightByWork || !got.CapacitiesListed ||
		!got.ClientsMarkRetries || !got.LoadReports || got.MaxAttempts != 4 || got.MaxPollInterval != 10000 || got.DrainGrace != 1500 || got.ConnectTimeout != 250 {
		t.Errorf("balancer settings = %+v, want those of validSettings", got)
	}
	if len(got.Classes) != 2 || got.Classes[1].Idempotency != balancer.IdempotentWithKey || got.Classes[1].DedupScope != balancer.DedupWithinZone {
		t.Errorf("classes = %+v, want 2, the second idempotent with a key within a zone", got.Classes)
	}
	if s.InFlightIndex != 1 || s.ServerIdleTimeout != 10000 || s.ResponseSlack != 5 {
		t.Errorf("in-flight index = %d, idle timeout = %v ms, response slack = %v ms, want 1, 10000 and 5",
			s.InFlightIndex, s.ServerIdleTimeout, s.ResponseSlack)
	}
}

func TestParseNamesMissingKeys(t *testing.T) {
	for key, change := range map[string][2]string{
		"fleet_size":             {`"fleet_size":3,`, ``},
		"cold_from":              {`"cold_from":0.3,`, ``},
		"attempts_cap":           {`"attempts_cap":4,`, ``},
		"stop_sending_within_ms": {`"stop_sending_within_ms":1500`, `"other":1`},
		"discovery":              {`"discovery":"subscribe",`, ``},
	} {
		if _, err := Parse([]byte(strings.Replace(validSettings, change[0], change[1], 1))); err == nil ||
			!strings.Contains(err.Error(), key) {
			t.Errorf("without %s: error = %v, want one that names the key", key, err)
		}
	}
	if s, err := Parse([]byte(strings.Replace(validSettings, `"answers"`, `"none"`, 1))); err != nil || s.Balancer.LoadReports || s.InFlightIndex != -1 {
		t.Errorf("without load reports: settings = %+v, error = %v, want LoadReports false, InFlightIndex -1 and no error", s, err)
	}
}

func TestParseReadsAndValidatesOptionalKeys(t *testing.T) {
	parseWith := func(old, replacement string) (Settings, error) {
		return Parse([]byte(strings.Replace(validSettings, old, replacement, 1)))
	}
	s, err := parseWith(`"goal":{"whole":1}`, `"goal":{"whole":1,"log_loss_part":0.2,"nines_wanted":2},
 "family_info":{"warm_keys":true},"prices":{"cross_zone":0.13,"handshake":0.02,"peer":0.01,"probe":0.008}`)
	if got := s.Balancer; err != nil || got.Goal.Availability != 0.2 || !got.KeyAffinity || got.Prices.CrossZone != 0.13 || got.Prices.Handshake != 0.02 ||
		got.Prices.Gossip != 0.01 || got.Prices.Probe != 0.008 || got.ReportsFromProbesOnly || got.GossipAllowed || got.CPUPerRequest != 0 {
		t.Errorf("with optional keys: balancer settings = %+v, error = %v, want the values of these keys and no error", got, err)
	}
	s, err = parseWith(`"probes":true}`, `"probes":true,"peers":true,"cpu_us_per_request":10}`)
	if err != nil || !s.Balancer.GossipAllowed || s.Balancer.CPUPerRequest != 10 || s.QueuedIndex != 0 {
		t.Errorf("with gossip: settings = %+v, error = %v, want GossipAllowed, CPUPerRequest 10, QueuedIndex 0 and no error", s, err)
	}
	if s, err = parseWith(`"how":"answers"`, `"how":"probe"`); err != nil || !s.Balancer.ReportsFromProbesOnly || !s.Balancer.LoadReports {
		t.Errorf("with reports from probes: balancer settings = %+v, error = %v, want ReportsFromProbesOnly, LoadReports and no error", s.Balancer, err)
	}
	// If load reports come only with load probes and probes are forbidden, no reports arrive. The
	// balancer must not wait for them.
	if s, err = parseWith(`"probes":true},"realms":[{"name":"t","quota_per_s":5}],
 "report":{"how":"answers"`, `"probes":false},"realms":[{"name":"t","quota_per_s":5}],
 "report":{"how":"probe"`); err != nil || s.Balancer.LoadReports || s.InFlightIndex != -1 || s.Balancer.ProbesAllowed {
		t.Errorf("with reports from forbidden probes: balancer settings = %+v, error = %v, want no load reports, InFlightIndex -1 and no error", s.Balancer, err)
	}
	for key, change := range map[string][2]string{
		"goal.nines_wanted":     {`"whole":1}`, `"whole":1,"nines_wanted":0}`},
		"goal.log_loss_part":    {`"whole":1}`, `"whole":1,"log_loss_part":1.5}`},
		"goal.miss_allowed":     {`"whole":1}`, `"whole":1,"miss_allowed":-1}`},
		"report.how":            {`"how":"answers"`, `"how":"letters"`},
		"classes[0].late_share": {`"worth":1}`, `"worth":1,"late_share":2}`},
		"prices.peer":           {`"zone":"a"`, `"zone":"a","prices":{"peer":-1}`},
		"classes[1].name":       {`"name":"store"`, `"name":"look"`},
		"classes[0].name":       {`"name":"look",`, ``},
		"realms[1].name":        {`"quota_per_s":5}`, `"quota_per_s":5},{"name":"t","quota_per_s":9}`},
		"policy_limits.connect": {`"connect_timeout_ms":250`, `"connect_timeout_ms":-1`},
		"obligations.answer":    {`"answer_slack_ms":5`, `"answer_slack_ms":-5`},
		"policy_limits.cpu_us":  {`"probes":true}`, `"probes":true,"cpu_us_per_request":-1}`},
	} {
		_, err := parseWith(change[0], change[1])
		if err == nil || !strings.HasPrefix(Faults(err)[0].Key, key) {
			t.Errorf("%s: error = %v, want a fault with this key first", key, err)
		}
	}
}
