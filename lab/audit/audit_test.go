package audit

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{Grace: 1500 * ms, Late: 55 * ms}

// clean is a run of three operations that keeps every rule.
func clean() *Record {
	return &Record{
		Tries: []Try{
			{ID: "a", Op: 1, Effect: Unsafe, Sent: 0, Expires: 300 * ms, Ended: 40 * ms, Ending: Served, Answers: 1, Body: "a"},
			{ID: "b1", Op: 2, Effect: Keyed, Sent: 10 * ms, Expires: 310 * ms, Ended: 20 * ms, Ending: Refused, Answers: 1},
			{ID: "b2", Op: 2, Effect: Keyed, Sent: 25 * ms, Expires: 310 * ms, Ended: 90 * ms, Ending: Served, Answers: 1, Body: "b2"},
			{ID: "c", Op: 3, Effect: Safe, Node: 1, Sent: 0, Expires: 300 * ms, Ended: 350 * ms, Ending: Failed, Answers: 1},
		},
		Runs: []Run{
			{ID: "a", Op: 1, Effect: Unsafe, Server: "s0", At: 10 * ms},
			{ID: "b2", Op: 2, Effect: Keyed, Server: "s1", At: 30 * ms},
			{ID: "c", Op: 3, Effect: Safe, Server: "s0", At: 10 * ms},
			{ID: "c", Op: 3, Effect: Safe, Server: "s1", At: 80 * ms},
		},
		Receipts: []Receipt{{ID: "a", Server: "s0", At: 5 * ms}, {ID: "b2", Server: "s1", At: 28 * ms},
			{ID: "c", Node: 1, Server: "s0", At: 5 * ms}, {ID: "c", Node: 1, Server: "s1", At: 75 * ms}},
		Told: []Told{{Node: 1, Server: "s1", At: 0}, {Node: 0, Server: "s9", Closed: true, At: 0}},
	}
}

func TestCleanRunHasNoBreach(t *testing.T) {
	if got := clean().Judge(limits); len(got) != 0 {
		t.Errorf("breaches in a clean run: %v", got)
	}
}

// Each defect put into the clean run is seen, and as nothing else.
func TestEachBreachIsSeen(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		spoil      func(*Record)
	}{
		{"no answer", RuleLost, func(r *Record) { r.Tries[3].Ending, r.Tries[3].Answers = Lost, 0 }},
		{"late answer", RuleLate, func(r *Record) { r.Tries[3].Ended = 356 * ms }},
		{"two answers", RuleAnswers, func(r *Record) { r.Tries[0].Answers = 2 }},
		{"another's answer", RuleSwapped, func(r *Record) { r.Tries[0].Body = "b2" }},
		{"an answer nobody made", RuleSwapped, func(r *Record) { r.Tries[0].Body = "" }},
		{"unsafe twice", RuleTwice, func(r *Record) {
			r.Runs = append(r.Runs, Run{ID: "a", Op: 1, Effect: Unsafe, Server: "s3", At: 20 * ms})
		}},
		{"keyed twice", RuleTwice, func(r *Record) {
			r.Runs = append(r.Runs, Run{ID: "b2", Op: 2, Effect: Keyed, Server: "s5", Pod: 1, At: 60 * ms})
		}},
		{"refused though run", RuleHarm, func(r *Record) { r.Tries[0].Ending = Refused }},
		{"sent after the answer", RuleAfter, func(r *Record) {
			r.Receipts = append(r.Receipts, Receipt{ID: "c", Node: 1, Server: "s2", At: 500 * ms})
		}},
		{"sent after the drain", RuleDrain, func(r *Record) {
			r.Told = []Told{{Node: 1, Server: "s1", Closed: true, At: 75*ms - 1556*ms}}
		}},
		{"crossed its connection's end, and sent on", RuleLost, func(r *Record) { r.Tries[3].Ending = Crossed }},
		{"sent for one that had left", RuleGone, func(r *Record) {
			r.Tries[3].Ending, r.Tries[3].Ended = Left, 75*ms-101*ms
		}},
		{"too much time told", RuleTime, func(r *Record) { r.Receipts[0].Deadline = 300*ms - 5*ms + 151*ms }},
		{"cold server pushed", RuleCold, func(r *Record) { r.Falls = []Fall{{"s4", 70 * ms}} }},
	} {
		r := clean()
		c.spoil(r)
		if got := r.Judge(limits); len(got) != 1 || got[0].Rule != c.rule {
			t.Errorf("%s: breaches %v, want one of %s", c.name, got, c.rule)
		}
	}
}

func TestWhatIsNobodysFault(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"killed with it in hand": func(r *Record) {
			r.Tries[3].Ending = Lost
			r.Outages = []Outage{{Node: 1, From: 100 * ms, To: 900 * ms}}
		},
		"stopped for a while": func(r *Record) {
			r.Tries[3].Ended = 700 * ms
			r.Outages = []Outage{{Node: 1, From: 100 * ms, To: 650 * ms}}
		},
		"told in the grace": func(r *Record) {
			r.Told = append(r.Told, Told{Node: 1, Server: "s1", Closed: true, At: 75*ms - 1400*ms})
		},
		"taken back": func(r *Record) {
			r.Told = []Told{{Node: 1, Server: "s1", Closed: true, At: -9000 * ms}, {Node: 1, Server: "s1", At: -5 * ms}}
		},
		"the client left": func(r *Record) { r.Tries[3].Ending = Left },
		"held up for a moment": func(r *Record) {
			r.Tries[3].Ended = 500 * ms
			r.Pauses = []Pause{{Node: 1, From: 100 * ms, To: 250 * ms}}
		},
		"crossed its connection's end": func(r *Record) {
			r.Tries = append(r.Tries, Try{ID: "d", Op: 4, Sent: 10 * ms, Expires: 310 * ms, Ended: 12 * ms, Ending: Crossed})
		},
		"held back on the lab's own link": func(r *Record) {
			r.Receipts[3].At, r.Receipts[3].Deadline = 500*ms, 225*ms
			r.Stalls = []Stall{{Server: "s1", From: 75 * ms, To: 500 * ms}}
		},
		"as much time as is left": func(r *Record) { r.Receipts[0].Deadline = 300*ms - 5*ms },
	} {
		r := clean()
		change(r)
		if got := r.Judge(limits); len(got) != 0 {
			t.Errorf("%s: %v", name, got)
		}
	}
	r := clean()
	r.Tries[3].Ending = Lost
	r.Outages = []Outage{{Node: 0, From: 100 * ms, To: 900 * ms}}
	if got := r.Judge(limits); len(got) != 1 {
		t.Errorf("another node's kill excused a lost request: %v", got)
	}
}
