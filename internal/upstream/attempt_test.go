package upstream

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/balancer"
	"tackhub.example/tackhub/internal/engine"
)

func TestClassifyResponse(t *testing.T) {
	for _, c := range []struct {
		status int
		notRun string
		want   balancer.Outcome
	}{
		{200, "", balancer.OK}, {200, "1", balancer.OK}, {500, "", balancer.Errored}, {500, "1", balancer.Errored},
		{503, "1", balancer.Overloaded}, {504, "1", balancer.Overloaded}, {503, "", balancer.Errored},
		{504, "", balancer.Errored}, {503, "0", balancer.Errored}, {503, "true", balancer.Errored}, {404, "1", balancer.Errored},
		{204, "", balancer.Errored}, {302, "", balancer.Errored},
	} {
		var resp fasthttp.Response
		resp.SetStatusCode(c.status)
		if c.notRun != "" {
			resp.Header.Set(headerNotRun, c.notRun)
		}
		if got := classifyResponse(&resp); got != c.want {
			t.Errorf("%d with %q: %s, want %s", c.status, c.notRun, engine.OutcomeName(got), engine.OutcomeName(c.want))
		}
	}
}

// TestLocalFailureReportsNotSent: an attempt fails at the node's own connection limit. The server must not be ejected
// for it.
func TestLocalFailureReportsNotSent(t *testing.T) {
	addr, _ := acceptingListener(t)
	closed, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	a := fixedResolver{"full": addr, "dead": closed.Addr().String()}
	p, _ := testPool(a, 8, 1)
	held := mustAcquire(t, p, "full")
	defer p.close(held, closeExit, nil)
	for id, want := range map[balancer.ServerID]balancer.Outcome{"full": balancer.NotSent, "left": balancer.NotSent,
		"dead": balancer.Unreachable} {
		ended := make(chan engine.Completion, 1)
		done := func(e engine.Completion) { ended <- e }
		for _, start := range []func(){
			func() { p.Send(id, engine.OutgoingRequest{Bytes: []byte("x")}, done) },
			func() { p.ProbeLoad(id, done) },
		} {
			start()
			select {
			case e := <-ended:
				if e.Outcome != want {
					t.Errorf("%s: %s, want %s", id, engine.OutcomeName(e.Outcome), engine.OutcomeName(want))
				}
			case <-time.After(10 * time.Second):
				t.Fatal("no completion")
			}
		}
	}
}

// TestUnwrittenRequestPreservesIdleSince: a request takes an idle connection and is not written on it. The server goes on counting from
// its last response, and closes the connection by that: were it idle from now on for the pool, a later request would be lost on it.
func TestUnwrittenRequestPreservesIdleSince(t *testing.T) {
	addr, _ := acceptingListener(t)
	p, _ := testPool(fixedResolver{"s1": addr}, 8, 8)
	older, newer := mustAcquire(t, p, "s1"), mustAcquire(t, p, "s1")
	since := map[*conn]time.Time{older: time.Now().Add(-30 * time.Second), newer: time.Now().Add(-20 * time.Second)}
	for _, c := range []*conn{older, newer} {
		p.put(c)
		c.idleSince = since[c]
	}
	for range 3 {
		ended := make(chan engine.Completion, 1)
		p.Send("s1", engine.OutgoingRequest{Bytes: []byte("too late"), WriteDeadline: time.Now()}, func(e engine.Completion) { ended <- e })
		if e := <-ended; e.Outcome != balancer.NotSent {
			t.Fatalf("ended as %s", engine.OutcomeName(e.Outcome))
		}
	}
	for c, want := range since {
		if c.idleSince != want {
			t.Errorf("a connection that was idle for %v is idle for %v", time.Since(want), time.Since(c.idleSince))
		}
	}
	p.putUnused(p.takeIdle("s1"))
	taken := []*conn{p.takeIdle("s1"), p.takeIdle("s1")}
	for _, c := range taken { // the newer one comes back first
		p.putUnused(c)
	}
	if list := p.idle["s1"]; len(list) != 2 || list[0] != older || list[1] != newer {
		t.Error("the connection that is idle longest is not the first")
	}
}

// TestRequestNotWrittenAfterClientDisconnectOrDeadline: a client disconnects while the connection comes up. Nothing is written, and the connection
// serves another request.
func TestRequestNotWrittenAfterClientDisconnectOrDeadline(t *testing.T) {
	addr, accepted := acceptingListener(t)
	p, count := testPool(fixedResolver{"s1": addr}, 8, 8)
	wanted := false
	for _, c := range []engine.OutgoingRequest{
		{Bytes: []byte("unwanted"), ClientWaiting: func() bool { return wanted }},
		{Bytes: []byte("too late"), WriteDeadline: time.Now()},
	} {
		ended := make(chan engine.Completion, 1)
		p.Send("s1", c, func(e engine.Completion) { ended <- e })
		if e := <-ended; e.Outcome != balancer.NotSent || e.ClientDisconnected != (c.ClientWaiting != nil) {
			t.Errorf("%s: %s, client gone %v", c.Bytes, engine.OutcomeName(e.Outcome), e.ClientDisconnected)
		}
	}
	wanted = true
	p.Send("s1", engine.OutgoingRequest{Bytes: []byte("wanted"), ClientWaiting: func() bool { return wanted }}, func(engine.Completion) {})
	got := make([]byte, len("wanted"))
	if _, err := io.ReadFull(accepted(0), got); err != nil || string(got) != "wanted" {
		t.Errorf("the first bytes at the server are %q, %v", got, err)
	}
	if n := count.Servers.Dialed.Get(); n != 1 {
		t.Errorf("%d connections, want one", n)
	}
}

func TestAbortBeforeConnectionIsAttached(t *testing.T) {
	p, _ := testPool(fixedResolver{}, 1, 1)
	a := &Attempt{pool: p, cancel: func() {}}
	if a.Abort() {
		t.Error("an attempt without a connection may have run")
	}
	if a.attach(&conn{}) {
		t.Error("an aborted attempt took a connection")
	}
}

// TestAbortReleasesEveryReservation aborts attempts at every moment of a connection's dialing, and counts what stays reserved.
func TestAbortReleasesEveryReservation(t *testing.T) {
	addr := silentListener(t)
	p, count := testPool(fixedResolver{"s1": addr}, 64, 64)
	for i := range 300 {
		a := p.Send("s1", engine.OutgoingRequest{Bytes: []byte("x")}, func(engine.Completion) {})
		for range i % 50 {
			runtime.Gosched()
		}
		if i%3 == 0 {
			time.Sleep(time.Duration(i) * time.Microsecond) // some connections are up and written on by then
		}
		a.Abort()
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		total := p.total
		reserved := p.reserved["s1"]
		idle := len(p.idle["s1"])
		p.mu.Unlock()
		if total == idle && reserved == idle && int(count.Servers.Open.Get()) == idle {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections and %d of the server are reserved, %d open, %d idle", total, reserved, count.Servers.Open.Get(), idle)
		}
	}
	p.sweep(true)
	if p.total != 0 || count.Servers.Open.Get() != 0 {
		t.Errorf("%d connections reserved at the end, %d open", p.total, count.Servers.Open.Get())
	}
}
