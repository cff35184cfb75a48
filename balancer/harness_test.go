package balancer

import (
	"fmt"
	"testing"
)

// bed drives one Logic by hand and keeps what it did.
type bed struct {
	t    *testing.T
	l    *Logic
	now  Millis
	acts []Action
	next RequestID
}

func settings() Settings {
	return Settings{
		Nodes: 1,
		Classes: []Class{
			{Name: "read", Effect: Safe, Aim: 400, HardLimit: 2000, Worth: 1},
			{Name: "put", Effect: Keyed, Group: GroupCell, Window: 1000, Aim: 400, HardLimit: 2000, Worth: 1},
			{Name: "bill", Effect: Unsafe, Aim: 400, HardLimit: 2000, Worth: 5},
		},
		Goal: Goal{Whole: 1}, OverShare: 0.1, MarksRetry: true,
		DrainGrace: 1000, ColdFrom: 0.25, ColdFor: 10000, FallMultiple: 3, FallFor: 2000, MustAskIn: 10000,
		MaxAttempts: 5, MayCancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 2000, Tick: 1,
	}
}

func newBed(t *testing.T, set Settings, servers ...ServerEntry) *bed {
	t.Helper()
	l, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, l: l, now: 100000}
	b.step(ServerList{Form: ListCached, Entries: servers})
	return b
}

func server3(n int) []ServerEntry {
	var out []ServerEntry
	for i := 0; i < n; i++ {
		out = append(out, ServerEntry{ID: ServerID(fmt.Sprintf("s%d", i)), Zone: "z", Cell: i % 2, Size: 1})
	}
	return out
}

func (b *bed) step(e Event) []Action {
	out := b.l.Step(b.now, e)
	b.acts = append(b.acts, out...)
	return out
}

// arrive brings a request with the given time to live and returns its id and what was done.
func (b *bed) arrive(class string, ttl Millis) (RequestID, []Action) {
	b.next++
	return b.next, b.step(Arrival{ID: b.next, Class: class, Expires: b.now + ttl})
}

// end finishes an attempt.
func (b *bed) end(id RequestID, n int, s ServerID, res Result, took Millis) []Action {
	return b.step(AttemptEnd{ID: id, Attempt: n, Server: s, Result: res, Elapsed: took, Closed: res == OK})
}

// serve sends one request and ends it wherever it went.
func (b *bed) serve(class string, took Millis, result func(ServerID) Result) ServerID {
	id, acts := b.arrive(class, 2000)
	s := sentTo(acts)
	if s == "" {
		return ""
	}
	b.now += took
	b.l.scoredAt = 0 // every request is a cycle here
	acts = b.end(id, 0, s, result(s), took)
	for n := 1; sentTo(acts) != ""; n++ { // later attempts succeed
		acts = b.end(id, n, sentTo(acts), OK, 1)
	}
	return s
}

func allOK(ServerID) Result { return OK }

// pass lets time go by in cycles.
func (b *bed) pass(d Millis) {
	for until := b.now + d; b.now < until; {
		b.now += 250
		b.step(TimerFired{"sweep"})
	}
}

func sentTo(acts []Action) ServerID {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			return s.Server
		}
	}
	return ""
}

func count[A Action](acts []Action) int {
	n := 0
	for _, a := range acts {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}
