package balancer

import "testing"

// book checks the contract from outside: one final answer, no effect twice, nothing to a server known to
// drain, no second copies where they are not allowed, attempts within the cap.
type book struct {
	t     *testing.T
	set   Settings
	state map[ServerID]ServerEntry
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

func (k *book) check(now Millis, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			k.send(now, a)
		case Refuse:
			e := k.reqs[a.ID]
			for _, s := range e.sends {
				if s.mayRun && e.class.Effect == Unsafe || (s.mayRun || s.open) && e.class.Effect == Keyed {
					k.t.Fatalf("refused %d though attempt at %s may have run", a.ID, s.server)
				}
			}
			e.answers++
		case Fail:
			k.reqs[a.ID].answers++
		case Cancel:
			if a.Attempt >= len(k.reqs[a.ID].sends) {
				k.t.Fatalf("withdrew an attempt never made")
			}
		case Tell:
			if !k.set.Peers || len(a.Body) > MessageMost {
				k.t.Fatalf("told %d bytes, allowed: %v", len(a.Body), k.set.Peers)
			}
		case Probe:
			if !k.set.MayProbe {
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

func (k *book) send(now Millis, a Send) {
	e := k.reqs[a.ID]
	if e == nil || e.finished || e.answers > 0 {
		k.t.Fatalf("sent for request %d, which is finished or unknown", a.ID)
	}
	server, ok := k.state[a.Server]
	if !ok || server.State != Ready {
		k.t.Fatalf("sent to %s, which is not ready", a.Server)
	}
	for _, s := range e.sends {
		if s.open && !k.set.SecondCopies {
			k.t.Fatal("two attempts of one request at once")
		}
		if !s.open && !s.mayRun {
			continue
		}
		if e.class.Effect == Unsafe {
			k.t.Fatal("an unsafe request was sent again though it may have run")
		}
		if e.class.Effect == Keyed && (s.cell != server.Cell || now-s.at > e.class.Window) {
			k.t.Fatalf("a keyed request left its cell or window: cell %d to %d after %.0f ms", s.cell, server.Cell, now-s.at)
		}
	}
	e.sends = append(e.sends, sendRecord{server: a.Server, cell: server.Cell, at: now, open: true})
	if len(e.sends) > k.set.MaxAttempts {
		k.t.Fatal("more attempts than allowed")
	}
}

// end ends an open attempt, chosen by pick, with the given result; nil when none is open.
func (k *book) end(pick int, res Result, now Millis) Event {
	for i := range k.order {
		id := k.order[(i+pick)%len(k.order)]
		e := k.reqs[id]
		for n := range e.sends {
			s := &e.sends[n]
			if !s.open {
				continue
			}
			s.open = false
			s.mayRun = res != Overloaded && res != Unreachable && res != Void
			e.finished = e.finished || res == OK
			return AttemptEnd{ID: id, Attempt: n, Server: s.server, Result: res, Elapsed: now - s.at,
				Closed: e.finished || e.answers > 0, Load: Load{Valid: pick%2 == 0, InFlight: float64(pick % 9)}}
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
			set.SecondCopies, set.MayProbe, set.Reports = data[1]&1 == 0, data[1]&2 != 0, data[1]&2 != 0
			set.Peers, set.ProbedOnly, set.WarmKeys = data[1]&4 != 0, data[1]&4 != 0, data[1]&4 != 0
			set.Nodes = 1 + int(data[1]&4)
		}
		l, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		k := &book{t: t, set: set, state: map[ServerID]ServerEntry{}, reqs: map[RequestID]*entry{}}
		now := 1000.0
		servers := server3(6)
		list := func(form ListForm, entries ...ServerEntry) Event {
			for _, e := range entries {
				k.state[e.ID] = e
			}
			return ServerList{Form: form, Entries: entries}
		}
		k.check(now, l.Step(now, list(ListCached, servers...)))
		for i := 0; i+1 < len(data); i += 2 {
			arg := int(data[i+1])
			var e Event
			switch data[i] % 9 {
			case 8: // from another node: as it comes, cut short, or too long
				body := append([]byte{byte(arg)}, data[i:min(len(data), i+arg%40)]...)
				if arg%7 == 0 {
					body = append(body, make([]byte, 300)...)
				}
				e = Told{From: arg % 6, Body: body}
			case 0:
				id := RequestID(len(k.order) + 1)
				c := set.Classes[arg%3]
				k.reqs[id] = &entry{class: c, expires: now + 1000}
				k.order = append(k.order, id)
				e = Arrival{ID: id, Class: c.Name, Retry: arg%5 == 0, Hint: float64(arg % 3 * 20), Expires: now + 1000}
			case 1:
				if len(k.order) > 0 {
					e = k.end(arg/8, Result(arg%8), now)
				}
			case 2:
				now += float64(arg)
				e = TimerFired{"sweep"}
			case 3:
				s := servers[arg%6]
				s.State = ServerState(arg / 6 % 3)
				if arg > 100 {
					s.Started = now
				}
				e = list(ListDelta, s)
			case 4:
				e = TimerFired{[]string{"sweep", "probes", "ask", "what"}[arg%4]}
			case 5:
				e = ServerList{Form: ListFailed}
			case 6:
				e = ProbeEnd{Server: servers[arg%6].ID, Result: Result(arg % 8), Load: Load{Valid: arg%2 == 0, InFlight: 3}}
			case 7:
				e = AttemptEnd{ID: RequestID(arg + 1000), Server: "nobody", Result: OK}
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
		for id, e := range k.reqs {
			if !e.finished && e.answers != 1 {
				t.Fatalf("request %d has %d answers", id, e.answers)
			}
		}
	})
}
