package balancer

import (
	"fmt"
	"testing"
)

// BenchmarkRequest is what one request costs the module, from its arrival to its answer, by the number of servers: a quarter of a
// core has to bear it beside all else.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{60, 200, 350, 500, 1024} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			set := settings()
			set.Nodes, set.Reports, set.MayProbe, set.ProbePrice = 350, true, true, 0.002
			l, err := New(set, 7)
			if err != nil {
				b.Fatal(err)
			}
			now, timers := 100000.0, map[string]Millis{}
			l.Step(now, ServerList{Form: ListCached, Entries: server3(servers)})
			id, served := RequestID(0), 0
			var carry func([]Action)
			carry = func(acts []Action) {
				for _, a := range acts {
					switch a := a.(type) {
					case Send:
						served++
						carry(l.Step(now+1, AttemptEnd{ID: a.ID, Server: a.Server, Result: OK, Elapsed: 30, Closed: true, Load: Load{Valid: true, InFlight: 1}}))
					case Probe:
						carry(l.Step(now+1, ProbeEnd{Server: a.Server, Result: OK, Elapsed: 1, Load: Load{Valid: true, InFlight: 1}}))
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
						carry(l.Step(now, TimerFired{token}))
					}
				}
				id++
				carry(l.Step(now, Arrival{ID: id, Class: "read", Expires: now + 2000}))
			}
			b.ReportMetric(float64(served)/float64(id), "served/op")
			b.ReportMetric(float64(len(l.heldQueue)), "held")
		})
	}
}
