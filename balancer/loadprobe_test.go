package balancer

import (
	"testing"
)

// With reports, a send waits a moment for the servers asked, and goes on without those that stay
// silent.
func TestRequestWaitsForProbesBeforeAttempt(t *testing.T) {
	set := settings()
	set.ProbesAllowed, set.LoadReports = true, true
	b := newTestNode(t, set, testEndpoints(3)...)
	_, acts := b.arrive("read", 2000)
	if count[ProbeLoad](acts) == 0 || sentTo(acts) != "" {
		t.Fatalf("got %v, want probes first", acts)
	}
	b.now += minProbeWait
	if acts = b.step(TimerFired{"probes"}); sentTo(acts) == "" {
		t.Error("silent probes hold the request back")
	}
	var asked []ServerID
	b.now += 100
	_, acts = b.arrive("read", 2000)
	for _, a := range acts {
		if p, ok := a.(ProbeLoad); ok {
			asked = append(asked, p.Server)
		}
	}
	for i, s := range asked {
		acts = b.step(LoadProbeCompleted{Server: s, Outcome: OK, Report: LoadReport{Valid: true, InFlight: float64(5 * i)}})
	}
	if len(asked) > 1 && sentTo(acts) != "" && sentTo(acts) != asked[0] {
		if b.balancer.estimatedRequests(b.balancer.servers.byID[sentTo(acts)]) > 2 {
			t.Errorf("sent to %s although its report shows it crowded", sentTo(acts))
		}
	}
}

// Guards against a flood of probes: each has a price, servers turn away what is over their cap, and
// idle ones tell little.
func TestProbesStayWithinBudget(t *testing.T) {
	ask := func(crowd float64, result Outcome) int {
		b := newTestNode(t, probed(1), testEndpoints(40)...)
		b.balancer.estimate.othersLoad = crowd
		for i := 0; i < 300; i++ {
			b.now += 50
			id, acts := b.arrive("read", 2000)
			for _, a := range acts {
				if p, ok := a.(ProbeLoad); ok {
					b.step(LoadProbeCompleted{Server: p.Server, Outcome: result, Report: LoadReport{Valid: result == OK, InFlight: crowd}})
				}
			}
			b.end(id, 0, sentTo(b.actions), OK, 10)
		}
		return count[ProbeLoad](b.actions)
	}
	most := int(300*probeBudgetFraction/0.004) + 3*probesPerRequest
	if busy, refused, idle := ask(4, OK), ask(4, Overloaded), ask(0, OK); busy > most || busy < 300 || refused > most/3 || idle > most/3 {
		t.Errorf("probes for 300 requests: %d, all turned away %d, idle %d; %d may be paid for", busy, refused, idle, most)
	}
}

// Guards against ejecting busy servers where a probe waits its turn like a request.
func TestSlowProbesDoNotEjectServer(t *testing.T) {
	b := newTestNode(t, probed(1), testEndpoints(3)...)
	for i := 0; i < 50; i++ {
		b.step(LoadProbeCompleted{Server: "s1", Outcome: OK, Elapsed: 120})
		b.step(LoadProbeCompleted{Server: "s0", Outcome: TimedOut, Elapsed: 300})
	}
	if b.balancer.servers.byID["s0"].outlier.ejected {
		t.Error("ejected for probes that waited")
	}
}
