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

// failingListener is a listener whose accept fails with errno while that is set.
type failingListener struct {
	*net.TCPListener
	errno  atomic.Int64
	failed atomic.Int64
}

func (f *failingListener) AcceptTCP() (*net.TCPConn, error) {
	if errno := syscall.Errno(f.errno.Load()); errno != 0 {
		f.failed.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	_ = f.SetDeadline(time.Now().Add(10 * time.Millisecond)) // so that an errno that is set meanwhile takes effect
	return f.TCPListener.AcceptTCP()
}

// gatedHandler handles a request once its gate is open.
type gatedHandler struct{ open chan struct{} }

func (g gatedHandler) Serve(ctx *fasthttp.RequestCtx, _ proxy.Client) {
	<-g.open
	ctx.SetBodyString("done")
}

// serveFailing starts a server on a listener that can fail. The channel gives what Serve returns.
func serveFailing(t *testing.T, handler Handler) (*failingListener, *Server, <-chan error) {
	t.Helper()
	config := net.ListenConfig{Control: DeferAccept} // as the node's
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &failingListener{TCPListener: l.(*net.TCPListener)}
	var s *Server
	s = New(Options{Handler: handler, MaxConns: 100, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Counters: &counters.Counters{},
		OnListenerBroken: func(l Listener, _ error) { s.BeginShutdown(l, drain.NewPlan(100*time.Millisecond).Start(time.Now())) }})
	done := make(chan error, 1)
	go func() { done <- s.Serve(f) }()
	return f, s, done
}

// TestAcceptGoesOnAfterErrors: accept(2) fails for a while with each error that Linux documents. Accepting goes on, and does
// not spin meanwhile.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	opened := make(chan struct{})
	close(opened)
	f, s, done := serveFailing(t, gatedHandler{opened})
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EINTR} {
		before := f.failed.Load()
		f.errno.Store(int64(errno))
		for f.failed.Load() == before {
			time.Sleep(time.Millisecond)
		}
		time.AfterFunc(30*time.Millisecond, func() { f.errno.Store(0) })
		resp, err := client.Get("http://" + f.Addr().String() + "/look")
		if err != nil {
			t.Fatalf("%v: %v", errno, err)
		}
		_ = resp.Body.Close()
		if tries := f.failed.Load() - before; tries > 100 {
			t.Errorf("%v: accept was tried %d times in 30 ms: it spins", errno, tries)
		}
	}
	s.BeginShutdown(f, drain.NewPlan(100*time.Millisecond).Start(time.Now()))
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestBrokenListenerLosesNothing: the listener fails for good with a request in flight. The server shuts down gracefully and
// reports the error once the request has its response.
func TestBrokenListenerLosesNothing(t *testing.T) {
	opened := make(chan struct{})
	f, s, done := serveFailing(t, gatedHandler{opened})
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + f.Addr().String() + "/look")
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	for end := time.Now().Add(10 * time.Second); s.options.InFlight.Open() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request was not read")
		}
	}
	f.errno.Store(int64(syscall.EBADF))
	for end := time.Now().Add(10 * time.Second); !s.draining(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no shutdown began")
		}
	}
	select {
	case err := <-done:
		t.Fatalf("ended with a request in flight: %v", err)
	case <-time.After(drain.NewPlan(100 * time.Millisecond).Kill):
	}
	close(opened)
	if got := <-status; got != http.StatusOK {
		t.Errorf("the request in flight got status %d", got)
	}
	if err := <-done; err == nil {
		t.Error("a broken listener was not reported")
	}
}
