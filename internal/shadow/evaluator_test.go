package shadow

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"testing"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/engine"
)

func settings() balancer.Settings {
	return balancer.Settings{Nodes: 4, Zone: "a", ClientsMarkRetries: true, Goal: balancer.GoalWeights{Overall: 1}, OverQuotaFraction: 0.1,
		Classes: []balancer.Class{
			{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 400, TotalTimeout: 2000, PriorityWeight: 1},
			{Name: "put", Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupWithinCell, DedupWindow: 1000, LatencyObjective: 400, TotalTimeout: 2000, PriorityWeight: 1},
			{Name: "bill", Idempotency: balancer.NonIdempotent, LatencyObjective: 400, TotalTimeout: 2000, PriorityWeight: 5}},
		LoadReports: true, ReportsFromProbesOnly: true, ProbesAllowed: true, GossipAllowed: true, Prices: balancer.Prices{Probe: 0.002, Gossip: 0.001},
		DrainGrace: 1000, SlowStart: balancer.SlowStart{InitialCapacity: 0.25, Duration: 5000, OverloadFactor: 3, OverloadWindow: 2000}, MaxAttempts: 3, CancelAllowed: true,
		RetryAfterAllowed: true, MaxRetryAfter: 2000, Tick: 1}
}

// runScenario drives a balancer through a fixed pseudo-random sequence of events with failures, overload, lost attempts, probes
// and gossip messages. It returns all actions of the balancer.
func runScenario(b engine.Balancer, steps int) []balancer.Action {
	rng := rand.New(rand.NewPCG(5, 6))
	var allActions []balancer.Action
	var inFlight []balancer.AttemptCompleted // attempts in flight; Elapsed holds the send time
	sent := map[balancer.RequestID]int{}
	now := 1000.0
	step := func(e balancer.Event) {
		queue := []balancer.Event{e}
		for len(queue) > 0 {
			actions := b.Step(now, queue[0])
			queue = queue[1:]
			for _, a := range actions {
				allActions = append(allActions, a)
				switch a := a.(type) {
				case balancer.StartAttempt:
					inFlight = append(inFlight, balancer.AttemptCompleted{ID: a.ID, Attempt: sent[a.ID], Server: a.Server, Elapsed: now})
					sent[a.ID]++
				case balancer.CancelAttempt:
					for i, attempt := range inFlight {
						if attempt.ID == a.ID && attempt.Attempt == a.Attempt {
							inFlight = append(inFlight[:i], inFlight[i+1:]...)
							attempt.Outcome, attempt.Elapsed = balancer.Cancelled, now-attempt.Elapsed
							queue = append(queue, attempt)
							break
						}
					}
				case balancer.ProbeLoad:
					queue = append(queue, balancer.LoadProbeCompleted{Server: a.Server, Outcome: balancer.OK, Elapsed: 1, Report: balancer.LoadReport{
						Valid: true, InFlight: float64(rng.IntN(4)), QueueKnown: true, Queued: float64(rng.IntN(3))}})
				}
			}
		}
	}
	update := balancer.EndpointUpdate{Kind: balancer.CachedUpdate}
	for i := range 9 {
		update.Endpoints = append(update.Endpoints, balancer.Endpoint{ID: balancer.ServerID(fmt.Sprint("s", i)), Zone: []string{"a", "b"}[i%2],
			Cell: i % 3, Capacity: 1})
	}
	step(update)
	for i := range steps {
		now += rng.Float64() * 12
		switch kind := rng.IntN(10); {
		case kind < 4:
			id := balancer.RequestID(i + 1)
			step(balancer.Arrival{ID: id, Class: []string{"read", "put", "bill"}[rng.IntN(3)], Key: fmt.Sprint(rng.IntN(40)),
				IsRetry: rng.IntN(9) == 0, Deadline: now + 300 + 1500*rng.Float64()})
		case kind < 8 && len(inFlight) > 0:
			index := rng.IntN(len(inFlight))
			attempt := inFlight[index]
			inFlight = append(inFlight[:index], inFlight[index+1:]...)
			if rng.IntN(4) == 0 {
				attempt.Outcome = []balancer.Outcome{balancer.Errored, balancer.Overloaded, balancer.Unreachable, balancer.ConnectionLost}[rng.IntN(4)]
			}
			attempt.Elapsed, attempt.RequestFinished = now-attempt.Elapsed, attempt.Outcome == balancer.OK
			step(attempt)
		case kind == 8:
			step(balancer.GossipReceived{From: 1 + rng.IntN(3), Body: []byte{0x10}})
		default:
			step(balancer.TimerFired{Token: []string{"sweep", "probes"}[rng.IntN(2)]})
		}
	}
	return allActions
}

func newBalancer(t testing.TB, s balancer.Settings) *balancer.Balancer {
	t.Helper()
	b, err := balancer.New(s, 11)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The shadow evaluation must not change the balancer's actions, for example by using its random numbers. Shadow settings that equal
// the balancer's own must count no difference.
func TestShadowEvaluationKeepsActions(t *testing.T) {
	const steps = 3000
	want := runScenario(newBalancer(t, settings()), steps)
	if len(want) < steps {
		t.Fatalf("got %d actions in %d steps, want at least one a step", len(want), steps)
	}
	sameSettings, otherSettings := settings(), settings()
	otherSettings.ProbesAllowed, otherSettings.Classes[0].Idempotency, otherSettings.Prices.CrossZone = false, balancer.NonIdempotent, 0.5
	for name, shadowSettings := range map[string]*balancer.Settings{"the same": &sameSettings, "others": &otherSettings, "none": nil} {
		count := &counters.Shadow{}
		if got := runScenario(New(newBalancer(t, settings()), shadowSettings, slog.Default(), count), steps); !reflect.DeepEqual(got, want) {
			t.Errorf("shadow settings %q: the actions differ from those without an Evaluator", name)
		}
		differ, _ := count.Differences.MarshalJSON()
		if name == "the same" && (string(differ) != "{}" || count.Steps.Get() < steps) {
			t.Errorf("the same settings: differences = %s in %d steps, want none in at least %d", differ, count.Steps.Get(), steps)
		}
		if name == "others" && string(differ) == "{}" || count.Faults.Get() != 0 {
			t.Errorf("shadow settings %q: differences = %s, faults = %d, want no faults and, for \"others\", differences", name, differ, count.Faults.Get())
		}
	}
}

func TestEvaluatorCountsEachKindOfDifference(t *testing.T) {
	for kind, change := range map[string]func(base, other *balancer.Settings){
		DifferentZone:   func(_, o *balancer.Settings) { o.Prices.CrossZone = 0.3 },
		DifferentServer: func(_, o *balancer.Settings) { o.KeyAffinity = true },
		Probe:           func(_, o *balancer.Settings) { o.ProbesAllowed = false },
		Gossip:          func(_, o *balancer.Settings) { o.GossipAllowed = false },
		RetryAfter:      func(_, o *balancer.Settings) { o.RetryAfterAllowed = false },
		Retried:         func(b, _ *balancer.Settings) { b.MaxAttempts = 1 },
		NotRetried:      func(_, o *balancer.Settings) { o.MaxAttempts = 1 },
		Failed:          func(_, o *balancer.Settings) { o.Classes[0].Idempotency = balancer.NonIdempotent },
		Cancellation:    func(b, _ *balancer.Settings) { b.CancelAllowed = false },
		Rejected:        func(_, o *balancer.Settings) { o.Classes[0].LatencyObjective = 30 },
		Sent:            func(b, _ *balancer.Settings) { b.Classes[0].LatencyObjective = 30 },
		Queued:          func(b, _ *balancer.Settings) { b.ProbesAllowed = false },
	} {
		base, other, count := settings(), settings(), &counters.Shadow{}
		change(&base, &other)
		runScenario(New(newBalancer(t, base), &other, slog.Default(), count), 6000) // enough steps for the rarest kind to occur
		if count.Differences.Get(kind) == 0 {
			all, _ := count.Differences.MarshalJSON()
			t.Errorf("count of kind %q = 0, want at least 1; all counts: %s", kind, all)
		}
	}
}

// The shadow settings are set during a run and lack a class of the requests. Neither may cause a fault; requests of the missing
// class are counted as rejected.
func TestSetSettingsDuringRunWithMissingClass(t *testing.T) {
	shadowSettings, count := settings(), &counters.Shadow{}
	shadowSettings.Classes = shadowSettings.Classes[1:]
	evaluator := New(newBalancer(t, settings()), nil, slog.Default(), count)
	runScenario(evaluator, 500)
	if count.Steps.Get() != 0 {
		t.Error("steps were compared without shadow settings, want none")
	}
	evaluator.SetSettings(&shadowSettings)
	runScenario(evaluator, 500)
	if count.Steps.Get() == 0 || count.Faults.Get() != 0 || count.Differences.Get(Rejected) == 0 {
		t.Errorf("steps = %d, faults = %d, rejected = %d, want >0, 0, >0", count.Steps.Get(), count.Faults.Get(), count.Differences.Get(Rejected))
	}
}

func BenchmarkWatch(b *testing.B) {
	sameSettings := settings()
	for name, shadowSettings := range map[string]*balancer.Settings{"off": nil, "on": &sameSettings} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			runScenario(New(newBalancer(b, settings()), shadowSettings, slog.Default(), &counters.Shadow{}), b.N)
		})
	}
}
