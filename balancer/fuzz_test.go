package balancer

import "testing"

// contractChecker checks the contractChecker from outside: one final answer, no effect twice, nothing to a server
// known to drain, no two attempts at once, attempts within the cap.
type contractChecker struct {
	t          *testing.T
	set        Settings
	endpoints  map[ServerID]Endpoint
	requests   map[RequestID]*requestRecord
	requestIDs []RequestID
}

type requestRecord struct {
	class        Class
	expires      Millis
	finalAnswers int
	attempts     []attemptRecord
	finished     bool
}

type attemptRecord struct {
	server     ServerID
	cell       int
	at         Millis
	open       bool
	mayHaveRun bool
}

func (k *contractChecker) check(now Millis, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case StartAttempt:
			k.checkAttempt(now, a)
		case Reject:
			e := k.requests[a.ID]
			for _, s := range e.attempts {
				if s.mayHaveRun && e.class.Idempotency == NonIdempotent || (s.mayHaveRun || s.open) && e.class.Idempotency == IdempotentWithKey {
					k.t.Fatalf("rejected %d though attempt at %s may have run", a.ID, s.server)
				}
			}
			e.finalAnswers++
		case Fail:
			k.requests[a.ID].finalAnswers++
		case CancelAttempt:
			if a.Attempt >= len(k.requests[a.ID].attempts) {
				k.t.Fatalf("cancelled an attempt that was never started")
			}
		case BroadcastGossip:
			if !k.set.GossipAllowed || len(a.Body) > MaxGossipBytes {
				k.t.Fatalf("broadcast %d bytes, allowed: %v", len(a.Body), k.set.GossipAllowed)
			}
		case ProbeLoad:
			if !k.set.ProbesAllowed {
				k.t.Fatal("probe where none is allowed")
			}
		}
	}
	for id, e := range k.requests {
		if e.finalAnswers > 1 {
			k.t.Fatalf("request %d answered %d times", id, e.finalAnswers)
		}
	}
}

func (k *contractChecker) checkAttempt(now Millis, a StartAttempt) {
	e := k.requests[a.ID]
	if e == nil || e.finished || e.finalAnswers > 0 {
		k.t.Fatalf("sent for request %d, which is finished or unknown", a.ID)
	}
	server, ok := k.endpoints[a.Server]
	if !ok || server.State != Ready {
		k.t.Fatalf("sent to %s, which is not ready", a.Server)
	}
	for _, s := range e.attempts {
		if s.open {
			k.t.Fatal("two attempts of one request at once")
		}
		if !s.open && !s.mayHaveRun {
			continue
		}
		if e.class.Idempotency == NonIdempotent {
			k.t.Fatal("an unsafe request was sent again though it may have run")
		}
		if e.class.Idempotency == IdempotentWithKey && (s.cell != server.Cell || now-s.at > e.class.DedupWindow) {
			k.t.Fatalf("a keyed request left its cell or window: cell %d to %d after %.0f ms", s.cell, server.Cell, now-s.at)
		}
	}
	e.attempts = append(e.attempts, attemptRecord{server: a.Server, cell: server.Cell, at: now, open: true})
	if len(e.attempts) > k.set.MaxAttempts {
		k.t.Fatal("more attempts than allowed")
	}
}

// endOpenAttempt ends an open attempt, chosen by pick, with the given result; nil when none is open.
func (k *contractChecker) endOpenAttempt(pick int, res Outcome, now Millis) Event {
	for i := range k.requestIDs {
		id := k.requestIDs[(i+pick)%len(k.requestIDs)]
		e := k.requests[id]
		for n := range e.attempts {
			s := &e.attempts[n]
			if !s.open {
				continue
			}
			s.open = false
			s.mayHaveRun = res != Overloaded && res != Unreachable && res != NotSent
			e.finished = e.finished || res == OK
			return AttemptCompleted{ID: id, Attempt: n, Server: s.server, Outcome: res, Elapsed: now - s.at,
				RequestFinished: e.finished || e.finalAnswers > 0, Report: LoadReport{Valid: pick%2 == 0, InFlight: float64(pick % 9)}}
		}
	}
	return nil
}

func FuzzContract(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 5, 3, 1, 4, 9, 5, 7, 0, 1, 1, 3, 2, 40, 0, 2, 1, 1, 0, 0})
	f.Add([]byte{6, 1, 0, 1, 0, 1, 0, 2, 1, 1, 1, 3, 3, 2, 0, 1, 4, 4, 1, 0, 7, 3, 0, 2, 2, 200, 1, 3})
	f.Add([]byte{6, 2, 0, 0, 2, 1, 5, 0, 1, 2, 1, 2, 3, 3, 4, 4, 0, 0, 0, 1, 0, 2, 2, 250, 2, 250, 1, 3, 1, 3, 1, 3})
	f.Add([]byte{6, 3, 0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 90, 2, 90, 2, 90, 1, 1, 1, 1, 1, 2, 8, 1, 9, 9})
	f.Add([]byte{6, 4, 8, 0x10, 0, 1, 8, 0x11, 0, 2, 8, 0x1f, 8, 0x10, 1, 0, 0, 1, 2, 90, 8, 0x11, 1, 3, 0, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		set := settings()
		if len(data) > 1 && data[0] == 6 {
			set.ProbesAllowed, set.LoadReports = data[1]&2 != 0, data[1]&2 != 0
			set.GossipAllowed, set.ReportsFromProbesOnly, set.KeyAffinity = data[1]&4 != 0, data[1]&4 != 0, data[1]&4 != 0
			set.Nodes = 1 + int(data[1]&4)
		}
		l, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		k := &contractChecker{t: t, set: set, endpoints: map[ServerID]Endpoint{}, requests: map[RequestID]*requestRecord{}}
		now := 1000.0
		servers := testEndpoints(6)
		list := func(form UpdateKind, entries ...Endpoint) Event {
			for _, e := range entries {
				k.endpoints[e.ID] = e
			}
			return EndpointUpdate{Kind: form, Endpoints: entries}
		}
		k.check(now, l.Step(now, list(CachedUpdate, servers...)))
		for i := 0; i+1 < len(data); i += 2 {
			arg := int(data[i+1])
			var e Event
			switch data[i] % 9 {
			case 8: // from another node: as it comes, cut short, or too long
				body := append([]byte{byte(arg)}, data[i:min(len(data), i+arg%40)]...)
				if arg%7 == 0 {
					body = append(body, make([]byte, 300)...)
				}
				e = GossipReceived{From: arg % 6, Body: body}
			case 0:
				id := RequestID(len(k.requestIDs) + 1)
				c := set.Classes[arg%3]
				k.requests[id] = &requestRecord{class: c, expires: now + 1000}
				k.requestIDs = append(k.requestIDs, id)
				e = Arrival{ID: id, Class: c.Name, IsRetry: arg%5 == 0, WorkHint: float64(arg % 3 * 20), Deadline: now + 1000}
			case 1:
				if len(k.requestIDs) > 0 {
					e = k.endOpenAttempt(arg/8, Outcome(arg%8), now)
				}
			case 2:
				now += float64(arg)
				e = TimerFired{"sweep"}
			case 3:
				s := servers[arg%6]
				s.State = EndpointState(arg / 6 % 3)
				if arg > 100 {
					s.Started = now
				}
				e = list(DeltaUpdate, s)
			case 4:
				e = TimerFired{[]string{"sweep", "probes", "ask", "what"}[arg%4]}
			case 5:
				e = EndpointUpdate{Kind: UpdateFailed}
			case 6:
				e = LoadProbeCompleted{Server: servers[arg%6].ID, Outcome: Outcome(arg % 8), Report: LoadReport{Valid: arg%2 == 0, InFlight: 3}}
			case 7:
				e = AttemptCompleted{ID: RequestID(arg + 1000), Server: "nobody", Outcome: OK}
			}
			if e != nil {
				k.check(now, l.Step(now, e))
			}
		}
		// The end: every attempt times out, time passes, and each request must have its one answer.
		now += 2000
		for {
			e := k.endOpenAttempt(0, TimedOut, now)
			if e == nil {
				break
			}
			k.check(now, l.Step(now, e))
		}
		for i := 0; i < 20; i++ {
			now += 100
			k.check(now, l.Step(now, TimerFired{"sweep"}))
			k.check(now, l.Step(now, TimerFired{"probes"}))
		}
		failOnNaN(t, l)
		for id, e := range k.requests {
			if !e.finished && e.finalAnswers != 1 {
				t.Fatalf("request %d has %d answers", id, e.finalAnswers)
			}
		}
	})
}
