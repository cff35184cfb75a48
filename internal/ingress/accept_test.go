package ingress

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"tackhub.example/tackhub/internal/counters"
	"tackhub.example/tackhub/internal/drain"
	"tackhub.example/tackhub/internal/proxy"
)

// failingListener is a listener whose AcceptTCP fails with errno while errno is not 0.
type failingListener struct {
	*net.TCPListener
	errno  atomic.Int64
	failed atomic.Int64 // number of failed calls
}

func (l *failingListener) AcceptTCP() (*net.TCPConn, error) {
	if errno := syscall.Errno(l.errno.Load()); errno != 0 {
		l.failed.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	_ = l.SetDeadline(time.Now().Add(10 * time.Millisecond)) // so that errno takes effect within 10 ms after it is set
	return l.TCPListener.AcceptTCP()
}

// gatedHandler responds to requests after gate is closed.
type gatedHandler struct{ gate chan struct{} }

func (g gatedHandler) Serve(ctx *fasthttp.RequestCtx, _ proxy.Client) {
	<-g.gate
	ctx.SetBodyString("done")
}

// serveFailing starts a server on a failingListener. The channel receives the result of Serve.
func serveFailing(t *testing.T, handler Handler) (*failingListener, *Server, <-chan error) {
	t.Helper()
	config := net.ListenConfig{Control: DeferAccept} // as for the node's listener
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &failingListener{TCPListener: l.(*net.TCPListener)}
	var s *Server
	s = New(Options{Handler: handler, MaxConns: 100, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Counters: &counters.Counters{},
		OnListenerBroken: func(l Listener, _ error) { s.BeginShutdown(l, drain.NewPlan(100*time.Millisecond).Start(time.Now())) }})
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	return listener, s, done
}

// accept(2) fails for 30 ms with each error that Linux documents, except the listener errors. Serve must keep accepting, and
// must not retry in a busy loop.
func TestServeKeepsAcceptingAfterAcceptErrors(t *testing.T) {
	gate := make(chan struct{})
	close(gate)
	listener, s, done := serveFailing(t, gatedHandler{gate})
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EINTR} {
		failuresBefore := listener.failed.Load()
		listener.errno.Store(int64(errno))
		for listener.failed.Load() == failuresBefore {
			time.Sleep(time.Millisecond)
		}
		time.AfterFunc(30*time.Millisecond, func() { listener.errno.Store(0) })
		resp, err := client.Get("http://" + listener.Addr().String() + "/look")
		if err != nil {
			t.Fatalf("%v: %v", errno, err)
		}
		_ = resp.Body.Close()
		if failures := listener.failed.Load() - failuresBefore; failures > 100 {
			t.Errorf("%v: accept was called %d times in 30 ms, want at most 100", errno, failures)
		}
	}
	s.BeginShutdown(listener, drain.NewPlan(100*time.Millisecond).Start(time.Now()))
	if err := <-done; err != nil {
		t.Errorf("Serve: error = %v, want nil", err)
	}
}

// The listener fails permanently while a request is in flight. The server must shut down gracefully, and Serve must return the
// error only after the request has its response.
func TestServeCompletesRequestInFlightAfterListenerBreaks(t *testing.T) {
	gate := make(chan struct{})
	listener, s, done := serveFailing(t, gatedHandler{gate})
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + listener.Addr().String() + "/look")
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	for end := time.Now().Add(10 * time.Second); s.options.InFlight.Count() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("requests in flight = 0 after 10 s, want 1")
		}
	}
	listener.errno.Store(int64(syscall.EBADF))
	for end := time.Now().Add(10 * time.Second); !s.draining(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("draining = false 10 s after the listener broke, want true")
		}
	}
	select {
	case err := <-done:
		t.Fatalf("Serve returned with a request in flight, error = %v", err)
	case <-time.After(drain.NewPlan(100 * time.Millisecond).Kill):
	}
	close(gate)
	if got := <-status; got != http.StatusOK {
		t.Errorf("status of the request in flight = %d, want %d", got, http.StatusOK)
	}
	if err := <-done; err == nil {
		t.Error("Serve: error = nil after the listener broke, want the error of accept")
	}
}
