package balancer

import "testing"

// contractChecker checks the balancer's guarantees from its events and actions: one final answer for each request, no
// repeat that could take effect twice, no request to a draining server, one attempt at a time, and at most MaxAttempts attempts.
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
	startedAt  Millis
	open       bool
	mayHaveRun bool
}

func (c *contractChecker) check(now Millis, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case StartAttempt:
			c.checkAttempt(now, a)
		case Reject:
			r := c.requests[a.ID]
			for _, prev := range r.attempts {
				if prev.mayHaveRun && r.class.Idempotency == NonIdempotent || (prev.mayHaveRun || prev.open) && r.class.Idempotency == IdempotentWithKey {
					c.t.Fatalf("request %d was rejected, want a failure: its attempt at %s may have run", a.ID, prev.server)
				}
			}
			r.finalAnswers++
		case Fail:
			c.requests[a.ID].finalAnswers++
		case CancelAttempt:
			if a.Attempt >= len(c.requests[a.ID].attempts) {
				c.t.Fatalf("request %d: cancelled attempt %d, which was never started", a.ID, a.Attempt)
			}
		case BroadcastGossip:
			if !c.set.GossipAllowed || len(a.Body) > MaxGossipBytes {
				c.t.Fatalf("gossip of %d bytes, want at most %d; gossip allowed = %v", len(a.Body), MaxGossipBytes, c.set.GossipAllowed)
			}
		case ProbeLoad:
			if !c.set.ProbesAllowed {
				c.t.Fatal("load probe sent although probes are not allowed")
			}
		}
	}
	for id, r := range c.requests {
		if r.finalAnswers > 1 {
			c.t.Fatalf("request %d: final answers = %d, want at most 1", id, r.finalAnswers)
		}
	}
}

func (c *contractChecker) checkAttempt(now Millis, a StartAttempt) {
	r := c.requests[a.ID]
	if r == nil || r.finished || r.finalAnswers > 0 {
		c.t.Fatalf("attempt started for request %d, which is finished or unknown", a.ID)
	}
	server, ok := c.endpoints[a.Server]
	if !ok || server.State != Ready {
		c.t.Fatalf("attempt sent to %s, which is not ready", a.Server)
	}
	for _, prev := range r.attempts {
		if prev.open {
			c.t.Fatalf("request %d has two open attempts, want one", a.ID)
		}
		if !prev.open && !prev.mayHaveRun {
			continue
		}
		if r.class.Idempotency == NonIdempotent {
			c.t.Fatalf("request %d of a non-idempotent class was retried after it may have run", a.ID)
		}
		if r.class.Idempotency == IdempotentWithKey && (prev.cell != server.Cell || now-prev.startedAt > r.class.DedupWindow) {
			c.t.Fatalf("retry with an idempotency key left its cell or dedup window: from cell %d to %d after %.0f ms", prev.cell, server.Cell, now-prev.startedAt)
		}
	}
	r.attempts = append(r.attempts, attemptRecord{server: a.Server, cell: server.Cell, startedAt: now, open: true})
	if len(r.attempts) > c.set.MaxAttempts {
		c.t.Fatalf("request %d: attempts = %d, want at most %d", a.ID, len(r.attempts), c.set.MaxAttempts)
	}
}

// endOpenAttempt ends an open attempt, selected by pick, with the given outcome. It returns nil if none is open.
func (c *contractChecker) endOpenAttempt(pick int, outcome Outcome, now Millis) Event {
	for i := range c.requestIDs {
		id := c.requestIDs[(i+pick)%len(c.requestIDs)]
		r := c.requests[id]
		for n := range r.attempts {
			a := &r.attempts[n]
			if !a.open {
				continue
			}
			a.open = false
			a.mayHaveRun = outcome != Overloaded && outcome != Unreachable && outcome != NotSent
			r.finished = r.finished || outcome == OK
			return AttemptCompleted{ID: id, Attempt: n, Server: a.server, Outcome: outcome, Elapsed: now - a.startedAt,
				RequestFinished: r.finished || r.finalAnswers > 0, Report: LoadReport{Valid: pick%2 == 0, InFlight: float64(pick % 9)}}
		}
	}
	return nil
}

// FuzzContract interprets the input as a sequence of events and checks the actions with contractChecker.
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
		lb, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		checker := &contractChecker{t: t, set: set, endpoints: map[ServerID]Endpoint{}, requests: map[RequestID]*requestRecord{}}
		now := 1000.0
		servers := testEndpoints(6)
		list := func(kind UpdateKind, entries ...Endpoint) Event {
			for _, e := range entries {
				checker.endpoints[e.ID] = e
			}
			return EndpointUpdate{Kind: kind, Endpoints: entries}
		}
		checker.check(now, lb.Step(now, list(CachedUpdate, servers...)))
		for i := 0; i+1 < len(data); i += 2 {
			arg := int(data[i+1])
			var e Event
			switch data[i] % 9 {
			case 8: // gossip from another node: arbitrary, truncated or too long
				body := append([]byte{byte(arg)}, data[i:min(len(data), i+arg%40)]...)
				if arg%7 == 0 {
					body = append(body, make([]byte, 300)...)
				}
				e = GossipReceived{From: arg % 6, Body: body}
			case 0:
				id := RequestID(len(checker.requestIDs) + 1)
				c := set.Classes[arg%3]
				checker.requests[id] = &requestRecord{class: c, expires: now + 1000}
				checker.requestIDs = append(checker.requestIDs, id)
				e = Arrival{ID: id, Class: c.Name, IsRetry: arg%5 == 0, WorkHint: float64(arg % 3 * 20), Deadline: now + 1000}
			case 1:
				if len(checker.requestIDs) > 0 {
					e = checker.endOpenAttempt(arg/8, Outcome(arg%8), now)
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
				checker.check(now, lb.Step(now, e))
			}
		}
		// Finally all attempts time out and time passes. Each request without a successful attempt must then have exactly one final answer.
		now += 2000
		for {
			e := checker.endOpenAttempt(0, TimedOut, now)
			if e == nil {
				break
			}
			checker.check(now, lb.Step(now, e))
		}
		for i := 0; i < 20; i++ {
			now += 100
			checker.check(now, lb.Step(now, TimerFired{"sweep"}))
			checker.check(now, lb.Step(now, TimerFired{"probes"}))
		}
		failOnNaN(t, lb)
		for id, e := range checker.requests {
			if !e.finished && e.finalAnswers != 1 {
				t.Fatalf("request %d: final answers = %d, want 1", id, e.finalAnswers)
			}
		}
	})
}
