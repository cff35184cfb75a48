package audit

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{DrainGrace: 1500 * ms, ResponseSlack: 55 * ms}

// clean is a run of three operations that keeps every rule.
func clean() *Record {
	return &Record{
		Attempts: []Attempt{
			{ID: "a", Operation: 1, Effect: Unsafe, Sent: 0, Deadline: 300 * ms, Ended: 40 * ms, Outcome: Served, Responses: 1, BodyID: "a"},
			{ID: "b1", Operation: 2, Effect: Keyed, Sent: 10 * ms, Deadline: 310 * ms, Ended: 20 * ms, Outcome: Rejected, Responses: 1},
			{ID: "b2", Operation: 2, Effect: Keyed, Sent: 25 * ms, Deadline: 310 * ms, Ended: 90 * ms, Outcome: Served, Responses: 1, BodyID: "b2"},
			{ID: "c", Operation: 3, Effect: Safe, Node: 1, Sent: 0, Deadline: 300 * ms, Ended: 350 * ms, Outcome: Failed, Responses: 1},
		},
		Executions: []Execution{
			{ID: "a", Operation: 1, Effect: Unsafe, Server: "s0", At: 10 * ms},
			{ID: "b2", Operation: 2, Effect: Keyed, Server: "s1", At: 30 * ms},
			{ID: "c", Operation: 3, Effect: Safe, Server: "s0", At: 10 * ms},
			{ID: "c", Operation: 3, Effect: Safe, Server: "s1", At: 80 * ms},
		},
		Receipts: []Receipt{{ID: "a", Server: "s0", At: 5 * ms}, {ID: "b2", Server: "s1", At: 28 * ms},
			{ID: "c", Node: 1, Server: "s0", At: 5 * ms}, {ID: "c", Node: 1, Server: "s1", At: 75 * ms}},
		ListUpdates: []ListUpdate{{Node: 1, Server: "s1", At: 0}, {Node: 0, Server: "s9", Withdrawn: true, At: 0}},
	}
}

// A run in which every rule was kept has no breach.
func TestCleanRunHasNoBreach(t *testing.T) {
	if got := clean().Judge(limits); len(got) != 0 {
		t.Errorf("breaches in a clean run: %v", got)
	}
}

// Each defect put into the clean run is seen under its own rule and no other.
func TestEachBreachIsSeen(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		spoil      func(*Record)
	}{
		{"no answer", RuleUnanswered, func(r *Record) { r.Attempts[3].Outcome, r.Attempts[3].Responses = Lost, 0 }},
		{"late answer", RuleLate, func(r *Record) { r.Attempts[3].Ended = 356 * ms }},
		{"two answers", RuleDuplicateResponse, func(r *Record) { r.Attempts[0].Responses = 2 }},
		{"another's answer", RuleWrongResponse, func(r *Record) { r.Attempts[0].BodyID = "b2" }},
		{"an answer nobody made", RuleWrongResponse, func(r *Record) { r.Attempts[0].BodyID = "" }},
		{"unsafe twice", RuleDuplicateExecution, func(r *Record) {
			r.Executions = append(r.Executions, Execution{ID: "a", Operation: 1, Effect: Unsafe, Server: "s3", At: 20 * ms})
		}},
		{"keyed twice", RuleDuplicateExecution, func(r *Record) {
			r.Executions = append(r.Executions, Execution{ID: "b2", Operation: 2, Effect: Keyed, Server: "s5", Pod: 1, At: 60 * ms})
		}},
		{"refused though run", RuleRejectedThoughExecuted, func(r *Record) { r.Attempts[0].Outcome = Rejected }},
		{"sent after the answer", RuleSentAfterResponse, func(r *Record) {
			r.Receipts = append(r.Receipts, Receipt{ID: "c", Node: 1, Server: "s2", At: 500 * ms})
		}},
		{"sent after the drain", RuleDrain, func(r *Record) {
			r.ListUpdates = []ListUpdate{{Node: 1, Server: "s1", Withdrawn: true, At: 75*ms - 1556*ms}}
		}},
		{"crossed its connection's end, and sent on", RuleUnanswered, func(r *Record) { r.Attempts[3].Outcome = RacedClose }},
		{"sent for one that had left", RuleSentAfterCancel, func(r *Record) {
			r.Attempts[3].Outcome, r.Attempts[3].Ended = Cancelled, 75*ms-101*ms
		}},
		{"too much time told", RuleDeadline, func(r *Record) { r.Receipts[0].Deadline = 300*ms - 5*ms + 151*ms }},
		{"cold server pushed", RuleColdCollapse, func(r *Record) { r.Collapses = []Collapse{{"s4", 70 * ms}} }},
	} {
		r := clean()
		c.spoil(r)
		if got := r.Judge(limits); len(got) != 1 || got[0].Rule != c.rule {
			t.Errorf("%s: breaches %v, want one of %s", c.name, got, c.rule)
		}
	}
}

// Attempts fail because the lab killed or suspended a node, or its own link held them back. None of that may count
// against the node.
func TestLabFaultsAreNoBreach(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"killed with it in hand": func(r *Record) {
			r.Attempts[3].Outcome = Lost
			r.Outages = []Outage{{Node: 1, From: 100 * ms, To: 900 * ms}}
		},
		"stopped for a while": func(r *Record) {
			r.Attempts[3].Ended = 700 * ms
			r.Outages = []Outage{{Node: 1, From: 100 * ms, To: 650 * ms}}
		},
		"told in the grace": func(r *Record) {
			r.ListUpdates = append(r.ListUpdates, ListUpdate{Node: 1, Server: "s1", Withdrawn: true, At: 75*ms - 1400*ms})
		},
		"taken back": func(r *Record) {
			r.ListUpdates = []ListUpdate{{Node: 1, Server: "s1", Withdrawn: true, At: -9000 * ms}, {Node: 1, Server: "s1", At: -5 * ms}}
		},
		"the client left": func(r *Record) { r.Attempts[3].Outcome = Cancelled },
		"held up for a moment": func(r *Record) {
			r.Attempts[3].Ended = 500 * ms
			r.Pauses = []Pause{{Node: 1, From: 100 * ms, To: 250 * ms}}
		},
		"crossed its connection's end": func(r *Record) {
			r.Attempts = append(r.Attempts, Attempt{ID: "d", Operation: 4, Sent: 10 * ms, Deadline: 310 * ms, Ended: 12 * ms, Outcome: RacedClose})
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
	r.Attempts[3].Outcome = Lost
	r.Outages = []Outage{{Node: 0, From: 100 * ms, To: 900 * ms}}
	if got := r.Judge(limits); len(got) != 1 {
		t.Errorf("another node's kill excused a lost request: %v", got)
	}
}
