package simadapter

import (
	"bytes"
	"strings"
	"testing"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/settings"
)

const helloOptions = `{"classes":[{"aim_ms":300,"dedup_window_ms":500,"effect":"free","group":"all",` +
	`"hard_limit_ms":900,"late_share":0,"name":"look","streamed":false,"worth":1},{"aim_ms":300,` +
	`"dedup_window_ms":500,"effect":"guarded","group":"cell","hard_limit_ms":900,"name":"store","worth":2}],` +
	`"client_habits":{"marks_retry":true},"counted_by":"request","discovery":"automatic","fleet_size":2,` +
	`"goal":{"whole":1},"me":0,"obligations":{"answer_slack_ms":5,"cold_from":0.3,"cold_ms":9000,"fall_ms":1000,` +
	`"fall_multiple":3,"stop_sending_within_ms":1500},"policy_limits":{"attempts_cap":3,"may_cancel":true,` +
	`"probes":false,"retry_after":true,"max_retry_after_ms":2000,"second_copies":true},` +
	`"report":{"how":"none","names":["concurrent"]},"tick_ms":1,"weights":"none","zone":"a","zones":["a"],"news":1}`

func serve(t *testing.T, lines ...string) (string, string, error) {
	t.Helper()
	var out, errs bytes.Buffer
	err := NewInstances(&errs).Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), errs.String(), err
}

func hello(options string) string {
	return `{"now_ms":100,"serial":1,"parts":[{"node_id":4,"items":[{"what":"hello","nonce64":9,"options":` + options + `},` +
		`{"what":"pool","ref":0,"members_list":[{"block":0,"readiness":"Running","capacity_hint":1,"backend":"h:1",` +
		`"az":"a","start_time_ms":null,"machine":"m"}]},{"what":"announce","revision":1,"form":"cached","ref":0}]}]}`
}

func TestServeGoldenExchange(t *testing.T) {
	out, errs, err := serve(t, `{"now_ms":1,"serial":0,"parts":[]}`, hello(helloOptions),
		`{"now_ms":110,"serial":2,"parts":[{"node_id":4,"items":[{"what":"arrival","job":77,"size_hint_ms":null,`+
			`"kind":"look","object":null,"retry":false,"project":0,"expires_ms":700,"mutates":false},`+
			`{"what":"unheard_of","x":1}]}]}`,
		`{"now_ms":130,"serial":3,"parts":[{"node_id":4,"items":[{"what":"attempt_end","job":77,"no_more":true,`+
			`"rtt_ms":20,"backend":"h:1","rc":"success","n":0,"feedback":null}]},{"node_id":9,"items":[{"what":"dropped","job":5}]}]}`,
		`{"now_ms":140,"serial":4,"parts":[{"node_id":4,"items":[{"what":"destroy"},{"what":"arrival","job":78,`+
			`"kind":"look","expires_ms":900}]}]}`)
	if err != nil || errs != "" {
		t.Fatalf("error = %v, error output = %q, want none", err, errs)
	}
	want := []string{
		`{"serial":0,"parts":[]}`,
		`{"serial":1,"parts":[]}`,
		`{"serial":2,"parts":[{"node_id":4,"decisions":[{"what":"call_out","job":77,"stop_at_ms":700,"backend":"h:1"}]}]}`,
		`{"serial":3,"parts":[]}`,
		`{"serial":4,"parts":[]}`,
	}
	if got := strings.Split(strings.TrimSpace(out), "\n"); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("replies\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestArrivalOfUnknownClassIsRejected(t *testing.T) {
	out, _, err := serve(t, hello(helloOptions),
		`{"now_ms":110,"serial":2,"parts":[{"node_id":4,"items":[{"what":"announce","form":"full","ref":3},`+
			`{"what":"arrival","job":1,"kind":"unnamed","expires_ms":700}]}]}`)
	if err != nil || !strings.Contains(out, `{"what":"busy","job":1}`) {
		t.Errorf("error = %v, replies = %s, want a busy reply to job 1", err, out)
	}
}

func TestServeFailsOnMalformedLine(t *testing.T) {
	for _, line := range []string{"", "[]", "nonsense", `{"now_ms":"x","parts":[]}`, `{"now_ms":1}`,
		`{"now_ms":1,"serial":1,"parts":[{"node_id":1,"items":[{"what":7}]}]}`} {
		out, _, err := serve(t, `{"now_ms":1,"serial":0,"parts":[]}`, line)
		if err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: error = %v, want an error that names line 2", line, err)
		}
		if out != "{\"serial\":0,\"parts\":[]}\n" {
			t.Errorf("%q: output = %q, want only the reply to line 1", line, out)
		}
	}
}

func TestHelloWithInvalidSettingsFails(t *testing.T) {
	for key, change := range map[string][2]string{
		"fleet_size":               {`"fleet_size":2,`, ``},
		"obligations.cold_from":    {`"cold_from":0.3,`, ``},
		"obligations.fall_ms":      {`"fall_ms":1000,`, ``},
		"policy_limits.attempts":   {`"attempts_cap":3,`, ``},
		"discovery":                {`"automatic"`, `"carrier pigeon"`},
		"classes[look].effect":     {`"effect":"free"`, `"effect":"odd"`},
		"classes[store].group":     {`"group":"cell"`, `"group":"moon"`},
		"number of nodes":          {`"fleet_size":2,`, `"fleet_size":0,`},
		"cold starting share":      {`"cold_from":0.3,`, `"cold_from":7,`},
		"stop_sending_within_ms":   {`,"stop_sending_within_ms":1500`, ``},
		"aim and hard limit":       {`"aim_ms":300,"dedup`, `"aim_ms":0,"dedup`},
		"a keyed class needs a wi": {`"dedup_window_ms":500,"effect":"guarded"`, `"dedup_window_ms":0,"effect":"guarded"`},
	} {
		options := strings.Replace(helloOptions, change[0], change[1], 1)
		if options == helloOptions {
			t.Fatalf("%s: the replacement did not change the options", key)
		}
		out, errs, err := serve(t, hello(options))
		if err != nil || !strings.Contains(out, `"what":"internal_error"`) || !strings.Contains(errs, key) {
			t.Errorf("%s: error = %v, reply = %s, error output = %q, want an internal_error that names the key", key, err, out, errs)
		}
	}
}

func TestLoadReportFiguresAreFoundByName(t *testing.T) {
	options := strings.Replace(helloOptions, `"how":"none","names":["concurrent"]`,
		`"how":"answers","names":["never_heard","depth","concurrent"]`, 1)
	parsed, err := settings.Parse([]byte(options))
	if err != nil || parsed.InFlightIndex != 2 || !parsed.Balancer.LoadReports {
		t.Fatalf("in-flight index = %d, load reports = %v, error = %v, want 2, true, nil", parsed.InFlightIndex, parsed.Balancer.LoadReports, err)
	}
	for _, c := range []struct {
		feedback []float64
		valid    bool
	}{{[]float64{9, 8, 3}, true}, {[]float64{9}, false}, {nil, false}} {
		event := Translate(&Event{Type: "sampled", ResultCode: "success", Feedback: c.feedback}, nil, ReportIndexes{parsed.InFlightIndex, -1})
		report := event.(balancer.LoadProbeCompleted).Report
		if report.Valid != c.valid || c.valid && report.InFlight != 3 {
			t.Errorf("feedback %v: report = %+v, want valid = %v, with 3 in flight if valid", c.feedback, report, c.valid)
		}
	}
}

// An instance must give the same actions whether it shares the process with other instances or not.
func TestInstancesAreIndependent(t *testing.T) {
	hellos := `{"now_ms":100,"serial":1,"parts":[{"node_id":4,"items":[{"what":"hello","nonce64":9,"options":` + helloOptions +
		`}]},{"node_id":5,"items":[{"what":"hello","nonce64":9,"options":` + helloOptions + `}]}]}`
	arrival := `{"node_id":%,"items":[{"what":"pool","ref":0,"members_list":[{"block":0,"readiness":"Running",` +
		`"capacity_hint":1,"backend":"h:1","az":"a"}]},{"what":"announce","form":"full","ref":0},` +
		`{"what":"arrival","job":%,"kind":"look","expires_ms":700}]}`
	both, _, err := serve(t, hellos, `{"now_ms":110,"serial":2,"parts":[`+strings.ReplaceAll(arrival, "%", "4")+`,`+
		strings.ReplaceAll(arrival, "%", "5")+`]}`)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"4", "5"} {
		alone, _, err := serve(t, hellos, `{"now_ms":110,"serial":2,"parts":[`+strings.ReplaceAll(arrival, "%", id)+`]}`)
		if err != nil {
			t.Fatal(err)
		}
		part := alone[strings.LastIndex(alone, `{"node_id":`+id) : len(alone)-3]
		if !strings.Contains(both, part) {
			t.Errorf("instance %s: replies with both instances = %s, want them to contain the reply of the instance alone: %s", id, both, part)
		}
	}
}
