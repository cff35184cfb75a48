package balancer

import (
	"encoding/json"
	"testing"
)

// TestTwoProcessesShareSlowStartBudget holds what an old and a new process may send a warming
// server, by now and in the time to come, against what one may.
func TestTwoProcessesShareSlowStartBudget(t *testing.T) {
	set := Settings{Nodes: 3, Classes: []Class{{Name: "look", LatencyObjective: 90, TotalTimeout: 100, PriorityWeight: 1}}, DrainGrace: 2000,
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 9000, OverloadFactor: 3, OverloadWindow: 3000}, MaxAttempts: 1, Goal: GoalWeights{Overall: 1}}
	list := EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "cold", Capacity: 1, Started: 1}}}
	begin := func(seed uint64, left float64) *Balancer {
		l, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		l.Step(10, list)
		l.servers.byID["cold"].slowStart.budget.left = left
		return l
	}
	rate := func(l *Balancer) float64 { return l.slowStartRate(l.servers.byID["cold"]) }
	alone, old, next := begin(1, 6), begin(2, 6), begin(3, 0.7)
	old.Step(10, SiblingProcesses{2})
	old.Step(10, SiblingProcesses{2}) // told twice
	raw, err := json.Marshal(old.Snapshot())
	var state State
	if err == nil {
		err = json.Unmarshal(raw, &state)
	}
	if err != nil {
		t.Fatal(err)
	}
	next.Step(10, SiblingProcesses{2})
	next.Step(10, StateTransferred{state})
	if left := old.servers.byID["cold"].slowStart.budget.left + next.servers.byID["cold"].slowStart.budget.left; left != 6 {
		t.Errorf("one process had 6 left, two have %v", left)
	}
	if both := rate(old) + rate(next); both > rate(alone)*1.0001 || both < rate(alone)*0.9999 {
		t.Errorf("two processes get %v a millisecond, one alone %v", both, rate(alone))
	}
	if next.Step(10, SiblingProcesses{1}); rate(next) != rate(alone) || next.servers.byID["cold"].slowStart.budget.left > 3 {
		t.Errorf("alone again: %v a millisecond, %v left", rate(next), next.servers.byID["cold"].slowStart.budget.left)
	}
}

func TestRestoredStateIsWhatWasKnown(t *testing.T) {
	set := Settings{Nodes: 1, Classes: []Class{{Name: "look", LatencyObjective: 90, TotalTimeout: 300, PriorityWeight: 1}}, DrainGrace: 2000,
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 9000, OverloadFactor: 3, OverloadWindow: 1000}, MaxAttempts: 3, Goal: GoalWeights{Overall: 1}}
	list := EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1, Started: 5}}}
	made := func(seed uint64) *Balancer {
		l, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		l.Step(1, list)
		return l
	}
	old := made(1)
	a := old.servers.byID["a"]
	a.outlier.ejected, a.outlier.trialAt, a.timing.unitTime, a.outlier.consecutiveFailures = true, 10_000, 17, 3
	for i := range recentOutcomeCount + 3 {
		a.outcomes.record(float64(100*i), i%3 == 0)
	}
	old.servers.byID["b"].timing.unitTime = 99
	state := old.Snapshot()
	next := made(2)
	next.servers.byID["b"].Started = 7 // it has restarted since
	next.Step(2, StateTransferred{state})
	n := next.servers.byID["a"]
	if !n.outlier.ejected || n.outlier.trialAt != 10_000 || n.timing.unitTime != 17 || n.outlier.consecutiveFailures != 3 || n.recentSuccessRate() != a.recentSuccessRate() ||
		n.errorRate(2000) != a.errorRate(2000) {
		t.Errorf("inherited %+v, known %+v", n, a)
	}
	if next.servers.byID["b"].timing.unitTime == 99 {
		t.Error("a server that started anew was given its past")
	}
	if listed, avoided := next.CountEndpoints(); listed != 2 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
}

// The wall clock of the machine is stepped by an hour between the starts of two processes of a node. The later one's clock is then an hour
// off from that of the state that it takes over. No record may become NaN, which would have the node reject everything, lie in the future,
// or last for an hour longer than it should; and where the predecessor told its clock, every wait goes on as it was.
func TestStateOfAClockThatWasStepped(t *testing.T) {
	const hour = 3600e3
	for name, c := range map[string]struct {
		step    Millis
		shifted bool
	}{
		"back, clock not told": {-hour, false}, "forward, clock not told": {hour, false}, "back": {-hour, true}, "forward": {hour, true},
	} {
		set := settings()
		set.LoadReports = true
		old := newTestNode(t, set, testEndpoints(3)...)
		old.now += 24 * hour // a clock is never below 0
		failing(t, old, "s1", Errored)
		for range 50 {
			old.serve("read", 5, allOK)
		}
		state := old.balancer.Snapshot()
		if c.shifted {
			state.Shift(c.step)
		}
		next := &testNode{t: t, now: old.now + c.step}
		var err error
		if next.balancer, err = New(set, 9); err != nil {
			t.Fatal(err)
		}
		next.step(EndpointUpdate{Kind: FullUpdate, Endpoints: testEndpoints(3)})
		next.step(StateTransferred{state})
		before, s := old.balancer.servers.byID["s1"], next.balancer.servers.byID["s1"]
		wait := s.outlier.trialAt - next.now
		if wait > ejectionTime || c.shifted && wait != before.outlier.trialAt-old.now {
			t.Errorf("%s: the trial of an ejected server is due in %v ms", name, wait)
		}
		age := next.now - s.timing.outcomeAt
		if age < 0 || c.shifted && age != old.now-before.timing.outcomeAt {
			t.Errorf("%s: its last outcome is %v ms old", name, age)
		}
		if got, want := s.errorRate(next.now), before.errorRate(old.now); c.shifted && got != want {
			t.Errorf("%s: its error rate is %v, was %v", name, got, want)
		}
		served := 0
		for range 20 {
			if next.serve("read", 5, allOK) != "" {
				served++
			}
		}
		failOnNaN(t, next.balancer)
		if served != 20 {
			t.Errorf("%s: %d of 20 requests are served", name, served)
		}
	}
}
