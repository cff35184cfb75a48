package balancer

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures the time that the balancer takes for one request, from its arrival to its answer,
// by the number of servers. A node has a quarter of a core for this and all its other work.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{60, 200, 350, 500, 1024} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			set := settings()
			set.Nodes, set.LoadReports, set.ProbesAllowed, set.Prices.Probe = 350, true, true, 0.002
			lb, err := New(set, 7)
			if err != nil {
				b.Fatal(err)
			}
			now, timers := 100000.0, map[string]Millis{}
			lb.Step(now, EndpointUpdate{Kind: CachedUpdate, Endpoints: testEndpoints(servers)})
			id, served := RequestID(0), 0
			var carryOut func([]Action)
			carryOut = func(acts []Action) {
				for _, a := range acts {
					switch a := a.(type) {
					case StartAttempt:
						served++
						carryOut(lb.Step(now+1, AttemptCompleted{ID: a.ID, Server: a.Server, Outcome: OK, Elapsed: 30, RequestFinished: true, Report: LoadReport{Valid: true, InFlight: 1}}))
					case ProbeLoad:
						carryOut(lb.Step(now+1, LoadProbeCompleted{Server: a.Server, Outcome: OK, Elapsed: 1, Report: LoadReport{Valid: true, InFlight: 1}}))
					case SetTimer:
						timers[a.Token] = a.At
					}
				}
			}
			for b.Loop() {
				now += 50
				for token, at := range timers {
					if at <= now {
						delete(timers, token)
						carryOut(lb.Step(now, TimerFired{token}))
					}
				}
				id++
				carryOut(lb.Step(now, Arrival{ID: id, Class: "read", Deadline: now + 2000}))
			}
			b.ReportMetric(float64(served)/float64(id), "served/op")
			b.ReportMetric(float64(len(lb.queue.waiting)), "held")
		})
	}
}
