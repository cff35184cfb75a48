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

func TestTimersFireInOrderOfTime(t *testing.T) {
	var pending timers
	for _, x := range []struct {
		at    float64
		token string
	}{{30, "c"}, {10, "a"}, {30, "d"}, {20, "b"}, {30, "e"}} {
		pending.add(x.at, x.token, nil)
	}
	if at, ok := pending.nextFireTime(); !ok || at != 10 {
		t.Fatalf("first timer fires at %v (set: %v), want 10", at, ok)
	}
	if _, ok := pending.popDue(9); ok {
		t.Error("a timer set for 10 fired at 9")
	}
	var got []string
	for x, ok := pending.popDue(30); ok; x, ok = pending.popDue(30) {
		got = append(got, x.token)
	}
	if !slices.Equal(got, []string{"a", "b", "c", "d", "e"}) {
		t.Errorf("timers fired in order %v, want a to e", got)
	}
	if _, ok := pending.nextFireTime(); ok {
		t.Error("a timer is still set, want none")
	}
}

// scriptedBalancer answers each event with the actions that a test's function returns, and records the
// events.
type scriptedBalancer struct {
	decide func(balancer.Event) []balancer.Action
	events chan balancer.Event
}

func (s *scriptedBalancer) Step(_ balancer.Millis, e balancer.Event) []balancer.Action {
	actions := s.decide(e)
	s.events <- e
	return actions
}

// waitForEvent returns the next event of type E and skips all others.
func waitForEvent[E balancer.Event](t *testing.T, s *scriptedBalancer) E {
	t.Helper()
	for {
		select {
		case e := <-s.events:
			if x, ok := e.(E); ok {
				return x
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no event of the wanted type within 10 s")
		}
	}
}

// fakeAttempt is an attempt that a test completes.
type fakeAttempt struct {
	server  balancer.ServerID
	timeout balancer.Millis
	done    func(Completion)
	written bool
	aborted chan struct{}
}

func (a *fakeAttempt) Abort() bool {
	close(a.aborted)
	return a.written
}

// fakeRequest is a client's request that records its attempts and responses.
type fakeRequest struct {
	arrival   balancer.Arrival
	written   bool
	attempts  chan *fakeAttempt
	responses chan Response
}

func newFakeRequest(deadline float64) *fakeRequest {
	return &fakeRequest{arrival: balancer.Arrival{Class: "look", Deadline: deadline}, written: true,
		attempts: make(chan *fakeAttempt, 8), responses: make(chan Response, 8)}
}

func (r *fakeRequest) Arrival() balancer.Arrival { return r.arrival }
func (r *fakeRequest) Respond(resp Response)     { r.responses <- resp }
func (r *fakeRequest) StartAttempt(options AttemptOptions, done func(Completion)) Attempt {
	a := &fakeAttempt{server: options.Server, timeout: options.Timeout, done: done, written: r.written, aborted: make(chan struct{})}
	r.attempts <- a
	return a
}

func startEngine(t *testing.T, decide func(balancer.Event) []balancer.Action) (*Engine, *scriptedBalancer, clock.Clock, *counters.Counters) {
	t.Helper()
	s := &scriptedBalancer{decide: decide, events: make(chan balancer.Event, 64)}
	count, clk := &counters.Counters{}, clock.New()
	e := New(Options{Balancer: s, Clock: clk, MaxAttempts: 2, Counters: count,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); <-e.stopped })
	go e.Run(ctx)
	return e, s, clk, count
}

// sendOnArrival sends every request to server s1.
func sendOnArrival(e balancer.Event) []balancer.Action {
	if a, ok := e.(balancer.Arrival); ok {
		return []balancer.Action{balancer.StartAttempt{ID: a.ID, Server: "s1"}}
	}
	return nil
}

func receiveOrFail[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case x := <-from:
		return x
	case <-time.After(10 * time.Second):
		t.Fatal("nothing received within 10 s")
		panic("unreachable")
	}
}

// If two attempts succeed, the client gets the response of the one that completes first. Attempts
// beyond the limit are not sent.
func TestFirstSuccessfulAttemptAnswersRequest(t *testing.T) {
	e, s, clk, count := startEngine(t, func(ev balancer.Event) []balancer.Action {
		a, ok := ev.(balancer.Arrival)
		if !ok {
			return nil
		}
		return []balancer.Action{balancer.StartAttempt{ID: a.ID, Server: "s1"}, balancer.StartAttempt{ID: a.ID, Server: "s2"},
			balancer.StartAttempt{ID: a.ID, Server: "s3"}}
	})
	request := newFakeRequest(clk.Now() + 5000)
	e.Submit(request)
	one, two := receiveOrFail(t, request.attempts), receiveOrFail(t, request.attempts)
	waitForEvent[balancer.Arrival](t, s)
	if v := waitForEvent[balancer.AttemptCompleted](t, s); v.Outcome != balancer.NotSent || v.Attempt != 2 {
		t.Errorf("an attempt beyond the limit ended as %+v, want attempt 2 as NotSent", v)
	}
	two.done(Completion{Outcome: balancer.OK, Body: []byte("two")})
	if a := receiveOrFail(t, request.responses); a.Kind != Served || string(a.Body) != "two" {
		t.Errorf("response %+v, want Served with body \"two\"", a)
	}
	if v := waitForEvent[balancer.AttemptCompleted](t, s); !v.RequestFinished || v.Attempt != 1 {
		t.Errorf("event %+v, want attempt 1 with the request finished", v)
	}
	one.done(Completion{Outcome: balancer.OK, Body: []byte("one")})
	if v := waitForEvent[balancer.AttemptCompleted](t, s); !v.RequestFinished || v.Attempt != 0 {
		t.Errorf("event %+v, want attempt 0 with the request finished", v)
	}
	if len(request.responses) != 0 || count.Attempts.Open.Get() != 0 {
		t.Errorf("%d more responses and %d attempts in flight, want none", len(request.responses), count.Attempts.Open.Get())
	}
}

// An attempt that is aborted at its deadline has timed out if the server may have received the request,
// else it has not run. Its late completion must not answer the client.
func TestAttemptIsAbortedAtDeadline(t *testing.T) {
	for written, result := range map[bool]balancer.Outcome{true: balancer.TimedOut, false: balancer.Unreachable} {
		e, s, clk, _ := startEngine(t, sendOnArrival)
		request := newFakeRequest(clk.Now() + 30)
		request.written = written
		e.Submit(request)
		sent := receiveOrFail(t, request.attempts)
		receiveOrFail(t, sent.aborted)
		if v := waitForEvent[balancer.AttemptCompleted](t, s); v.Outcome != result || v.RequestFinished || v.Elapsed < 25 {
			t.Errorf("written %v: event %+v, want outcome %v after at least 25 ms, with the request not finished", written, v, result)
		}
		sent.done(Completion{Outcome: balancer.OK}) // late: the attempt has ended already
		e.UpdateEndpoints(balancer.EndpointUpdate{})
		waitForEvent[balancer.EndpointUpdate](t, s)
		if len(request.responses) != 0 {
			t.Error("a late completion answered the client")
		}
	}
}

func TestCancelRequestAbortsItsAttempts(t *testing.T) {
	e, s, clk, _ := startEngine(t, sendOnArrival)
	request := newFakeRequest(clk.Now() + 5000)
	ticket := e.Submit(request)
	sent := receiveOrFail(t, request.attempts)
	ticket.Cancel()
	receiveOrFail(t, sent.aborted)
	waitForEvent[balancer.ClientCancelled](t, s)
	if v := waitForEvent[balancer.AttemptCompleted](t, s); v.Outcome != balancer.Cancelled || !v.RequestFinished {
		t.Errorf("event %+v, want Cancelled with the request finished", v)
	}
	ticket.Cancel() // a second call has no effect
	e.UpdateEndpoints(balancer.EndpointUpdate{})
	waitForEvent[balancer.EndpointUpdate](t, s)
	if len(e.requests) != 0 || len(request.responses) != 0 {
		t.Errorf("%d requests kept and %d responses, want none", len(e.requests), len(request.responses))
	}
}

func TestPanicDropsOnlyItsEvent(t *testing.T) {
	e, s, clk, count := startEngine(t, func(ev balancer.Event) []balancer.Action {
		a, ok := ev.(balancer.Arrival)
		if ok && a.Class == "bad" {
			panic("injected by the test")
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
	if a := receiveOrFail(t, good.responses); a.Kind != Failed {
		t.Errorf("response %+v, want Failed", a)
	}
	waitForEvent[balancer.Arrival](t, s)
	if count.Engine.Panics.Get() != 1 {
		t.Errorf("%d panics counted, want 1", count.Engine.Panics.Get())
	}
}

func TestTimersOfBalancerFireInOrder(t *testing.T) {
	const distantFuture = 1e15 // Unix milliseconds, long after the end of the test
	now := clock.New().Now()
	e, s, clk, _ := startEngine(t, func(ev balancer.Event) []balancer.Action {
		if _, ok := ev.(balancer.EndpointUpdate); ok {
			return []balancer.Action{balancer.SetTimer{Token: "never", At: distantFuture},
				balancer.SetTimer{Token: "soon", At: now + 40}, balancer.SetTimer{Token: "past", At: 1}}
		}
		return nil
	})
	e.UpdateEndpoints(balancer.EndpointUpdate{})
	for _, token := range []string{"past", "soon"} {
		if v := waitForEvent[balancer.TimerFired](t, s); v.Token != token {
			t.Errorf("%q fired, want %q", v.Token, token)
		}
	}
	if clk.Now() < now+40 {
		t.Error("a timer fired early")
	}
}

// A request that fails after its deadline must be answered as timed out, not as failed.
func TestFailureAfterDeadlineIsTimeout(t *testing.T) {
	e, _, clk, _ := startEngine(t, func(ev balancer.Event) []balancer.Action {
		if a, ok := ev.(balancer.Arrival); ok {
			return []balancer.Action{balancer.Fail{ID: a.ID}}
		}
		return nil
	})
	for deadline, kind := range map[float64]ResponseKind{clk.Now() - 1: TimedOut, clk.Now() + 5000: Failed} {
		request := newFakeRequest(deadline)
		e.Submit(request)
		if a := receiveOrFail(t, request.responses); a.Kind != kind {
			t.Errorf("response kind = %v, want %v", a.Kind, kind)
		}
	}
}

// An attempt that is not sent because its client has disconnected must cancel the whole request. The
// balancer must get the cancellation and not an outcome on which it would retry.
func TestAttemptWithDisconnectedClientCancelsRequest(t *testing.T) {
	e, s, clk, count := startEngine(t, func(event balancer.Event) []balancer.Action {
		if a, ok := event.(balancer.Arrival); ok {
			return []balancer.Action{balancer.StartAttempt{ID: a.ID, Server: "s1", Deadline: a.Deadline}}
		}
		return nil
	})
	request := newFakeRequest(clk.Now() + 60_000)
	ticket := e.Submit(request)
	sent := <-request.attempts
	sent.done(Completion{Outcome: balancer.NotSent, ClientDisconnected: true})
	waitForEvent[balancer.ClientCancelled](t, s)
	if end := waitForEvent[balancer.AttemptCompleted](t, s); end.Outcome != balancer.Cancelled || !end.RequestFinished {
		t.Errorf("event %+v, want Cancelled with the request finished", end)
	}
	ticket.Cancel() // as the watcher of the client's connection does shortly after
	if !e.RunBetweenSteps(func() {}) || count.Attempts.ClientDisconnected.Get() != 1 || count.Attempts.Open.Get() != 0 {
		t.Errorf("disconnected clients = %d, attempts in flight = %d, want 1 and 0", count.Attempts.ClientDisconnected.Get(),
			count.Attempts.Open.Get())
	}
	if len(request.responses) > 0 {
		t.Error("a disconnected client was answered")
	}
}
