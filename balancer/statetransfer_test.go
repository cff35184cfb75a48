package balancer

import (
	"encoding/json"
	"testing"
)

// During an upgrade the old and the new process together must have the slow start budget and rate of one
// process. Otherwise they could overload a server that has just started.
func TestSiblingProcessesDivideSlowStartBudget(t *testing.T) {
	set := Settings{Nodes: 3, Classes: []Class{{Name: "look", LatencyObjective: 90, TotalTimeout: 100, PriorityWeight: 1}}, DrainGrace: 2000,
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 9000, OverloadFactor: 3, OverloadWindow: 3000}, MaxAttempts: 1, Goal: GoalWeights{Overall: 1}}
	list := EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "cold", Capacity: 1, Started: 1}}}
	newBalancer := func(seed uint64, tokens float64) *Balancer {
		lb, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		lb.Step(10, list)
		lb.servers.byID["cold"].slowStart.budget.available = tokens
		return lb
	}
	rate := func(lb *Balancer) float64 { return lb.slowStartRate(lb.servers.byID["cold"]) }
	alone, old, successor := newBalancer(1, 6), newBalancer(2, 6), newBalancer(3, 0.7)
	old.Step(10, SiblingProcesses{2})
	old.Step(10, SiblingProcesses{2}) // a repeated event must have no effect
	raw, err := json.Marshal(old.Snapshot())
	var state State
	if err == nil {
		err = json.Unmarshal(raw, &state)
	}
	if err != nil {
		t.Fatal(err)
	}
	successor.Step(10, SiblingProcesses{2})
	successor.Step(10, StateTransferred{state})
	if total := old.servers.byID["cold"].slowStart.budget.available + successor.servers.byID["cold"].slowStart.budget.available; total != 6 {
		t.Errorf("budget of both processes = %v, want 6 as before the upgrade", total)
	}
	if both := rate(old) + rate(successor); both > rate(alone)*1.0001 || both < rate(alone)*0.9999 {
		t.Errorf("slow start rate of both processes = %v per ms, want %v as for one process", both, rate(alone))
	}
	if successor.Step(10, SiblingProcesses{1}); rate(successor) != rate(alone) || successor.servers.byID["cold"].slowStart.budget.available > 3 {
		t.Errorf("after the upgrade: slow start rate = %v per ms, want %v; budget = %v, want at most 3", rate(successor), rate(alone), successor.servers.byID["cold"].slowStart.budget.available)
	}
}

// A transferred state must restore ejections, timings and outcomes, except those of servers that have
// restarted since.
func TestRestoreTransferredState(t *testing.T) {
	set := Settings{Nodes: 1, Classes: []Class{{Name: "look", LatencyObjective: 90, TotalTimeout: 300, PriorityWeight: 1}}, DrainGrace: 2000,
		SlowStart: SlowStart{InitialCapacity: 0.2, Duration: 9000, OverloadFactor: 3, OverloadWindow: 1000}, MaxAttempts: 3, Goal: GoalWeights{Overall: 1}}
	list := EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1, Started: 5}}}
	newBalancer := func(seed uint64) *Balancer {
		lb, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		lb.Step(1, list)
		return lb
	}
	old := newBalancer(1)
	a := old.servers.byID["a"]
	a.outlier.ejected, a.outlier.trialAt, a.timing.unitTime, a.outlier.consecutiveFailures = true, 10_000, 17, 3
	for i := range recentOutcomeCount + 3 {
		a.outcomes.record(float64(100*i), i%3 == 0)
	}
	old.servers.byID["b"].timing.unitTime = 99
	state := old.Snapshot()
	successor := newBalancer(2)
	successor.servers.byID["b"].Started = 7 // it has restarted since
	successor.Step(2, StateTransferred{state})
	restored := successor.servers.byID["a"]
	if !restored.outlier.ejected || restored.outlier.trialAt != 10_000 || restored.timing.unitTime != 17 || restored.outlier.consecutiveFailures != 3 || restored.recentSuccessRate() != a.recentSuccessRate() ||
		restored.errorRate(2000) != a.errorRate(2000) {
		t.Errorf("restored server = %+v, want %+v", restored, a)
	}
	if successor.servers.byID["b"].timing.unitTime == 99 {
		t.Error("unit time of a restarted server was restored, want the initial one")
	}
	if listed, avoided := successor.CountEndpoints(); listed != 2 || avoided != 1 {
		t.Errorf("CountEndpoints() = %d, %d, want 2, 1", listed, avoided)
	}
}

// If the wall clock is stepped by an hour between the starts of a node's two processes, the times in the transferred state are off by an hour.
// No value may become NaN, because the node would then reject every request, and no time may lie in the future or delay a trial by an hour. If the
// state was shifted by the difference of the clocks, all waiting times stay the same.
func TestRestoreStateAfterClockStep(t *testing.T) {
	const hour = 3600e3
	for name, c := range map[string]struct {
		step    Millis
		shifted bool
	}{
		"back, not shifted": {-hour, false}, "forward, not shifted": {hour, false}, "back": {-hour, true}, "forward": {hour, true},
	} {
		set := settings()
		set.LoadReports = true
		old := newTestNode(t, set, testEndpoints(3)...)
		old.now += 24 * hour // so that the time stays positive if the clock is stepped back
		failUntilEjected(t, old, "s1", Errored)
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
			t.Errorf("%s: trial of the ejected server in %v ms, want at most %v, or unchanged if shifted", name, wait, ejectionTime)
		}
		age := next.now - s.timing.outcomeAt
		if age < 0 || c.shifted && age != old.now-before.timing.outcomeAt {
			t.Errorf("%s: age of the last outcome = %v ms, want at least 0, or unchanged if shifted", name, age)
		}
		if got, want := s.errorRate(next.now), before.errorRate(old.now); c.shifted && got != want {
			t.Errorf("%s: error rate = %v, want %v", name, got, want)
		}
		served := 0
		for range 20 {
			if next.serve("read", 5, allOK) != "" {
				served++
			}
		}
		failOnNaN(t, next.balancer)
		if served != 20 {
			t.Errorf("%s: served requests = %d, want 20", name, served)
		}
	}
}
