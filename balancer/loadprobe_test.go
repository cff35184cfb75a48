package balancer

import (
	"testing"
)

// Guards against placing a request before its probes are answered, and against waiting for servers that
// do not answer them.
func TestRequestWaitsForProbesBeforeAttempt(t *testing.T) {
	set := settings()
	set.ProbesAllowed, set.LoadReports = true, true
	b := newTestNode(t, set, testEndpoints(3)...)
	_, acts := b.arrive("read", 2000)
	if count[ProbeLoad](acts) == 0 || sentTo(acts) != "" {
		t.Fatalf("actions = %v, want probes and no attempt", acts)
	}
	b.now += minProbeWait
	if acts = b.step(TimerFired{"probes"}); sentTo(acts) == "" {
		t.Error("the request was not sent although minProbeWait has passed")
	}
	var probedServers []ServerID
	b.now += 100
	_, acts = b.arrive("read", 2000)
	for _, a := range acts {
		if p, ok := a.(ProbeLoad); ok {
			probedServers = append(probedServers, p.Server)
		}
	}
	for i, s := range probedServers {
		acts = b.step(LoadProbeCompleted{Server: s, Outcome: OK, Report: LoadReport{Valid: true, InFlight: float64(5 * i)}})
	}
	if len(probedServers) > 1 && sentTo(acts) != "" && sentTo(acts) != probedServers[0] {
		if b.balancer.estimatedRequests(b.balancer.servers.byID[sentTo(acts)]) > 2 {
			t.Errorf("sent to %s although its report shows more than 2 requests", sentTo(acts))
		}
	}
}

// Guards against too many probes: each has a price, servers reject probes over their limit, and probes of
// idle servers gain little.
func TestProbesStayWithinBudget(t *testing.T) {
	countProbes := func(load float64, outcome Outcome) int {
		b := newTestNode(t, probeOnlySettings(1), testEndpoints(40)...)
		b.balancer.estimate.othersLoad = load
		for i := 0; i < 300; i++ {
			b.now += 50
			id, acts := b.arrive("read", 2000)
			for _, a := range acts {
				if p, ok := a.(ProbeLoad); ok {
					b.step(LoadProbeCompleted{Server: p.Server, Outcome: outcome, Report: LoadReport{Valid: outcome == OK, InFlight: load}})
				}
			}
			b.completeAttempt(id, 0, sentTo(b.actions), OK, 10)
		}
		return count[ProbeLoad](b.actions)
	}
	maxProbes := int(300*probeBudgetFraction/0.004) + 3*probesPerRequest
	if busy, rejected, idle := countProbes(4, OK), countProbes(4, Overloaded), countProbes(0, OK); busy > maxProbes || busy < 300 || rejected > maxProbes/3 || idle > maxProbes/3 {
		t.Errorf("probes for 300 requests: busy servers %d, want 300 to %[4]d; rejected %[2]d and idle servers %[3]d, want at most a third of %[4]d", busy, rejected, idle, maxProbes)
	}
}

// Guards against ejecting busy servers for slow probes if probes are queued like requests.
func TestSlowProbesDoNotEjectServer(t *testing.T) {
	b := newTestNode(t, probeOnlySettings(1), testEndpoints(3)...)
	for i := 0; i < 50; i++ {
		b.step(LoadProbeCompleted{Server: "s1", Outcome: OK, Elapsed: 120})
		b.step(LoadProbeCompleted{Server: "s0", Outcome: TimedOut, Elapsed: 300})
	}
	if b.balancer.servers.byID["s0"].outlier.ejected {
		t.Error("a server was ejected for probes that were queued")
	}
}
