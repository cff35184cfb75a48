package engine

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/clock"
	"tackhub.example/tackhub/internal/counters"
)

func TestTimersInOrder(t *testing.T) {
	var h timers
	for _, x := range []struct {
		at    float64
		token string
	}{{30, "c"}, {10, "a"}, {30, "d"}, {20, "b"}, {30, "e"}} {
		h.add(x.at, x.token, nil)
	}
	if at, ok := h.next(); !ok || at != 10 {
		t.Fatalf("next at %v %v", at, ok)
	}
	if _, ok := h.due(9); ok {
		t.Error("due before its time")
	}
	var got []string
	for x, ok := h.due(30); ok; x, ok = h.due(30) {
		got = append(got, x.token)
	}
	if !slices.Equal(got, []string{"a", "b", "c", "d", "e"}) {
		t.Errorf("order %v", got)
	}
	if _, ok := h.next(); ok {
		t.Error("something is left")
	}
}

// script is a balancer that answers each event by what a test says, and keeps the events.
type script struct {
	act    func(balancer.Event) []balancer.Action
	events chan balancer.Event
}

func (s *script) Step(_ balancer.Millis, e balancer.Event) []balancer.Action {
	actions := s.act(e)
	s.events <- e
	return actions
}

// want waits for the next event of a kind.
func want[E balancer.Event](t *testing.T, s *script) E {
	t.Helper()
	for {
		select {
		case e := <-s.events:
			if x, ok := e.(E); ok {
				return x
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the event never came")
		}
	}
}

// fakeAttempt is an attempt under a test's control.
type fakeAttempt struct {
	server  balancer.ServerID
	wait    balancer.Millis
	done    func(Completion)
	written bool
	aborted chan struct{}
}

func (c *fakeAttempt) Abort() bool {
	close(c.aborted)
	return c.written
}

// fakeRequest is a client's request under a test's control.
type fakeRequest struct {
	arrival balancer.Arrival
	written bool
	sent    chan *fakeAttempt
	answers chan Response
}

func newFakeRequest(expires float64) *fakeRequest {
	return &fakeRequest{arrival: balancer.Arrival{Class: "look", Deadline: expires}, written: true,
		sent: make(chan *fakeAttempt, 8), answers: make(chan Response, 8)}
}

func (x *fakeRequest) Arrival() balancer.Arrival { return x.arrival }
func (x *fakeRequest) Respond(a Response)        { x.answers <- a }
func (x *fakeRequest) StartAttempt(s balancer.ServerID, wait, _ balancer.Millis, done func(Completion)) Attempt {
	c := &fakeAttempt{server: s, wait: wait, done: done, written: x.written, aborted: make(chan struct{})}
	x.sent <- c
	return c
}

func start(t *testing.T, act func(balancer.Event) []balancer.Action) (*Engine, *script, clock.Clock, *counters.Counters) {
	t.Helper()
	s := &script{act: act, events: make(chan balancer.Event, 64)}
	count, clk := &counters.Counters{}, clock.New()
	e := New(Options{Balancer: s, Clock: clk, MaxAttempts: 2, Counters: count,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); <-e.stopped })
	go e.Run(ctx)
	return e, s, clk, count
}

// sendOnArrival sends every request to one server.
func sendOnArrival(e balancer.Event) []balancer.Action {
	if a, ok := e.(balancer.Arrival); ok {
		return []balancer.Action{balancer.StartAttempt{ID: a.ID, Server: "s1"}}
	}
	return nil
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func TestFirstServedAttemptAnswers(t *testing.T) {
	e, s, clk, count := start(t, func(ev balancer.Event) []balancer.Action {
		a, ok := ev.(balancer.Arrival)
		if !ok {
			return nil
		}
		return []balancer.Action{balancer.StartAttempt{ID: a.ID, Server: "s1"}, balancer.StartAttempt{ID: a.ID, Server: "s2"},
			balancer.StartAttempt{ID: a.ID, Server: "s3"}}
	})
	x := newFakeRequest(clk.Now() + 5000)
	e.Submit(x)
	one, two := receive(t, x.sent), receive(t, x.sent)
	want[balancer.Arrival](t, s)
	if v := want[balancer.AttemptCompleted](t, s); v.Outcome != balancer.NotSent || v.Attempt != 2 {
		t.Errorf("an attempt beyond the limit ended as %+v", v)
	}
	two.done(Completion{Outcome: balancer.OK, Body: []byte("two")})
	if a := receive(t, x.answers); a.Kind != Served || string(a.Body) != "two" {
		t.Errorf("answer %+v", a)
	}
	if v := want[balancer.AttemptCompleted](t, s); !v.RequestFinished || v.Attempt != 1 {
		t.Errorf("told %+v", v)
	}
	one.done(Completion{Outcome: balancer.OK, Body: []byte("one")})
	if v := want[balancer.AttemptCompleted](t, s); !v.RequestFinished || v.Attempt != 0 {
		t.Errorf("told %+v", v)
	}
	if len(x.answers) != 0 || count.Attempts.Open.Get() != 0 {
		t.Errorf("%d more answers, %d attempts open", len(x.answers), count.Attempts.Open.Get())
	}
}

func TestAttemptDeadline(t *testing.T) {
	for written, result := range map[bool]balancer.Outcome{true: balancer.TimedOut, false: balancer.Unreachable} {
		e, s, clk, _ := start(t, sendOnArrival)
		x := newFakeRequest(clk.Now() + 30)
		x.written = written
		e.Submit(x)
		c := receive(t, x.sent)
		receive(t, c.aborted)
		if v := want[balancer.AttemptCompleted](t, s); v.Outcome != result || v.RequestFinished || v.Elapsed < 25 {
			t.Errorf("written %v: told %+v", written, v)
		}
		c.done(Completion{Outcome: balancer.OK}) // too late: it has its end
		e.UpdateEndpoints(balancer.EndpointUpdate{})
		want[balancer.EndpointUpdate](t, s)
		if len(x.answers) != 0 {
			t.Error("a late end answered the client")
		}
	}
}

func TestCancelledRequestCancelsItsAttempts(t *testing.T) {
	e, s, clk, _ := start(t, sendOnArrival)
	x := newFakeRequest(clk.Now() + 5000)
	ticket := e.Submit(x)
	c := receive(t, x.sent)
	ticket.Cancel()
	receive(t, c.aborted)
	want[balancer.ClientCancelled](t, s)
	if v := want[balancer.AttemptCompleted](t, s); v.Outcome != balancer.Cancelled || !v.RequestFinished {
		t.Errorf("told %+v", v)
	}
	ticket.Cancel() // a second time changes nothing
	e.UpdateEndpoints(balancer.EndpointUpdate{})
	want[balancer.EndpointUpdate](t, s)
	if len(e.requests) != 0 || len(x.answers) != 0 {
		t.Errorf("%d requests kept, %d answers", len(e.requests), len(x.answers))
	}
}

func TestPanicEndsOneEvent(t *testing.T) {
	e, s, clk, count := start(t, func(ev balancer.Event) []balancer.Action {
		a, ok := ev.(balancer.Arrival)
		if ok && a.Class == "bad" {
			panic("as the test wants")
		}
		if ok {
			return []balancer.Action{balancer.Fail{ID: a.ID}}
		}
		return nil
	})
	bad, good := newFakeRequest(clk.Now()+5000), newFakeRequest(clk.Now()+5000)
	bad.arrival.Class = "bad"
	e.Submit(bad)
	e.Submit(good)
	if a := receive(t, good.answers); a.Kind != Failed {
		t.Errorf("answer %+v", a)
	}
	want[balancer.Arrival](t, s)
	if count.Engine.Panics.Get() != 1 {
		t.Errorf("%d panics counted", count.Engine.Panics.Get())
	}
}

func TestTimersReachTheModule(t *testing.T) {
	const farAhead = 1e15 // of any clock
	now := clock.New().Now()
	e, s, clk, _ := start(t, func(ev balancer.Event) []balancer.Action {
		if _, ok := ev.(balancer.EndpointUpdate); ok {
			return []balancer.Action{balancer.SetTimer{Token: "never", At: farAhead},
				balancer.SetTimer{Token: "soon", At: now + 40}, balancer.SetTimer{Token: "past", At: 1}}
		}
		return nil
	})
	e.UpdateEndpoints(balancer.EndpointUpdate{})
	for _, token := range []string{"past", "soon"} {
		if v := want[balancer.TimerFired](t, s); v.Token != token {
			t.Errorf("%q fired, want %q", v.Token, token)
		}
	}
	if clk.Now() < now+40 {
		t.Error("a timer fired early")
	}
}

func TestFailureAfterTheDeadlineSaysSo(t *testing.T) {
	e, _, clk, _ := start(t, func(ev balancer.Event) []balancer.Action {
		if a, ok := ev.(balancer.Arrival); ok {
			return []balancer.Action{balancer.Fail{ID: a.ID}}
		}
		return nil
	})
	for expires, kind := range map[float64]ResponseKind{clk.Now() - 1: TimedOut, clk.Now() + 5000: Failed} {
		x := newFakeRequest(expires)
		e.Submit(x)
		if a := receive(t, x.answers); a.Kind != kind {
			t.Errorf("kind %v, want %v", a.Kind, kind)
		}
	}
}

// TestAttemptThatFindsItsClientGoneEndsTheRequest: the balancer hears of the leaving alone, and has
// nothing to decide on.
func TestAttemptThatFindsItsClientGoneEndsTheRequest(t *testing.T) {
	e, s, clk, count := start(t, func(event balancer.Event) []balancer.Action {
		if a, ok := event.(balancer.Arrival); ok {
			return []balancer.Action{balancer.StartAttempt{ID: a.ID, Server: "s1", Deadline: a.Deadline}}
		}
		return nil
	})
	x := newFakeRequest(clk.Now() + 60_000)
	ticket := e.Submit(x)
	c := <-x.sent
	c.done(Completion{Outcome: balancer.NotSent, ClientDisconnected: true})
	want[balancer.ClientCancelled](t, s)
	if end := want[balancer.AttemptCompleted](t, s); end.Outcome != balancer.Cancelled || !end.RequestFinished {
		t.Errorf("%+v", end)
	}
	ticket.Cancel() // as the connection's own watch tells a moment later
	if !e.RunBetweenSteps(func() {}) || count.Attempts.Unwanted.Get() != 1 || count.Attempts.Open.Get() != 0 {
		t.Errorf("unwanted %d, open %d", count.Attempts.Unwanted.Get(), count.Attempts.Open.Get())
	}
	if len(x.answers) > 0 {
		t.Error("a client that has gone was answered")
	}
}
