package balancer

import "testing"

// contract checks the contract from outside: one final answer, no effect twice, nothing to a server
// known to drain, no two attempts at once, attempts within the cap.
type contract struct {
	t     *testing.T
	set   Settings
	state map[ServerID]Endpoint
	reqs  map[RequestID]*entry
	order []RequestID
}

type entry struct {
	class    Class
	expires  Millis
	answers  int
	sends    []sendRecord
	finished bool
}

type sendRecord struct {
	server ServerID
	cell   int
	at     Millis
	open   bool
	mayRun bool
}

func (k *contract) check(now Millis, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case StartAttempt:
			k.send(now, a)
		case Reject:
			e := k.reqs[a.ID]
			for _, s := range e.sends {
				if s.mayRun && e.class.Idempotency == NonIdempotent || (s.mayRun || s.open) && e.class.Idempotency == IdempotentWithKey {
					k.t.Fatalf("rejected %d though attempt at %s may have run", a.ID, s.server)
				}
			}
			e.answers++
		case Fail:
			k.reqs[a.ID].answers++
		case CancelAttempt:
			if a.Attempt >= len(k.reqs[a.ID].sends) {
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
	for id, e := range k.reqs {
		if e.answers > 1 {
			k.t.Fatalf("request %d answered %d times", id, e.answers)
		}
	}
}

func (k *contract) send(now Millis, a StartAttempt) {
	e := k.reqs[a.ID]
	if e == nil || e.finished || e.answers > 0 {
		k.t.Fatalf("sent for request %d, which is finished or unknown", a.ID)
	}
	server, ok := k.state[a.Server]
	if !ok || server.State != Ready {
		k.t.Fatalf("sent to %s, which is not ready", a.Server)
	}
	for _, s := range e.sends {
		if s.open {
			k.t.Fatal("two attempts of one request at once")
		}
		if !s.open && !s.mayRun {
			continue
		}
		if e.class.Idempotency == NonIdempotent {
			k.t.Fatal("an unsafe request was sent again though it may have run")
		}
		if e.class.Idempotency == IdempotentWithKey && (s.cell != server.Cell || now-s.at > e.class.DedupWindow) {
			k.t.Fatalf("a keyed request left its cell or window: cell %d to %d after %.0f ms", s.cell, server.Cell, now-s.at)
		}
	}
	e.sends = append(e.sends, sendRecord{server: a.Server, cell: server.Cell, at: now, open: true})
	if len(e.sends) > k.set.MaxAttempts {
		k.t.Fatal("more attempts than allowed")
	}
}

// end ends an open attempt, chosen by pick, with the given result; nil when none is open.
func (k *contract) end(pick int, res Outcome, now Millis) Event {
	for i := range k.order {
		id := k.order[(i+pick)%len(k.order)]
		e := k.reqs[id]
		for n := range e.sends {
			s := &e.sends[n]
			if !s.open {
				continue
			}
			s.open = false
			s.mayRun = res != Overloaded && res != Unreachable && res != NotSent
			e.finished = e.finished || res == OK
			return AttemptCompleted{ID: id, Attempt: n, Server: s.server, Outcome: res, Elapsed: now - s.at,
				RequestFinished: e.finished || e.answers > 0, Report: LoadReport{Valid: pick%2 == 0, InFlight: float64(pick % 9)}}
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
		k := &contract{t: t, set: set, state: map[ServerID]Endpoint{}, reqs: map[RequestID]*entry{}}
		now := 1000.0
		servers := testEndpoints(6)
		list := func(form UpdateKind, entries ...Endpoint) Event {
			for _, e := range entries {
				k.state[e.ID] = e
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
				id := RequestID(len(k.order) + 1)
				c := set.Classes[arg%3]
				k.reqs[id] = &entry{class: c, expires: now + 1000}
				k.order = append(k.order, id)
				e = Arrival{ID: id, Class: c.Name, IsRetry: arg%5 == 0, WorkHint: float64(arg % 3 * 20), Deadline: now + 1000}
			case 1:
				if len(k.order) > 0 {
					e = k.end(arg/8, Outcome(arg%8), now)
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
			e := k.end(0, TimedOut, now)
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
		checkNumbers(t, l)
		for id, e := range k.reqs {
			if !e.finished && e.answers != 1 {
				t.Fatalf("request %d has %d answers", id, e.answers)
			}
		}
	})
}
